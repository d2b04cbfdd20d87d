"""Links between an agent's flows and its own gate, without a task or socket per link."""

from __future__ import annotations

from collections import deque
from typing import Protocol

import trio

from ..supervision import Part, Supervisor
from ..timing import TimerService
from ._byte_window import WindowGap
from ._gate_request import AnswerWriter, BodyWriter
from ._messages import GateMark, RelayMessage
from ._request_link import GateEnd, LinkUser
from ._wakeup import Wakeup

MESSAGES_PER_TURN = 64


class LocalGate(Protocol):
    """The gate in this process."""

    @property
    def incarnation(self) -> int:
        """Return the incarnation that its Pongs would carry."""

    def attach(self, end: GateEnd) -> int:
        """Register a link and return its number."""

    def take(self, number: int, message: RelayMessage) -> None:
        """Handle a message received on a link."""

    def detach(self, number: int) -> None:
        """Unregister a link that is closed."""


class LocalLinks:
    """Creates local links and transfers the messages of all of them in one task.

    Args:
        gate: the gate in this process.
        timer: the timer service.
        supervisor: contains unexpected exceptions of single links.
    """

    def __init__(self, gate: LocalGate, timer: TimerService, supervisor: Supervisor) -> None:
        self._gate = gate
        self._timer = timer
        self._supervisor = supervisor
        self._scheduled: deque[LocalLink] = deque()
        self._wakeup = Wakeup()

    def open(self) -> LocalLink:
        """Return a new link."""
        return LocalLink(self, self._gate, GateMark(self._gate.incarnation, self._timer.now))

    def schedule(self, link: LocalLink) -> None:
        """Schedule a link for the next transfer."""
        if not link.scheduled:
            link.scheduled = True
            self._scheduled.append(link)
            self._wakeup.set()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Transfer messages until cancelled."""
        task_status.started()
        while True:
            await self._wakeup.wait()
            for _ in range(len(self._scheduled)):
                link = self._scheduled.popleft()
                link.scheduled = False
                self._transfer(link)
            if self._scheduled:
                self._wakeup.set()
            await trio.lowlevel.checkpoint()

    def _transfer(self, link: LocalLink) -> None:
        try:
            link.transfer()
        except Exception as error:
            self._supervisor.note_failure(Part.REQUESTS, error)
            # Both ends resume the request on another link, or learn that its result is unknown.
            with self._supervisor.contain(Part.REQUESTS):
                link.close()


class LocalLink:
    """One local link, with both of its ends.

    Attributes:
        user: the request that it serves, or None.
        scheduled: whether it is scheduled for a transfer.
    """

    def __init__(self, links: LocalLinks, gate: LocalGate, mark: GateMark) -> None:
        self.user: LinkUser | None = None
        self.scheduled = False
        self._links = links
        self._gate = gate
        self._mark = mark
        self._to_gate: deque[RelayMessage] = deque()
        self._to_requester: deque[RelayMessage] = deque()
        self._body: BodyWriter | None = None
        self._writer: AnswerWriter | None = None
        self._finishing = False
        self._closed = False
        self._number = gate.attach(_LocalGateEnd(self))

    @property
    def address(self) -> None:
        """Return None: the gate is in this process."""

    @property
    def mark(self) -> GateMark:
        """Return the time when the link was created, on the gate's clock."""
        return self._mark

    @property
    def clock_offset(self) -> float:
        """Return 0, because both ends share one clock."""
        return 0.0

    def send(self, message: RelayMessage) -> None:
        """Send a message to the gate."""
        self._to_gate.append(message)
        self.wake()

    def send_body(self, body: BodyWriter | None) -> None:
        """Send a request's body as it arrives, or stop with None."""
        self._body = body
        self.wake()

    def wake(self) -> None:
        """Schedule a transfer, because there is more to send."""
        self._links.schedule(self)

    def finish(self) -> None:
        """Send pending messages to the gate, then close."""
        self.user = None
        self._body = None
        self._finishing = True
        self.wake()

    def answer(self, message: RelayMessage) -> None:
        """Send a message to the requester."""
        self._to_requester.append(message)
        self.wake()

    def follow(self, writer: AnswerWriter) -> None:
        """Send a writer's messages to the requester as they become available."""
        self._writer = writer
        self.wake()

    def close(self) -> None:
        """Close both ends at once."""
        if self._closed:
            return
        self._closed = True
        user, self.user = self.user, None
        self._gate.detach(self._number)
        if user is not None:
            user.on_lost(self)

    def transfer(self) -> None:
        """Transfer up to one turn's messages in both directions."""
        try:
            for _ in range(MESSAGES_PER_TURN):
                if self._closed or not (self._transfer_to_gate() | self._transfer_to_requester()):
                    break
            else:
                self.wake()
        except WindowGap:
            self.close()
        if self._finishing and not self._to_gate:
            self.close()

    def _transfer_to_gate(self) -> bool:
        message = self._to_gate.popleft() if self._to_gate else None
        if message is None and self._body is not None:
            message = self._body.next_message()
        if message is not None:
            self._gate.take(self._number, message)
        return message is not None

    def _transfer_to_requester(self) -> bool:
        if self.user is None:
            return False
        message = self._to_requester.popleft() if self._to_requester else None
        if message is None and self._writer is not None:
            message = self._writer.next_message()
        if message is not None:
            self.user.on_message(self, message)
        return message is not None


class _LocalGateEnd:
    """The gate's end of a local link."""

    __slots__ = ("_link",)

    def __init__(self, link: LocalLink) -> None:
        self._link = link

    def send(self, message: RelayMessage) -> None:
        self._link.answer(message)

    def follow(self, writer: AnswerWriter) -> None:
        self._link.follow(writer)

    def wake(self) -> None:
        self._link.wake()

    def close(self) -> None:
        self._link.close()
