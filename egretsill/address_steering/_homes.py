"""Where flows are, as their owners tell the flows' homes.

An agent tells the homes of a flow once the flow has lived for longer than a request usually does,
again when the homes change, and from time to time, as a home may have started anew. So the state
of a home is its share of the flows, and a flow of a single request costs no message.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence, Set

from ..fleet import PeerTable
from ._candidates import Candidates, ServiceRank
from ._decisions import TellHome
from ._flow_table import FlowTable
from ._packet import FlowKey
from ._tunnel import MAXIMUM_TOLD_FLOWS, HomeNotice

TELL_SECONDS = 0.5  # how often flows are looked at; ten times a usual request's work
TOLD_AGE_SECONDS = 0.4  # younger flows are found at their candidates, and most end before
REPEAT_SECONDS = 10.0  # a home that started anew knows its flows by then; the other one does before
MAXIMUM_HELD = 20_000  # flows, some 5 MB; of too many, those told longest ago are forgotten
HELD_SECONDS = 3 * REPEAT_SECONDS  # two repeats may be lost


class HomeTable:
    """The flows that owners told this agent of."""

    def __init__(self) -> None:
        self._owners: OrderedDict[FlowKey, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._owners)

    def learn(self, notice: HomeNotice, now: float) -> None:
        """Take over what an owner tells."""
        for flow in notice.flows:
            self._owners[flow] = (notice.owner, now)
            self._owners.move_to_end(flow)
        while len(self._owners) > MAXIMUM_HELD:
            self._owners.popitem(last=False)

    def owner(self, flow: FlowKey, since: float = float("-inf")) -> int | None:
        """Return the VM that has a flow, None if nobody told of it.

        Args:
            flow: the flow.
            since: what was told before counts for nothing.
        """
        found = self._owners.get(flow)
        if found is None:
            return None
        owner, told_at = found
        return owner if told_at >= since else None

    def sweep(self, now: float) -> None:
        """Forget what was not told again."""
        while self._owners:
            flow, (_, told_at) = next(iter(self._owners.items()))
            if now - told_at < HELD_SECONDS:
                return
            del self._owners[flow]


class HomeTeller:
    """Tells the homes of an agent's flows.

    Args:
        host: address of the agent; it tells itself nothing.
        service: the service of its target.
        flows: the flows that it knows of.
        candidates: the ranks of the targets, from which homes follow.
        peers: heartbeats of the others; a home that has just started has lost what it was told.
    """

    def __init__(
        self, host: int, service: str, flows: FlowTable, candidates: Candidates, peers: PeerTable
    ) -> None:
        self._host = host
        self._service = service
        self._flows = flows
        self._candidates = candidates
        self._peers = peers
        self._rank: ServiceRank | None = None
        self._new_agents: Set[int] = frozenset()

    def tell(self, now: float) -> Sequence[TellHome]:
        """Return the notices that are due, and note that they are told."""
        rank = self._candidates.of(self._service)
        new_agents = self._peers.new_agents
        forgetful = new_agents - self._new_agents
        is_new_rank = rank is not self._rank
        self._rank, self._new_agents = rank, new_agents
        due: dict[int, list[FlowKey]] = {}
        for flow, entry in self._flows.opened():
            if now - entry.opened_at < TOLD_AGE_SECONDS:
                continue
            is_repeat = now - entry.told_at >= REPEAT_SECONDS
            if not is_repeat and not is_new_rank and forgetful.isdisjoint(entry.homes):
                continue
            homes = rank.homes(flow)
            for home in homes:
                is_lacking = home not in entry.homes or home in forgetful
                if home != self._host and (is_repeat or is_lacking):
                    due.setdefault(home, []).append(flow)
            entry.homes = homes
            if is_repeat:
                entry.told_at = now
        return [
            TellHome(home, HomeNotice(self._host, tuple(told[start : start + MAXIMUM_TOLD_FLOWS])))
            for home, told in due.items()
            for start in range(0, len(told), MAXIMUM_TOLD_FLOWS)
        ]
