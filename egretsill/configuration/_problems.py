"""Mistakes in an INI file, each a type of its own that names the file, section and key."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in one file.

    Attributes:
        file: path as it was given.
        section: name in brackets, or "" if the mistake lies outside any section.
        key: name left of the equals sign, or "" if the mistake is the section's.
    """

    file: str
    section: str
    key: str

    @property
    def reason(self) -> str:
        """Return what is wrong, without the place."""
        return "is wrong"

    @property
    def message(self) -> str:
        """Return the place and what is wrong there."""
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{self.file}:{section}{key}: {self.reason}"


@dataclass(frozen=True, slots=True)
class UnreadableFile(Problem):
    """The file can't be opened or is no UTF-8 text."""

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
        return "stands twice in this file"


@dataclass(frozen=True, slots=True)
class DuplicateKey(Problem):
    """The same key twice in one section of one file."""

    @property
    def reason(self) -> str:
        return "stands twice in this section"


@dataclass(frozen=True, slots=True)
class UnknownSection(Problem):
    """A section that this kind of file doesn't have."""

    @property
    def reason(self) -> str:
        return "is no section of this kind of file"


@dataclass(frozen=True, slots=True)
class MissingSection(Problem):
    """A section that must be there and isn't."""

    @property
    def reason(self) -> str:
        return "is required"


@dataclass(frozen=True, slots=True)
class UnknownKey(Problem):
    """A key that the section doesn't have."""

    @property
    def reason(self) -> str:
        return "is no key of this section"


@dataclass(frozen=True, slots=True)
class MissingKey(Problem):
    """A key that must be there and isn't."""

    @property
    def reason(self) -> str:
        return "is required"


@dataclass(frozen=True, slots=True)
class InvalidValue(Problem):
    """A value that the key doesn't take.

    Attributes:
        value: as written.
        expected: what the key takes.
    """

    value: str
    expected: str

    @property
    def reason(self) -> str:
        return f"{self.value!r} is not valid: {self.expected}"


@dataclass(frozen=True, slots=True)
class WrongUnit(Problem):
    """A duration or size without a unit, or with one that the key doesn't take."""

    value: str
    units: Sequence[str]

    @property
    def reason(self) -> str:
        return f"{self.value!r} needs one of the units {', '.join(self.units)}"


@dataclass(frozen=True, slots=True)
class DuplicateNumber(Problem):
    """A number that another section has."""

    number: int
    other_section: str

    @property
    def reason(self) -> str:
        return f"{self.number} is the number of [{self.other_section}] already"


@dataclass(frozen=True, slots=True)
class DuplicateAddress(Problem):
    """An endpoint that another section or key has."""

    address: str
    other_section: str
    other_key: str

    @property
    def reason(self) -> str:
        return f"{self.address} is {self.other_key} of [{self.other_section}] already"


@dataclass(frozen=True, slots=True)
class DuplicateClass(Problem):
    """A request class that takes a method and path which another class of the service takes."""

    other_section: str

    @property
    def reason(self) -> str:
        return f"takes a method and path that [{self.other_section}] takes already"


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
