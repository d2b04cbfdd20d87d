"""One flow of a caller, over its own UDP socket."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import Sequence
from pathlib import Path

import trio
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StreamReset,
)

from ..configuration import Address
from ..flows import Http3Connection, WindowedConnection, drain_events
from ..flows import headers as names
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason
from ..timing import Subscription, TrioTimerService
from ._call import Call
from ._exceptions import FlowNotOpened

IDLE_TIMEOUT_SECONDS = 30.0
KEEP_ALIVE_SECONDS = 10.0
STREAM_WINDOW_BYTES = 262_144
CONNECTION_WINDOW_BYTES = 4_194_304
LARGEST_DATAGRAM_BYTES = 65_536
BATCH_DATAGRAMS = 64


def caller_configuration(authority: str, authorities_file: Path | None) -> QuicConfiguration:
    """Return the QUIC settings of a caller.

    Args:
        authority: host name that the certificate must contain.
        authorities_file: PEM file of trusted authorities, or None to skip verification.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=list(H3_ALPN),
        server_name=authority,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        max_stream_data=STREAM_WINDOW_BYTES,
        max_data=CONNECTION_WINDOW_BYTES,
    )
    if authorities_file is None:
        configuration.verify_mode = ssl.CERT_NONE
    else:
        configuration.load_verify_locations(cafile=str(authorities_file))
    return configuration


class CallerFlow:
    """A QUIC connection to one service address, with its requests."""

    def __init__(
        self,
        address: Address,
        authority: str,
        configuration: QuicConfiguration,
        timer: TrioTimerService,
    ) -> None:
        self._address = address
        self._authority = authority.encode()
        self._timer = timer
        self._connection = WindowedConnection(configuration=configuration)
        self._http3: Http3Connection | None = None
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._calls: dict[int, Call] = {}
        self._timer_subscription: Subscription | None = None
        self._opened = trio.Event()
        self._established = False
        self._closed = False
        self._keep_alive_at = 0.0

    @property
    def usable(self) -> bool:
        """Return whether new requests may be sent on this flow."""
        draining = self._http3 is not None and self._http3.goaway_received
        return self._established and not self._closed and not draining

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self._calls

    @property
    def closed(self) -> bool:
        """Return whether the flow has ended."""
        return self._closed

    async def open(self, nursery: trio.Nursery, timeout_seconds: float) -> None:
        """Complete the handshake.

        Raises:
            FlowNotOpened: if the handshake fails or takes longer than `timeout_seconds`.
        """
        self._socket.connect(tuple(self._address))
        self._keep_alive_at = self._timer.now + KEEP_ALIVE_SECONDS
        self._connection.connect(tuple(self._address), self._timer.now)
        self._transmit()
        nursery.start_soon(self._receive_loop)
        with trio.move_on_after(timeout_seconds):
            await self._opened.wait()
        if not self._established or self._closed:
            self.close()
            raise FlowNotOpened(self._address)

    def start(
        self,
        method: str,
        path: str,
        request_headers: Sequence[tuple[bytes, bytes]],
        deadline_seconds: float | None,
        end: bool,
    ) -> Call:
        """Send a request's head and return the call."""
        if self._http3 is None or self._closed:
            call = Call(-1, self)
            call.on_end(Refused(RefusalReason.FLOW_NOT_OPENED))
            return call
        stream_id = self._connection.get_next_available_stream_id()
        call = Call(stream_id, self)
        self._calls[stream_id] = call
        pseudo = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", self._authority),
            (b":path", path.encode()),
        ]
        extra = list(request_headers)
        if deadline_seconds is not None:
            milliseconds = max(1, int(deadline_seconds * 1000))
            extra.append((names.DEADLINE_HEADER, str(milliseconds).encode()))
        self._http3.send_headers(stream_id, [*pseudo, *extra], end)
        self._transmit()
        return call

    def write(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a piece of a request's body."""
        if self._http3 is not None and not self._closed and stream_id in self._calls:
            self._http3.send_data(stream_id, data, end)
            self._transmit()

    def cancel(self, stream_id: int) -> None:
        """Cancel a request."""
        if not self._closed and self._calls.pop(stream_id, None) is not None:
            self._connection.reset_stream(stream_id, names.HTTP3_REQUEST_CANCELLED)
            self._connection.stop_stream(stream_id, names.HTTP3_REQUEST_CANCELLED)
            self._transmit()

    def release(self, stream_id: int, size: int) -> None:
        """Report that `size` bytes of a response were consumed."""
        self._connection.release(stream_id, size)
        self._transmit()

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of body bytes that the service has not acknowledged."""
        return self._connection.unacknowledged_bytes(stream_id)

    def close(self) -> None:
        """Close the flow."""
        if self._closed:
            return
        self._connection.close(error_code=names.HTTP3_NO_ERROR)
        self._transmit()
        self._tear_down()

    async def _receive_loop(self) -> None:
        while not self._closed:
            try:
                await trio.lowlevel.wait_readable(self._socket)
            except (OSError, trio.ClosedResourceError):
                return
            self._read_batch()

    def _read_batch(self) -> None:
        now = self._timer.now
        for _ in range(BATCH_DATAGRAMS):
            if self._closed:
                return
            try:
                data = self._socket.recv(LARGEST_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                continue
            self._keep_alive_at = now + KEEP_ALIVE_SECONDS
            self._connection.receive_datagram(data, tuple(self._address), now)
        self._handle_events()
        self._transmit()

    def _handle_events(self) -> None:
        for event in drain_events(self._connection):
            self._handle_event(event)
        for call in list(self._calls.values()):
            call.on_progress()

    def _handle_event(self, event: QuicEvent) -> None:
        match event:
            case ProtocolNegotiated():
                self._http3 = Http3Connection(self._connection)
            case HandshakeCompleted():
                self._established = True
                self._opened.set()
            case ConnectionTerminated():
                self._tear_down()
                return
            case StreamReset(stream_id=stream_id, error_code=error_code):
                call = self._calls.pop(stream_id, None)
                if call is not None:
                    call.on_reset(error_code)
            case _:
                pass
        if self._http3 is not None:
            for http_event in self._http3.handle_event(event):
                self._handle_http_event(http_event)

    def _handle_http_event(self, event: H3Event) -> None:
        match event:
            case HeadersReceived(headers=headers, stream_id=stream_id, stream_ended=ended):
                call = self._calls.get(stream_id)
                if call is not None:
                    call.on_head(dict(headers))
            case DataReceived(data=data, stream_id=stream_id, stream_ended=ended):
                call = self._calls.get(stream_id)
                if call is not None:
                    self._connection.hold(stream_id, len(data))
                    call.on_data(data)
            case _:
                return
        if ended and call is not None:
            del self._calls[stream_id]
            call.on_finished()

    def _transmit(self) -> None:
        if self._socket.fileno() < 0:
            return
        for payload, _ in self._connection.datagrams_to_send(self._timer.now):
            self._send(payload)
        self._schedule_timer()

    def _send(self, payload: bytes) -> None:
        # A datagram that the socket can't accept now is lost, and QUIC retransmits its content.
        with contextlib.suppress(OSError):
            self._socket.send(payload)

    def _schedule_timer(self) -> None:
        timer_at = self._connection.get_timer()
        if self._timer_subscription is not None:
            self._timer_subscription.cancel()
            self._timer_subscription = None
        if self._closed or timer_at is None:
            return
        self._timer_subscription = self._timer.call_at(
            min(timer_at, self._keep_alive_at), self._on_timer
        )

    def _on_timer(self, now: float) -> None:
        self._timer_subscription = None
        if now >= self._keep_alive_at:
            self._keep_alive_at = now + KEEP_ALIVE_SECONDS
            self._connection.send_ping(0)
        timer_at = self._connection.get_timer()
        if timer_at is not None and now >= timer_at:
            self._connection.handle_timer(now)
            self._handle_events()
        self._transmit()

    def _tear_down(self) -> None:
        self._closed = True
        self._opened.set()
        if self._timer_subscription is not None:
            self._timer_subscription.cancel()
        for call in list(self._calls.values()):
            call.on_end(Unknown(UnknownReason.FLOW_LOST))
        self._calls.clear()
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()
