"""Decode the registrations that targets write to the platform's store."""

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
    """Decode the registration in a record's value.

    Entries can also come from other writers. An entry with a missing field, a wrong type
    or an unknown state is rejected and yields no target.
    """
    try:
        decoded = fields.json_object(json.loads(value), "the entry")
        state = fields.string(decoded, "state")
        if state not in STATES:
            raise MalformedError("state is unknown")
        address = fields.string(decoded, "address")
        host, separator, port = address.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise MalformedError("address is not of the form IP:port")
        return Success(
            Registration(
                instance=instance,
                service=fields.string(decoded, "service"),
                address=address,
                domain=fields.string(decoded, "zone"),
                ready=state == READY,
                slots=fields.integer(decoded, "slots", 0),
                born=fields.integer(decoded, "born", 0),
                weights=_weights(decoded),
                build=_build(decoded),
            )
        )
    except ValueError as error:  # MalformedError and JSON errors
        return Failure(str(error))


def _build(decoded: dict[str, Any]) -> str:
    """Return the version of the target's software; empty if it names none."""
    # Unlike the models, which have versions of their own, a target serves without it.
    version = decoded.get("version")
    return version if isinstance(version, str) else ""


def _weights(decoded: dict[str, Any]) -> dict[str, int]:
    models = (fields.json_object(item, "a model") for item in fields.array(decoded, "models"))
    return {fields.string(item, "name"): fields.integer(item, "version") for item in models}
