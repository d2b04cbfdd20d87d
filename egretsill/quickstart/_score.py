"""Counts the results of callers and backend servers and checks the promises."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..caller import Reply
from ..outcomes import Answered, Cancelled, Refused, Unknown
from ..stand_ins.backend_server import BackendCounts


@dataclass(slots=True)
class Score:
    """Counts over all callers.

    Attributes:
        requests: requests of callers; retries after a refusal are not counted.
        whole_answers: complete answers that belong to the caller's request.
        wrong_answers: answers to another request, with a status other than 200, or incomplete but
            reported as complete.
        broken_flows: requests and subscriptions that ended without a complete answer.
        refused: requests abandoned after refusals; none of the tries ran.
        repeats: refused tries of callers that retry.
        unknown: requests whose outcome the caller could not determine.
        outcomes: outcomes reported to callers, by name.
        run_markers: markers of requests that must run at most once.
        refused_markers: markers of refused tries, which must not run.
    """

    requests: int = 0
    whole_answers: int = 0
    wrong_answers: int = 0
    broken_flows: int = 0
    refused: int = 0
    repeats: int = 0
    unknown: int = 0
    flows_opened: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    run_markers: set[str] = field(default_factory=set)
    refused_markers: set[str] = field(default_factory=set)

    def record(self, reply: Reply, own: bool) -> None:
        """Count the outcome of one request; `own` if the answer belongs to the request."""
        match reply.outcome:
            case Answered(status=status):
                self.outcomes[f"answered {status}"] += 1
                if own and status == 200:
                    self.whole_answers += 1
                else:
                    self.wrong_answers += 1
            case Refused(reason=reason):
                self.outcomes[f"refused {reason.value}"] += 1
                self.refused += 1
            case Unknown(reason=cause):
                self.outcomes[f"unknown {cause.value}"] += 1
                self.unknown += 1
                self.broken_flows += 1
            case Cancelled():
                self.outcomes["cancelled"] += 1


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a run, printed as its last line."""

    requests: int
    whole_answers: int
    broken_flows: int
    run_twice: int
    misdirected: int
    revision_in_force: int
    ran_though_refused: int
    wrong_answers: int

    @property
    def promises_kept(self) -> bool:
        """Return whether every request got its complete answer and no fault was counted."""
        broken = (
            self.broken_flows
            + self.run_twice
            + self.misdirected
            + self.ran_though_refused
            + self.wrong_answers
        )
        return broken == 0 and self.whole_answers == self.requests

    def to_json(self) -> str:
        """Return the verdict as one line of JSON."""
        return json.dumps(
            {
                "requests": self.requests,
                "whole_answers": self.whole_answers,
                "broken_flows": self.broken_flows,
                "run_twice": self.run_twice,
                "misdirected": self.misdirected,
                "revision_in_force": self.revision_in_force,
            }
        )


def compute_verdict(
    score: Score, counts: Iterable[BackendCounts], revision_in_force: int
) -> Verdict:
    """Combine the counts of callers and backend servers into a verdict."""
    starts: Counter[str] = Counter()
    misdirected = 0
    for each in counts:
        starts.update(each.starts)
        misdirected += each.misdirected
    return Verdict(
        requests=score.requests,
        whole_answers=score.whole_answers,
        broken_flows=score.broken_flows,
        run_twice=sum(1 for marker in score.run_markers if starts[marker] > 1),
        misdirected=misdirected,
        revision_in_force=revision_in_force,
        ran_though_refused=sum(1 for marker in score.refused_markers if starts[marker] > 0),
        wrong_answers=score.wrong_answers,
    )
