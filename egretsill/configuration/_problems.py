"""Errors in an INI file, each with its own type, the file, the section and the key."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in one file.

    Attributes:
        file: path as it was given.
        section: name in brackets, or "" if the error is outside any section.
        key: name left of the equals sign, or "" if the error concerns the whole section.
    """

    file: str
    section: str
    key: str

    @property
    def reason(self) -> str:
        """Return a description of the error, without its location."""
        return "is wrong"

    @property
    def message(self) -> str:
        """Return the location and the description of the error."""
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{self.file}:{section}{key}: {self.reason}"


@dataclass(frozen=True, slots=True)
class UnreadableFile(Problem):
    """A file that can't be opened or isn't UTF-8 text."""

    cause: str

    @property
    def reason(self) -> str:
        return f"can't be read ({self.cause})"


@dataclass(frozen=True, slots=True)
class MalformedLine(Problem):
    """A line that is neither a section, a key nor a comment."""

    line: int

    @property
    def reason(self) -> str:
        return f"line {self.line} is neither a section nor `key = value`"


@dataclass(frozen=True, slots=True)
class DuplicateSection(Problem):
    """The same section twice in one file."""

    @property
    def reason(self) -> str:
        return "appears twice in this file"


@dataclass(frozen=True, slots=True)
class DuplicateKey(Problem):
    """The same key twice in one section of one file."""

    @property
    def reason(self) -> str:
        return "appears twice in this section"


@dataclass(frozen=True, slots=True)
class UnknownSection(Problem):
    """A section that this kind of file doesn't have."""

    @property
    def reason(self) -> str:
        return "is not a section of this kind of file"


@dataclass(frozen=True, slots=True)
class MissingSection(Problem):
    """A required section that is missing."""

    @property
    def reason(self) -> str:
        return "is required"


@dataclass(frozen=True, slots=True)
class UnknownKey(Problem):
    """A key that the section doesn't have."""

    @property
    def reason(self) -> str:
        return "is not a key of this section"


@dataclass(frozen=True, slots=True)
class MissingKey(Problem):
    """A required key that is missing."""

    @property
    def reason(self) -> str:
        return "is required"


@dataclass(frozen=True, slots=True)
class InvalidValue(Problem):
    """A value that is not valid for the key.

    Attributes:
        value: as written.
        expected: description of the valid values.
    """

    value: str
    expected: str

    @property
    def reason(self) -> str:
        return f"{self.value!r} is not valid: {self.expected}"


@dataclass(frozen=True, slots=True)
class WrongUnit(Problem):
    """A duration or size without a unit, or with one that is not valid for the key."""

    value: str
    units: Sequence[str]

    @property
    def reason(self) -> str:
        return f"{self.value!r} needs one of the units {', '.join(self.units)}"


@dataclass(frozen=True, slots=True)
class DuplicateNumber(Problem):
    """A number that another section already has."""

    number: int
    other_section: str

    @property
    def reason(self) -> str:
        return f"{self.number} is already the number of [{self.other_section}]"


@dataclass(frozen=True, slots=True)
class DuplicateAddress(Problem):
    """An endpoint that another section or key already has."""

    address: str
    other_section: str
    other_key: str

    @property
    def reason(self) -> str:
        return f"{self.address} is already {self.other_key} of [{self.other_section}]"


@dataclass(frozen=True, slots=True)
class DuplicateClass(Problem):
    """A request class with a method and path that another class of the service already has."""

    other_section: str

    @property
    def reason(self) -> str:
        return f"has a method and path that [{self.other_section}] already has"


@dataclass(frozen=True, slots=True)
class UnknownService(Problem):
    """A class or target of a service that isn't declared."""

    service: str

    @property
    def reason(self) -> str:
        return f"there is no [service {self.service}]"


@dataclass(frozen=True, slots=True)
class TargetInTwoServices(Problem):
    """A target declared for more than one service."""

    services: Sequence[str]

    @property
    def reason(self) -> str:
        return f"a target belongs to one service, not to {' and '.join(self.services)}"


@dataclass(frozen=True, slots=True)
class ServiceWithoutClass(Problem):
    """A service for which no request class is declared."""

    @property
    def reason(self) -> str:
        return "has no [class SERVICE/NAME], so every request to it would be refused"


@dataclass(frozen=True, slots=True)
class ServiceWithoutTarget(Problem):
    """A service for which no target is declared."""

    @property
    def reason(self) -> str:
        return "has no [target NAME], so nothing could serve it"
