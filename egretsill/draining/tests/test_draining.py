from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from .. import DrainEffect, Draining, DrainSignal, DrainState, Leave, ResumeNewWork, StopNewWork

STEPS = st.tuples(
    st.sampled_from(["leave", "stay", "work", "packet", "tick"]),
    st.sampled_from(list(DrainSignal)),
    st.integers(0, 2),
    st.integers(0, 2),
    st.floats(0.0, 4.0),
)


def apply_step(
    draining: Draining, step: tuple[str, DrainSignal, int, int, float], now: float
) -> list[DrainEffect]:
    action, signal, requests, flows, _ = step
    match action:
        case "leave" | "stay":
            return list(draining.signal(signal, action == "leave", now))
        case "work":
            return list(draining.work(requests, flows, now))
        case "packet":
            draining.packet(now)
            return []
        case _:
            return list(draining.tick(now))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(STEPS, max_size=50))
def test_never_leaves_with_work_and_alternates_stop_and_resume(
    steps: list[tuple[str, DrainSignal, int, int, float]],
) -> None:
    draining = Draining()
    now = 0.0
    work = (0, 0)
    transitions: list[DrainEffect] = []
    for step in steps:
        now += step[4]
        work = step[2:4] if step[0] == "work" else work
        effects = apply_step(draining, step, now)
        transitions.extend(
            each for each in effects if isinstance(each, StopNewWork | ResumeNewWork)
        )
        assert Leave() not in effects or work == (0, 0)
        assert draining.takes_new_work == (not transitions or transitions[-1] == ResumeNewWork())
    assert transitions[::2] == [StopNewWork()] * len(transitions[::2])
    assert transitions[1::2] == [ResumeNewWork()] * len(transitions[1::2])


def test_peers_are_notified_repeatedly_while_draining() -> None:
    draining = Draining()
    draining.work(1, 1, 0.0)
    draining.signal(DrainSignal.TERMINATION, True, 0.0)
    assert draining.next_wake == 1.0
    assert draining.tick(0.5) == []
    assert len(draining.tick(1.0)) == 1


def test_no_effects_after_leaving() -> None:
    draining = Draining()
    draining.signal(DrainSignal.HEALTH_PAGE, True, 0.0)
    assert Leave() in draining.tick(10.0)
    assert draining.signal(DrainSignal.HEALTH_PAGE, False, 11.0) == ()
    assert draining.tick(20.0) == []
    assert (draining.state, draining.next_wake) == (DrainState.LEFT, None)
