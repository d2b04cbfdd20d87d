"""Measures reads of the store, and the age of content, after both readers of a fleet are lost.

Nobody reports the lost readers, so every process counts them as readers all the while. Either no
process hears of another's reads, or a hub tells all of them a while later.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from ..directory import Pause, ReadPlan
from ._measurement import Measurement

MEASURE = "store_reads"
SEED = 20261207
PROCESSES = 1_300
LOST_READERS = (1, 2)
PLAYED_SECONDS = 12.0
STEP_SECONDS = 0.01
READ_SECONDS = 0.01
RELAY_SECONDS = 0.5  # two hubs, each with a heartbeat's delay
APPLY_SECONDS = 3.0  # within which a change must be in force


class PausingPlan(ReadPlan):
    """Pauses after reads that succeeded as long as after those that failed, as the baseline."""

    @property
    def _is_retrying(self) -> bool:
        return True


class BereftFleet:
    """Processes whose readers have just been lost.

    Args:
        plan_type: the plan of their reads.
        is_relayed: whether a read is told to all processes.
    """

    def __init__(self, plan_type: type[ReadPlan], is_relayed: bool) -> None:
        random = Random(SEED)
        self._plans = [plan_type(random.randrange(1, 2**32), False) for _ in range(PROCESSES)]
        self._is_relayed = is_relayed
        self._confirmed_at = [0.0] * PROCESSES
        self._next_step_at = [0.0] * PROCESSES
        self._relays: list[float] = []
        self.oldest_seconds = 0.0
        self.reads: Counter[int] = Counter()

    @property
    def most_reads(self) -> int:
        """Return the reads of the busiest second."""
        return max(self.reads.values())

    def play(self) -> None:
        """Let the processes read for a while."""
        for plan in self._plans:
            plan.note_read()
        for step in range(int(PLAYED_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while self._relays and self._relays[0] + RELAY_SECONDS <= now:
                relayed = self._relays.pop(0)
                self._confirmed_at = [max(each, relayed) for each in self._confirmed_at]
            for number, due_at in enumerate(self._next_step_at):
                if due_at <= now:
                    self._take_step(number, now)

    def _take_step(self, number: int, now: float) -> None:
        plan, confirmed_at = self._plans[number], self._confirmed_at[number]
        step = plan.next_step(now, confirmed_at, True, LOST_READERS)
        if isinstance(step, Pause):
            self._next_step_at[number] = now + step.seconds
            return
        self.oldest_seconds = max(self.oldest_seconds, now + READ_SECONDS - confirmed_at)
        plan.note_attempt(now)
        plan.note_read()
        self._confirmed_at[number] = now
        self._next_step_at[number] = now + READ_SECONDS
        self.reads[int(now)] += 1
        if self._is_relayed and (not self._relays or self._relays[-1] < now):
            self._relays.append(now)


def measure() -> Sequence[Measurement]:
    """Return the oldest content and the reads of the busiest second, beside the baseline's."""
    lines = []
    for is_relayed in (False, True):
        fleets = [BereftFleet(plan_type, is_relayed) for plan_type in (ReadPlan, PausingPlan)]
        for fleet in fleets:
            fleet.play()
        now, before = fleets
        heard = "reads are relayed" if is_relayed else "nobody hears of others' reads"
        oldest, former = round(now.oldest_seconds, 2), round(before.oldest_seconds, 2)
        lines.append(
            Measurement(
                f"{MEASURE}.oldest_seconds",
                f"readers lost, {heard}",
                oldest,
                APPLY_SECONDS,
                former,
                holds=oldest <= APPLY_SECONDS,
            )
        )
        lines.append(
            Measurement(
                f"{MEASURE}.reads_in_a_second",
                f"readers lost, {heard}, {PROCESSES} processes",
                now.most_reads,
                PROCESSES,
                before.most_reads,
                holds=now.most_reads < PROCESSES,
            )
        )
    return lines
