"""TCP addresses in the form `host:port`, which the configuration and the endpoint list use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Address:
    """A TCP address to listen on or to connect to."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ValueError if the host is empty or the port is not in 0..65535."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(f"address {text!r} must have the form host:port with a port in 0..65535")
    return Address(host, int(port))
