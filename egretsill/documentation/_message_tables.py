"""The messages between processes as Markdown tables, one for each protocol."""

from __future__ import annotations

import dataclasses
import inspect
from collections.abc import Mapping

from ..configuration import CONFIGURATION_TYPES
from ..directory import DIRECTORY_TYPES
from ..membership import MEMBERSHIP_TYPES
from ..placement import LOAD_TYPES
from ..requests import RELAY_TYPES

PROTOCOLS: Mapping[str, Mapping[int, type]] = {
    "relay": RELAY_TYPES,
    "membership": MEMBERSHIP_TYPES,
    "load": LOAD_TYPES,
    "configuration": CONFIGURATION_TYPES,
    "directory": DIRECTORY_TYPES,
}

_HEADING = "| Tag | Message | Fields | Meaning |\n| --- | --- | --- | --- |\n"


def message_table(types: Mapping[int, type]) -> str:
    """Return a table with one row for each message data class, sorted by tag."""
    return _HEADING + "".join(_row(tag, message) for tag, message in sorted(types.items()))


def _row(tag: int, message: type) -> str:
    fields = ", ".join(f"`{each.name}`" for each in dataclasses.fields(message))
    meaning = (inspect.getdoc(message) or "").partition("\n")[0]
    return f"| {tag} | `{message.__name__}` | {fields or 'none'} | {meaning} |\n"
