"""What the emulated world needs from an adapter: packets and a store as they are published."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol

import trio

from ..address_steering import FlowKey, PacketCodec
from ..directory import RouteTable, Store, Target
from ..endpoints import Address


class SegmentFlag(enum.Flag):
    """What a segment does to its flow."""

    NONE = 0
    OPEN = enum.auto()
    ACKNOWLEDGE = enum.auto()
    CLOSE = enum.auto()
    RESET = enum.auto()
    BOUNCED = enum.auto()


@dataclass(frozen=True, slots=True)
class Segment:
    """A packet of a flow, as its ends see it.

    Attributes:
        flow: the same in both directions.
        is_from_caller: which end sent it.
        flags: what it does.
        sequence: number of its first byte.
        acknowledged: number of the next byte that its sender expects; of an opening segment, how
            many were sent before it.
        payload: its data.
    """

    flow: FlowKey
    is_from_caller: bool
    flags: SegmentFlag
    sequence: int
    acknowledged: int
    payload: bytes = b""


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store now.

    Attributes:
        is_down: whether calls get no answer.
        delay_seconds: how long it takes for an answer.
        refused_hosts: addresses that are answered with an error.
    """

    is_down: bool = False
    delay_seconds: float = 0.004
    refused_hosts: set[str] = field(default_factory=set)


class StoreStandIn(Protocol):
    """A store that the world writes to and processes read."""

    @property
    def faults(self) -> StoreFaults:
        """Return what is wrong with it, to be changed."""

    @property
    def answered(self) -> int:
        """Return how many calls were made."""

    def publish(self, table: RouteTable) -> None:
        """Write a configuration."""

    def put_target(self, target: Target) -> None:
        """Write a target's entry."""

    def remove_target(self, name: str) -> None:
        """Remove a target's entry."""

    def compact(self) -> None:
        """Forget the history."""

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Answer the calls of one connection."""


class Adapter(Protocol):
    """Makes the parts that speak a platform's words."""

    @property
    def codec(self) -> PacketCodec:
        """Return what processes read packets with."""

    def make_store(self, address: Address) -> Store:
        """Return what processes read the store with."""

    def encode(self, segment: Segment) -> bytes:
        """Return a segment as a datagram."""

    def decode(self, datagram: bytes) -> Segment:
        """Return a datagram as a segment.

        Raises:
            MalformedFlowPacket: if it is none.
        """

    def give_back(self, datagram: bytes) -> bytes:
        """Return a datagram as a target gives it back unread."""

    def make_store_stand_in(self) -> StoreStandIn:
        """Return an empty store."""
