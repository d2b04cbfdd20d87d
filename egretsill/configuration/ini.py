"""Tools with which other slices read their own INI files: layers, units and typed errors."""

from ._ini import Entry, Section, SectionModel, read_layers
from ._problems import (
    DuplicateAddress,
    InvalidValue,
    MissingKey,
    MissingSection,
    Problem,
    UnknownKey,
    UnknownSection,
    UnreadableFile,
    WrongUnit,
)
from ._quantities import (
    Bytes,
    Endpoint,
    Endpoints,
    Name,
    OptionalSeconds,
    Seconds,
    parse_address,
    parse_duration,
    parse_list,
    parse_optional_duration,
    parse_size,
)

__all__ = [
    "Bytes",
    "DuplicateAddress",
    "Endpoint",
    "Endpoints",
    "Entry",
    "InvalidValue",
    "MissingKey",
    "MissingSection",
    "Name",
    "OptionalSeconds",
    "Problem",
    "Seconds",
    "Section",
    "SectionModel",
    "UnknownKey",
    "UnknownSection",
    "UnreadableFile",
    "WrongUnit",
    "parse_address",
    "parse_duration",
    "parse_list",
    "parse_optional_duration",
    "parse_size",
    "read_layers",
]
