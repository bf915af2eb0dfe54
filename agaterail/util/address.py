"""Addresses of the form IP:port."""

from __future__ import annotations

import ipaddress

import attrs

MAX_PORT = 65535


@attrs.frozen(order=True)
class Address:
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``10.0.0.1:80`` or ``[::1]:80``.

        Raises
        ------
        ValueError
            If the text is not an IP address, a colon and a port.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdecimal() or int(port) > MAX_PORT:
            raise ValueError(f"{text!r} is not an address of the form IP:port")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        try:
            number = ipaddress.ip_address(host)
        except ValueError:
            raise ValueError(f"{text!r} is not an address of the form IP:port") from None
        return cls(str(number), int(port))
