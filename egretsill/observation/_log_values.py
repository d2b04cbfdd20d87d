"""Values of log lines in a form that the JSON encoder can write."""

from __future__ import annotations

import math
from typing import TypeAlias

MAXIMUM_TEXT_CHARACTERS = 4_000
LARGEST_INTEGER = 2**63 - 1  # of the JSON encoder
UNPRINTABLE = "unprintable"

LogValue: TypeAlias = str | int | float | bool | None


def printable(value: object) -> LogValue:
    """Return a value as it is if the JSON encoder can write it, else a bounded text for it."""
    match value:
        case None | bool():
            return value
        case str():
            return _printable_text(value)
        case int():
            return value if abs(value) <= LARGEST_INTEGER else _printable_text(hex(value))
        case float():
            return value if math.isfinite(value) else str(value)
    try:
        return _printable_text(repr(value))
    except Exception:  # Its text may be made by code that fails too.
        return f"{UNPRINTABLE} {type(value).__name__}"


def _printable_text(text: str) -> str:
    if len(text) > MAXIMUM_TEXT_CHARACTERS:
        text = text[:MAXIMUM_TEXT_CHARACTERS]
    if text.isascii():
        return text
    return text.encode("utf-8", "backslashreplace").decode("utf-8")
