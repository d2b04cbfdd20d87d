"""Content of a directory between processes, as msgpack arrays."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from ._change_log import ContentChanges, RouteChanges
from ._model import Route, RouteTable, ServiceShare, Target, TargetPhase


@dataclass(frozen=True, slots=True)
class ContentWanted:
    """Asks a peer for its content.

    Attributes:
        version: configuration version that the asker has; it needs only a newer one.
        revision: store revision of the asker's content; what came after it is enough.
    """

    version: int
    revision: int


@dataclass(frozen=True, slots=True)
class ContentFound:
    """A peer's content.

    Attributes:
        revision: the store's revision at its last change.
        age_milliseconds: since when a read confirmed it.
        table: version, idle time in seconds and routes; None if the asker has it.
        targets: all entries in force.
    """

    revision: int
    age_milliseconds: int
    table: tuple[Any, ...] | None
    targets: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ContentChanged:
    """What came after a revision; also told unasked to those who hear the sender.

    Attributes:
        revision: the store's revision at the last change.
        age_milliseconds: since when a read confirmed it.
        base: revision that the changes are built on.
        routes: base version, version, idle time in seconds, changed routes and removed addresses;
            None if the configuration is the same.
        targets: entries that were written.
        removed: names of entries that are gone.
    """

    revision: int
    age_milliseconds: int
    base: int
    routes: tuple[Any, ...] | None
    targets: tuple[Any, ...]
    removed: tuple[str, ...]


DIRECTORY_TYPES: Mapping[int, type] = {40: ContentWanted, 41: ContentFound, 42: ContentChanged}
DirectoryMessage: TypeAlias = ContentWanted | ContentFound | ContentChanged


class MalformedContent(Exception):
    """A peer's content isn't as declared.

    Attributes:
        part: what could not be decoded.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"malformed {part}")
        self.part = part


def pack_table(table: RouteTable) -> tuple[Any, ...]:
    """Return a route table as plain tuples."""
    return table.version, table.idle_seconds, _pack_routes(table.routes.values())


def unpack_table(packed: tuple[Any, ...]) -> RouteTable:
    """Return the route table that plain tuples stand for.

    Raises:
        MalformedContent: if they stand for none.
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


def pack_changes(changes: ContentChanges, age_milliseconds: int) -> ContentChanged:
    """Return changes as a message.

    Args:
        changes: what came after a revision.
        age_milliseconds: since when a read confirmed the result.
    """
    routes = changes.routes
    return ContentChanged(
        changes.revision,
        age_milliseconds,
        changes.base,
        (
            (
                routes.base_version,
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


def unpack_changes(message: ContentChanged) -> ContentChanges:
    """Return the changes that a message stands for.

    Raises:
        MalformedContent: if it stands for none.
    """
    routes = None
    if message.routes is not None:
        try:
            base_version, version, idle_seconds, changed, removed = message.routes
            routes = RouteChanges(
                base_version,
                version,
                idle_seconds,
                _unpack_routes(changed),
                [(host, port) for host, port in removed],
            )
        except (TypeError, ValueError) as error:
            raise MalformedContent("route changes") from error
        if type(version) is not int or type(base_version) is not int:
            raise MalformedContent("route changes")
        if not all(each.shares for each in routes.changed):
            raise MalformedContent("route changes")
    if not all(isinstance(each, str) for each in message.removed):
        raise MalformedContent("removed targets")
    return ContentChanges(
        message.base, message.revision, routes, unpack_targets(message.targets), message.removed
    )


def pack_targets(targets: Iterable[Target]) -> tuple[Any, ...]:
    """Return targets as plain tuples."""
    return tuple(
        (
            each.name,
            each.host,
            each.port,
            each.service,
            each.failure_domain,
            each.phase.value,
            each.capacity,
            each.cold_seconds,
            each.started_milliseconds,
            each.revision,
        )
        for each in targets
    )


def unpack_targets(packed: tuple[Any, ...]) -> tuple[Target, ...]:
    """Return the targets that plain tuples stand for.

    Raises:
        MalformedContent: if one of them stands for none.
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
            each.aim_seconds,
            each.limit_seconds,
            each.urgency,
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
    cold_seconds: float,
    started_milliseconds: int,
    revision: int,
) -> Target:
    return Target(
        name,
        host,
        port,
        service,
        failure_domain,
        TargetPhase(phase),
        capacity,
        cold_seconds,
        started_milliseconds,
        revision,
    )
