"""Endpoint addresses and IPv4 conversions."""

from __future__ import annotations

import socket
from typing import NamedTuple

LARGEST_PORT = 65_535
MAXIMUM_PORT_DIGITS = 5

_FIRST_MULTICAST = 224 << 24


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
    """Parse a dotted-decimal IPv4 address, without leading zeros or spaces, into a number.

    Raises:
        ValueError: if the text is not an IPv4 address.
    """
    try:
        return int.from_bytes(socket.inet_pton(socket.AF_INET, host), "big")
    except OSError as error:
        raise ValueError(host) from error


def parse_port(text: str) -> int:
    """Parse a port from 1 to 65535, at most five ASCII digits without a sign or spaces.

    Raises:
        ValueError: if the text is not a port.
    """
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAXIMUM_PORT_DIGITS
    if not is_number or not is_port(int(text)):
        raise ValueError(text[: MAXIMUM_PORT_DIGITS + 1])
    return int(text)


def is_port(number: int) -> bool:
    """Return whether a number is a port that packets can be sent to."""
    return 0 < number <= LARGEST_PORT


def is_unicast_ipv4(host: int) -> bool:
    """Return whether a number is the IPv4 address of one VM.

    The unspecified address, multicast addresses and the reserved ones above them are not.
    """
    return 0 < host < _FIRST_MULTICAST
