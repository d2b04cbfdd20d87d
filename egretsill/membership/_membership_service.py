"""Runs the membership protocol on the timer service and the gossip socket."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from ..configuration import Address
from ..observation import Metrics, StateChange, StateKind, StateLog
from ..supervision import Part, Supervisor
from ..timing import ClockJump, Subscription, TimerService
from ._effects import Effect, MemberChanged, Send
from ._member import Member, MembershipView, MemberState
from ._membership import TICK_SECONDS, Membership
from ._messages import MEMBERSHIP_TYPES, MembershipMessage


class GossipPort(Protocol):
    """The part of the gossip socket's interface that the service uses."""

    def register(
        self, message_types: Iterable[type], handler: Callable[[MembershipMessage, Address], None]
    ) -> None:
        """Call `handler(message, sender)` for each message of these types."""

    def send(self, address: Address, message: object) -> bool:
        """Send a message and return whether it was accepted for sending."""


class MembershipService:
    """Keeps the membership view of a running process up to date.

    Subscribers are called at most once per tick, regardless of how many members changed.
    """

    def __init__(
        self,
        membership: Membership,
        gossip: GossipPort,
        timers: TimerService,
        metrics: Metrics,
        state_log: StateLog,
        supervisor: Supervisor,
    ) -> None:
        self._membership = membership
        self._gossip = gossip
        self._timers = timers
        self._metrics = metrics
        self._state_log = state_log
        self._supervisor = supervisor
        self._subscribers: list[Callable[[MembershipView], None]] = []
        self._announced_version = membership.view.version
        self._tick: Subscription | None = None

    @property
    def own(self) -> Member:
        """Return this process."""
        return self._membership.own

    @property
    def view(self) -> MembershipView:
        """Return the current view of the other processes."""
        return self._membership.view

    @property
    def is_fresh(self) -> bool:
        """Return whether the view is fresh enough to choose where new work goes."""
        return self._membership.is_fresh(self._timers.now)

    def subscribe(self, callback: Callable[[MembershipView], None]) -> None:
        """Call `callback(view)` after the view changes."""
        self._subscribers.append(callback)

    def start(self) -> None:
        """Run the protocol until `stop`."""
        self._gossip.register(MEMBERSHIP_TYPES.values(), self._on_message)
        self._timers.subscribe_jumps(self._on_jump)
        self._tick = self._timers.subscribe(TICK_SECONDS, self._on_tick)

    def on_vm_list(self, members: Sequence[Member]) -> None:
        """Add the processes on the platform's list of VMs as candidates."""
        self._perform(self._membership.on_vm_list(members, self._timers.now))

    def on_targets(self, members: Sequence[Member]) -> None:
        """Add the agents of the configured targets as candidates."""
        self._perform(self._membership.on_targets(members, self._timers.now))

    def leave(self) -> None:
        """Announce that this process accepts no new work."""
        self._perform(self._membership.announce_leaving(self._timers.now))

    def stay(self) -> None:
        """Announce that this process accepts new work again."""
        self._perform(self._membership.announce_available(self._timers.now))

    def stop(self) -> None:
        """Announce that this process ends, and stop running the protocol."""
        with self._supervisor.contain(Part.MEMBERSHIP):
            self._perform(self._membership.announce_stopping(self._timers.now))
        if self._tick is not None:
            self._tick.cancel()
            self._tick = None

    def _on_tick(self, now: float) -> None:
        if self._tick is None:
            return
        self._perform(self._membership.tick(now))
        self._announce()
        self._log_freshness(now)

    def _on_message(self, message: MembershipMessage, sender: Address) -> None:
        if self._tick is not None:
            self._perform(self._membership.on_message(message, sender, self._timers.now))

    def _on_jump(self, jump: ClockJump) -> None:
        if self._tick is not None:
            self._metrics.clock_jumps.increment()
            self._perform(self._membership.on_clock_jump(jump.after))
            self._log_freshness(jump.after)

    def _perform(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            with self._supervisor.contain(Part.MEMBERSHIP):
                match effect:
                    case Send(address, message):
                        self._gossip.send(address, message)
                    case MemberChanged(member, before, after):
                        self._note_change(member, before, after)

    def _note_change(self, member: Member, before: MemberState, after: MemberState) -> None:
        state = after.name.lower()
        self._metrics.membership_changes.increment(state)
        details = {"role": member.role.value, "failure_domain": member.failure_domain}
        self._state_log.record(StateChange(StateKind.MEMBER, member.name, state, details))

    def _announce(self) -> None:
        view = self._membership.view
        if view.version == self._announced_version:
            return
        self._announced_version = view.version
        for (role, state), count in self._membership.counts.items():
            self._metrics.members.set(count, role, state.name.lower())
        for subscriber in self._subscribers:
            with self._supervisor.contain(Part.MEMBERSHIP):
                subscriber(view)

    def _log_freshness(self, now: float) -> None:
        state = "fresh" if self._membership.is_fresh(now) else "stale"
        self._state_log.record(StateChange(StateKind.VIEW, self.own.name, state))
