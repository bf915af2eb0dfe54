"""Decode the registrations that targets write to the platform's store."""

from __future__ import annotations

from typing import Any

from returns.result import Failure, Result, Success

from agaterail.gateway.targets import Registration
from agaterail.platform import fields
from agaterail.platform.fields import MalformedError
from agaterail.util.address import Address
from agaterail.util.untrusted import load_json

READY = "ready"
STATES = (READY, "draining")
# Numbers that each target's own entry has and that are of no use here.
UNUSED_NUMBERS = ("seq_no", "cold_remaining_ms")


def decode_registration(instance: str, value: bytes) -> Result[Registration, str]:
    """Decode the registration in a record's value.

    Entries can also come from other writers. An entry with a missing field, a wrong type
    or an unknown state is rejected and yields no target: filled in, it could move a target
    to a service whose requests it must not run.
    """
    try:
        decoded = fields.json_object(load_json(value), "the entry")
        for name in UNUSED_NUMBERS:
            fields.number(decoded, name)
        state = fields.string(decoded, "state")
        if state not in STATES:
            raise MalformedError("state is unknown")
        return Success(
            Registration(
                instance=instance,
                service=fields.string(decoded, "service"),
                address=str(Address.parse(fields.string(decoded, "address"))),
                domain=fields.string(decoded, "zone"),
                ready=state == READY,
                slots=_slots(decoded),
                born=fields.integer(decoded, "born", 0),
                weights=_weights(decoded),
                build=_build(decoded),
            )
        )
    except ValueError as error:  # MalformedError, DecodeError and invalid addresses
        return Failure(str(error))


def _slots(decoded: dict[str, Any]) -> int:
    slots = fields.integer(decoded, "slots")
    if slots < 0:
        raise MalformedError("slots is negative")
    return slots


def _build(decoded: dict[str, Any]) -> str:
    """Return the version of the target's software, which may be empty."""
    version = decoded.get("version")
    if not isinstance(version, str):
        raise MalformedError("version is not a string")
    return version


def _weights(decoded: dict[str, Any]) -> dict[str, int]:
    models = (fields.json_object(item, "a model") for item in fields.array(decoded, "models"))
    return {fields.string(item, "name"): fields.integer(item, "version") for item in models}
