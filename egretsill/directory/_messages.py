"""Messages that carry directory content between processes, as msgpack arrays."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from ._change_log import ContentChanges, RouteChanges
from ._model import Route, RouteTable, ServiceShare, Target, TargetPhase
from ._revision import REVISION_LIMIT, StoreRevision


@dataclass(frozen=True, slots=True)
class ContentRequest:
    """A request for a peer's content.

    Attributes:
        version: configuration version of the requester, which needs only a newer one.
        revision: era and number of the store revision of the requester's content, which needs only
            later changes.
    """

    version: int
    revision: tuple[int, int]


@dataclass(frozen=True, slots=True)
class ContentResponse:
    """A peer's complete content.

    Attributes:
        revision: era and number of the store's revision at its last change.
        age_milliseconds: time since a read of the store last confirmed it.
        table: version, idle time in seconds and routes; None if the requester has it.
        targets: all entries in force.
    """

    revision: tuple[int, int]
    age_milliseconds: int
    table: tuple[Any, ...] | None
    targets: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ContentUpdate:
    """Changes since a revision; sent on request, and unrequested to the sender's subscribers.

    Attributes:
        revision: era and number of the store's revision at the last change.
        age_milliseconds: time since a read of the store last confirmed it.
        base: era and number of the revision to which the changes apply; the era is the same.
        routes: base versions, version, idle time in seconds, changed routes and removed addresses;
            None if the configuration is the same.
        targets: entries that were written.
        removed: names of entries that no longer exist.
    """

    revision: tuple[int, int]
    age_milliseconds: int
    base: tuple[int, int]
    routes: tuple[Any, ...] | None
    targets: tuple[Any, ...]
    removed: tuple[str, ...]


DIRECTORY_TYPES: Mapping[int, type] = {43: ContentRequest, 44: ContentResponse, 45: ContentUpdate}
DirectoryMessage: TypeAlias = ContentRequest | ContentResponse | ContentUpdate


class MalformedContent(Exception):
    """A peer's content could not be decoded.

    Attributes:
        part: the part that could not be decoded.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"malformed {part}")
        self.part = part


def pack_revision(revision: StoreRevision) -> tuple[int, int]:
    """Pack a revision of the store into a plain tuple."""
    return revision.era, revision.number


def unpack_revision(packed: tuple[Any, ...]) -> StoreRevision:
    """Unpack a revision of the store from a plain tuple.

    Raises:
        MalformedContent: if it is not a valid revision.
    """
    if len(packed) != 2 or not all(
        type(each) is int and 0 <= each < REVISION_LIMIT for each in packed
    ):
        raise MalformedContent("revision")
    return StoreRevision(*packed)


def pack_table(table: RouteTable) -> tuple[Any, ...]:
    """Pack a route table into plain tuples."""
    return table.version, table.idle_seconds, _pack_routes(table.routes.values())


def unpack_table(packed: tuple[Any, ...]) -> RouteTable:
    """Unpack a route table from plain tuples.

    Raises:
        MalformedContent: if they are not a valid route table.
    """
    try:
        version, idle_seconds, packed_routes = packed
        routes = _unpack_routes(packed_routes)
        table = RouteTable(version, {(each.host, each.port): each for each in routes}, idle_seconds)
    except (TypeError, ValueError) as error:
        raise MalformedContent("route table") from error
    if not isinstance(version, int) or not all(each.shares for each in routes):
        raise MalformedContent("route table")
    return table


def pack_changes(changes: ContentChanges, age_milliseconds: int) -> ContentUpdate:
    """Pack changes into a message.

    Args:
        changes: the changes since a revision.
        age_milliseconds: time since a read of the store last confirmed the result.
    """
    routes = changes.routes
    return ContentUpdate(
        pack_revision(changes.revision),
        age_milliseconds,
        pack_revision(changes.base),
        (
            (
                tuple(routes.base_versions),
                routes.version,
                routes.idle_seconds,
                _pack_routes(routes.changed),
                tuple(routes.removed),
            )
            if routes is not None
            else None
        ),
        pack_targets(changes.targets),
        tuple(changes.removed),
    )


def unpack_changes(message: ContentUpdate) -> ContentChanges:
    """Unpack the changes in a message.

    Raises:
        MalformedContent: if they are not valid.
    """
    base, revision = unpack_revision(message.base), unpack_revision(message.revision)
    if base.era != revision.era:
        raise MalformedContent("eras")
    routes = None
    if message.routes is not None:
        try:
            base_versions, version, idle_seconds, changed, removed = message.routes
            routes = RouteChanges(
                tuple(base_versions),
                version,
                idle_seconds,
                _unpack_routes(changed),
                [(host, port) for host, port in removed],
            )
        except (TypeError, ValueError) as error:
            raise MalformedContent("route changes") from error
        if not all(type(each) is int for each in (version, *routes.base_versions)):
            raise MalformedContent("route changes")
        if not all(each.shares for each in routes.changed):
            raise MalformedContent("route changes")
    if not all(isinstance(each, str) for each in message.removed):
        raise MalformedContent("removed targets")
    return ContentChanges(base, revision, routes, unpack_targets(message.targets), message.removed)


def pack_targets(targets: Iterable[Target]) -> tuple[Any, ...]:
    """Pack targets into plain tuples."""
    return tuple(
        (
            each.name,
            each.host,
            each.port,
            each.service,
            each.failure_domain,
            each.phase.value,
            each.capacity,
            each.warmup_seconds,
            each.started_milliseconds,
            pack_revision(each.revision),
            each.sequence,
        )
        for each in targets
    )


def unpack_targets(packed: tuple[Any, ...]) -> tuple[Target, ...]:
    """Unpack targets from plain tuples.

    Raises:
        MalformedContent: if one of them is not a valid target.
    """
    try:
        return tuple(_unpack_target(*fields) for fields in packed)
    except (TypeError, ValueError) as error:
        raise MalformedContent("targets") from error


def _pack_routes(routes: Iterable[Route]) -> tuple[Any, ...]:
    return tuple(
        (
            each.name,
            each.host,
            each.port,
            tuple((share.service, share.weight) for share in each.shares),
            each.latency_objective_seconds,
            each.deadline_seconds,
            each.priority,
        )
        for each in routes
    )


def _unpack_routes(packed: Iterable[tuple[Any, ...]]) -> list[Route]:
    return [
        Route(name, host, port, tuple(ServiceShare(*share) for share in shares), *times)
        for name, host, port, shares, *times in packed
    ]


def _unpack_target(
    name: str,
    host: int,
    port: int,
    service: str,
    failure_domain: str,
    phase: str,
    capacity: int,
    warmup_seconds: float,
    started_milliseconds: int,
    revision: tuple[int, int],
    sequence: int,
) -> Target:
    return Target(
        name,
        host,
        port,
        service,
        failure_domain,
        TargetPhase(phase),
        capacity,
        warmup_seconds,
        started_milliseconds,
        unpack_revision(revision),
        sequence,
    )
