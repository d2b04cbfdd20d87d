"""Finding agents that don't answer, from first packets and probes, without any state of a flow.

A first packet that gets no answer only raises a question, since a caller can send a packet that
deserves none. The question is put to the agent as a few probes. Only an agent that answers none
of these, and sends nothing else either, is taken for silent. A silent agent goes on being probed
with back-off, and any sign of life ends its silence.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import TypeAlias

FIRST_PROBE_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.15
PROBES_BEFORE_SILENCE = 4
MINIMUM_BACK_OFF_SECONDS = 0.25
MAXIMUM_BACK_OFF_SECONDS = 2.0
WATCH_TICK_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask the agent of a target for a sign of life."""

    target_number: int
    sequence: int


@dataclass(frozen=True, slots=True)
class BecameSilent:
    """The agent of a target answered neither first packets nor probes."""

    target_number: int


@dataclass(frozen=True, slots=True)
class BecameResponsive:
    """The silent agent of a target has given a sign of life."""

    target_number: int


WatchEffect: TypeAlias = SendProbe | BecameSilent | BecameResponsive


@dataclass(slots=True)
class _Question:
    """An agent that owes a sign of life.

    Attributes:
        next_probe_at: seconds at which the next probe is due.
        probes: how many probes have been sent since the first unanswered packet.
        is_silent: whether the agent is taken for silent.
        back_off: seconds from the next probe to the one after it while the agent is silent.
    """

    next_probe_at: float
    probes: int = 0
    is_silent: bool = False
    back_off: float = MINIMUM_BACK_OFF_SECONDS


class FirstPacketWatch:
    """Keeps one question for each agent that has not answered yet.

    All times are in seconds. Call `tick` every `WATCH_TICK_SECONDS`, after what has arrived by
    then was handed to `heard_from`.
    """

    def __init__(self) -> None:
        self._questions: dict[int, _Question] = {}
        self._silent: frozenset[int] = frozenset()
        self._sequence = 0

    @property
    def silent(self) -> frozenset[int]:
        """Return the numbers of targets whose agents are taken for silent."""
        return self._silent

    def first_packet_sent(self, target_number: int, now: float) -> None:
        """Note that an agent was sent a packet that it should answer."""
        if target_number not in self._questions:
            self._questions[target_number] = _Question(now + FIRST_PROBE_SECONDS)

    def heard_from(self, target_number: int) -> BecameResponsive | None:
        """Note that anything at all came from an agent."""
        question = self._questions.pop(target_number, None)
        if question is None or not question.is_silent:
            return None
        self._silent -= {target_number}
        return BecameResponsive(target_number)

    def tick(self, now: float) -> Sequence[WatchEffect]:
        """Return the probes that are due and the agents that have become silent."""
        effects: list[WatchEffect] = []
        for target_number, question in self._questions.items():
            if now < question.next_probe_at:
                continue
            if question.probes >= PROBES_BEFORE_SILENCE and not question.is_silent:
                question.is_silent = True
                self._silent |= {target_number}
                effects.append(BecameSilent(target_number))
            effects.append(self._probe(target_number, question, now))
        return effects

    def keep_only(self, target_numbers: Collection[int]) -> None:
        """Forget all agents but these."""
        for target_number in self._questions.keys() - set(target_numbers):
            del self._questions[target_number]
        self._silent &= frozenset(target_numbers)

    def restart(self, now: float) -> None:
        """Ask all open questions afresh, as after a time in which this process did not run."""
        for question in self._questions.values():
            if not question.is_silent:
                question.next_probe_at = now + FIRST_PROBE_SECONDS
                question.probes = 0

    def _probe(self, target_number: int, question: _Question, now: float) -> SendProbe:
        self._sequence += 1
        question.probes += 1
        due = question.next_probe_at + PROBE_INTERVAL_SECONDS
        question.next_probe_at = max(due, now + PROBE_INTERVAL_SECONDS / 2)
        if question.is_silent:
            question.next_probe_at = now + question.back_off
            question.back_off = min(2 * question.back_off, MAXIMUM_BACK_OFF_SECONDS)
        return SendProbe(target_number, self._sequence)
