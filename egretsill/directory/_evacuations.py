"""Failure domains that the operators have evacuated: their targets get no new flows."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from ._revision import StoreRevision


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's order that no new flow may go to the targets of a failure domain.

    It is in force while its item is in the store.

    Attributes:
        failure_domain: name of the failure domain.
        revision: the store's revision at the item's last change.
    """

    failure_domain: str
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class EvacuationView:
    """An evacuation together with what this process knows about it.

    Attributes:
        evacuation: the order.
        known_since: local time since which the failure domain is known to be evacuated.
        is_awaited: whether a store that came back from a copy lacks the item, which its operator
            writes again unless the order was taken back meanwhile.
    """

    evacuation: Evacuation
    known_since: float
    is_awaited: bool = False


class Evacuations:
    """The evacuations in force at one process, by failure domain."""

    def __init__(self) -> None:
        self._views: dict[str, EvacuationView] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that increases with each change."""
        return self._generation

    @property
    def views(self) -> Sequence[EvacuationView]:
        """Return the evacuations in force, with those whose missing items are awaited."""
        return tuple(self._views.values())

    @property
    def in_store(self) -> Sequence[Evacuation]:
        """Return the evacuations whose items are in the store."""
        return [each.evacuation for each in self._views.values() if not each.is_awaited]

    def __contains__(self, failure_domain: str) -> bool:
        return failure_domain in self._views

    def end_missing(
        self, evacuations: Collection[Evacuation], at: StoreRevision, is_settled: bool
    ) -> Sequence[str]:
        """Return the failure domains whose orders end with complete content that lacks them.

        An order of an earlier era may be one that the store has lost. It is awaited instead, since
        callers lose less by targets that stay empty for some seconds than operators by an order
        that doesn't hold.

        Args:
            evacuations: the orders in the content.
            at: the content's revision.
            is_settled: whether operators have written again what a copy of the store lacked.
        """
        named = {each.failure_domain for each in evacuations}
        ended = []
        for domain, view in self._views.items():
            if domain in named:
                continue
            if is_settled or view.evacuation.revision.era == at.era:
                ended.append(domain)
            else:
                self._views[domain] = replace(view, is_awaited=True)
        return ended

    def merge(
        self,
        evacuations: Collection[Evacuation],
        removed: Collection[str],
        at: StoreRevision,
        now: float,
    ) -> tuple[Sequence[Evacuation], Sequence[str]]:
        """Merge orders; return those that were taken, and the domains that are no longer evacuated.

        Args:
            evacuations: items in the store.
            removed: failure domains that have none.
            at: the store's revision to which both apply.
            now: local time.
        """
        taken = [each for each in evacuations if self._take(each, now)]
        gone = [each for each in dict.fromkeys(removed) if self._is_removed_by(each, at)]
        for domain in gone:
            del self._views[domain]
        if taken or gone:
            self._generation += 1
        return taken, gone

    def drop_awaited(self) -> bool:
        """Drop the orders that were not written again; return whether there were any."""
        kept = {domain: each for domain, each in self._views.items() if not each.is_awaited}
        if len(kept) == len(self._views):
            return False
        self._views = kept
        self._generation += 1
        return True

    def _take(self, evacuation: Evacuation, now: float) -> bool:
        domain = evacuation.failure_domain
        known = self._views.get(domain)
        if known is not None and evacuation.revision <= known.evacuation.revision:
            return False
        self._views[domain] = EvacuationView(evacuation, known.known_since if known else now)
        return True

    def _is_removed_by(self, failure_domain: str, at: StoreRevision) -> bool:
        # An order that is later than the content that lacks it wasn't taken back by it.
        view = self._views.get(failure_domain)
        return view is not None and view.evacuation.revision <= at
