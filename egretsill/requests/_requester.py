"""Performs the I/O that a request's attempts decide on, with the caller and on links."""

from __future__ import annotations

import contextlib
from collections import deque

import trio

from ..configuration import Address
from ..outcomes import Answered, Cancelled, Outcome
from ..timing import Subscription, TimerService
from ._attempt_events import (
    AttemptEffect,
    AttemptEvent,
    AwaitVerdict,
    BodyAcknowledged,
    Conclude,
    Connect,
    DeadlinePassed,
    DeliverData,
    Delivered,
    DeliverHead,
    DropLink,
    FreeLink,
    LinkFailed,
    LinkReady,
    MessageReceived,
    RequestBegun,
    RequestCancelled,
    SendBody,
    SendMessage,
    VerdictDue,
)
from ._attempts import Attempts
from ._exceptions import RelayClosed
from ._exchange import CallerGone, Exchange
from ._gate_request import BodyWriter
from ._messages import RelayMessage
from ._request_link import RequestLink
from ._requester_link import LinkPool
from ._silence import bounded
from ._wakeup import Wakeup


class Requester:
    """Runs one caller's request to its outcome.

    Args:
        exchange: interface to the caller.
        attempts: the decision logic.
        deadline: in seconds on the timer service, or None.
        timer: the timer service.
        pool: opens links.
        active: whether the request holds a slot, so that its link must be pinged often.
    """

    def __init__(
        self,
        exchange: Exchange,
        attempts: Attempts,
        deadline: float | None,
        timer: TimerService,
        pool: LinkPool,
        active: bool,
    ) -> None:
        self._exchange = exchange
        self._attempts = attempts
        self._deadline = deadline
        self._timer = timer
        self._pool = pool
        self._active = active
        self._links: dict[int, RequestLink] = {}
        self._numbers: dict[RequestLink, int] = {}
        self._gate_address: Address | None = None
        self._body_writer = BodyWriter(attempts.body)
        self._body_link: RequestLink | None = None
        self._deliveries: deque[DeliverHead | DeliverData] = deque()
        self._delivery_due = Wakeup()
        self._body_readable = Wakeup()
        self._timers: list[Subscription] = []
        self._outcome: Outcome | None = None
        self._first_byte_at: float | None = None
        self._nursery: trio.Nursery | None = None

    @property
    def first_byte_at(self) -> float | None:
        """Return when the answer's head was received, in seconds, or None."""
        return self._first_byte_at

    @property
    def outcome(self) -> Outcome:
        """Return the outcome; a request without one yet counts as cancelled."""
        return self._outcome or Cancelled()

    async def run(self) -> Outcome:
        """Run the request and return its outcome; the end of the answer is not sent yet."""
        if self._deadline is not None:
            self._call_at(self._deadline, DeadlinePassed())
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._read_body)
                self._feed(RequestBegun())
                await self._deliver()
                nursery.cancel_scope.cancel()
        finally:
            self._nursery = None
            for subscription in self._timers:
                subscription.cancel()
            self._feed(RequestCancelled())
        return self.outcome

    def on_message(self, link: RequestLink, message: RelayMessage) -> None:
        """Handle a message received on a link."""
        if link in self._numbers:
            self._feed(MessageReceived(self._numbers[link], message))

    def on_lost(self, link: RequestLink) -> None:
        """Handle the loss of a link."""
        number = self._remove_link(link)
        if number is not None:
            self._feed(LinkFailed(number))

    def _feed(self, event: AttemptEvent) -> None:
        for effect in self._attempts.handle(event, self._timer.now):
            self._apply(effect)
        if self._attempts.may_read_body:
            self._body_readable.set()

    def _start_connecting(self, effect: Connect) -> None:
        if self._nursery is None:
            return
        # A nursery that was cancelled from outside accepts no task once its tasks have ended. A
        # link lost at that moment may request a new one; the request ends right after.
        with contextlib.suppress(RuntimeError):
            self._nursery.start_soon(self._connect, effect)

    def _apply(self, effect: AttemptEffect) -> None:
        match effect:
            case Connect():
                self._start_connecting(effect)
            case SendMessage(number, message):
                if number in self._links:
                    self._links[number].send(message)
            case SendBody(number, offset):
                self._send_body(number, offset)
            case BodyAcknowledged(offset):
                self._body_writer.acknowledge(offset)
                self._wake_body()
            case FreeLink(number) | DropLink(number):
                self._release_link(number, isinstance(effect, FreeLink))
            case DeliverHead() | DeliverData():
                self._deliveries.append(effect)
                self._delivery_due.set()
            case AwaitVerdict(seconds):
                self._call_at(self._timer.now + seconds, VerdictDue())
            case Conclude(outcome):
                self._conclude(outcome)

    def _send_body(self, number: int, offset: int) -> None:
        self._body_writer.rewind(offset)
        link = self._links.get(number)
        if link is not None:
            self._body_link = link
            link.send_body(self._body_writer)

    def _wake_body(self) -> None:
        if self._body_link is not None:
            self._body_link.wake()

    def _release_link(self, number: int, keep: bool) -> None:
        link = self._links.get(number)
        if link is None:
            return
        self._remove_link(link)
        if keep:
            self._pool.free(link)
        else:
            link.finish()

    def _remove_link(self, link: RequestLink) -> int | None:
        number = self._numbers.pop(link, None)
        if number is not None:
            del self._links[number]
        if self._body_link is link:
            self._body_link = None
        return number

    def _conclude(self, outcome: Outcome) -> None:
        self._outcome = outcome
        self._delivery_due.set()
        if self._nursery is not None and not isinstance(outcome, Answered):
            self._nursery.cancel_scope.cancel()

    async def _connect(self, effect: Connect) -> None:
        if effect.delay_seconds > 0:
            with bounded(self._timer, effect.delay_seconds):
                await trio.sleep_forever()
        try:
            resume_address = self._gate_address if effect.fresh else None
            link = await self._pool.open(effect.target_number, self._active, resume_address)
        except RelayClosed:
            self._feed(LinkFailed(effect.link))
            return
        link.user = self
        self._gate_address = link.address
        self._links[effect.link] = link
        self._numbers[link] = effect.link
        self._feed(LinkReady(effect.link, link.mark, link.clock_offset))

    async def _read_body(self) -> None:
        try:
            while not self._attempts.body.complete:
                while not self._attempts.may_read_body:
                    await self._body_readable.wait()
                data = await self._exchange.receive_body()
                if data is None:
                    self._attempts.body.complete = True
                else:
                    self._attempts.body.append(data)
                self._wake_body()
        except CallerGone:
            self._feed(RequestCancelled())

    async def _deliver(self) -> None:
        try:
            while self._deliveries or self._outcome is None:
                if self._deliveries:
                    await self._deliver_one(self._deliveries.popleft())
                else:
                    await self._delivery_due.wait()
        except CallerGone:
            self._feed(RequestCancelled())
            self._outcome = Cancelled()

    async def _deliver_one(self, delivery: DeliverHead | DeliverData) -> None:
        match delivery:
            case DeliverHead(status, headers):
                if self._first_byte_at is None:
                    self._first_byte_at = self._timer.now
                await self._exchange.send_head(status, headers)
            case DeliverData(data, end):
                await self._exchange.send_data(data)
                self._feed(Delivered(end))

    def _call_at(self, when: float, event: AttemptEvent) -> None:
        self._timers.append(self._timer.call_at(when, lambda _: self._feed(event)))
