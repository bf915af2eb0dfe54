"""Decisions without I/O, clock or randomness of their own.

Each module states which load or situation its decision is made for, gets the few
values that it needs, and is tested without a network.
"""
