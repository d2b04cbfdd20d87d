"""Pace at which an agent opens flows at a target in warm-up.

A target that has just started bears fewer requests. Its agent delivers all SYN packets, so it alone
can bound those of any second, whatever the balancers know. The times of the last ones are kept (a
sliding log), since a token bucket lets twice its burst pass in some spans.

What isn't known counts as the worst: the second before the agent started as full if the target may
have been in warm-up, and a target as in warm-up while its entry may not tell its start yet.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from ..directory import Directory, TargetView, WarmUpTerms
from ._policy import SteeringPolicy

BOUND_SECONDS = 1.0  # the bound holds for each span of this length, however it slides
BUNCHING_SECONDS = 0.1  # packets may be closer together when the target reads them
SPAN_SECONDS = BOUND_SECONDS + BUNCHING_SECONDS
RECENT_CONTENT_SECONDS = 1.5  # longer without confirmation, entries of new runs may be missing
MAXIMUM_OPENINGS = 4096  # times kept, 128 kB; a higher bound is cut to this
MAXIMUM_LOAD_FACTOR = 8.0  # so that a target in warm-up still gets flows when others are full
MILLISECONDS = 1000.0


class OpeningWindow:
    """The SYN packets that a target got within the last second."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=MAXIMUM_OPENINGS)
        self._unknown_until = float("-inf")

    def record(self, now: float) -> None:
        """Record that a SYN packet is delivered."""
        self._drop_earlier(now)
        self._times.append(now)

    def fill(self, now: float) -> None:
        """Record that an unknown number of SYN packets may reach the target now."""
        self._unknown_until = now + SPAN_SECONDS

    def left(self, limit: int, now: float) -> int:
        """Return how many more SYN packets the target may get now.

        Args:
            limit: how many it may get in a second.
            now: local time.
        """
        if now < self._unknown_until:
            return 0
        self._drop_earlier(now)
        return max(min(limit, MAXIMUM_OPENINGS) - len(self._times), 0)

    def _drop_earlier(self, now: float) -> None:
        while self._times and now - self._times[0] > SPAN_SECONDS:
            self._times.popleft()


class WarmUpPace:
    """Decides whether a target may get another SYN packet.

    Args:
        host: IPv4 address of the agent and its target, as a number.
        service: the target's service.
        directory: the terms of the service, and the entries at the VM.
        started_at: local time since which the agent has seen every packet of its target.
        policy: the limits.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        started_at: float,
        policy: SteeringPolicy,
    ) -> None:
        self._host = host
        self._service = service
        self._directory = directory
        self._policy = policy
        self._started_at = started_at
        self._doubted_at = started_at
        self._window = OpeningWindow()

    def left(self, now: float) -> int | None:
        """Return how many more SYN packets the target may get now, None if any number."""
        policy, terms = self._policy, self._directory.warm_up_terms(self._service)
        if terms is None:
            if self._directory.table is not None or policy.warm_up_tolerance < 1.0:
                return None
            # Whatever pace the first configuration asks for allows this many.
            limit = math.floor(policy.warm_up_tolerance)
            return 0 if self._is_just_started(now) else self._window.left(limit, now)
        views = self._directory.targets_on(self._host)
        ends_at = warm_up_end(
            [each for each in views if each.target.service == self._service],
            terms,
            self._directory.first_content_at,
        )
        if now >= max(ends_at, self._doubted_at + terms.seconds):
            return None
        if self._is_just_started(now) and (now < ends_at or not self._was_content_recent()):
            return 0
        limit = opening_limit(terms, policy.warm_up_overshoot, policy.warm_up_tolerance)
        return self._window.left(limit, now)

    def _is_just_started(self, now: float) -> bool:
        """Return whether an earlier process may have delivered SYN packets in the last second."""
        return now < self._started_at + SPAN_SECONDS

    def _was_content_recent(self) -> bool:
        """Return whether a run that began before this process is in the content for certain."""
        return self._directory.confirmed_at > self._started_at - RECENT_CONTENT_SECONDS

    def is_used_up(self, now: float) -> bool:
        """Return whether the target may get no SYN packet now."""
        return self.left(now) == 0

    def record_opening(self, now: float) -> None:
        """Record that the target is sent a SYN packet, also a copy of an earlier one."""
        self._window.record(now)

    def doubt_run(self, now: float) -> None:
        """Record a sign that the target may have started again, which its entry may say later."""
        self._doubted_at = max(self._doubted_at, now)

    def note_scheduling_pause(self, now: float) -> None:
        """Record that this process resumed; what it sent before may arrive with what comes now."""
        self._window.fill(now)


def opening_limit(terms: WarmUpTerms, overshoot: float, tolerance: float) -> int:
    """Return how many SYN packets a target in warm-up may get in any second.

    Args:
        terms: what is asked for its service.
        overshoot: by how many times the stated pace may be passed.
        tolerance: requests by which that may be passed in addition.
    """
    return math.floor(min(terms.requests_per_second * overshoot + tolerance, MAXIMUM_OPENINGS))


def warm_up_end(views: Iterable[TargetView], terms: WarmUpTerms, first_content_at: float) -> float:
    """Return the local time at which an agent's target has ended its warm-up by its entries.

    Any entry of its service at its VM counts, since another writer's may be the newest, and also
    denies a warm-up that the target's own told before.

    Args:
        views: the entries of its service at its VM.
        terms: what is asked for its service.
        first_content_at: local time of this process's first content; runs that are known from then
            on may have started long before.
    """
    ends_at, is_known = -math.inf, False
    for view in views:
        is_known = True
        ends_at = max(ends_at, view.warmup_ends_at)
        if view.known_since > first_content_at:
            ends_at = max(ends_at, view.known_since + terms.seconds)
    return ends_at if is_known else math.inf


def paced_load_factor(
    terms: WarmUpTerms, capacity: int, usual_delay_milliseconds: float, at_least: float
) -> float:
    """Return how much busier a target in warm-up counts than another one with the same requests.

    It is the ratio of what the target would do without the pace, with all its capacity in use, to
    what it may get.

    Args:
        terms: what is asked for its service.
        capacity: requests that it works on concurrently.
        usual_delay_milliseconds: usual time of an answer of the service, above 0.
        at_least: the factor of a target without a pace.
    """
    usual_rate = capacity * MILLISECONDS / usual_delay_milliseconds
    return min(max(usual_rate / terms.requests_per_second, at_least), MAXIMUM_LOAD_FACTOR)
