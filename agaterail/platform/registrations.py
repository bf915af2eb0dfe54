"""Decode what targets write of themselves into the platform's store."""

from __future__ import annotations

import json
from typing import Any

from returns.result import Failure, Result, Success

from agaterail.gateway.targets import Registration
from agaterail.platform import fields
from agaterail.platform.fields import MalformedError

READY = "ready"
STATES = (READY, "draining")


def decode_registration(instance: str, value: bytes) -> Result[Registration, str]:
    """Return the registration in a record's value.

    Entries also come from other writers; one with a field missing, of another
    type or with an unknown state names no target to use.
    """
    try:
        found = fields.table(json.loads(value), "the entry")
        state = fields.text(found, "state")
        if state not in STATES:
            raise MalformedError("state is unknown")
        address = fields.text(found, "address")
        host, separator, port = address.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise MalformedError("address is no IP:port")
        return Success(
            Registration(
                instance=instance,
                service=fields.text(found, "service"),
                address=address,
                domain=fields.text(found, "zone"),
                ready=state == READY,
                slots=fields.whole(found, "slots", 0),
                born=fields.whole(found, "born", 0),
                weights=_weights(found),
            )
        )
    except ValueError as error:  # MalformedError and JSON errors
        return Failure(str(error))


def _weights(found: dict[str, Any]) -> dict[str, int]:
    models = (fields.table(item, "a model") for item in fields.rows(found, "models"))
    return {fields.text(item, "name"): fields.whole(item, "version") for item in models}
