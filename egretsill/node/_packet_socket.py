"""A UDP socket for packets that reads in batches and never blocks on sending."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..address_steering import Drop, DropReason, FlowKey
from ..endpoints import format_ipv4
from ..supervision import Part, Supervisor
from ..timing import TimerService
from ..wire import (
    BATCH_DATAGRAMS,
    MAXIMUM_DATAGRAM_BYTES,
    close_datagram_socket,
    read_batches,
)
from ._decision_log import DecisionLog

NO_FLOW = FlowKey(0, 0, 0, 0)  # for datagrams whose flow isn't known


class PacketSocket:
    """One bound endpoint.

    Args:
        part: the part that failures with a datagram are reported for.
        bound: its socket, which `close` closes.
        on_datagram: called with each datagram and the local time at which its batch began; returns
            whether the part worked, which only a packet of a flow shows.
    """

    def __init__(
        self,
        part: Part,
        bound: socket.socket,
        timer: TimerService,
        log: DecisionLog,
        supervisor: Supervisor,
        on_datagram: Callable[[bytes, float], bool],
    ) -> None:
        self._part = part
        self._timer = timer
        self._log = log
        self._supervisor = supervisor
        self._on_datagram = on_datagram
        self._socket = bound
        self._work = supervisor.record_work(part, lambda: timer.now)

    async def run(self) -> None:
        """Receive datagrams until the socket is closed."""
        await read_batches(self._socket, self._receive_batch, note_error=self._note_error)

    def close(self) -> None:
        """Close the socket."""
        close_datagram_socket(self._socket)

    def send(self, data: bytes, host: int, port: int, flow: FlowKey = NO_FLOW) -> None:
        """Send a datagram, or record why it could not be sent."""
        try:
            self._socket.sendto(data, (format_ipv4(host), port))
        except BlockingIOError:
            self._log.dropped(Drop(flow, DropReason.SEND_BLOCKED))
        except OSError:
            self._log.dropped(Drop(flow, DropReason.SEND_FAILED))

    def _receive_batch(self) -> bool:
        failures = self._supervisor.failure_count
        is_full, has_worked = self._handle_batch(self._timer.now)
        if has_worked:
            self._work.note_success()
        elif self._supervisor.failure_count > failures:
            self._work.note_failure()
        return is_full

    def _handle_batch(self, now: float) -> tuple[bool, bool]:
        """Return whether more datagrams may be waiting, and whether the part worked."""
        has_worked = False
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram = self._socket.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return False, has_worked
            try:
                has_worked |= self._on_datagram(datagram, now)
            except Exception as error:  # It costs this datagram only.
                self._note_failure(error)
        return True, has_worked

    def _note_error(self, error: OSError) -> None:
        self._note_failure(error)
        self._work.note_failure()

    def _note_failure(self, error: Exception) -> None:
        self._supervisor.note_failure(self._part, error)
