"""Content of a directory between processes, as msgpack arrays."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from ._model import Route, RouteTable, ServiceShare, Target, TargetPhase


@dataclass(frozen=True, slots=True)
class ContentWanted:
    """Asks a peer for its content.

    Attributes:
        version: configuration version that the asker has; it needs only a newer one.
    """

    version: int


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


DIRECTORY_TYPES: Mapping[int, type] = {40: ContentWanted, 41: ContentFound}
DirectoryMessage: TypeAlias = ContentWanted | ContentFound


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
    routes = tuple(
        (
            each.name,
            each.host,
            each.port,
            tuple((share.service, share.weight) for share in each.shares),
            each.aim_seconds,
            each.limit_seconds,
            each.urgency,
        )
        for each in table.routes.values()
    )
    return table.version, table.idle_seconds, routes


def unpack_table(packed: tuple[Any, ...]) -> RouteTable:
    """Return the route table that plain tuples stand for.

    Raises:
        MalformedContent: if they stand for none.
    """
    try:
        version, idle_seconds, packed_routes = packed
        routes = [
            Route(name, host, port, tuple(ServiceShare(*share) for share in shares), *times)
            for name, host, port, shares, *times in packed_routes
        ]
        table = RouteTable(version, {(each.host, each.port): each for each in routes}, idle_seconds)
    except (TypeError, ValueError) as error:
        raise MalformedContent("route table") from error
    if not isinstance(version, int) or not all(each.shares for each in routes):
        raise MalformedContent("route table")
    return table


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
