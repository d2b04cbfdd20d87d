"""Binding of a daemon's endpoints, with a typed failure."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from ..configuration import Address
from ._exceptions import AddressUnavailable

BoundT = TypeVar("BoundT")


def bind(purpose: str, address: Address, make: Callable[[], BoundT]) -> BoundT:
    """Return what `make` returns.

    Raises:
        AddressUnavailable: if the address can't be bound.
    """
    try:
        return make()
    except OSError as error:
        raise AddressUnavailable.caused_by(error, purpose, address) from error
