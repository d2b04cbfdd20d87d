"""What placement knew of the target that a flow was sent to, for the log of decisions."""

from __future__ import annotations

from ..address_steering import FlowKey, FlowPlacement
from ..directory import Directory, TargetView
from ..timing import TimerService


class ChoiceInputs:
    """Looks up the inputs of the choice of a target.

    Args:
        failure_domain: failure domain of this process's VM; empty if it isn't known.
        directory: routes and targets.
        placement: chooses targets for new flows.
        timer: the local time.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: Directory,
        placement: FlowPlacement,
        timer: TimerService,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._placement = placement
        self._timer = timer

    def load(self, host: int, flow: FlowKey) -> float | None:
        """Return the load of the target on a VM, None if there is none of the flow's route."""
        view = self._find_target(host, flow)
        return None if view is None else self._placement.load(view, self._timer.now)

    def finish(self, host: int, flow: FlowKey) -> float | None:
        """Return the seconds until it would finish a request; None if that isn't known."""
        view = self._find_target(host, flow)
        return None if view is None else self._placement.expected_finish(view, self._timer.now)

    def spill(self, host: int, flow: FlowKey) -> str:
        """Return its failure domain if that is another one than this process's, else empty."""
        view = self._find_target(host, flow)
        domain = view.target.failure_domain if view is not None else ""
        return domain if self._failure_domain and domain != self._failure_domain else ""

    def _find_target(self, host: int, flow: FlowKey) -> TargetView | None:
        route = self._directory.route(flow.service_host, flow.service_port)
        found = (
            self._directory.target_at(host, service)
            for service in (route.services if route else ())
        )
        return next((view for view in found if view is not None), None)
