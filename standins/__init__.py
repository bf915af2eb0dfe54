"""Small stand-ins for the platform, its targets and its callers.

They speak the protocols of docs/internals/protocols and never ship with the
product.
"""

from __future__ import annotations
