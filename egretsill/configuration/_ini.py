"""Layered INI files, validated by pydantic models, with the source file of each value."""

from __future__ import annotations

import configparser
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from ._problems import (
    DuplicateKey,
    DuplicateSection,
    InvalidValue,
    MalformedLine,
    MissingKey,
    Problem,
    UnknownKey,
    UnreadableFile,
    WrongUnit,
)

NO_DEFAULT_SECTION = "\0"

ModelT = TypeVar("ModelT", bound=BaseModel)


class SectionModel(BaseModel):
    """Base of the section models: unknown keys are rejected, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@dataclass(frozen=True, slots=True)
class Entry:
    """One value and the file that it came from."""

    value: str
    file: str


@dataclass(slots=True)
class Section:
    """One section over all layers.

    Attributes:
        file: the first file that has the section.
        replaced: entries that a later layer replaced, by key.
    """

    name: str
    file: str
    entries: dict[str, Entry] = field(default_factory=dict)
    replaced: dict[str, Entry] = field(default_factory=dict)

    def file_of(self, key: str) -> str:
        """Return the file that a key's value came from."""
        entry = self.entries.get(key)
        return entry.file if entry else self.file

    def build(self, model: type[ModelT], problems: list[Problem]) -> ModelT | None:
        """Return the section as a model, or None after adding its errors to `problems`."""
        values = {key: entry.value for key, entry in self.entries.items()}
        try:
            return model.model_validate(values)
        except ValidationError as error:
            problems.extend(self._to_problem(dict(each)) for each in error.errors())
            return None

    def _to_problem(self, error: Mapping[str, Any]) -> Problem:
        key = str(error["loc"][0]) if error["loc"] else ""
        place = (self.file_of(key), self.name, key)
        value = self.entries[key].value if key in self.entries else ""
        match error["type"]:
            case "extra_forbidden":
                return UnknownKey(*place)
            case "missing":
                return MissingKey(*place)
            case "wrong_unit":
                return WrongUnit(*place, value, tuple(error["ctx"]["units"]))
            case _:
                return InvalidValue(*place, value, str(error["msg"]))


def read_layers(paths: Sequence[Path], problems: list[Problem]) -> dict[str, Section]:
    """Return the sections of all files; a later file's values replace those of an earlier one.

    Syntax errors in a file are added to `problems`.
    """
    sections: dict[str, Section] = {}
    for path in paths:
        for name, values in _read_file(path, problems).items():
            section = sections.setdefault(name, Section(name, str(path)))
            for key, value in values.items():
                if key in section.entries:
                    section.replaced[key] = section.entries[key]
                section.entries[key] = Entry(value, str(path))
    return sections


def _read_file(path: Path, problems: list[Problem]) -> Mapping[str, Mapping[str, str]]:
    file = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problems.append(UnreadableFile(file, "", "", type(error).__name__))
        return {}
    problems.extend(_find_duplicates(file, text))
    parser = _new_parser()
    try:
        parser.read_string(text, file)
    except configparser.MissingSectionHeaderError as error:
        problems.append(MalformedLine(file, "", "", error.lineno))
    except configparser.ParsingError as error:
        problems.extend(MalformedLine(file, "", "", line) for line, _ in error.errors)
    return {name: dict(parser[name]) for name in parser.sections()}


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        strict=False,
        interpolation=None,
        default_section=NO_DEFAULT_SECTION,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser


def _find_duplicates(file: str, text: str) -> Sequence[Problem]:
    """Return all duplicate sections and keys; the parser itself would stop at the first one."""
    seen: set[tuple[str, str]] = set()
    problems: list[Problem] = []
    section = ""
    for line in text.splitlines():
        if not line.strip() or line[0].isspace() or line[0] in "#;":
            continue
        header = configparser.ConfigParser.SECTCRE.match(line)
        key = "" if header else line.partition("=")[0].strip()
        section = header["header"] if header else section
        if (section, key) in seen:
            kind = DuplicateSection if header else DuplicateKey
            problems.append(kind(file, section, key))
        seen.add((section, key))
    return problems
