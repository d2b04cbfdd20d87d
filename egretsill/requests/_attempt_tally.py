"""Counts over a request's offers, for observers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..outcomes import RefusalReason


@dataclass(slots=True)
class AttemptTally:
    """Counts over the offers of one request.

    Attributes:
        tries: number of offers to targets.
        queue_seconds: time in the queue of the gate where it started.
        refusals: the reason of each refusal by a target.
        resumes: number of times that it was resumed on a new link.
    """

    tries: int = 0
    queue_seconds: float = 0.0
    refusals: list[RefusalReason] = field(default_factory=list)
    resumes: int = 0
