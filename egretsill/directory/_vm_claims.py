"""Which of the entries at one VM are of its target.

A VM has one target, and each start of a target has a start time of its own. So a later target's
entry tells a later start than those of the targets before it. An entry that came later without a
later start is of another writer, whatever it says. An entry that does tell a later start may be of
another writer too, so it takes the VM over for new flows, but it takes back no drain.

What a departed entry says of others ends some time after the store lacked it, so that it is the
store's present content that decides, at processes that saw the entry as at those that didn't.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import groupby

from ._model import TargetPhase
from ._target_view import TargetView
from ._write_order import denies_drain, is_successor

LAPSE_GRACE_SECONDS = 2.5  # running targets renew within 2 s of the store's return, plus lag
# A target is used within 12 s after its VM's return. Until then its predecessor's entry expires,
# in three report intervals of 1.2 s, and processes learn of that, in up to 2 s.
CLAIM_SECONDS = 6.2


@dataclass(frozen=True, slots=True)
class ClaimTerms:
    """What decides about the entries at a VM besides these.

    Attributes:
        routed_services: the services of the configuration in force, None for any.
        is_settled: whether the store has no entries that only a copy of it brought back. Such a
            copy may lack the entry of a later target, which may be missing for longer than it is
            awaited.
        confirmed_at: local time at which the content was last confirmed to match the store's.
    """

    routed_services: Collection[str] | None
    is_settled: bool
    confirmed_at: float

    def is_absent_for(self, view: TargetView, seconds: float) -> bool:
        """Return whether the store is known to lack an entry, and has for some time."""
        if view.missing_since is None or view.has_entry:
            return False
        return self.confirmed_at >= view.missing_since + seconds


def settle_claims(views: Sequence[TargetView], terms: ClaimTerms) -> Iterator[TargetView]:
    """Yield the entries at one VM with what they say of each other.

    Entries of services without a route supersede no others, since any writer may register a VM
    under a service of its own.

    Args:
        views: entries at the VM that exist or are awaited, and departed ones.
        terms: what decides besides them.
    """
    routed_services, is_settled = terms.routed_services, terms.is_settled
    present_names = {each.target.name for each in views if each.has_entry}

    def may_supersede(view: TargetView) -> bool:
        if routed_services is not None and view.target.service not in routed_services:
            return False
        if is_settled and terms.is_absent_for(view, CLAIM_SECONDS):
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
                drained_by=_find_drain(view, drains.get(view.target.service, ()), terms),
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


def _find_drain(view: TargetView, drains: Iterable[TargetView], terms: ClaimTerms) -> str:
    """Return the name of the entry by which the target of another one drains, empty if none.

    Which of them is the target's own can't be told, and only that one takes its drain back. The
    drain of a departed entry ends with the next target, whose entry tells a later start. The clock
    of a VM may be set back between two starts, so after `CLAIM_SECONDS` any entry is believed.
    """
    for other in drains:
        if other.target.name == view.target.name and not denies_drain(view.target, other.target):
            continue
        if view.target.started_milliseconds and not other.target.started_milliseconds:
            continue
        if other.missing_since is None or other.has_entry:
            return other.target.name
        if is_successor(view.target, other.target):
            # A draining target whose entry lapsed may renew it.
            is_later_entry = view.known_since >= other.missing_since
            is_next = is_later_entry or terms.is_absent_for(other, LAPSE_GRACE_SECONDS)
        else:
            is_next = terms.is_absent_for(other, CLAIM_SECONDS)
        if not is_next:
            return other.target.name
    return ""


def next_settlement(views: Iterable[TargetView], confirmed_at: float) -> float:
    """Return the confirmation time at which a departed entry says less of the others at its VM."""
    absent_since = [
        each.missing_since
        for each in views
        if each.missing_since is not None and not each.has_entry
    ]
    return min(
        (
            since + seconds
            for since in absent_since
            for seconds in (LAPSE_GRACE_SECONDS, CLAIM_SECONDS)
            if since + seconds > confirmed_at
        ),
        default=math.inf,
    )
