"""Randomized soak test of gateway processes under injected faults."""
