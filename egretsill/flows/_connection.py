"""Extensions of `aioquic` that use its private interface; no other module does.

Its connection is extended in four ways: the connection IDs sent to the peer are issued by this
system, receive windows follow the bytes that the application consumed instead of doubling, the
number of unacknowledged bytes of a stream can be read, and the idle deadline can be extended. A
contract test checks each extension against the installed version.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Any, ClassVar

import pylsqpack
from aioquic._buffer import Buffer
from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import (
    MAX_STREAM_DATA_FRAME_CAPACITY,
    QuicConnection,
    QuicConnectionError,
    QuicConnectionId,
    QuicReceiveContext,
)
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.events import QuicEvent
from aioquic.quic.packet import QuicErrorCode, QuicFrameType, QuicProtocolVersion
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream
from aioquic.tls import Epoch

STATELESS_RESET_TOKEN_BYTES = 16
HOST_CONNECTION_IDS = 2
PEER_CONNECTION_IDS = 2
GOAWAY_EVERY_STREAM = 2**62 - 4
NO_CRYPTO_STREAM = QuicStream()
NO_DATAGRAMS: deque[bytes] = deque(maxlen=0)
NO_KEYS = CryptoPair()
NO_INITIAL_KEYS: dict[int, CryptoPair] = dict.fromkeys(QuicProtocolVersion, NO_KEYS)
DISCARDED_SPACE = QuicPacketSpace()
DISCARDED_SPACE.discarded = True

FrameHandler = tuple[Callable[..., Any], frozenset[Epoch]]


def drain_events(connection: QuicConnection) -> Iterator[QuicEvent]:
    """Yield a connection's events until none are left, including those added while handling one."""
    event = connection.next_event()
    while event is not None:
        yield event
        event = connection.next_event()


class WindowedConnection(QuicConnection):
    """A connection whose stream windows follow the bytes that the application consumed."""

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of bytes written to a stream that the peer has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def hold(self, stream_id: int, size: int) -> None:
        """Add `size` received bytes of a stream that the application has not consumed yet."""
        self._held[stream_id] = self._held.get(stream_id, 0) + size

    def release(self, stream_id: int, size: int) -> None:
        """Record that the application consumed `size` bytes of those added by `hold`."""
        remaining = self._held.get(stream_id, 0) - size
        if remaining > 0:
            self._held[stream_id] = remaining
        else:
            self._held.pop(stream_id, None)

    @property
    def _held(self) -> dict[int, int]:
        held: dict[int, int] | None = self.__dict__.get("_held_by_stream")
        if held is None:
            held = self.__dict__["_held_by_stream"] = {}
        return held

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        window = self._configuration.max_stream_data
        if not stream.max_stream_data_local or stream.stream_id is None:
            return
        if stream.stream_id % 4 in (2, 3):
            super()._write_stream_limits(builder, space, stream)
            return
        consumed = stream.receiver.starting_offset() - self._held.get(stream.stream_id, 0)
        limit = consumed + window
        if limit - stream.max_stream_data_local >= window // 2:
            stream.max_stream_data_local = limit
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        buffer = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        buffer.push_uint_var(stream.stream_id)
        buffer.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local


class OwnedConnection(WindowedConnection):
    """A server connection whose connection IDs identify the agent that owns it.

    Args:
        configuration: server configuration; `connection_id_length` is the length of issued IDs.
        original_destination_connection_id: the ID that the caller chose.
        issue_connection_id: returns a new ID for each call.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
        issue_connection_id: Callable[[], bytes],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
        )
        self._issue_connection_id = issue_connection_id
        self._share_frame_handlers()
        self._local_active_connection_id_limit = PEER_CONNECTION_IDS
        first = issue_connection_id()
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first

    @property
    def handshake_confirmed(self) -> bool:
        """Return whether the handshake is confirmed (RFC 9001, section 4.1.2)."""
        return self._handshake_confirmed

    @property
    def connection_ids(self) -> tuple[bytes, ...]:
        """Return all IDs by which the peer may currently address this connection."""
        return tuple(each.cid for each in self._host_cids)

    def extend_idle_deadline(self, until: float) -> None:
        """Extend the idle deadline to `until`, unless it is later already."""
        if self._close_at is not None:
            self._close_at = max(self._close_at, until)

    def release_handshake_state(self) -> None:
        """Release the state needed only for the handshake, most of an idle connection's memory.

        Call this once `handshake_confirmed`, but not while a datagram is being handled.
        """
        self.tls = None  # type: ignore[assignment]
        self._crypto_buffers = {}
        self._cryptos_initial = NO_INITIAL_KEYS
        self._datagrams_pending = NO_DATAGRAMS
        for epoch in (Epoch.INITIAL, Epoch.HANDSHAKE):
            self._crypto_streams[epoch] = NO_CRYPTO_STREAM
            if self._spaces[epoch].discarded:
                self._spaces[epoch] = DISCARDED_SPACE
        for epoch in (Epoch.INITIAL, Epoch.ZERO_RTT, Epoch.HANDSHAKE):
            self._cryptos[epoch].teardown()
            self._cryptos[epoch] = NO_KEYS
        self._loss.spaces = [space for space in self._loss.spaces if not space.discarded]

    def _handle_crypto_frame(
        self, context: QuicReceiveContext, frame_type: int, buf: Buffer
    ) -> None:
        if self.tls is None:
            # A caller sends no CRYPTO frames after the handshake (RFC 9001, section 4.1.3).
            raise QuicConnectionError(
                QuicErrorCode.PROTOCOL_VIOLATION, frame_type, "CRYPTO after the handshake"
            )
        super()._handle_crypto_frame(context, frame_type, buf)

    def _share_frame_handlers(self) -> None:
        name = "_QuicConnection__frame_handlers"
        setattr(self, name, _FrameHandlers(self, getattr(self, name)))

    def _replenish_connection_ids(self) -> None:
        wanted = min(HOST_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < wanted:
            self._host_cids.append(
                QuicConnectionId(
                    cid=self._issue_connection_id(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(STATELESS_RESET_TOKEN_BYTES),
                )
            )
            self._host_cid_seq += 1


class _FrameHandlers:
    """Replaces the library's table of frame handlers by one shared by all connections.

    The library gives each connection a table of about 11 KB with bound methods. This class looks
    up the method name in a shared table and binds only the requested method.
    """

    __slots__ = ("_connection",)

    _names: ClassVar[dict[int, tuple[str, frozenset[Epoch]]]] = {}

    def __init__(self, connection: QuicConnection, table: Mapping[int, FrameHandler]) -> None:
        self._connection = connection
        if not self._names:
            for frame_type, (handler, epochs) in table.items():
                self._names[frame_type] = (handler.__name__, epochs)

    def __getitem__(self, frame_type: int) -> FrameHandler:
        name, epochs = self._names[frame_type]
        return getattr(self._connection, name), epochs


class Http3Connection(H3Connection):
    """HTTP/3 connection with GOAWAY in both directions, which the library does not implement.

    QPACK's dynamic table is disabled because it would use memory on each of many idle flows.
    """

    def __init__(self, quic: QuicConnection) -> None:
        self._goaway_received = False
        super().__init__(quic)

    @property
    def goaway_received(self) -> bool:
        """Return whether the peer sent GOAWAY, so that new requests need another connection."""
        return self._goaway_received

    @property
    def control_stream_id(self) -> int | None:
        """Return the ID of the stream that GOAWAY is sent on, or None before it is opened."""
        return self._local_control_stream_id

    def send_goaway(self, first_rejected_stream: int = GOAWAY_EVERY_STREAM) -> None:
        """Ask the peer to open no request stream from this ID on (RFC 9114, section 5.2)."""
        if self._local_control_stream_id is None:
            return
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(first_rejected_stream))
        self._quic.send_stream_data(self._local_control_stream_id, frame)

    def _init_connection(self) -> None:
        self._max_table_capacity = 0
        self._blocked_streams = 0
        self._decoder = pylsqpack.Decoder(0, 0)
        super()._init_connection()

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self._goaway_received = True
