"""State-machine test of gates and attempts: random orders of steps, faults and passing time."""

from __future__ import annotations

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ...configuration import RequestClass
from ...measurements._relay_faults import possible_faults
from ...measurements._relay_judge import check, settle
from ...measurements._relay_parties import CLASSES
from ...measurements._relay_world import RelayWorld

MAXIMUM_CALLERS = 4


class RelayMachine(RuleBasedStateMachine):
    @initialize(count=st.integers(1, 3))
    def begin(self, count: int) -> None:
        self.world = RelayWorld(count, Random(0))

    @precondition(lambda self: len(self.world.callers) < MAXIMUM_CALLERS)
    @rule(
        request_class=st.sampled_from(CLASSES),
        allowed=st.sampled_from([None, 0.5, 6.0]),
    )
    def ask(self, request_class: RequestClass, allowed: float | None) -> None:
        deadline = None if allowed is None else self.world.now + allowed
        self.world.ask(request_class, deadline)

    @precondition(lambda self: self.world.steps())
    @rule(choice=st.integers(0, 63))
    def step(self, choice: int) -> None:
        steps = self.world.steps()
        steps[choice % len(steps)][1]()

    @precondition(lambda self: self.world.steps())
    @rule(count=st.integers(2, 8))
    def take_first_steps(self, count: int) -> None:
        for _ in range(count):
            for _, act in self.world.steps()[:1]:
                act()

    @rule(choice=st.integers(0, 255))
    def fault(self, choice: int) -> None:
        faults = possible_faults(self.world)
        faults[choice % len(faults)][1]()

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 2.0, 7.0, 12.0, 70.0]))
    def pass_time(self, seconds: float) -> None:
        self.world.advance(seconds)

    @invariant()
    def invariants_hold(self) -> None:
        check(self.world)
        assert not self.world.violations

    def teardown(self) -> None:
        if hasattr(self, "world"):
            settle(self.world)
            assert not self.world.violations


TestRelayMachine = RelayMachine.TestCase
TestRelayMachine.settings = settings(
    derandomize=True, max_examples=120, stateful_step_count=50, deadline=None
)
