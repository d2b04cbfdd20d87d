"""Messages between processes about the configuration; a tag is never reused."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from ..wire import Address

MAXIMUM_NAME_CHARACTERS = 63
DIGEST_CHARACTERS = 32
MAXIMUM_REVISION = 2**63 - 1
MAXIMUM_CONTACT_AGE_MS = 2**31
MAXIMUM_NAMES = 4000
MAXIMUM_HOST_CHARACTERS = 45
MAXIMUM_PORT = 65_535
NO_REVISION = 0

Rank: TypeAlias = tuple[int, str]


def _require(condition: bool, field: str) -> None:
    if not condition:
        raise ValueError(field)


def _is_rank(revision: int, digest: str) -> bool:
    length = DIGEST_CHARACTERS if revision else 0
    return NO_REVISION <= revision <= MAXIMUM_REVISION and len(digest) == length


def _is_endpoint(pair: tuple[object, ...]) -> bool:
    if len(pair) != 2:
        return False
    host, port = pair
    return (
        isinstance(host, str)
        and len(host) <= MAXIMUM_HOST_CHARACTERS
        and type(port) is int
        and 0 < port <= MAXIMUM_PORT
    )


def _check_services(services: tuple[tuple[str, bytes], ...]) -> None:
    for each in services:
        _require(type(each) is tuple and len(each) == 2, "services")
        _require(type(each[0]) is str and type(each[1]) is bytes, "services")


def _check_names(names: tuple[str, ...]) -> None:
    _require(len(names) <= MAXIMUM_NAMES, "names")
    _require(all(type(name) is str for name in names), "names")


@dataclass(frozen=True, slots=True)
class Announcement:
    """The state of one process, sent as one datagram.

    Attributes:
        sender: name of the process.
        revision: the highest it holds, `NO_REVISION` for none.
        digest: of that revision's content, "" for none.
        settled: whether it is in force there; a process that just started holds it back.
        contact_age_ms: time since the platform's latest response to any process, as far as the
            sender knows; None if it knows of none.
        relay: TCP endpoint that serves the content.
        answer_wanted: whether the receiver should reply with its own announcement.
    """

    sender: str
    revision: int
    digest: str
    settled: bool
    contact_age_ms: int | None
    relay: Address
    answer_wanted: bool

    def __post_init__(self) -> None:
        age = self.contact_age_ms
        if not (
            0 < len(self.sender) <= MAXIMUM_NAME_CHARACTERS
            and _is_rank(self.revision, self.digest)
            and (age is None or 0 <= age <= MAXIMUM_CONTACT_AGE_MS)
            and _is_endpoint(self.relay)
        ):
            raise ValueError(self.sender)

    @property
    def rank(self) -> Rank | None:
        """Return the key by which publications are ordered, or None if the sender holds none."""
        return (self.revision, self.digest) if self.revision else None


@dataclass(frozen=True, slots=True)
class HeadRequest:
    """Requests the head, and the services changed since a revision if they are few.

    Attributes:
        revision: the highest that the requester holds, `NO_REVISION` for none.
    """

    revision: int
    digest: str

    def __post_init__(self) -> None:
        _require(_is_rank(self.revision, self.digest), "revision")


@dataclass(frozen=True, slots=True)
class HeadResponse:
    """The head in its published format, and values of changed services by name."""

    head: bytes
    services: tuple[tuple[str, bytes], ...]

    def __post_init__(self) -> None:
        _check_services(self.services)


@dataclass(frozen=True, slots=True)
class IndexRequest:
    """Requests the index entries whose name sorts after `after`."""

    after: str


@dataclass(frozen=True, slots=True)
class IndexResponse:
    """Names and digests in order of name; an empty response marks the end."""

    entries: tuple[tuple[str, str], ...]

    def __post_init__(self) -> None:
        for each in self.entries:
            _require(type(each) is tuple and len(each) == 2, "entries")
            _require(type(each[0]) is str and type(each[1]) is str, "entries")


@dataclass(frozen=True, slots=True)
class ServicesRequest:
    """Requests the values of services by name."""

    names: tuple[str, ...]

    def __post_init__(self) -> None:
        _check_names(self.names)


@dataclass(frozen=True, slots=True)
class ServicesResponse:
    """The first of the requested values, as many as fit; the rest must be requested again."""

    services: tuple[tuple[str, bytes], ...]

    def __post_init__(self) -> None:
        _check_services(self.services)


@dataclass(frozen=True, slots=True)
class NoConfiguration:
    """The responding process holds no configuration yet."""


ConfigurationMessage: TypeAlias = (
    Announcement
    | HeadRequest
    | HeadResponse
    | IndexRequest
    | IndexResponse
    | ServicesRequest
    | ServicesResponse
    | NoConfiguration
)
ConfigurationRequest: TypeAlias = HeadRequest | IndexRequest | ServicesRequest
ConfigurationResponse: TypeAlias = HeadResponse | IndexResponse | ServicesResponse | NoConfiguration

CONFIGURATION_TYPES: Mapping[int, type[Any]] = {
    30: Announcement,
    31: HeadRequest,
    32: HeadResponse,
    33: IndexRequest,
    34: IndexResponse,
    35: ServicesRequest,
    36: ServicesResponse,
    37: NoConfiguration,
}
