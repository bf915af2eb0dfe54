"""Test doubles for the platform, its targets and its callers.

They implement the protocols described in docs/internals/protocols and are not
part of the product.
"""

from __future__ import annotations
