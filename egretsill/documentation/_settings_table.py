"""The keys of a settings section as a Markdown table."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from pydantic import BeforeValidator
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from ..configuration.ini import SectionModel, parse_duration, parse_optional_duration, parse_size

BYTES_IN_KIB = 1024
MILLISECONDS_IN_SECOND = 1000

_HEADING = "| Key | Default | Meaning |\n| --- | --- | --- |\n"
_REQUIRED = "required"


def settings_table(model: type[SectionModel], meanings: Mapping[str, str]) -> str:
    """Return a table with one row for each key of a section.

    Args:
        model: model of the section.
        meanings: meaning of each key.
    """
    rows = [
        f"| `{key}` | {_default(field)} | {_sentence(meanings[key])} |\n"
        for key, field in model.model_fields.items()
    ]
    return _HEADING + "".join(rows)


def _default(field: FieldInfo) -> str:
    value = field.default
    if value is PydanticUndefined:
        return _REQUIRED
    if value is None or value == ():
        return "none"
    if isinstance(value, enum.Enum):
        return f"`{value.value}`"
    parsers = {each.func for each in field.metadata if isinstance(each, BeforeValidator)}
    if parsers & {parse_duration, parse_optional_duration}:
        return f"`{_duration(value)}`"
    if parse_size in parsers:
        return f"`{value // BYTES_IN_KIB} KiB`"
    return f"`{value}`"


def _duration(seconds: float) -> str:
    if seconds < 1:
        return f"{seconds * MILLISECONDS_IN_SECOND:g} ms"
    return f"{seconds:g} s"


def _sentence(text: str) -> str:
    return text[:1].upper() + text[1:].removesuffix(".") + "."
