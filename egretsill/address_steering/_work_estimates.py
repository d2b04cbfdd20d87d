"""Estimates of the work of requests at one target, learned from its answers.

The work of a request varies much and has a heavy tail, so the typical work of a route is a mean of
logarithms, which single long requests hardly change. Its mean is the typical work times a factor
that is common to the routes and learned more slowly. Estimates start from those of the service's
other targets, which count as a few answers (empirical Bayes; Efron and Morris, 1973), and forget
exponentially, so that they follow a target that becomes slow or recovers.

What remains of a request after some time is at least half of that time: mean residual life grows
with age in heavy-tailed distributions.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

RouteAddress = tuple[int, int]

RECENT_ANSWERS = 32  # answers after which an old one has lost most of its weight
PRIOR_ANSWERS = 3.0  # weight of the estimate of other targets, in answers
KNOWN_ANSWERS = 4  # answers from which on an estimate is reported
MEAN_FACTOR = 1.3  # mean over typical work before it is learned
MEAN_FACTOR_WEIGHT = 0.01  # of a new answer in that factor
MAXIMUM_ROUTES = 64
SHORTEST_WORK_SECONDS = 1e-4
RESIDUAL_SHARE = 0.5  # of the longer of mean and elapsed time that remains at least


@dataclass(slots=True)
class _RouteWork:
    """Work of one route: mean logarithm of seconds, answers that count for it, share of answers."""

    logarithm: float = 0.0
    answers: float = 0.0
    share: float = 0.0


class WorkEstimates:
    """Work of the requests at one target by route."""

    def __init__(self) -> None:
        self._routes: dict[RouteAddress, _RouteWork] = {}
        self._all = _RouteWork()
        self._mean_factor = MEAN_FACTOR
        self._prior_seconds = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether enough answers have come to report an estimate."""
        return self._all.answers >= KNOWN_ANSWERS

    @property
    def usual_seconds(self) -> float:
        """Return the mean work of a request of the target's usual mix, 0 if nothing is known."""
        return self._mean(self._all, self._prior_seconds)

    def seconds(self, route: RouteAddress | None) -> float:
        """Return the mean work of a route's request, 0 if nothing is known."""
        known = self._routes.get(route) if route is not None else None
        usual = self.usual_seconds
        return usual if known is None else self._mean(known, usual)

    def remaining_seconds(self, route: RouteAddress | None, elapsed: float) -> float:
        """Return the expected work that is left of a request after some seconds of work."""
        mean = self.seconds(route)
        return max(mean - elapsed, RESIDUAL_SHARE * max(mean, elapsed)) if mean else 0.0

    def note_prior(self, seconds: float) -> None:
        """Record the usual work at the service's other targets; 0 if it isn't known."""
        self._prior_seconds = seconds

    def record_answer(self, route: RouteAddress, seconds: float, is_failure: bool = False) -> None:
        """Record an answer.

        Args:
            route: service address of its request.
            seconds: for which the request had a slot.
            is_failure: whether the target failed; fast failures don't show that it is fast.
        """
        if is_failure:
            return
        value = math.log(max(seconds, SHORTEST_WORK_SECONDS))
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= MAXIMUM_ROUTES:
                del self._routes[next(iter(self._routes))]
            known = self._routes[route] = _RouteWork()
        for each in (known, self._all):
            each.answers += 1.0
            each.logarithm += (value - each.logarithm) / min(each.answers, RECENT_ANSWERS)
        ratio = min(seconds / math.exp(known.logarithm), 10.0)
        self._mean_factor += MEAN_FACTOR_WEIGHT * (ratio - self._mean_factor)

    def _mean(self, work: _RouteWork, prior_seconds: float) -> float:
        count = min(work.answers, RECENT_ANSWERS)
        if not prior_seconds:
            return math.exp(work.logarithm) * self._mean_factor if count else 0.0
        prior = math.log(prior_seconds / self._mean_factor)
        shrunk = (work.logarithm * count + prior * PRIOR_ANSWERS) / (count + PRIOR_ANSWERS)
        return math.exp(shrunk) * self._mean_factor
