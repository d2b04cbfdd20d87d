"""Flows that use the ports of earlier ones, in drawn orders with restarts and moves of routes.

An earlier flow has ended at its target, which answers its late packets for a while, or its target
has forgotten it without its agent's knowledge, or holds it still. Targets also leave after their
flows have ended.
"""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from .. import FlowPacket, PacketKind
from .moving_fleet import FIRST
from .scene import SERVICE, flow
from .test_drawn_restarts import DrawnFleet, play

ORDERS, PARTS = 1_600, 4
ENDINGS = ("closed", "closed", "forgotten", "held")
LEAVING_AT_MOST = 2


class ReusingFleet(DrawnFleet):
    """Fleet whose callers use the ports of their earlier flows again."""

    def __init__(self, draw: Random) -> None:
        self._epochs: dict[int, int] = {}
        self._idle_ports: set[int] = set()
        self._left = 0
        super().__init__(draw)

    def sent(
        self, number: int, kind: PacketKind = PacketKind.PLAIN, copy: int = 0, epoch: int = 0
    ) -> FlowPacket:
        return super().sent(number, kind, copy, self._epochs.get(number, 0))

    def happen(self, now: float) -> None:
        match self._draw.choice(("end", "reopen", "leave", "other", "other")):
            case "end":
                self._end_flows(now)
            case "reopen" if not self._away:
                self._reopen_flows(now)
            case "leave":
                self._remove_idle_target(now)
            case _:
                super().happen(now)

    def _end_flows(self, now: float) -> None:
        for number in tuple(self._used_at):
            owner = self.owner(number)
            if self._draw.random() < 0.5 or owner in self._away:
                continue
            ending = self._draw.choice(ENDINGS)
            if ending == "closed":
                if not self.send(number, now).has_arrived:
                    continue
                self.follow(self.balancer(number), self.sent(number, PacketKind.FIN), now)
                self.answer(owner, number, PacketKind.FIN, now)
                self.ended.add((owner, flow(number)))
            elif ending == "held":
                self.half_open.add((owner, flow(number)))
            del self._used_at[number]
            self._idle_ports.add(number)
            self.trace.append(f"{now:.2f} flow {number} {ending} at {owner - FIRST}")

    def _reopen_flows(self, now: float) -> None:
        for number in sorted(self._idle_ports):
            self._epochs[number] = self._epochs.get(number, 0) + 1
            owner = self.open(number, now, copies=self._draw.choice((1, 1, 2)))
            if owner is None:
                continue
            self.ended.discard((owner, flow(number)))
            self._idle_ports.discard(number)
            self._used_at[number] = now
            self.trace.append(f"{now:.2f} flow {number} again at {owner - FIRST}")

    def _remove_idle_target(self, now: float) -> None:
        used = {self.owner(number) for number in self._used_at}
        idle = [host for host in self.targets if host not in used | set(self._away)]
        serving = [host for host in self.targets if self.targets[host].service == SERVICE]
        if not idle or self._left == LEAVING_AT_MOST or len(serving) < 2:
            return
        host = self._draw.choice(idle)
        del self.targets[host]
        self._left += 1
        self.silent.add(host)
        self._away[host] = (now, float("inf"))
        self._publish(set(self._views) - self._behind, now)
        self.trace.append(f"{now:.2f} target {host - FIRST} leaves")


# Guards against resets of open flows by what a process or a target knows of an earlier flow.
@pytest.mark.parametrize("part", range(PARTS))
def test_open_flow_is_not_reset_for_an_earlier_one(part: int) -> None:
    orders = range(part, ORDERS, PARTS)
    found = [each for each in map(partial(play, make_fleet=ReusingFleet), orders) if each]
    assert not found, f"{len(found)} orders: {found[0]}"
