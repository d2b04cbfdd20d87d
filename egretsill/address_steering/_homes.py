"""Location of flows, announced by their owners to the home agents of each flow.

An agent notifies the homes of a flow once the flow is older than a usual request takes, again when
the homes change, and periodically because a home may have restarted. Each home therefore stores
only its share of the flows, and a flow of a single request costs no message.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence, Set
from dataclasses import dataclass

from ..fleet import PeerTable
from ._candidates import Candidates, ServiceRank
from ._decisions import NotifyHome
from ._flow_table import FlowEntry, FlowTable
from ._packet import FlowKey, FlowPacket
from ._sequence_numbers import is_continuation
from ._tunnel import MAXIMUM_NOTICE_FLOWS, HomeNotice

# Interval between checks for due notices; ten times a usual request's work.
HOME_NOTICE_INTERVAL_SECONDS = 0.5
ANNOUNCEMENT_AGE_SECONDS = 0.4  # most flows end earlier; younger ones are found at candidates
REPEAT_SECONDS = 10.0  # a restarted home knows its flows by then; the other home knows them already
MAXIMUM_FLOW_RECORDS = 2  # of one key; an agent may not know yet that an earlier flow has ended
MAXIMUM_SENT_BYTES = 2**24  # that a caller sends on a flow between two notices of it
MAXIMUM_RECORDED_FLOWS = 20_000  # about 5 MB; the least recently announced ones are evicted
RECORD_LIFETIME_SECONDS = 3 * REPEAT_SECONDS  # two repeats may be lost


@dataclass(frozen=True, slots=True)
class _FlowRecord:
    """What an owner announced of one flow.

    Attributes:
        owner: its VM.
        announced_at: when.
        sequence: number of the caller's next byte then; 0 if unknown.
    """

    owner: int
    announced_at: float
    sequence: int

    def may_be_of(self, packet: FlowPacket) -> bool:
        """Return whether a packet with the flow's key may belong to the flow."""
        if not self.sequence:
            return True
        return is_continuation(packet.sequence, self.sequence, MAXIMUM_SENT_BYTES)


class HomeTable:
    """The flows that owners announced to this agent as their home.

    Callers use ports again, so several flows may have the same key, one after the other.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[FlowKey, tuple[_FlowRecord, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record(self, notice: HomeNotice, now: float) -> None:
        """Record the flows in an owner's notice."""
        for flow, sequence in zip(notice.flows, notice.known_sequences, strict=True):
            record = _FlowRecord(notice.owner, now, sequence)
            others = (each for each in self._records.get(flow, ()) if each.owner != notice.owner)
            self._records[flow] = (record, *others)[:MAXIMUM_FLOW_RECORDS]
            self._records.move_to_end(flow)
        while len(self._records) > MAXIMUM_RECORDED_FLOWS:
            self._records.popitem(last=False)

    def owner(
        self, packet: FlowPacket, visited: Collection[int], since: float = float("-inf")
    ) -> int | None:
        """Return the VM that announced the flow of a packet last, None if none did.

        Args:
            packet: the packet.
            visited: VMs that have denied the flow.
            since: announcements received before this time are ignored.
        """
        for record in self._records.get(packet.flow, ()):
            is_recent = record.announced_at >= since
            if is_recent and record.owner not in visited and record.may_be_of(packet):
                return record.owner
        return None

    def sweep(self, now: float) -> None:
        """Remove the flows whose announcement was not repeated in time."""
        while self._records:
            flow, records = next(iter(self._records.items()))
            if now - records[0].announced_at < RECORD_LIFETIME_SECONDS:
                return
            del self._records[flow]


class HomeNotifier:
    """Creates the notices to the homes of an agent's flows.

    Args:
        host: address of the agent, which sends no notice to itself.
        service: the service of its target.
        flows: the flows that it knows of.
        candidates: the ranks of the targets, which determine the homes.
        peers: heartbeats of the other processes; a restarted home has lost its records.
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

    def take_due_notices(self, now: float) -> Sequence[NotifyHome]:
        """Return the notices that are due, and mark them as sent."""
        rank = self._candidates.of(self._service)
        new_agents = self._peers.new_agents
        restarted_agents = new_agents - self._new_agents
        is_new_rank = rank is not self._rank
        announced: list[tuple[FlowEntry, Sequence[int], bool]] = []
        due: dict[int, list[tuple[FlowKey, int]]] = {}
        for flow, entry in self._flows.open_flows():
            if now - entry.first_packet_at < ANNOUNCEMENT_AGE_SECONDS:
                continue
            is_repeat = now - entry.announced_at >= REPEAT_SECONDS
            if not is_repeat and not is_new_rank and restarted_agents.isdisjoint(entry.homes):
                continue
            homes = rank.homes(flow)
            for home in homes:
                is_uninformed = home not in entry.homes or home in restarted_agents
                if home != self._host and (is_repeat or is_uninformed):
                    due.setdefault(home, []).append((flow, entry.next_sequence or 0))
            announced.append((entry, homes, is_repeat))
        notices = [
            NotifyHome(home, self._notice(announced_flows[start : start + MAXIMUM_NOTICE_FLOWS]))
            for home, announced_flows in due.items()
            for start in range(0, len(announced_flows), MAXIMUM_NOTICE_FLOWS)
        ]
        # Assigned last: if a step fails, the notices stay due.
        self._rank, self._new_agents = rank, new_agents
        for entry, homes, is_repeat in announced:
            entry.homes = homes
            if is_repeat:
                entry.announced_at = now
        return notices

    def _notice(self, announced: Sequence[tuple[FlowKey, int]]) -> HomeNotice:
        flows, sequences = zip(*announced, strict=True)
        return HomeNotice(self._host, flows, sequences)
