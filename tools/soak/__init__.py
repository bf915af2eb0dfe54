"""Randomized soak of the real gateways under faults from outside."""
