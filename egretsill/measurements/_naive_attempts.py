"""The baseline: a requester that sends a request again whenever a link fails."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..configuration import RequestClass, Service
from ..outcomes import Answered, Cancelled, RefusalReason, Refused
from ..requests import RequestHead, RetryBudget
from ..requests._attempt_events import (
    AttemptEffect,
    AttemptEvent,
    Conclude,
    Connect,
    DeadlinePassed,
    DeliverData,
    DeliverHead,
    DropLink,
    LinkFailed,
    LinkReady,
    MessageReceived,
    RequestBegun,
    RequestCancelled,
    SendBody,
    SendMessage,
)
from ..requests._byte_window import ByteWindow
from ..requests._collaborators import TargetPlacement
from ..requests._messages import Acknowledge, Data, End, Failed, Head, Open, Refusal, RequestId


class NaiveAttempts:
    """Offers one request to targets in turn, without resolving the result of a failed offer."""

    def __init__(
        self,
        head: RequestHead,
        service: Service,
        request_class: RequestClass,
        deadline: float | None,
        placement: TargetPlacement,
        budget: RetryBudget,
        next_identifier: Callable[[], RequestId],
    ) -> None:
        self.body = ByteWindow()
        self._head = head
        self._service = service
        self._class = request_class
        self._placement = placement
        self._next_identifier = next_identifier
        self._tried: list[int] = []
        self._link = 0
        self._status = 0
        self._received = 0
        self._concluded = False

    @property
    def concluded(self) -> bool:
        """Return whether the outcome is decided."""
        return self._concluded

    def handle(self, event: AttemptEvent, now: float) -> Sequence[AttemptEffect]:
        """Handle an event and return the effects, in order."""
        if self._concluded:
            return []
        match event:
            case RequestBegun():
                return self._offer(now)
            case LinkReady(link) if link == self._link:
                return self._open(event)
            case LinkFailed(link) if link == self._link:
                return self._offer(now)
            case MessageReceived(link, message) if link == self._link:
                return self._on_message(message, now)
            case DeadlinePassed():
                return self._conclude(Refused(RefusalReason.DEADLINE))
            case RequestCancelled():
                return self._conclude(Cancelled())
            case _:
                return []

    def _offer(self, now: float) -> Sequence[AttemptEffect]:
        if self._tried:
            self._placement.on_finished(self._tried[-1], self._class.weight, now, self._class.shape)
        target_number = self._placement.choose(self._class, self._tried, now)
        if target_number is None:
            self._tried.clear()
            return self._conclude(Refused(RefusalReason.NO_TARGET))
        self._tried.append(target_number)
        self._placement.on_sent(target_number, self._class.weight, now, self._class.shape)
        dropped, self._link = self._link, self._link + 1
        return [DropLink(dropped), Connect(self._link, target_number, False, 0.0)]

    def _open(self, event: LinkReady) -> Sequence[AttemptEffect]:
        message = Open(
            self._next_identifier(),
            1,
            event.mark,
            self._service.name,
            self._class.name,
            self._head.method,
            self._head.path,
            self._head.headers,
            None,
            self._class.idempotent,
        )
        return [SendMessage(self._link, message), SendBody(self._link, 0)]

    def _on_message(self, message: object, now: float) -> Sequence[AttemptEffect]:
        match message:
            case Refusal() | Failed():
                return self._offer(now)
            case Head(status, headers):
                self._status = status
                return [DeliverHead(status, headers)]
            case Data(_, data):
                self._received += len(data)
                acknowledge = SendMessage(self._link, Acknowledge(self._received))
                return [DeliverData(data, self._received), acknowledge]
            case End():
                return self._conclude(Answered(self._status))
            case _:
                return []

    def _conclude(self, outcome: Answered | Refused | Cancelled) -> Sequence[AttemptEffect]:
        self._concluded = True
        return [DropLink(self._link), Conclude(outcome)]
