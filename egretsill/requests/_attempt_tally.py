"""What became of a request's offers, for observers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..outcomes import RefusalReason


@dataclass(slots=True)
class AttemptTally:
    """Counts over the offers of one request.

    Attributes:
        tries: targets that it was offered to.
        queue_seconds: how long it waited at the gate where it started.
        refusals: why a target refused it, for each that did.
        resumes: times that it was taken up again on a new link.
    """

    tries: int = 0
    queue_seconds: float = 0.0
    refusals: list[RefusalReason] = field(default_factory=list)
    resumes: int = 0
