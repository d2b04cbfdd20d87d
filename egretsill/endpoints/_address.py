"""Endpoint addresses and IPv4 conversions."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """A UDP or TCP endpoint by IP number."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def format_ipv4(host: int) -> str:
    """Format an IPv4 address given as a number in dotted-decimal notation."""
    return f"{host >> 24 & 255}.{host >> 16 & 255}.{host >> 8 & 255}.{host & 255}"


def parse_ipv4(host: str) -> int:
    """Parse a dotted-decimal IPv4 address into a number.

    Raises:
        ValueError: if the text is not an IPv4 address.
    """
    parts = [int(part) for part in host.split(".")]
    if len(parts) != 4 or not all(0 <= part <= 255 for part in parts):
        raise ValueError(host)
    return parts[0] << 24 | parts[1] << 16 | parts[2] << 8 | parts[3]
