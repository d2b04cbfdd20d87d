"""A balancer's steering decision, from the packet, the configuration and a view of agents.

A packet with an owner ID goes to the owner whatever the view says about it, and for
`RETENTION_SECONDS` after the owner or the service address has left the configuration. If the owner
is unknown, the packet goes to another agent of the service, which may know it. Only first packets
are placed by rank and by view, and new targets get none for `PLACEMENT_DELAY_SECONDS`.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import Address, Bundle
from ..ranking import first_not_avoided, rank
from ._connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    has_valid_check_bytes,
    service_number_of,
)
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
    """Why a balancer drops a packet."""

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
    """The packet is dropped."""

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


def always_true() -> bool:
    """Return True: the default of `may_place`."""
    return True


class Steering:
    """Steers packets by one balancer's configuration and view; all times are in seconds.

    Args:
        codec: reads owner IDs; replaced when keys rotate.
        source_limit: limit on first packets for each source.
        placement_delay_seconds: how long first packets avoid a new target.
        may_place: returns whether the view is fresh enough to place new flows. While it is not,
            first packets are dropped and counted: callers retransmit them, and by then the view is
            fresh.
    """

    def __init__(
        self,
        codec: ConnectionIdCodec,
        source_limit: SourceLimit | None = None,
        placement_delay_seconds: float = PLACEMENT_DELAY_SECONDS,
        may_place: Callable[[], bool] = always_true,
    ) -> None:
        self._codec = codec
        self._may_place = may_place
        self._source_limit = source_limit or SourceLimit()
        self._table = RoutingTable(placement_delay_seconds)
        self._avoidance_expires_at = math.inf
        self._view = SteeringView()
        self._silent: frozenset[int] = frozenset()
        self._avoided: frozenset[int] = frozenset()
        self._avoidance: Sequence[frozenset[int]] = (self._avoided,)

    @property
    def listening_addresses(self) -> Sequence[Address]:
        """Return the service addresses to listen on, including recently removed ones."""
        return self._table.addresses

    @property
    def target_numbers(self) -> frozenset[int]:
        """Return the numbers of the targets in the configuration."""
        return self._table.target_numbers

    @property
    def retained_targets(self) -> Sequence[RetainedTarget]:
        """Return the targets that have left the configuration but still receive their packets."""
        return self._table.retained_targets

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Replace the connection ID keys."""
        self._codec = codec

    def apply_bundle(self, bundle: Bundle, now: float) -> None:
        """Replace the configuration."""
        self._table.apply_bundle(bundle, now)
        self._combine_views(now)

    def retain(self, targets: Iterable[RetainedTarget], now: float) -> None:
        """Retain targets reported by a peer.

        They left the configuration before this process read it.
        """
        self._table.retain(targets, now)

    def update_view(self, view: SteeringView) -> None:
        """Replace the view that first packets are placed by."""
        self._view = view
        self._avoidance_expires_at = -math.inf

    def update_silent(self, target_numbers: frozenset[int]) -> None:
        """Replace the set of targets whose agents are silent; they are avoided by first packets."""
        self._silent = target_numbers
        self._avoidance_expires_at = -math.inf

    def agent_by_tunnel(self, tunnel: tuple[str, int]) -> AgentIdentity | None:
        """Return the agent at a tunnel endpoint, or None if there is none."""
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
        """Return the decision for a datagram received at a service address.

        Never raises, whatever the datagram contains. The returned decisions are shared objects.
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
        """Return the decision for a long header's ID, or None if the caller chose the ID."""
        owner = self._codec.decode_owner_bytes(connection_id)
        if owner is None:
            return None
        forward = routes.owners.get(owner)
        if forward is not None:
            return forward
        return (
            self._steer_unknown_owner(routes, owner, now) if has_valid_check_bytes(owner) else None
        )

    def _steer_first(
        self, routes: ServiceRoutes, caller_host: str, key: bytes, now: float
    ) -> Decision:
        """Return the decision for a first packet."""
        if not routes.takes_first_packets:
            return _RETIRED_ADDRESS
        if not self._source_limit.admits(caller_host, now):
            return _SOURCE_LIMIT
        if not self._may_place():
            return _STALE_VIEW
        if now >= self._avoidance_expires_at:
            self._combine_views(now)
        winner = routes.winners.winner(key)
        if winner is None:
            return _NO_TARGET
        if winner not in self._avoided:
            return routes.first_packets[winner]
        return self._place_by_rank(routes, key)

    def _place_by_rank(self, routes: ServiceRoutes, key: bytes) -> Decision:
        """Return the route to the first agent in rank that is not avoided, or to the best other.

        An agent that seems silent may still be reachable, so it is tried before a draining one.
        """
        ranked = rank(key, routes.winners.target_numbers)
        target_number = first_not_avoided(ranked, self._avoidance)
        if target_number is None:
            return _NO_TARGET
        return routes.first_packets[target_number]

    def _steer_unknown_owner(self, routes: ServiceRoutes, owner: bytes, now: float) -> Decision:
        """Return the route to an agent of the service that may know the owner, or a drop."""
        if now >= self._avoidance_expires_at:
            self._combine_views(now)
        if not has_valid_check_bytes(owner):
            return _UNDECODABLE_ID
        if service_number_of(owner) != routes.service_number:
            return _FOREIGN_OWNER
        ranked = rank(owner, routes.winners.target_numbers)
        target_number = first_not_avoided(ranked, self._avoidance)
        if target_number is None:
            return _UNKNOWN_OWNER
        return routes.inquiries[target_number]

    def _combine_views(self, now: float) -> None:
        self._avoidance_expires_at = self._table.next_placement_delay_end(now)
        self._avoidance = avoidance(
            self._view, self._silent, self._table.draining, self._table.new_targets(now)
        )
        self._avoided = self._avoidance[0]
