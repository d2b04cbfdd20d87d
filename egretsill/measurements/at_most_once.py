"""Measures requests started twice or concluded wrongly under seeded fault schedules.

The baseline is a requester that offers a request to the next target whenever a link fails, and
concludes it as refused when no target is left.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from ..requests._attempts import Attempts
from ._measurement import Measurement
from ._naive_attempts import NaiveAttempts
from ._relay_faults import possible_faults
from ._relay_judge import check, settle
from ._relay_parties import CLASSES
from ._relay_world import RelayWorld, RequestAttemptsFactory

SEED = 20_261_204
SCHEDULES = 4_000
TARGETS = 2
CALLERS = 3
ACTIONS = 70
FAULT_SHARE = 0.08
TIME_STEP_SHARE = 0.06
CRASHED_REQUESTER_SHARE = 0.02
PAUSES_SECONDS = (0.01, 0.01, 0.05, 0.05, 0.3, 0.3, 2.0, 7.0, 12.0, 70.0)
DEADLINES_SECONDS = (None, None, 1.0, 6.0)
GUARANTEES = ("starts over one", "false refusals", "wrong answers", "never concluded")


def run_schedule(seed: int, make_decider: RequestAttemptsFactory = Attempts) -> RelayWorld:
    """Return a world after one random schedule of steps and faults."""
    random = Random(seed)
    world = RelayWorld(TARGETS, random, make_decider)
    for _ in range(CALLERS):
        world.ask(random.choice(CLASSES), random.choice(DEADLINES_SECONDS))
    for _ in range(ACTIONS):
        _take_random_action(world, random)
        check(world)
    settle(world)
    return world


def measure() -> Sequence[Measurement]:
    """Return how often each guarantee was violated, with the baseline's count."""
    ours, callers = _count(Attempts)
    naive, _ = _count(NaiveAttempts)
    case = f"{SCHEDULES} fault schedules, {callers} requests, {TARGETS} targets"
    return [
        Measurement(
            f"at-most-once: {guarantee}",
            case,
            ours[guarantee],
            0,
            naive[guarantee],
            not ours[guarantee],
        )
        for guarantee in GUARANTEES
    ]


def _count(make_decider: RequestAttemptsFactory) -> tuple[Counter[str], int]:
    violations: Counter[str] = Counter()
    callers = 0
    for number in range(SCHEDULES):
        world = run_schedule(SEED + number, make_decider)
        violations.update(world.violations)
        callers += len(world.callers)
    return violations, callers


def _take_random_action(world: RelayWorld, random: Random) -> None:
    drawn = random.random()
    faults = possible_faults(world) if drawn < FAULT_SHARE else ()
    steps = world.steps()
    if faults:
        # Choose the kind first: agents can always be lost, an Open can seldom be duplicated.
        kinds = sorted({name for name, _ in faults} - {"asking agent lost"})
        kind = (
            "asking agent lost"
            if random.random() < CRASHED_REQUESTER_SHARE
            else random.choice(kinds)
        )
        acts = [act for name, act in faults if name == kind]
        if acts:
            random.choice(acts)()
    elif steps and drawn >= FAULT_SHARE + TIME_STEP_SHARE:
        random.choice(steps)[1]()
    else:
        world.advance(random.choice(PAUSES_SECONDS))
