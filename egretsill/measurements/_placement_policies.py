"""The measured placement policy and its baselines, behind one interface."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Protocol, TypeAlias

from ..configuration import RequestClass, Service
from ..outcomes import RefusalReason
from ..placement import LoadReport, Placement


class Policy(Protocol):
    """Chooses targets for one requester; see `Placement`."""

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the target for a request."""

    def on_sent(self, target_number: int, weight: float, now: float) -> None:
        """Count a request as offered."""

    def on_finished(self, target_number: int, weight: float, now: float) -> None:
        """Count a request as ended."""

    def on_granted(self, target_number: int, now: float) -> None:
        """Handle a grant."""

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Handle a refusal."""

    def on_report(self, report: LoadReport, now: float) -> None:
        """Handle a load report."""


MakePolicy: TypeAlias = Callable[[int, Service, Random], Policy]


class RandomPolicy:
    """Chooses a random target that has not refused the request."""

    def __init__(self, own_target: int, service: Service, random: Random) -> None:
        self._numbers = [each.number for each in service.targets]
        self._random = random

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the target for a request."""
        left = [number for number in self._numbers if number not in exclude]
        return self._pick(left) if left else None

    def on_sent(self, target_number: int, weight: float, now: float) -> None:
        """Ignore it."""

    def on_finished(self, target_number: int, weight: float, now: float) -> None:
        """Ignore it."""

    def on_granted(self, target_number: int, now: float) -> None:
        """Ignore it."""

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Ignore it."""

    def on_report(self, report: LoadReport, now: float) -> None:
        """Ignore it."""

    def _pick(self, left: Sequence[int]) -> int:
        return self._random.choice(left)


class RoundRobinPolicy(RandomPolicy):
    """Chooses the targets in turn, from a random start."""

    def __init__(self, own_target: int, service: Service, random: Random) -> None:
        super().__init__(own_target, service, random)
        start = random.randrange(len(self._numbers))
        self._turn = itertools.cycle(self._numbers[start:] + self._numbers[:start])

    def _pick(self, left: Sequence[int]) -> int:
        return next(number for number in self._turn if number in left)


class LeastReportedPolicy(RandomPolicy):
    """Chooses the target whose last report has the least weight for each slot."""

    def __init__(self, own_target: int, service: Service, random: Random) -> None:
        super().__init__(own_target, service, random)
        self._reported: dict[int, float] = {}

    def on_report(self, report: LoadReport, now: float) -> None:
        """Keep the report."""
        self._reported[report.target] = report.outstanding_weight / report.slots

    def _pick(self, left: Sequence[int]) -> int:
        return min(left, key=lambda each: (self._reported.get(each, 0.0), self._random.random()))


def make_placement(own_target: int, service: Service, random: Random) -> Policy:
    """Return the real placement, the measured policy."""
    return Placement(own_target, service, random)


BASELINES: dict[str, MakePolicy] = {
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-reported": LeastReportedPolicy,
}
