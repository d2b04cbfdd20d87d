"""Detection of silent agents from first packets and probes, without state for each flow.

An unanswered first packet alone proves nothing, since a caller can send a packet that requires no
answer. It only starts a series of probes to the agent. An agent that answers none of them, and
sends nothing else either, counts as silent. Probing of a silent agent continues with back-off, and
any datagram from it makes it responsive again.
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
    """Send a probe to the agent of a target."""

    target_number: int
    sequence: int


@dataclass(frozen=True, slots=True)
class BecameSilent:
    """The agent of a target has answered neither first packets nor probes."""

    target_number: int


@dataclass(frozen=True, slots=True)
class BecameResponsive:
    """A datagram came from the silent agent of a target."""

    target_number: int


WatchEffect: TypeAlias = SendProbe | BecameSilent | BecameResponsive


@dataclass(slots=True)
class _ProbeState:
    """The probe state of an agent that has not answered a first packet.

    Attributes:
        next_probe_at: time in seconds at which the next probe is due.
        probes: number of probes sent since the first unanswered packet.
        is_silent: whether the agent counts as silent.
        back_off: seconds from the next probe to the one after it while the agent is silent.
    """

    next_probe_at: float
    probes: int = 0
    is_silent: bool = False
    back_off: float = MINIMUM_BACK_OFF_SECONDS


class FirstPacketWatch:
    """Keeps the probe state of each agent that has not answered yet.

    All times are in seconds. Call `tick` every `WATCH_TICK_SECONDS`, after `datagram_received` was
    called for the datagrams that have arrived by then.
    """

    def __init__(self) -> None:
        self._probe_states: dict[int, _ProbeState] = {}
        self._silent: frozenset[int] = frozenset()
        self._sequence = 0

    @property
    def silent(self) -> frozenset[int]:
        """Return the numbers of targets whose agents count as silent."""
        return self._silent

    def first_packet_sent(self, target_number: int, now: float) -> None:
        """Record that a packet that requires an answer was sent to an agent."""
        if target_number not in self._probe_states:
            self._probe_states[target_number] = _ProbeState(now + FIRST_PROBE_SECONDS)

    def datagram_received(self, target_number: int) -> BecameResponsive | None:
        """Record that a datagram of any kind came from an agent."""
        state = self._probe_states.pop(target_number, None)
        if state is None or not state.is_silent:
            return None
        self._silent -= {target_number}
        return BecameResponsive(target_number)

    def tick(self, now: float) -> Sequence[WatchEffect]:
        """Return the probes that are due and the agents that became silent."""
        effects: list[WatchEffect] = []
        for target_number, state in self._probe_states.items():
            if now < state.next_probe_at:
                continue
            if state.probes >= PROBES_BEFORE_SILENCE and not state.is_silent:
                state.is_silent = True
                self._silent |= {target_number}
                effects.append(BecameSilent(target_number))
            effects.append(self._probe(target_number, state, now))
        return effects

    def keep_only(self, target_numbers: Collection[int]) -> None:
        """Discard the state of all other agents."""
        for target_number in self._probe_states.keys() - set(target_numbers):
            del self._probe_states[target_number]
        self._silent &= frozenset(target_numbers)

    def restart(self, now: float) -> None:
        """Restart the probes to agents that are not silent yet, after a pause of this process."""
        for state in self._probe_states.values():
            if not state.is_silent:
                state.next_probe_at = now + FIRST_PROBE_SECONDS
                state.probes = 0

    def _probe(self, target_number: int, state: _ProbeState, now: float) -> SendProbe:
        self._sequence += 1
        state.probes += 1
        due = state.next_probe_at + PROBE_INTERVAL_SECONDS
        state.next_probe_at = max(due, now + PROBE_INTERVAL_SECONDS / 2)
        if state.is_silent:
            state.next_probe_at = now + state.back_off
            state.back_off = min(2 * state.back_off, MAXIMUM_BACK_OFF_SECONDS)
        return SendProbe(target_number, self._sequence)
