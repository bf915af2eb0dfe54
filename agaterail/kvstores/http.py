"""HTTP client for the KV store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail.kvstores import KvStore
from agaterail.util.httpconn import HttpConnections
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.util.address import Address

HTTP_OK = 200


class HttpKvStore(KvStore):
    """Client of the KV store over HTTP."""

    def __init__(self, address: Address) -> None:
        self.address = str(address)
        self.connections = HttpConnections(address)

    def count_leading_keys(self, keys: Sequence[bytes], timeout_s: float) -> Result[int, str]:
        """Return how many leading keys of ``keys`` the store holds."""
        body = json.dumps({"keys": [key.hex() for key in keys]}).encode()
        answer = self.connections.call("POST", "/blocks/has", body, timeout_s=timeout_s)
        if not isinstance(answer, Success):
            return Failure(str(answer.failure()))
        status, data = answer.unwrap()
        if status != HTTP_OK:
            return Failure(f"status {status}")
        try:
            return Success(int(load_json(data)["blocks"]))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(f"malformed answer: {error}")
