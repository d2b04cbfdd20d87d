"""Which of the entries at one VM are of its target.

A VM has one target, and each start of a target has a start time of its own. So a later target's
entry tells a later start than those of the targets before it. An entry that came later without a
later start is of another writer, whatever it says. An entry that does tell a later start may be of
another writer too, so it takes the VM over for new flows, but it takes back no drain.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import replace
from itertools import groupby

from ._model import TargetPhase
from ._target_view import TargetView
from ._write_order import is_successor


def settle_claims(
    views: Sequence[TargetView], routed_services: Collection[str] | None, is_settled: bool
) -> Iterator[TargetView]:
    """Yield the entries at one VM with what they say of each other.

    Entries of services without a route supersede no others, since any writer may register a VM
    under a service of its own.

    Args:
        views: entries at the VM that exist or are awaited, and departed ones.
        routed_services: the services of the configuration in force, None for any.
        is_settled: whether the store has no entries that only a copy of it brought back. Such a
            copy may lack the entry of a later target, which may be missing for longer than it is
            awaited.
    """
    present_names = {each.target.name for each in views if each.has_entry}

    def may_supersede(view: TargetView) -> bool:
        if routed_services is not None and view.target.service not in routed_services:
            return False
        # An earlier run under the name of an entry that exists is judged where entries are merged.
        return view.has_entry or view.target.name not in present_names

    claims = [each for each in views if may_supersede(each)]
    superseded = _find_superseded(views, claims, is_settled)
    drains = _drains_by_service(views)
    for view in views:
        if view.has_entry:
            yield replace(
                view,
                superseded_by=superseded.get(view.target.name, ""),
                drained_by=_find_drain(view, drains.get(view.target.service, ())),
            )
        else:
            yield view


def _find_superseded(
    views: Iterable[TargetView], claims: Iterable[TargetView], is_settled: bool
) -> Mapping[str, str]:
    """Return the names of the entries that aren't of the VM's target, each with that of a rival.

    Of entries that became known at the same time, none came later.

    Args:
        views: all entries.
        claims: those that may supersede others.
        is_settled: whether departed entries no longer supersede those that a copy brought back.
    """
    superseded: dict[str, str] = {}
    latest: TargetView | None = None
    counting: list[TargetView] = []
    ordered = sorted(claims, key=lambda each: each.known_since)
    for _, group in groupby(ordered, key=lambda each: each.known_since):
        taken = []
        for view in group:
            if latest is None or is_successor(view.target, latest.target):
                taken.append(view)
            elif view.has_entry:
                superseded[view.target.name] = latest.target.name
        counting.extend(each for each in taken if each.has_entry or not is_settled)
        latest = _find_latest((latest, *taken))
    holder = _find_latest(counting)
    for view in views:
        if holder is not None and view.has_entry and is_successor(holder.target, view.target):
            superseded.setdefault(view.target.name, holder.target.name)
    return superseded


def _find_latest(views: Iterable[TargetView | None]) -> TargetView | None:
    latest: TargetView | None = None
    for view in views:
        if view is None:
            continue
        if latest is None or is_successor(view.target, latest.target):
            latest = view
    return latest


def _drains_by_service(views: Iterable[TargetView]) -> Mapping[str, Sequence[TargetView]]:
    drains: dict[str, list[TargetView]] = {}
    for view in views:
        if view.target.phase is TargetPhase.DRAINING:
            drains.setdefault(view.target.service, []).append(view)
    return drains


def _find_drain(view: TargetView, drains: Iterable[TargetView]) -> str:
    """Return the name of another entry by which the target of this one drains, empty if none.

    Which of them is the target's own can't be told, and only that one takes its drain back. The
    drain of a departed entry ends with the next target, whose entry comes later.
    """
    for other in drains:
        if other.target.name == view.target.name:
            continue
        if view.target.started_milliseconds and not other.target.started_milliseconds:
            continue
        if other.missing_since is None or other.has_entry:
            return other.target.name
        is_next = is_successor(view.target, other.target)
        if not is_next or view.known_since < other.missing_since:
            return other.target.name
    return ""
