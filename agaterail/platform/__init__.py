"""Adapter for the hosts' platform: wire names, message formats and calls.

Names that the platform uses on the wire appear only in this package. Messages are
decoded once, into the types of :mod:`agaterail.gateway`, which makes all decisions.
"""
