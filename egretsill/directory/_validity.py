"""Which values of entries and configurations are usable, whether the store or a peer sent them.

Later steps encode names as UTF-8, hash them and send them in datagrams, pack numbers into fields of
64 bits, and send packets to addresses.
"""

from __future__ import annotations

from typing import TypeGuard

from ..endpoints import is_port, is_unicast_ipv4

MAXIMUM_NAME_BYTES = 255  # of UTF-8; the three names of an entry fit into one datagram
NUMBER_LIMIT = 2**53  # whole numbers are below this, since they are exact in JSON then


def is_name(value: object) -> TypeGuard[str]:
    """Return whether a value is usable as the name of a target, service, route or domain.

    Text with half of a surrogate pair, which JSON can express, is not.
    """
    if type(value) is not str or not 0 < len(value) <= MAXIMUM_NAME_BYTES:
        return False
    try:
        return value.isascii() or len(value.encode()) <= MAXIMUM_NAME_BYTES
    except UnicodeEncodeError:
        return False


def is_number(value: object) -> TypeGuard[int]:
    """Return whether a value is a whole number from 0 to below `NUMBER_LIMIT`, and no flag."""
    return type(value) is int and 0 <= value < NUMBER_LIMIT


def is_duration(value: object) -> TypeGuard[float]:
    """Return whether a value is a finite time from 0 on."""
    return type(value) in (int, float) and 0 <= value < NUMBER_LIMIT  # type: ignore[operator]


def is_rate(value: object) -> TypeGuard[float]:
    """Return whether a value is a finite number of events a second above 0."""
    return is_duration(value) and value > 0


def is_endpoint(host: object, port: object) -> bool:
    """Return whether values are an IPv4 address, as a number, and a port to send packets to."""
    if type(host) is not int or type(port) is not int:
        return False
    return is_unicast_ipv4(host) and is_port(port)
