"""The decision where a packet goes, from the packet, the configuration and a view of agents.

An owner ID always wins: its packet goes to the owner whatever the view says of it, and for
`RETENTION_SECONDS` after the owner or the service address has left the configuration. A packet
of an owner that is not known here goes to another agent of the service, which may know it. Only
first packets are placed by rank and by view, and new targets get none for
`PLACEMENT_DELAY_SECONDS`.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import Address, Bundle
from ..ranking import first_unavoided, rank
from ._connection_id import CONNECTION_ID_BYTES, ConnectionIdCodec, is_owner, service_number_of
from ._packet import MalformedPacket, MalformedReason, parse_packet
from ._routes import (
    PLACEMENT_DELAY_SECONDS,
    AgentIdentity,
    Forward,
    RoutingTable,
    ServiceRoutes,
)
from ._source_limit import SourceLimit
from ._view import RetainedTarget, SteeringView, avoidance

_SHORT_HEADER_END = 1 + CONNECTION_ID_BYTES
_LONG_HEADER_BIT = 0x80


class DropReason(enum.Enum):
    """Why a balancer sends a packet nowhere."""

    UNKNOWN_ADDRESS = "unknown-address"
    RETIRED_ADDRESS = "retired-address"
    UNDECODABLE_ID = "undecodable-id"
    FOREIGN_OWNER = "foreign-owner"
    UNKNOWN_OWNER = "unknown-owner"
    NO_TARGET = "no-target"
    SOURCE_LIMIT = "source-limit"
    STALE_VIEW = "stale-view"
    TRUNCATED = "truncated"
    UNSUPPORTED_VERSION = "unsupported-version"
    CONNECTION_ID_TOO_LONG = "connection-id-too-long"
    INITIAL_TOO_SMALL = "initial-too-small"
    OVERSIZED = "oversized"
    SEND_BLOCKED = "send-blocked"
    SEND_FAILED = "send-failed"
    UNKNOWN_AGENT = "unknown-agent"
    MALFORMED_MESSAGE = "malformed-message"
    UNEXPECTED_MESSAGE = "unexpected-message"
    FOREIGN_REPLY = "foreign-reply"


@dataclass(frozen=True, slots=True)
class Drop:
    """The packet goes nowhere."""

    reason: DropReason


Decision: TypeAlias = Forward | Drop

_DROPS: Mapping[DropReason, Drop] = {reason: Drop(reason) for reason in DropReason}
_MALFORMED: Mapping[MalformedReason, Drop] = {
    reason: _DROPS[DropReason(reason.value)] for reason in MalformedReason
}
_UNKNOWN_ADDRESS = _DROPS[DropReason.UNKNOWN_ADDRESS]
_RETIRED_ADDRESS = _DROPS[DropReason.RETIRED_ADDRESS]
_UNDECODABLE_ID = _DROPS[DropReason.UNDECODABLE_ID]
_FOREIGN_OWNER = _DROPS[DropReason.FOREIGN_OWNER]
_UNKNOWN_OWNER = _DROPS[DropReason.UNKNOWN_OWNER]
_NO_TARGET = _DROPS[DropReason.NO_TARGET]
_SOURCE_LIMIT = _DROPS[DropReason.SOURCE_LIMIT]
_STALE_VIEW = _DROPS[DropReason.STALE_VIEW]


def always() -> bool:
    """Return that new flows may be placed."""
    return True


class Steering:
    """Steers packets by one balancer's configuration and view; all times are in seconds.

    Args:
        codec: reads owner IDs; it may be replaced while keys rotate.
        source_limit: bound on first packets by source.
        placement_delay_seconds: for how long first packets keep away from a new target.
        may_place: returns whether the view may place new flows. While it must not, first packets
            are dropped and counted: callers send them again, and by then the view is fresh.
    """

    def __init__(
        self,
        codec: ConnectionIdCodec,
        source_limit: SourceLimit | None = None,
        placement_delay_seconds: float = PLACEMENT_DELAY_SECONDS,
        may_place: Callable[[], bool] = always,
    ) -> None:
        self._codec = codec
        self._may_place = may_place
        self._source_limit = source_limit or SourceLimit()
        self._table = RoutingTable(placement_delay_seconds)
        self._next_maturity = math.inf
        self._view = SteeringView()
        self._silent: frozenset[int] = frozenset()
        self._avoided: frozenset[int] = frozenset()
        self._avoidance: Sequence[frozenset[int]] = (self._avoided,)

    @property
    def listening_addresses(self) -> Sequence[Address]:
        """Return the service addresses to take packets on, those lately removed included."""
        return self._table.addresses

    @property
    def target_numbers(self) -> frozenset[int]:
        """Return the numbers of the targets in the configuration."""
        return self._table.target_numbers

    @property
    def retained_targets(self) -> Sequence[RetainedTarget]:
        """Return the targets that have left the configuration but still get their packets."""
        return self._table.retained_targets

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Use other connection ID keys from now on."""
        self._codec = codec

    def apply_bundle(self, bundle: Bundle, now: float) -> None:
        """Steer by this configuration from now on."""
        self._table.apply_bundle(bundle, now)
        self._combine_views(now)

    def retain(self, targets: Iterable[RetainedTarget], now: float) -> None:
        """Learn from a peer which targets left the configuration before this process knew it."""
        self._table.retain(targets, now)

    def update_view(self, view: SteeringView) -> None:
        """Place first packets by this view from now on."""
        self._view = view
        self._next_maturity = -math.inf

    def update_silent(self, target_numbers: frozenset[int]) -> None:
        """Keep first packets away from agents that this balancer finds silent."""
        self._silent = target_numbers
        self._next_maturity = -math.inf

    def agent_at(self, tunnel: tuple[str, int]) -> AgentIdentity | None:
        """Return whose tunnel endpoint this is, or None."""
        return self._table.agents.get(tunnel)

    def serves(self, agent: AgentIdentity, service_address: tuple[str, int]) -> bool:
        """Return whether a service address belongs to an agent's service."""
        routes = self._table.routes.get(service_address)
        return routes is not None and routes.service_number == agent.service_number

    def tunnel_of(self, target_number: int) -> Address | None:
        """Return the tunnel endpoint of a target's agent, or None if it is not known."""
        return self._table.tunnel_of(target_number)

    def steer(
        self, service_address: tuple[str, int], caller_host: str, datagram: bytes, now: float
    ) -> Decision:
        """Return where a datagram that came in on a service address goes.

        Never raises, whatever the datagram holds. The decisions returned are shared values.
        """
        routes = self._table.routes.get(service_address)
        if routes is None:
            return _UNKNOWN_ADDRESS
        if len(datagram) > _SHORT_HEADER_END and datagram[0] < _LONG_HEADER_BIT:
            owner = self._codec.decode_owner_bytes(datagram[1:_SHORT_HEADER_END])
            if owner is None:
                return _UNDECODABLE_ID
            return routes.owners.get(owner) or self._steer_unknown_owner(routes, owner, now)
        header = parse_packet(datagram)
        if isinstance(header, MalformedPacket):
            return _MALFORMED[header.reason]
        if len(header.connection_id) == CONNECTION_ID_BYTES:
            owned = self._steer_long_owned(routes, header.connection_id, now)
            if owned is not None:
                return owned
        if not header.may_open:
            return _UNDECODABLE_ID
        return self._steer_first(routes, caller_host, header.connection_id, now)

    def _steer_long_owned(
        self, routes: ServiceRoutes, connection_id: bytes, now: float
    ) -> Decision | None:
        """Return where a long header's owner ID leads, or None if the caller made up the ID."""
        owner = self._codec.decode_owner_bytes(connection_id)
        if owner is None:
            return None
        forward = routes.owners.get(owner)
        if forward is not None:
            return forward
        return self._steer_unknown_owner(routes, owner, now) if is_owner(owner) else None

    def _steer_first(
        self, routes: ServiceRoutes, caller_host: str, key: bytes, now: float
    ) -> Decision:
        """Return the agent that a new flow goes to."""
        if not routes.takes_first_packets:
            return _RETIRED_ADDRESS
        if not self._source_limit.admits(caller_host, now):
            return _SOURCE_LIMIT
        if not self._may_place():
            return _STALE_VIEW
        if now >= self._next_maturity:
            self._combine_views(now)
        winner = routes.winners.winner(key)
        if winner is None:
            return _NO_TARGET
        if winner not in self._avoided:
            return routes.first_packets[winner]
        return self._place_by_rank(routes, key)

    def _place_by_rank(self, routes: ServiceRoutes, key: bytes) -> Decision:
        """Return the first agent in rank that is not avoided, or the least bad one.

        An agent that only seems silent may be well, so it is tried before a draining one.
        """
        ranked = rank(key, routes.winners.target_numbers)
        target_number = first_unavoided(ranked, self._avoidance)
        if target_number is None:
            return _NO_TARGET
        return routes.first_packets[target_number]

    def _steer_unknown_owner(self, routes: ServiceRoutes, owner: bytes, now: float) -> Decision:
        """Return an agent of the service that may know the owner, or why there is none."""
        if now >= self._next_maturity:
            self._combine_views(now)
        if not is_owner(owner):
            return _UNDECODABLE_ID
        if service_number_of(owner) != routes.service_number:
            return _FOREIGN_OWNER
        ranked = rank(owner, routes.winners.target_numbers)
        target_number = first_unavoided(ranked, self._avoidance)
        if target_number is None:
            return _UNKNOWN_OWNER
        return routes.inquiries[target_number]

    def _combine_views(self, now: float) -> None:
        self._next_maturity = self._table.next_maturity(now)
        self._avoidance = avoidance(
            self._view, self._silent, self._table.draining, self._table.new_targets(now)
        )
        self._avoided = self._avoidance[0]
