"""Detection of a target that fails its requests, by the answers that its agent sees.

A target may fail or reject part of its requests although its health check succeeds. Its agent sees
every answer, so it judges the target by the latest ones and reports in its heartbeats that new
flows had better go elsewhere. This is the outlier detection of Envoy and Finagle, except that one
process sees all of a target's answers and the others need not probe it.

The target gets new flows again after a while, and the answers to those decide whether it is avoided
for longer. Placement ignores the reports when too many targets of a service are failing, because
then the cause is elsewhere.
"""

from __future__ import annotations

from collections import deque

JUDGED_ANSWERS = 64  # latest answers by which a target is judged
MINIMUM_FAILURES = 4  # of them; fewer may be the fault of single requests
FAILING_SHARE = 0.25  # of the judged answers
MINIMUM_TRIAL_FAILURES = 2  # after it was avoided, fewer failures show that it has not recovered
ANSWER_LIFETIME_SECONDS = 4.0  # older answers say nothing about the target's present state
AVOIDED_SECONDS = 1.0  # the first time; doubled each time that it fails again
LONGEST_AVOIDED_SECONDS = 8.0
RECOVERED_SECONDS = 10.0  # without a new failure for that long, the next time counts as the first

_SERVER_ERRORS = 500
_REJECTIONS = frozenset({421, 429})


def is_failure(status: int) -> bool:
    """Return whether an answer shows that its target couldn't serve the request.

    Args:
        status: HTTP status of the answer (RFC 9110, section 15), 0 if it isn't known.
    """
    return status >= _SERVER_ERRORS or status in _REJECTIONS


class TargetFailures:
    """The latest outcomes of requests at one target, and whether it is to be avoided."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque(maxlen=JUDGED_ANSWERS)
        self._avoided_until = float("-inf")
        self._avoided_seconds = 0.0
        self._is_on_trial = False
        self._total = 0

    @property
    def avoided_seconds(self) -> float:
        """Return for how long the target was avoided last, 0 if it counts as new."""
        return self._avoided_seconds

    @property
    def total(self) -> int:
        """Return the number of failures since the start."""
        return self._total

    def record(self, has_failed: bool, now: float) -> None:
        """Record that a request was answered, or that it failed.

        Args:
            has_failed: whether the target failed or rejected it, reset its flow, or never answered.
            now: local time.
        """
        self._total += has_failed
        if self.is_failing(now):
            return  # requests from before, which say nothing of the time after
        self._outcomes.append((now, has_failed))
        if not has_failed:
            return
        recent = [failed for at, failed in self._outcomes if now - at <= ANSWER_LIFETIME_SECONDS]
        failures = sum(recent)
        minimum = MINIMUM_TRIAL_FAILURES if self._is_on_trial else MINIMUM_FAILURES
        if failures >= minimum and failures >= FAILING_SHARE * len(recent):
            self._avoid(now)

    def is_failing(self, now: float) -> bool:
        """Return whether new flows had better go to other targets."""
        return now < self._avoided_until

    def tick(self, now: float) -> None:
        """Forget earlier failures of a target that has recovered."""
        if self._is_on_trial and now - self._avoided_until > RECOVERED_SECONDS:
            self._is_on_trial = False
            self._avoided_seconds = 0.0

    def _avoid(self, now: float) -> None:
        self._avoided_seconds = min(
            max(2 * self._avoided_seconds, AVOIDED_SECONDS), LONGEST_AVOIDED_SECONDS
        )
        self._avoided_until = now + self._avoided_seconds
        self._is_on_trial = True
        self._outcomes.clear()
