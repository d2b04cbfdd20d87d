"""Choice of the target that a request is offered to."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random

from ..configuration import RequestClass, RequestShape, Service, TargetState
from ..outcomes import RefusalReason
from ._messages import LoadReport
from ._speed import compare_speeds
from ._subset import subset_targets
from ._target_view import MAXIMUM_BACK_OFF_SECONDS, MAXIMUM_SHEDDING_BACK_OFF_SECONDS, TargetView

CROSS_DOMAIN_PENALTY = 0.1  # added to the load of a target in another failure domain
OUTSTANDING_LOAD_FACTOR = 3.0  # weight of the outstanding load relative to the assigned load
SPEED_COMPARISON_INTERVAL_SECONDS = 0.2
# How far a target's assigned load may be below the median, in weight per slot, so that a target
# that was idle isn't flooded.
MAXIMUM_ASSIGNED_LOAD_DEFICIT = 1.0
# Mean time for which a target that refused as full or overloaded is avoided.
FULL_BACK_OFF_SECONDS = 0.15


class Placement:
    """Chooses among the targets of a service for one requester.

    The requester's own outstanding requests, grants and refusals are exact. Reports of other agents
    are hints. For each request sent, call `on_sent`, then `on_granted` or `on_refused` if either is
    known, and exactly one `on_finished`, whatever the outcome.

    Args:
        own_target: number of the target that this process is the agent of, or None.
        service: the service whose targets are chosen among.
        random: random source of the choices.
        failure_domain: failure domain of the requester, if it has no target of its own.
    """

    def __init__(
        self,
        own_target: int | None,
        service: Service,
        random: Random,
        failure_domain: str | None = None,
    ) -> None:
        self._own_target = own_target
        self._random = random
        self._failure_domain = failure_domain
        self._unavailable: frozenset[int] = frozenset()
        self._views: dict[int, TargetView] = {}
        self._subset: Sequence[int] = ()
        self._compared_at = 0.0
        self.update_service(service)

    @property
    def subset_targets(self) -> Sequence[int]:
        """Return the numbers of the targets in this requester's subset."""
        return self._subset

    @property
    def outstanding(self) -> Mapping[int, float]:
        """Return the weight of own outstanding requests at each target, without subscriptions."""
        return {number: view.own_weight for number, view in self._views.items()}

    def update_service(self, service: Service) -> None:
        """Apply a changed service configuration; the state of remaining targets is kept."""
        views: dict[int, TargetView] = {}
        for target in service.targets:
            view = self._views.get(target.number) or TargetView(target)
            view.target = target
            views[target.number] = view
            if target.number == self._own_target:
                self._failure_domain = target.failure_domain
        self._views = views
        self._subset = subset_targets(service, self._own_target)

    def set_unavailable(self, numbers: Collection[int]) -> None:
        """Exclude these targets from all choices; replaces the set of the previous call."""
        self._unavailable = frozenset(numbers)

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the number of the target to offer a request to, or None if there is none.

        Args:
            request_class: class of the request.
            exclude: numbers of targets that must not be chosen for this request.
            now: the time in seconds.
        """
        candidates = self._candidates(exclude, now)
        best = min(candidates, key=lambda view: self._cost(view, request_class, now), default=None)
        return None if best is None else best.target.number

    def on_sent(
        self,
        target_number: int,
        weight: float,
        now: float,
        shape: RequestShape = RequestShape.SHORT,
    ) -> None:
        """Count a request that is offered to a target."""
        view = self._views.get(target_number)
        if view is None:
            return
        view.add(shape, weight)
        if shape is not RequestShape.SUBSCRIPTION:
            view.assign(weight, now)

    def on_granted(
        self, target_number: int, now: float, shape: RequestShape = RequestShape.SHORT
    ) -> None:
        """Record that a target started a request.

        Starts of requests other than subscriptions are used to estimate its speed.
        """
        view = self._views.get(target_number)
        if view is None:
            return
        view.granted(now)
        if shape is not RequestShape.SUBSCRIPTION:
            view.evidence.started(now)

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Record that a target refused a request; call `on_finished` for it afterwards."""
        view = self._views.get(target_number)
        if view is None:
            return
        view.refused()
        match reason:
            case RefusalReason.SHEDDING:
                view.back_off(now, self._jitter(), MAXIMUM_SHEDDING_BACK_OFF_SECONDS)
            case (
                RefusalReason.BACKEND_UNREACHABLE
                | RefusalReason.DRAINING
                | RefusalReason.WRONG_SERVICE
            ):
                view.back_off(now, self._jitter(), MAXIMUM_BACK_OFF_SECONDS)
            case RefusalReason.FULL | RefusalReason.OVERLOAD:
                view.pause(now, FULL_BACK_OFF_SECONDS * self._jitter())
            case _:
                pass

    def on_finished(
        self,
        target_number: int,
        weight: float,
        now: float,
        shape: RequestShape = RequestShape.SHORT,
    ) -> None:
        """Record that a request offered to a target has ended there, whatever the outcome."""
        view = self._views.get(target_number)
        if view is None:
            return
        view.add(shape, -weight)
        was_refused = view.pop_refusal()
        if shape is RequestShape.SUBSCRIPTION:
            return
        if was_refused:
            view.assign(-weight, now)
            return
        view.evidence.ended(weight, now)
        self._compare_speeds(now)

    def on_report(self, report: LoadReport, now: float) -> None:
        """Apply a report of another agent."""
        view = self._views.get(report.target)
        if view is not None:
            view.apply_report(report, now)

    def _candidates(self, exclude: Collection[int], now: float) -> list[TargetView]:
        """Return the eligible targets that aren't in back-off.

        If no target of the subset is eligible, targets outside it are considered. If all eligible
        targets are in back-off, only the one whose back-off ends first is returned. Assigned loads
        far below the median are raised.
        """
        eligible = self._eligible(self._subset, exclude, now) or self._eligible(
            self._views, exclude, now
        )
        ready = [view for view in eligible if view.back_off_until <= now]
        self._limit_assigned_load_deficit(ready)
        return ready or sorted(eligible, key=lambda view: view.back_off_until)[:1]

    def _eligible(
        self, numbers: Iterable[int], exclude: Collection[int], now: float
    ) -> list[TargetView]:
        return [
            self._views[number]
            for number in numbers
            if number not in exclude
            and number not in self._unavailable
            and self._views[number].target.state is TargetState.ACTIVE
            and not self._views[number].draining(now)
        ]

    def _jitter(self) -> float:
        return self._random.uniform(0.5, 1.5)

    def _compare_speeds(self, now: float) -> None:
        if now < self._compared_at + SPEED_COMPARISON_INTERVAL_SECONDS:
            return
        self._compared_at = now
        compare_speeds([self._views[number].evidence for number in self._subset], now)

    def _limit_assigned_load_deficit(self, ready: Sequence[TargetView]) -> None:
        if not ready:
            return
        median = sorted(view.assigned_load for view in ready)[len(ready) // 2]
        for view in ready:
            view.raise_assigned_load_to(median - MAXIMUM_ASSIGNED_LOAD_DEFICIT)

    def _cost(
        self, view: TargetView, request_class: RequestClass, now: float
    ) -> tuple[float, float]:
        same_domain = view.target.failure_domain == self._failure_domain
        if request_class.shape is RequestShape.SUBSCRIPTION:
            load = view.connection_load()
        else:
            load = (
                view.assigned_load
                + OUTSTANDING_LOAD_FACTOR * view.load(now)
                + (0.0 if same_domain else CROSS_DOMAIN_PENALTY)
            )
        return (load, self._random.random())
