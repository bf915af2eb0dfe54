"""Adapter of the hosts' platform: names, formats and calls, no decisions.

Every name that the platform uses on the wire appears in this package only. Its
messages are decoded once, into the types of :mod:`agaterail.gateway`.
"""
