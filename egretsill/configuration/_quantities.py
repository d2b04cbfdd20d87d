"""Parsers for quantities with units, endpoints and lists in INI files, for pydantic models."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from typing import Annotated, TypeVar

from pydantic import BeforeValidator, Field
from pydantic_core import PydanticCustomError

from ..wire import Address

SECONDS_BY_UNIT: Mapping[str, float] = {
    "us": 1e-6,
    "ms": 1e-3,
    "s": 1.0,
    "min": 60.0,
    "h": 3600.0,
}
BYTES_BY_UNIT: Mapping[str, int] = {"B": 1, "KiB": 1024, "MiB": 1024**2, "GiB": 1024**3}
MAXIMUM_PORT = 65_535
WRONG_UNIT = "wrong_unit"
NO_LIMIT = "none"

_QUANTITY = re.compile(r"(\d{1,15}(?:\.\d{1,9})?)\s*([A-Za-z]*)", re.ASCII)
_ScaleT = TypeVar("_ScaleT", int, float)


def _parse_quantity(text: object, units: Mapping[str, _ScaleT], kind: str) -> float:
    match = _QUANTITY.fullmatch(str(text).strip())
    if match is None:
        example = f"10 {list(units)[-2]}"
        context = {"kind": kind, "example": example}
        raise PydanticCustomError("quantity", "a {kind} such as {example} is expected", context)
    unit = match.group(2)
    if unit not in units:
        raise PydanticCustomError(WRONG_UNIT, "one of {units}", {"units": tuple(units)})
    return float(match.group(1)) * units[unit]


def parse_duration(text: object) -> float:
    """Parse a duration such as "500 ms" and return it in seconds."""
    return _parse_quantity(text, SECONDS_BY_UNIT, "duration")


def parse_optional_duration(text: object) -> float | None:
    """Parse a duration and return it in seconds, or None for "none"."""
    return None if str(text).strip() == NO_LIMIT else parse_duration(text)


def parse_size(text: object) -> int:
    """Parse a size such as "256 KiB" and return it in bytes."""
    return int(_parse_quantity(text, BYTES_BY_UNIT, "size"))


def parse_address(text: object) -> Address:
    """Parse an endpoint such as "127.0.0.1:4433" or "[::1]:4433"."""
    host, separator, port = str(text).strip().rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise _invalid_address() from None
    if not separator or (number.version == 6) != bracketed:
        raise _invalid_address()
    if not (port.isascii() and port.isdigit()) or not 1 <= int(port[:6]) <= MAXIMUM_PORT:
        raise _invalid_address()
    return Address(str(number), int(port))


def parse_list(text: object) -> tuple[str, ...]:
    """Return the items of a comma-separated list; an empty text is an empty list."""
    return tuple(part.strip() for part in str(text).split(",") if part.strip())


def _invalid_address() -> PydanticCustomError:
    return PydanticCustomError(
        "address", "an IP number and port such as 127.0.0.1:4433 is expected"
    )


def _parse_addresses(text: object) -> tuple[Address, ...]:
    return tuple(parse_address(part) for part in parse_list(text))


def _parse_methods(text: object) -> tuple[str, ...]:
    return tuple(part.upper() for part in parse_list(text))


Seconds = Annotated[float, BeforeValidator(parse_duration), Field(gt=0, allow_inf_nan=False)]
OptionalSeconds = Annotated[float | None, BeforeValidator(parse_optional_duration)]
Bytes = Annotated[int, BeforeValidator(parse_size), Field(gt=0)]
Endpoint = Annotated[Address, BeforeValidator(parse_address)]
Endpoints = Annotated[tuple[Address, ...], BeforeValidator(_parse_addresses)]
Words = Annotated[tuple[str, ...], BeforeValidator(parse_list)]
Methods = Annotated[tuple[str, ...], BeforeValidator(_parse_methods), Field(min_length=1)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
