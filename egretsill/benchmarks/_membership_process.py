"""The membership protocol of one process among many reachable members, in virtual time.

The other members are mirrored: for each datagram that the process sends, it receives one of the
same kind, as in a fleet where all members behave alike.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from ..configuration import Address
from ..membership import (
    MEMBERSHIP_TYPES,
    TICK_SECONDS,
    Effect,
    Member,
    Membership,
    MembershipMessage,
    MemberState,
    Role,
    Send,
)
from ..membership._messages import Ack, Gossip, MemberUpdate, Ping, SyncDigests, SyncEntries
from ..wire import Codec

INCARNATION = 1_700_000_000_000
MEMBERS_PER_BALANCER = 7
FAILURE_DOMAINS = 11
SNAPSHOT_UPDATES = 50
SETTLE_SECONDS = 5.0


@dataclass(slots=True)
class MembershipProcess:
    """The process under test, with the other members and its traffic counters.

    Attributes:
        others: all other members, by gossip endpoint.
        sent_bytes: total payload of the datagrams sent.
        changes: claims about other members received so far.
    """

    membership: Membership
    others: dict[Address, Member]
    codec: Codec[MembershipMessage]
    random: Random
    now: float = 100.0
    sent_bytes: int = 0
    sent: int = 0
    changes: int = 0

    def tick(self) -> None:
        """Advance the time by one tick."""
        self.now += TICK_SECONDS
        self._perform(self.membership.tick(self.now))

    def restart_random_member(self) -> None:
        """Report that a random other member has restarted, and read the new view."""
        self.changes += 1
        member = self.random.choice(list(self.others.values()))
        update = MemberUpdate(
            member.identifier, INCARNATION + self.changes, MemberState.ALIVE.value
        )
        self._receive(Gossip((update,)), member.gossip)
        _ = self.membership.view

    def _perform(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)

    def _send(self, effect: Send) -> None:
        data = self.codec.encode(effect.message)
        self.sent += 1
        self.sent_bytes += len(data)
        member = self.others.get(effect.address)
        if member is None:
            return
        match effect.message:
            case Ping(sequence=sequence, target=target):
                reply = Ack(sequence, member.identifier, INCARNATION, True)
                self._receive(reply, effect.address)
                own = self.membership.own.identifier
                if target != own:
                    self._receive(
                        Ping(sequence, member.identifier, INCARNATION, own), member.gossip
                    )
            case SyncDigests():
                request = replace(effect.message, sender=member.identifier)
                self._receive(request, effect.address)

    def _receive(self, message: MembershipMessage, sender: Address) -> None:
        decoded = self.codec.decode(self.codec.encode(message))
        self._perform(self.membership.on_message(decoded, sender, self.now))


def make_process(members: int) -> MembershipProcess:
    """Return a process in a fleet of so many members, itself included, once it has settled."""
    random = Random(members)
    own, *others = [_member(number) for number in range(1, members + 1)]
    membership = Membership(own, INCARNATION, random, 100.0)
    process = MembershipProcess(
        membership,
        {each.gossip: each for each in others},
        Codec("membership", MEMBERSHIP_TYPES),
        random,
    )
    membership.on_targets(others, process.now)
    updates = [MemberUpdate(each.identifier, INCARNATION, 0) for each in others]
    for first in range(0, len(updates), SNAPSHOT_UPDATES):
        batch = tuple(updates[first : first + SNAPSHOT_UPDATES])
        entries = SyncEntries(0, 0, 1, False, batch)
        membership.on_message(entries, others[0].gossip, process.now)
    run_process(process, SETTLE_SECONDS)
    return process


def run_process(process: MembershipProcess, seconds: float, changes: int = 0) -> None:
    """Advance the time, with the given number of member restarts spread evenly over it."""
    ticks = round(seconds / TICK_SECONDS)
    for tick in range(ticks):
        process.tick()
        if tick * changes // ticks != (tick + 1) * changes // ticks:
            process.restart_random_member()


def _member(number: int) -> Member:
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    is_balancer = number % MEMBERS_PER_BALANCER == 0
    return Member(
        name=f"member-{number}",
        role=Role.BALANCER if is_balancer else Role.AGENT,
        target_number=0 if is_balancer else number,
        gossip=Address(host, 7003),
        tunnel=Address(host, 7001),
        relay=Address(host, 7002),
        failure_domain=f"domain-{number % FAILURE_DOMAINS}",
    )
