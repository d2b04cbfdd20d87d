"""Drawn days of an agent whose target is in warm-up."""

from __future__ import annotations

from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from .paced_agent import COLD_AT, LIMIT, PacedAgent


class Step:
    """One drawn event of a day of an agent."""

    def __init__(self, kind: str, after: float) -> None:
        self.kind, self.after = kind, after


def days(*failures: str) -> st.SearchStrategy[list[Step]]:
    """Return a strategy for days with some kinds of failures."""
    kinds = ["syn"] * 8 + ["copy", "answer"] * 5 + ["release"] * 4 + ["target", "clock", *failures]
    gaps = [0.0, 0.001, 0.005] * 5 + [0.02, 0.05, 0.1, 0.4, 1.0]
    step = st.builds(Step, st.sampled_from(kinds), st.sampled_from(gaps))
    return st.lists(step, min_size=30, max_size=150)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(days("agent") | days("zero"))
def test_drawn_days_never_pass_the_pace(steps: Sequence[Step]) -> None:
    """Arrivals, copies and restarts as drawn; the target starts again before it is warm.

    Other writers say 0 on days without restarts of the agent, which then couldn't know better.

    Its clock, by which its entry tells its start, may be set back before.
    """
    paced = PacedAgent()
    paced.restart_target(COLD_AT, started=1000)
    now, born, started, newest = COLD_AT, 1000, COLD_AT, 0
    for number, step in enumerate(steps):
        now += step.after
        if step.kind == "target" or now - started > 1.9:
            born, started = born + 1000, now
            paced.restart_target(now, started=born)
        match step.kind:
            case "syn":
                newest = number
                paced.take(number, now)
            case "copy":
                paced.take(newest, now, 1)
            case "answer":
                paced.answer(newest, now)
            case "release":
                paced.release(now)
            case "agent":
                paced.start(now)
            case "clock":
                born, started = 2 + number, now  # unlike any other start
                paced.restart_target(now, started=born)
            case "zero":
                paced.restart_target(now, warm_up_seconds=0.0, started=born)
    assert paced.most_in_a_second <= LIMIT
