"""Reads the values of a settings file and collects all of its faults."""

from __future__ import annotations

import configparser
import stat
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

MAXIMUM_FILE_BYTES = 1024 * 1024
MAXIMUM_PROBLEM_CHARACTERS = 200  # of one fault; a parser's message may quote the whole file

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of a settings file.

    Attributes:
        section: its section, empty if it concerns the whole file.
        key: its key, empty if it concerns the whole section.
        problem: what is wrong.
    """

    section: str
    key: str
    problem: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.key}".strip() if self.section else "file"
        return f"{location}: {self.problem}"


class NodeSettingsRejected(Exception):
    """The settings file can't be read or is invalid.

    Attributes:
        path: the file.
        faults: all its faults, at least one.
    """

    def __init__(self, path: Path, faults: Sequence[SettingsFault]) -> None:
        super().__init__(f"{path}: {'; '.join(map(str, faults))}")
        self.path = path
        self.faults = tuple(faults)

    @property
    def key(self) -> str:
        """Return the key of the first fault."""
        return self.faults[0].key


class SettingsReader:
    """Reads values of an INI file; `raise_if_faulty` reports all faults at once.

    Args:
        path: the file.

    Raises:
        NodeSettingsRejected: if the file can't be read or parsed.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._parser = configparser.ConfigParser(interpolation=None)
        self._faults: list[SettingsFault] = []
        self._defaulted: list[str] = []
        try:
            self._parser.read_string(_read_text(path))
        except OSError as error:
            raise self._rejected(error.strerror or str(error)) from error
        except UnicodeError as error:
            raise self._rejected(str(error)) from error
        except configparser.Error as error:
            raise self._rejected(error.message) from error

    @property
    def defaulted(self) -> Sequence[str]:
        """Return the keys that were read as their defaults, each with its section and a dot."""
        return tuple(self._defaulted)

    def required(
        self, section: str, key: str, parse: Callable[[str], _Value], placeholder: _Value
    ) -> _Value:
        """Return a parsed value.

        Args:
            section: its section.
            key: its key.
            parse: parses a value that isn't empty; a ValueError of it says what is expected.
            placeholder: returned if there is a fault.
        """
        text = self._text(section, key)
        if not text:
            self._faults.append(SettingsFault(section, key, "missing or empty"))
            return placeholder
        return self._parse(section, key, parse, placeholder, text)

    def optional(
        self, section: str, key: str, parse: Callable[[str], _Value], default: _Value
    ) -> _Value:
        """Return a parsed value, or its default if it is missing or empty."""
        text = self._text(section, key)
        if not text:
            self._defaulted.append(f"{section}.{key}")
            return default
        return self._parse(section, key, parse, default, text)

    def adjustable(
        self, section: str, key: str, parse: Callable[[str], _Value], default: _Value
    ) -> _Value:
        """Return a parsed value, or its default, which is what most deployments want.

        Its lack is no sign of an incomplete file, so it isn't noted.
        """
        text = self._text(section, key)
        return self._parse(section, key, parse, default, text) if text else default

    def listed(self, section: str, key: str, parse: Callable[[str], _Value]) -> Sequence[_Value]:
        """Return the parsed values of a list separated by commas, which may be empty."""
        values = []
        for text in self._text(section, key).split(","):
            if text.strip():
                try:
                    values.append(parse(text.strip()))
                except ValueError as error:
                    self._faults.append(SettingsFault(section, key, str(error)))
        return tuple(values)

    def raise_if_faulty(self) -> None:
        """Raise an error that names all faults found so far.

        Raises:
            NodeSettingsRejected: if there are any.
        """
        if self._faults:
            raise NodeSettingsRejected(self._path, self._faults)

    def _text(self, section: str, key: str) -> str:
        return self._parser.get(section, key, fallback="").strip()

    def _parse(
        self,
        section: str,
        key: str,
        parse: Callable[[str], _Value],
        placeholder: _Value,
        text: str,
    ) -> _Value:
        try:
            return parse(text)
        except ValueError as error:
            self._faults.append(SettingsFault(section, key, str(error)))
            return placeholder

    def _rejected(self, problem: str) -> NodeSettingsRejected:
        return NodeSettingsRejected(
            self._path, [SettingsFault("", "", problem[:MAXIMUM_PROBLEM_CHARACTERS])]
        )


def settings_version(path: Path) -> tuple[int, int, int]:
    """Return a value that changes when the file is written or replaced; zeros if there is none."""
    try:
        status = path.stat()
    except OSError:
        return 0, 0, 0
    return status.st_mtime_ns, status.st_size, status.st_ino


def _read_text(path: Path) -> str:
    # Reading from any other kind of file might block or never end.
    if not stat.S_ISREG(path.stat().st_mode):
        raise OSError("not a regular file")
    with path.open("rb") as file:
        content = file.read(MAXIMUM_FILE_BYTES + 1)
    if len(content) > MAXIMUM_FILE_BYTES:
        raise OSError(f"larger than {MAXIMUM_FILE_BYTES} bytes")
    return content.decode("utf-8")
