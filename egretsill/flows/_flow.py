"""A caller's flow: its QUIC connection, HTTP/3 streams and return path."""

from __future__ import annotations

import enum
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)
from aioquic.quic.packet import QuicErrorCode

from ..configuration import Address
from ..timing import CLOCK_JUMP_SECONDS, Subscription, TimerService
from ._connection import Http3Connection, OwnedConnection, drain_events
from ._datagram import IncomingDatagram, OutgoingDatagram
from ._flow_exchange import FlowExchange
from ._request_head import MalformedRequest, is_trailers, read_request_head
from ._return_path import ReturnPath
from .headers import HTTP3_NO_ERROR, HTTP3_REQUEST_CANCELLED, HTTP3_REQUEST_REJECTED

RETIRE_SECONDS = 2.0
FAILURE_PAUSE_SECONDS = 0.1  # before the next timer of a flow for which one has failed
# A caller's answer to a ping arrives within this time even if the ping is lost and sent again.
PING_ANSWER_SECONDS = 3.0
IDLE_TIMEOUT_PHRASE = "Idle timeout"


class CloseReason(enum.Enum):
    """Reason why a flow ended."""

    CALLER = "caller"
    SILENCE = "silence"
    ERROR = "error"
    RETIRED = "retired"


@dataclass(frozen=True, slots=True)
class FlowContext:
    """State shared by all flows of an agent, stored once to keep flows small.

    Attributes:
        serve: starts serving a request.
        send: sends a datagram through a balancer.
        on_connection_ids_changed: called with the IDs that a flow issued and retired.
        on_closed: called once when a flow has ended.
        keep_alive_seconds: time without a datagram from the caller after which a ping is sent.
    """

    timer: TimerService
    serve: Callable[[FlowExchange], None]
    send: Callable[[OutgoingDatagram], None]
    on_connection_ids_changed: Callable[[Flow, Sequence[bytes], Sequence[bytes]], None]
    on_closed: Callable[[Flow, CloseReason], None]
    keep_alive_seconds: float


class Flow:
    """A flow that this agent owns.

    Args:
        connection: the QUIC connection, before its first datagram.
        first: the caller's first datagram; provides the service and its address.
    """

    __slots__ = (
        "_closed",
        "_connection",
        "_context",
        "_established",
        "_exchanges",
        "_first_rejected_stream",
        "_handshake_state_released",
        "_http3",
        "_keep_alive_time",
        "_next_request_stream",
        "_retire_time",
        "_return_path",
        "_service",
        "_service_address",
        "_wake_time",
        "_wake_timer",
    )

    def __init__(
        self,
        connection: OwnedConnection,
        first: IncomingDatagram,
        return_path: ReturnPath,
        context: FlowContext,
    ) -> None:
        self._connection = connection
        self._context = context
        self._http3: Http3Connection | None = None
        self._service = first.service
        self._service_address = first.service_address
        self._return_path = return_path
        self._exchanges: dict[int, FlowExchange] = {}
        self._wake_timer: Subscription | None = None
        self._wake_time = 0.0
        self._established = False
        self._handshake_state_released = False
        self._retire_time: float | None = None
        self._next_request_stream = 0
        self._first_rejected_stream: int | None = None
        self._closed = False
        self._keep_alive_time = context.timer.now + context.keep_alive_seconds

    @property
    def service(self) -> str:
        """Return the name of the service that the flow was opened to."""
        return self._service

    @property
    def established(self) -> bool:
        """Return whether the handshake is complete."""
        return self._established

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress."""
        return len(self._exchanges)

    @property
    def connection_ids(self) -> tuple[bytes, ...]:
        """Return all IDs by which the caller may address the flow."""
        return (
            self._connection.original_destination_connection_id,
            *self._connection.connection_ids,
        )

    def receive(self, datagram: IncomingDatagram) -> None:
        """Handle a datagram from the caller and send the resulting datagrams."""
        now = self._context.timer.now
        self._return_path.on_received(datagram.balancer, now)
        self._keep_alive_time = now + self._context.keep_alive_seconds
        try:
            self._connection.receive_datagram(datagram.payload, tuple(datagram.caller), now)
            self._handle_events()
            self.transmit()
        except Exception:
            self._schedule_wake_after_failure(now)
            raise
        if not self._handshake_state_released and self._connection.handshake_confirmed:
            self._handshake_state_released = True
            self._connection.release_handshake_state()

    def transmit(self) -> None:
        """Send the connection's pending datagrams and schedule its next timer."""
        now = self._context.timer.now
        for payload, caller in self._connection.datagrams_to_send(now):
            self._send_one(payload, Address(caller[0], caller[1]), now)
        self._schedule_wake()

    def send_goaway(self) -> None:
        """Send GOAWAY, so that the caller opens further requests on another flow."""
        if self._http3 is not None and not self._closed:
            self._http3.send_goaway()
            self._retire_time = self._context.timer.now + RETIRE_SECONDS
            self.transmit()

    def retire(self, now: float) -> None:
        """Close the flow in two steps once it has no request; call this periodically.

        The first step sends a GOAWAY that rejects all further requests, so that a request in
        transit is refused as not run. The second step closes the flow once the caller has
        acknowledged that GOAWAY.
        """
        if self._retire_time is None or now < self._retire_time or self._exchanges:
            return
        if self._closed or self._http3 is None:
            return
        if self._first_rejected_stream is None:
            self._first_rejected_stream = self._next_request_stream
            self._http3.send_goaway(self._first_rejected_stream)
            self._retire_time = now + RETIRE_SECONDS
            self.transmit()
        elif self._is_goaway_acknowledged(self._http3):
            self.close()

    def close(self) -> None:
        """Close the flow without an error."""
        if not self._closed:
            self._connection.close(error_code=HTTP3_NO_ERROR, reason_phrase="")
            self.transmit()
            self._end(CloseReason.RETIRED)

    def write_head(self, stream_id: int, headers: Sequence[tuple[bytes, bytes]], end: bool) -> None:
        """Send the head of an answer on a request stream."""
        if self._http3 is not None and not self._closed:
            self._http3.send_headers(stream_id, list(headers), end)
            self._after_write(stream_id, end)

    def write_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a piece of an answer on a request stream."""
        if self._http3 is not None and not self._closed:
            self._http3.send_data(stream_id, data, end)
            self._after_write(stream_id, end)

    def stop_reading(self, stream_id: int, error_code: int) -> None:
        """Ask the caller to send no more of a request's body."""
        if not self._closed:
            self._connection.stop_stream(stream_id, error_code)
            self.transmit()

    def reset(self, stream_id: int, error_code: int) -> None:
        """Reset a stream, so that the caller sees that the answer is incomplete."""
        if not self._closed:
            self._connection.reset_stream(stream_id, error_code)
            self._drop_exchange(stream_id)
            self.transmit()

    def release(self, stream_id: int, size: int) -> None:
        """Extend the caller's flow-control window by the bytes consumed of a request's body."""
        self._connection.release(stream_id, size)
        if not self._closed:
            self.transmit()

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of bytes of an answer that the caller has not acknowledged."""
        return 0 if self._closed else self._connection.unacknowledged_bytes(stream_id)

    def _is_goaway_acknowledged(self, http3: Http3Connection) -> bool:
        stream_id = http3.control_stream_id
        return stream_id is not None and self.unacknowledged_bytes(stream_id) == 0

    def _handle_events(self) -> None:
        for event in drain_events(self._connection):
            self._handle_event(event)
        for exchange in list(self._exchanges.values()):
            exchange.on_progress()

    def _handle_event(self, event: QuicEvent) -> None:
        match event:
            case ProtocolNegotiated():
                self._http3 = Http3Connection(self._connection)
            case HandshakeCompleted():
                self._established = True
            case ConnectionIdIssued(connection_id=issued):
                self._context.on_connection_ids_changed(self, (issued,), ())
            case ConnectionIdRetired(connection_id=retired):
                self._context.on_connection_ids_changed(self, (), (retired,))
            case ConnectionTerminated(error_code=code, reason_phrase=phrase):
                self._end(_close_reason(code, phrase))
                return
            case StreamReset(stream_id=stream_id) | StopSendingReceived(stream_id=stream_id):
                self._cancel_request(stream_id)
            case _:
                pass
        if self._http3 is not None:
            for http_event in self._http3.handle_event(event):
                self._handle_http_event(http_event)

    def _handle_http_event(self, event: H3Event) -> None:
        match event:
            case HeadersReceived(headers=headers, stream_id=stream_id, stream_ended=ended):
                self._begin_request(stream_id, headers, ended)
            case DataReceived(data=data, stream_id=stream_id, stream_ended=ended):
                exchange = self._exchanges.get(stream_id)
                if exchange is not None:
                    self._connection.hold(stream_id, len(data))
                    exchange.on_body(data, ended)
            case _:
                pass

    def _begin_request(
        self, stream_id: int, headers: Sequence[tuple[bytes, bytes]], ended: bool
    ) -> None:
        if is_trailers(headers):
            if stream_id in self._exchanges:
                self._exchanges[stream_id].on_body(b"", ended)
            return
        self._next_request_stream = max(self._next_request_stream, stream_id + 4)
        if self._first_rejected_stream is not None and stream_id >= self._first_rejected_stream:
            self._connection.reset_stream(stream_id, HTTP3_REQUEST_REJECTED)
            return
        try:
            head = read_request_head(self._service, headers, self._context.timer.now)
        except MalformedRequest:
            self._connection.reset_stream(stream_id, HTTP3_REQUEST_REJECTED)
            return
        exchange = FlowExchange(stream_id, head, self)
        exchange.on_body(b"", ended)
        self._exchanges[stream_id] = exchange
        self._context.serve(exchange)

    def _cancel_request(self, stream_id: int) -> None:
        exchange = self._exchanges.get(stream_id)
        if exchange is None or exchange.concluded:
            return
        exchange.on_withdrawn()
        self._connection.reset_stream(stream_id, HTTP3_REQUEST_CANCELLED)
        self._drop_exchange(stream_id)

    def _after_write(self, stream_id: int, end: bool) -> None:
        if end:
            self._drop_exchange(stream_id)
        self.transmit()

    def _drop_exchange(self, stream_id: int) -> None:
        self._exchanges.pop(stream_id, None)
        self._connection.release(stream_id, sys.maxsize)

    def _send_one(self, payload: bytes, caller: Address, now: float) -> None:
        balancer = self._return_path.choose(now)
        if balancer is not None:
            self._context.send(OutgoingDatagram(caller, self._service_address, balancer, payload))

    def _schedule_wake(self) -> None:
        due = self._connection.get_timer()
        if self._closed or due is None:
            return
        due = min(due, self._keep_alive_time)
        if self._wake_timer is not None and self._wake_time <= due:
            return
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        self._wake_time = due
        self._wake_timer = self._context.timer.call_at(due, self._on_wake)

    def _schedule_wake_after_failure(self, now: float) -> None:
        """Keep the flow's timers going, so that it ends at the latest by silence."""
        if self._closed or self._wake_timer is not None:
            return
        self._wake_time = now + FAILURE_PAUSE_SECONDS
        self._wake_timer = self._context.timer.call_at(self._wake_time, self._on_wake)

    def _on_wake(self, now: float) -> None:
        self._wake_timer = None
        if self._closed:
            return
        try:
            self._handle_wake(now)
        except Exception:
            self._schedule_wake_after_failure(now)
            raise

    def _handle_wake(self, now: float) -> None:
        if now - self._wake_time > CLOCK_JUMP_SECONDS:
            # After a scheduling pause, datagrams of the caller may still be unread in the socket.
            # Ping the caller and wait for the answer before closing the flow as idle.
            self._connection.extend_idle_deadline(now + PING_ANSWER_SECONDS)
            self._keep_alive_time = now
        if now >= self._keep_alive_time:
            self._keep_alive_time = now + self._context.keep_alive_seconds
            self._connection.send_ping(0)
        due = self._connection.get_timer()
        if due is not None and now >= due:
            self._connection.handle_timer(now)
            self._handle_events()
        self.transmit()

    def _end(self, reason: CloseReason) -> None:
        if self._closed:
            return
        self._closed = True
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        for exchange in list(self._exchanges.values()):
            exchange.on_withdrawn()
        self._exchanges.clear()
        self._context.on_closed(self, reason)


def _close_reason(error_code: int, phrase: str) -> CloseReason:
    if phrase == IDLE_TIMEOUT_PHRASE:
        return CloseReason.SILENCE
    if error_code in (QuicErrorCode.NO_ERROR, HTTP3_NO_ERROR):
        return CloseReason.CALLER
    return CloseReason.ERROR
