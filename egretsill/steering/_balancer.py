"""The balancer: forwards callers' datagrams to agents and agents' replies to callers."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial

import trio

from ..configuration import Address, Bundle
from ..supervision import Part, Supervisor
from ..timing import ClockJump, TimerService
from ..wire import (
    BATCH_DATAGRAMS,
    MAXIMUM_DATAGRAM_BYTES,
    SOCKET_BUFFER_BYTES,
    MalformedMessage,
    close_datagram_socket,
    open_datagram_socket,
    read_batches,
)
from ._connection_id import ConnectionIdCodec
from ._counters import BalancerCounters
from ._first_packets import (
    WATCH_TICK_SECONDS,
    BecameResponsive,
    BecameSilent,
    FirstPacketWatch,
    SendProbe,
    WatchEffect,
)
from ._routes import (
    PLACEMENT_DELAY_SECONDS,
    RETENTION_SECONDS,
    AgentIdentity,
    Forward,
    ForwardKind,
)
from ._source_limit import SourceLimit
from ._steering import Drop, DropReason, Steering, always_true
from ._tunnel import (
    AgentProbe,
    AgentProbeAnswer,
    CallerPacketEncoder,
    OwnerNotice,
    ReplyFields,
    decode_reply,
    make_tunnel_codec,
)
from ._view import RetainedTarget, SteeringView

BIND_RETRY_SECONDS = 1.0

_TUNNEL_OVERHEAD_BYTES = 256


@dataclass(frozen=True, slots=True)
class _Listener:
    """The socket of one service address."""

    service_address: Address
    socket: socket.socket


class Balancer:
    """One balancer of a fleet, on one trio loop.

    Args:
        timer: the process's timer service.
        tunnel_address: local endpoint for traffic with agents; port 0 picks a free port.
        codec: reads owner IDs.
        supervisor: contains unexpected exceptions of single datagrams.
        listen: returns the local address to bind for a service address, for fabrics that deliver
            packets at another address than the published one.
        source_limit: limit on first packets for each source.
        placement_delay_seconds: how long first packets avoid a new target.
        may_place: returns whether the view is fresh enough to place new flows; it is not right
            after a scheduling pause.
    """

    def __init__(
        self,
        timer: TimerService,
        tunnel_address: Address,
        codec: ConnectionIdCodec,
        supervisor: Supervisor,
        listen: Callable[[Address], Address] | None = None,
        source_limit: SourceLimit | None = None,
        placement_delay_seconds: float = PLACEMENT_DELAY_SECONDS,
        may_place: Callable[[], bool] = always_true,
    ) -> None:
        self._timer = timer
        self._supervisor = supervisor
        self._listen = listen or (lambda service_address: service_address)
        self._steering = Steering(codec, source_limit, placement_delay_seconds, may_place)
        self._watch = FirstPacketWatch()
        self._tunnel_codec = make_tunnel_codec()
        self._encoder = CallerPacketEncoder()
        self._tunnel = open_datagram_socket(
            tunnel_address, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES
        )
        self._listeners: dict[tuple[str, int], _Listener] = {}
        self._unbound: set[Address] = set()
        self._nursery: trio.Nursery | None = None
        self._counters = BalancerCounters()

    @property
    def counters(self) -> BalancerCounters:
        """Return the totals since the start of the process."""
        return self._counters

    @property
    def tunnel_address(self) -> Address:
        """Return the bound tunnel endpoint."""
        return Address(*self._tunnel.getsockname()[:2])

    @property
    def silent_targets(self) -> frozenset[int]:
        """Return the numbers of targets whose agents did not answer probes of this balancer."""
        return self._watch.silent

    @property
    def unbound_addresses(self) -> frozenset[Address]:
        """Return the service addresses that could not be bound; binding them is retried."""
        return frozenset(self._unbound)

    @property
    def retained_targets(self) -> Sequence[RetainedTarget]:
        """Return the targets that have left the configuration but still receive their packets."""
        return self._steering.retained_targets

    def local_address(self, service_address: Address) -> Address | None:
        """Return the address bound for a service address, or None if there is none."""
        listener = self._listeners.get(service_address)
        return Address(*listener.socket.getsockname()[:2]) if listener else None

    def apply_bundle(self, bundle: Bundle) -> None:
        """Replace the configuration; opens and closes service sockets accordingly."""
        self._steering.apply_bundle(bundle, self._timer.now)
        self._watch.keep_only(self._steering.target_numbers)
        self._steering.update_silent(self._watch.silent)
        self._update_listeners()

    def update_view(self, view: SteeringView) -> None:
        """Replace the view that first packets are placed by."""
        self._steering.update_view(view)

    def retain(self, targets: Iterable[RetainedTarget]) -> None:
        """Retain targets reported by a peer.

        They left the configuration before this process read it.
        """
        self._steering.retain(targets, self._timer.now)
        self._update_listeners()

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Replace the connection ID keys."""
        self._steering.replace_codec(codec)

    async def run(self) -> None:
        """Forward packets until cancelled, then close all sockets; can run only once."""
        self._timer.subscribe_jumps(self._restart_watch)
        tick = self._timer.subscribe(WATCH_TICK_SECONDS, self._tick)
        retry = self._timer.subscribe(BIND_RETRY_SECONDS, self._retry_listeners)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(
                    self._supervisor.run,
                    Part.TUNNEL,
                    partial(
                        read_batches,
                        self._tunnel,
                        self._handle_tunnel_batch,
                        note_error=partial(self._supervisor.note_failure, Part.TUNNEL),
                    ),
                )
                for listener in self._listeners.values():
                    self._start_reading(listener)
        finally:
            self._nursery = None
            tick.cancel()
            retry.cancel()
            self.close()

    def close(self) -> None:
        """Close all sockets."""
        for listener in self._listeners.values():
            close_datagram_socket(listener.socket)
        self._listeners.clear()
        close_datagram_socket(self._tunnel)

    def _retry_listeners(self, _: float) -> None:
        if self._unbound:
            self._update_listeners()

    def _update_listeners(self) -> None:
        self._unbound.clear()
        wanted = set(self._steering.listening_addresses)
        for service_address in self._listeners.keys() - wanted:
            close_datagram_socket(self._listeners.pop(service_address).socket)
        for service_address in sorted(wanted - self._listeners.keys()):
            self._open_listener(service_address)

    def _open_listener(self, service_address: Address) -> None:
        try:
            opened = open_datagram_socket(
                self._listen(service_address), SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES
            )
        except OSError:
            self._counters.bind_failures += 1
            self._unbound.add(service_address)
            return
        except Exception as error:  # The other addresses are opened all the same.
            self._supervisor.note_failure(Part.PACKETS, error)
            self._unbound.add(service_address)
            return
        listener = _Listener(service_address, opened)
        self._listeners[service_address] = listener
        if self._nursery is not None:
            self._start_reading(listener)

    def _start_reading(self, listener: _Listener) -> None:
        if self._nursery is not None:
            read = partial(
                read_batches,
                listener.socket,
                partial(self._forward_service_batch, listener),
                note_error=partial(self._supervisor.note_failure, Part.PACKETS),
            )
            # It ends when the address leaves the configuration.
            self._nursery.start_soon(
                partial(self._supervisor.run, may_end=True), Part.PACKETS, read
            )

    def _forward_service_batch(self, listener: _Listener) -> bool:
        """Forward one batch of callers' datagrams; return whether more may be waiting."""
        now = self._timer.now
        receive = listener.socket.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, caller = receive(MAXIMUM_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return False
            try:
                self._forward_caller_datagram(listener.service_address, caller, datagram, now)
            except Exception as error:  # It costs this datagram only.
                self._supervisor.note_failure(Part.PACKETS, error)
        return True

    def _forward_caller_datagram(
        self, service_address: Address, caller: tuple[str, int], datagram: bytes, now: float
    ) -> None:
        if len(datagram) > MAXIMUM_DATAGRAM_BYTES:
            self._counters.drops[DropReason.OVERSIZED] += 1
            return
        decision = self._steering.steer(service_address, caller[0], datagram, now)
        if isinstance(decision, Drop):
            self._counters.drops[decision.reason] += 1
            return
        self._forward(decision, service_address, caller, datagram, now)

    def _forward(
        self,
        forward: Forward,
        service_address: Address,
        caller: tuple[str, int],
        datagram: bytes,
        now: float,
    ) -> None:
        packet = self._encoder.encode(caller, service_address, forward.service_number, datagram)
        if not self._send(self._tunnel, packet, forward.tunnel):
            return
        self._counters.forwarded += 1
        match forward.kind:
            case ForwardKind.FIRST_PACKET:
                self._counters.first_packets += 1
                self._watch.first_packet_sent(forward.target_number, now)
            case ForwardKind.UNKNOWN_OWNER:
                self._counters.inquiries += 1

    def _handle_tunnel_batch(self) -> bool:
        """Handle one batch of agents' datagrams; return whether more may be waiting."""
        receive = self._tunnel.recvfrom
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, source = receive(MAXIMUM_DATAGRAM_BYTES + _TUNNEL_OVERHEAD_BYTES + 1)
            except BlockingIOError:
                return False
            try:
                self._handle_agent_datagram(data, source[:2])
            except Exception as error:  # It costs this datagram only.
                self._supervisor.note_failure(Part.TUNNEL, error)
        return True

    def _handle_agent_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        agent = self._steering.agent_by_tunnel(source)
        if agent is None:
            self._counters.drops[DropReason.UNKNOWN_AGENT] += 1
            return
        reply = decode_reply(data)
        if reply is not None:
            self._record_traffic(agent)
            self._reply(agent, reply)
            return
        try:
            message = self._tunnel_codec.decode(data)
        except MalformedMessage:
            self._counters.drops[DropReason.MALFORMED_MESSAGE] += 1
            return
        self._record_traffic(agent)
        match message:
            case AgentProbeAnswer():
                pass
            case OwnerNotice():
                self._retain_owner(agent, message)
            case _:
                self._counters.drops[DropReason.UNEXPECTED_MESSAGE] += 1

    def _reply(self, agent: AgentIdentity, reply: ReplyFields) -> None:
        """Send an agent's datagram to a caller, from an address of the agent's own service."""
        caller, service_address, payload = reply
        listener = self._listeners.get(service_address)
        if listener is None or not self._steering.serves(agent, service_address):
            self._counters.drops[DropReason.FOREIGN_REPLY] += 1
            return
        if self._send(listener.socket, payload, caller):
            self._counters.replied += 1

    def _retain_owner(self, agent: AgentIdentity, notice: OwnerNotice) -> None:
        """Route a target's packets to the endpoint reported by an agent of the same service."""
        if notice.service_number != agent.service_number:
            self._counters.drops[DropReason.FOREIGN_OWNER] += 1
            return
        self._counters.owner_notices += 1
        tunnel = Address(notice.tunnel_host, notice.tunnel_port)
        expires_at = self._timer.now + RETENTION_SECONDS
        self.retain(
            [RetainedTarget(notice.target_number, notice.service_number, tunnel, expires_at)]
        )

    def _send(self, sender: socket.socket, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram; on failure count the reason and return False."""
        try:
            sender.sendto(data, address)
        except BlockingIOError:
            self._counters.drops[DropReason.SEND_BLOCKED] += 1
            return False
        except OSError:
            self._counters.drops[DropReason.SEND_FAILED] += 1
            return False
        return True

    def _record_traffic(self, agent: AgentIdentity) -> None:
        effect = self._watch.datagram_received(agent.target_number)
        if effect is not None:
            self._apply_watch_effect(effect)

    def _tick(self, now: float) -> None:
        for effect in self._watch.tick(now):
            self._apply_watch_effect(effect)

    def _apply_watch_effect(self, effect: WatchEffect) -> None:
        match effect:
            case SendProbe(target_number, sequence):
                self._send_probe(target_number, sequence)
            case BecameSilent():
                self._counters.became_silent += 1
                self._steering.update_silent(self._watch.silent)
            case BecameResponsive():
                self._counters.became_responsive += 1
                self._steering.update_silent(self._watch.silent)

    def _send_probe(self, target_number: int, sequence: int) -> None:
        tunnel = self._steering.tunnel_of(target_number)
        if tunnel is None:
            return
        if self._send(self._tunnel, self._tunnel_codec.encode(AgentProbe(sequence)), tunnel):
            self._counters.probes += 1

    def _restart_watch(self, jump: ClockJump) -> None:
        self._watch.restart(jump.after)
