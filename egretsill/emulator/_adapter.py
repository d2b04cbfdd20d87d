"""Interface of the adapters that provide a platform's packet format and store."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio

from ..address_steering import FlowKey, PacketCodec
from ..directory import RouteTable, Store, Target
from ..endpoints import Address


class SegmentFlag(enum.Flag):
    """Flags of a segment."""

    NONE = 0
    SYN = enum.auto()
    ACK = enum.auto()
    FIN = enum.auto()
    RST = enum.auto()
    BOUNCED = enum.auto()  # set by a target that returns a packet to its agent unprocessed


@dataclass(frozen=True, slots=True)
class Segment:
    """A packet of a flow, as its caller and its target see it.

    Attributes:
        flow: its flow; the key is the same in both directions.
        is_from_caller: whether the caller sent it.
        flags: its flags.
        sequence: number of its first byte.
        acknowledged: number of the next byte that its sender expects; in a SYN segment, the number
            of copies sent before it.
        payload: its payload.
    """

    flow: FlowKey
    is_from_caller: bool
    flags: SegmentFlag
    sequence: int
    acknowledged: int
    payload: bytes = b""


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store that are in effect now.

    Attributes:
        is_down: whether calls get no response.
        delay_seconds: response time of a call.
        refused_hosts: hosts whose calls get an error response.
    """

    is_down: bool = False
    delay_seconds: float = 0.004
    refused_hosts: set[str] = field(default_factory=set)


class StoreStandIn(Protocol):
    """An emulated store, written by the emulation and read by the emulated processes."""

    @property
    def faults(self) -> StoreFaults:
        """Return its faults; callers may modify them."""

    @property
    def answered(self) -> int:
        """Return the number of calls received, with those that got no response."""

    def publish(self, table: RouteTable) -> None:
        """Write a route table as the current configuration."""

    def put_target(self, target: Target) -> None:
        """Write a target's entry."""

    def remove_target(self, name: str) -> None:
        """Remove a target's entry."""

    def evacuate(self, failure_domain: str) -> None:
        """Write the operators' order to evacuate a failure domain."""

    def restore(self, failure_domain: str) -> None:
        """Remove the order to evacuate a failure domain if it exists."""

    def compact(self) -> None:
        """Discard the history of changes."""

    def copy(self) -> Any:
        """Return a copy of the content, for `return_from`."""

    def return_from(self, copy: Any) -> None:
        """Replace the content by a copy; the era rises and later revisions are given out again."""

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve the requests of one connection."""


class Adapter(Protocol):
    """Provides the platform-specific parts of an emulation."""

    @property
    def codec(self) -> PacketCodec:
        """Return the packet codec for processes."""

    def make_store(self, address: Address) -> Store:
        """Return a store client for a process."""

    def encode(self, segment: Segment) -> bytes:
        """Encode a segment as a datagram."""

    def decode(self, datagram: bytes) -> Segment:
        """Decode a datagram into a segment.

        Raises:
            MalformedFlowPacket: if the datagram isn't a valid packet.
        """

    def bounce(self, datagram: bytes) -> bytes:
        """Return a datagram with the bounced flag, which a target sets to return it to its agent.

        A target returns packets of flows that it doesn't have or can't accept.
        """

    def make_store_stand_in(self) -> StoreStandIn:
        """Return a new, empty store."""
