"""Messages that carry directory content between processes, as msgpack arrays."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from ._change_log import ContentChanges, RouteChanges
from ._model import Route, RouteTable, ServiceShare, Target, TargetPhase, WarmUpTerms
from ._packing import (
    MalformedContent,
    pack_evacuations,
    pack_revision,
    unpack_evacuations,
    unpack_revision,
)
from ._revision import StoreRevision
from ._unusable_entries import UnusableEntry
from ._validity import is_duration, is_endpoint, is_name, is_number, is_rate


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
        table: version, idle time in seconds, routes and warm-up terms; None if the requester has
            it.
        targets: all entries in force.
        evacuations: all evacuated failure domains, each with the revision of its order.
    """

    revision: tuple[int, int]
    age_milliseconds: int
    table: tuple[Any, ...] | None
    targets: tuple[Any, ...]
    evacuations: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class ContentUpdate:
    """Changes since a revision; sent on request, and unrequested to the sender's subscribers.

    Attributes:
        revision: era and number of the store's revision at the last change.
        age_milliseconds: time since a read of the store last confirmed it.
        base: era and number of the revision to which the changes apply; the era is the same.
        routes: base versions, version, idle time in seconds, changed routes, removed addresses and
            all warm-up terms; None if the configuration is the same.
        targets: entries that were written.
        removed: names of entries that no longer exist.
        evacuations: failure domains that were evacuated, each with the revision of its order.
        restored: failure domains that are no longer evacuated.
    """

    revision: tuple[int, int]
    age_milliseconds: int
    base: tuple[int, int]
    routes: tuple[Any, ...] | None
    targets: tuple[Any, ...]
    removed: tuple[str, ...]
    evacuations: tuple[Any, ...] = ()
    restored: tuple[str, ...] = ()


_TARGET_TYPES = (str, int, int, str, str, str, int, float, int, tuple, int)
_PHASES = {each.value: each for each in TargetPhase}

OnUnusable: TypeAlias = Callable[[UnusableEntry], None]
# Releases that took incomplete entries from the store send content under the tags 44 and 45, those
# that know no evacuations under 46 and 47. Their content would take every evacuation back.
DIRECTORY_TYPES: Mapping[int, type] = {43: ContentRequest, 48: ContentResponse, 49: ContentUpdate}
DirectoryMessage: TypeAlias = ContentRequest | ContentResponse | ContentUpdate


def unpack_request(request: ContentRequest) -> tuple[int, StoreRevision]:
    """Return the configuration version and the revision that a requester has.

    Raises:
        MalformedContent: if one of them is not valid.
    """
    if not is_number(request.version):
        raise MalformedContent("version")
    return request.version, unpack_revision(request.revision)


def pack_table(table: RouteTable) -> tuple[Any, ...]:
    """Pack a route table into plain tuples."""
    routes = _pack_routes(table.routes.values())
    return table.version, table.idle_seconds, routes, _pack_warm_up(table.warm_up)


def unpack_table(packed: tuple[Any, ...]) -> RouteTable:
    """Unpack a route table from plain tuples.

    Raises:
        MalformedContent: if they are not a valid route table.
    """
    match packed:
        case (version, idle_seconds, tuple(packed_routes), tuple(warm_up)) if is_number(
            version
        ) and is_duration(idle_seconds):
            routes = _unpack_routes(packed_routes)
            return RouteTable(
                version,
                {(each.host, each.port): each for each in routes},
                idle_seconds,
                _unpack_warm_up(warm_up),
            )
    raise MalformedContent("route table")


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
                _pack_warm_up(routes.warm_up),
            )
            if routes is not None
            else None
        ),
        pack_targets(changes.targets),
        tuple(changes.removed),
        pack_evacuations(changes.evacuations),
        tuple(changes.restored),
    )


def unpack_changes(message: ContentUpdate, on_unusable: OnUnusable) -> ContentChanges:
    """Unpack the changes in a message.

    Args:
        message: the message.
        on_unusable: called with each entry that is passed over, which counts as removed.

    Raises:
        MalformedContent: if they are not valid.
    """
    base, revision = unpack_revision(message.base), unpack_revision(message.revision)
    if base.era != revision.era:
        raise MalformedContent("eras")
    if not all(isinstance(each, str) for each in message.removed):
        raise MalformedContent("removed targets")
    if not all(map(is_name, message.restored)):
        raise MalformedContent("restored failure domains")
    removed = [each for each in message.removed if is_name(each)]

    def note_unusable(entry: UnusableEntry) -> None:
        if is_name(entry.key):
            removed.append(entry.key)
        on_unusable(entry)

    targets = unpack_targets(message.targets, note_unusable)
    routes = _unpack_route_changes(message.routes) if message.routes is not None else None
    evacuations = unpack_evacuations(message.evacuations)
    return ContentChanges(
        base, revision, routes, targets, tuple(removed), evacuations, message.restored
    )


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
            float(each.warmup_seconds),
            each.started_milliseconds,
            pack_revision(each.revision),
            each.sequence,
        )
        for each in targets
    )


def unpack_targets(packed: tuple[Any, ...], on_unusable: OnUnusable) -> tuple[Target, ...]:
    """Unpack targets from plain tuples.

    Args:
        packed: the tuples.
        on_unusable: called with each entry that this process would not have taken from the store,
            but a peer of another release has.

    Raises:
        MalformedContent: if one of them doesn't have the parts of a target.
    """
    targets = []
    for fields in packed:
        target = _unpack_target(fields)
        unusable_part = _find_unusable_part(target)
        if unusable_part is None:
            targets.append(target)
        else:
            on_unusable(UnusableEntry(target.name, unusable_part))
    return tuple(targets)


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


def _unpack_routes(packed: Iterable[Any]) -> list[Route]:
    return [_unpack_route(each) for each in packed]


def _unpack_route(packed: Any) -> Route:
    match packed:
        case (name, host, port, tuple(shares), objective, deadline, priority) if (
            is_name(name)
            and is_endpoint(host, port)
            and is_duration(objective)
            and is_duration(deadline)
            and is_number(priority)
            and shares
        ):
            return Route(
                name,
                host,
                port,
                tuple(_unpack_share(each) for each in shares),
                objective,
                deadline,
                priority,
            )
    raise MalformedContent("route")


def _unpack_share(packed: Any) -> ServiceShare:
    match packed:
        case (service, weight) if is_name(service) and is_number(weight):
            return ServiceShare(service, weight)
    raise MalformedContent("share")


def _pack_warm_up(warm_up: Mapping[str, WarmUpTerms]) -> tuple[Any, ...]:
    return tuple(
        (service, each.seconds, each.requests_per_second) for service, each in warm_up.items()
    )


def _unpack_warm_up(packed: Iterable[Any]) -> Mapping[str, WarmUpTerms]:
    terms = {}
    for each in packed:
        match each:
            case (service, seconds, rate) if (
                is_name(service) and is_duration(seconds) and is_rate(rate)
            ):
                terms[service] = WarmUpTerms(seconds, rate)
            case _:
                raise MalformedContent("warm-up terms")
    return terms


def _unpack_route_changes(packed: tuple[Any, ...]) -> RouteChanges:
    match packed:
        case (
            tuple(base_versions),
            version,
            idle_seconds,
            tuple(changed),
            tuple(removed),
            tuple(warm_up),
        ) if all(is_number(each) for each in (version, *base_versions)) and is_duration(
            idle_seconds
        ):
            return RouteChanges(
                base_versions,
                version,
                idle_seconds,
                _unpack_routes(changed),
                [_unpack_service_address(each) for each in removed],
                _unpack_warm_up(warm_up),
            )
    raise MalformedContent("route changes")


def _unpack_service_address(packed: Any) -> tuple[int, int]:
    match packed:
        case (int(host), int(port)):
            return host, port
    raise MalformedContent("service address")


def _unpack_target(packed: Any) -> Target:
    """Unpack a target; its names and its endpoint may be unusable, but have the right types."""
    # Complete content has thousands of targets; matching patterns would take twice as long.
    if type(packed) is not tuple or tuple(map(type, packed)) != _TARGET_TYPES:
        raise MalformedContent("target")
    name, host, port, service, failure_domain, phase, *numbers, revision, sequence = packed
    capacity, warmup_seconds, started_milliseconds = numbers
    if not (
        is_number(capacity)
        and is_duration(warmup_seconds)
        and is_number(started_milliseconds)
        and is_number(sequence)
        and phase in _PHASES
    ):
        raise MalformedContent("target")
    return Target(
        name,
        host,
        port,
        service,
        failure_domain,
        _PHASES[phase],
        capacity,
        warmup_seconds,
        started_milliseconds,
        unpack_revision(revision),
        sequence,
    )


def _find_unusable_part(target: Target) -> str | None:
    if not is_endpoint(target.host, target.port):
        return "address"
    if not is_name(target.name):
        return "name"
    if not is_name(target.service):
        return "service"
    return None if is_name(target.failure_domain) else "failure domain"
