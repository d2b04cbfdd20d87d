"""Decides which targets one caller's request is offered to, and determines its outcome.

It does no I/O: it maps an event and a time to effects. An offer is one attempt to have a target run
the request; the gate, the part of the target's agent that admits requests, accepts or refuses it.
What may be done next depends on the state of the current offer:

- Not sent, refused, or reported as not started by the gate: the request was not run there. It is
  offered to another target if the retry limits allow it and its whole body is still buffered. A
  refusal after an answer has begun counts as an unknown result.
- Sent: it may have started. Resume is sent on new links until the gate answers. If the result can't
  be determined, the request is offered to another target, within the same limits, only if it is
  idempotent, no head of an answer has been received and the deadline has not passed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from ..configuration import RequestClass, Service
from ..outcomes import Answered, Cancelled, Outcome, RefusalReason, Refused, Unknown, UnknownReason
from ._answer_receiver import AnswerReceiver, AnswerViolation
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
from ._attempt_tally import AttemptTally
from ._byte_window import ByteWindow
from ._collaborators import TargetPlacement
from ._exchange import RequestHead
from ._gate_request import BODY_WINDOW_BYTES
from ._messages import (
    FINISHED,
    NOT_STARTED,
    RUNNING,
    Accepted,
    Acknowledge,
    BodyAcknowledge,
    Cancel,
    Data,
    End,
    Failed,
    Head,
    Open,
    Pong,
    Refusal,
    RelayMessage,
    RequestId,
    Resume,
    ResumeAnswer,
    Started,
)
from ._offer import Offer, Stage
from ._retry_budget import RetryBudget

MAXIMUM_REPLAY_BYTES = 65_536
CANCEL_RESPONSE_SECONDS = 0.1  # time for the gate to respond to Cancel after the deadline


class Attempts:
    """Offers one request to targets until its outcome is known.

    Args:
        head: head of the request.
        service: the service that it is for.
        request_class: the class that it belongs to.
        deadline: time in seconds on this process's clock, or None if there is none.
        placement: chooses the targets.
        budget: the retry budget of the service.
        next_identifier: called for each new offer, returns its identifier.

    Attributes:
        body: the part of the body that may still be needed; appended to while `may_read_body`.
    """

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
        self._deadline = deadline
        self._placement = placement
        self._budget = budget
        self._next_identifier = next_identifier
        self._offer: Offer | None = None
        self._excluded: set[int] = set()
        self._link_count = 0
        self._tally = AttemptTally()
        self._answer = AnswerReceiver(service.limits.answer_tail_bytes)
        self._earlier_unknown_reason: UnknownReason | None = None
        self._last_refusal: Refused | None = None
        self._deadline_passed = False
        self._concluded = False
        self._effects: list[AttemptEffect] = []

    @property
    def tally(self) -> AttemptTally:
        """Return the counts over the offers so far."""
        return self._tally

    @property
    def concluded(self) -> bool:
        """Return whether the outcome is decided."""
        return self._concluded

    @property
    def may_read_body(self) -> bool:
        """Return whether more of the request's body may be read from the caller."""
        started = self._offer is not None and self._offer.started
        bound = BODY_WINDOW_BYTES if started else MAXIMUM_REPLAY_BYTES
        return not self.body.complete and self.body.size < bound

    def handle(self, event: AttemptEvent, now: float) -> Sequence[AttemptEffect]:
        """Handle an event and return the effects to apply, in order."""
        if not self._concluded:
            self._dispatch(event, now)
        effects, self._effects = self._effects, []
        return effects

    def _dispatch(self, event: AttemptEvent, now: float) -> None:
        match event:
            case RequestBegun():
                self._budget.on_first_try()
                self._offer_next(now)
            case LinkReady():
                self._on_link_ready(event, now)
            case LinkFailed(link):
                self._on_link_failed(link, now)
            case MessageReceived(link, message):
                if self._offer is not None and self._offer.link == link:
                    self._on_message(self._offer, message, now)
            case Delivered(offset):
                self._on_answer_delivered(offset)
            case DeadlinePassed():
                self._on_deadline(now)
            case VerdictDue():
                self._abandon_offer(Unknown(UnknownReason.DEADLINE), now)
            case RequestCancelled():
                self._abandon_offer(Cancelled(), now)

    def _offer_next(self, now: float) -> None:
        if self._deadline is not None and now >= self._deadline:
            self._conclude(Refused(RefusalReason.DEADLINE), now)
            return
        target_number = self._placement.choose(self._class, self._excluded, now)
        if target_number is None:
            self._conclude(self._last_refusal or Refused(RefusalReason.NO_TARGET), now)
            return
        self._tally.tries += 1
        self._placement.on_sent(target_number, self._class.weight, now, self._class.shape)
        self._offer = Offer(target_number, self._next_identifier(), self._new_link())
        self._emit(Connect(self._offer.link, target_number, False, 0.0))

    def _on_link_ready(self, event: LinkReady, now: float) -> None:
        offer = self._offer
        if offer is None or offer.link != event.link:
            self._emit(FreeLink(event.link))
            return
        if offer.sent:
            offer.stage = Stage.RESUMING
            self._emit(SendMessage(offer.link, self._resume_message(offer)))
            return
        if self._deadline is not None and now >= self._deadline:
            self._emit(FreeLink(offer.link))
            self._conclude(Refused(RefusalReason.DEADLINE), now)
            return
        self._send_open(offer, event)

    def _send_open(self, offer: Offer, event: LinkReady) -> None:
        offer.mark = event.mark
        offer.sent = True
        offer.stage = Stage.SENT
        deadline = None if self._deadline is None else self._deadline + event.clock_offset
        message = Open(
            offer.identifier,
            offer.epoch,
            offer.mark,
            self._service.name,
            self._class.name,
            self._head.method,
            self._head.path,
            self._head.headers,
            deadline,
            self._class.idempotent,
        )
        self._emit(SendMessage(offer.link, message))
        self._emit(SendBody(offer.link, 0))

    def _resume_message(self, offer: Offer) -> Resume:
        return Resume(
            offer.identifier,
            offer.epoch,
            offer.mark,
            self._answer.status is not None,
            self._answer.received,
        )

    def _on_link_failed(self, link: int, now: float) -> None:
        offer = self._offer
        if offer is None or offer.link != link:
            return
        if self._deadline_passed:
            self._abandon_offer(Unknown(UnknownReason.DEADLINE), now)
        elif not offer.sent:
            self._on_refused(offer, Refused(RefusalReason.BACKEND_UNREACHABLE), now)
        else:
            self._resume(offer, now)

    def _resume(self, offer: Offer, now: float) -> None:
        """Open a new link to resume a request that may have started."""
        delay = offer.switch_link(self._new_link(), now)
        if delay is None:
            self._excluded.add(offer.target_number)
            self._on_unknown_result(offer, UnknownReason.RELAY_LOST, now)
            return
        self._emit(Connect(offer.link, offer.target_number, True, delay))

    def _on_message(self, offer: Offer, message: RelayMessage, now: float) -> None:
        match message:
            case Accepted() | Pong():
                return
            case Started(queue_milliseconds):
                offer.started = True
                self._placement.on_granted(offer.target_number, now, self._class.shape)
                self._tally.queue_seconds = queue_milliseconds / 1000
            case Refusal(reason, retry_after_seconds):
                self._emit(FreeLink(offer.link))
                self._on_refused(offer, Refused(RefusalReason(reason), retry_after_seconds), now)
            case BodyAcknowledge(offset):
                self._on_body_acknowledged(offer, offset)
            case Head() | Data() | End():
                self._on_answer(offer, message, now)
            case Failed(reason):
                self._emit(FreeLink(offer.link))
                self._on_unknown_result(offer, UnknownReason(reason), now)
            case ResumeAnswer(state, body_offset):
                self._on_resume_answer(offer, state, body_offset, now)
            case _:
                self._on_violation(offer, now)

    def _on_violation(self, offer: Offer, now: float) -> None:
        """Close a link whose peer violated the protocol, and resume as after a lost link."""
        offer.violations += 1
        self._emit(DropLink(offer.link))
        self._resume(offer, now)

    def _on_body_acknowledged(self, offer: Offer, offset: int) -> None:
        # A request can be offered again only while its whole body is buffered.
        if offer.started and (not self._class.idempotent or self.body.end > MAXIMUM_REPLAY_BYTES):
            self.body.release(offset)
        self._emit(BodyAcknowledged(offset))

    def _on_answer(self, offer: Offer, message: Head | Data | End, now: float) -> None:
        try:
            match message:
                case Head(status, headers):
                    if self._answer.receive_head(status):
                        self._emit(DeliverHead(status, headers))
                case Data(offset, data):
                    if fresh := self._answer.receive_data(offset, data):
                        self._emit(DeliverData(fresh, self._answer.received))
                case End(length):
                    answered = Answered(self._answer.receive_end(length))
                    self._emit(SendMessage(offer.link, Acknowledge(length)))
                    self._emit(FreeLink(offer.link))
                    self._conclude(answered, now)
        except AnswerViolation:
            self._on_violation(offer, now)

    def _on_answer_delivered(self, offset: int) -> None:
        offer, due = self._offer, self._answer.record_delivery(offset)
        if due and offer is not None and offer.stage is Stage.SENT:
            self._emit(SendMessage(offer.link, Acknowledge(self._answer.acknowledge())))

    def _on_resume_answer(self, offer: Offer, state: str, body_offset: int, now: float) -> None:
        if offer.stage is not Stage.RESUMING:
            self._on_violation(offer, now)
            return
        if state in (RUNNING, FINISHED):
            offer.resume(now)
            self._tally.resumes += 1
            # Acknowledgements may have been lost with the previous link.
            self._emit(SendMessage(offer.link, Acknowledge(self._answer.acknowledge())))
            self._emit(SendBody(offer.link, max(body_offset, self.body.base)))
            return
        self._emit(FreeLink(offer.link))
        if state == NOT_STARTED and self._answer.status is None:
            self._end_offer(now)
            self._last_refusal = Refused(RefusalReason.FENCED)
            self._retry(now)
        else:
            self._on_unknown_result(offer, UnknownReason.RELAY_LOST, now)

    def _on_refused(self, offer: Offer, refused: Refused, now: float) -> None:
        """Retry or conclude after a refusal; once an answer has begun, the result is unknown."""
        if self._answer.status is not None:
            self._on_unknown_result(offer, UnknownReason.RELAY_LOST, now)
            return
        self._placement.on_refused(offer.target_number, refused.reason, now)
        self._tally.refusals.append(refused.reason)
        self._excluded.add(offer.target_number)
        self._last_refusal = refused
        self._end_offer(now)
        if self._deadline_passed or refused.reason is RefusalReason.DEADLINE:
            self._conclude(Refused(RefusalReason.DEADLINE), now)
        else:
            self._retry(now)

    def _on_unknown_result(self, offer: Offer, reason: UnknownReason, now: float) -> None:
        """Retry or conclude after an offer that may have run."""
        self._end_offer(now)
        answer_begun = self._answer.status is not None
        if answer_begun and reason is UnknownReason.RELAY_LOST:
            reason = UnknownReason.ANSWER_CUT
        self._earlier_unknown_reason = reason
        if self._deadline_passed or answer_begun or not self._class.idempotent:
            self._conclude(Unknown(reason), now)
        else:
            self._retry(now)

    def _retry(self, now: float) -> None:
        """Offer the request again if the limits allow it, or else conclude it."""
        last = self._last_refusal or Refused(RefusalReason.NO_TARGET)
        if self._tally.tries >= self._service.limits.tries or self.body.base > 0:
            self._conclude(last, now)
        elif not self._budget.take_retry():
            self._conclude(replace(last, reason=RefusalReason.RETRY_BUDGET), now)
        else:
            self._offer_next(now)

    def _on_deadline(self, now: float) -> None:
        offer = self._offer
        self._deadline_passed = True
        if offer is not None and not offer.sent:
            self._abandon_offer(Refused(RefusalReason.DEADLINE), now)
        elif offer is not None and offer.stage is Stage.SENT and not offer.started:
            # The gate may still report that it was not run.
            self._emit(SendMessage(offer.link, Cancel(offer.identifier)))
            self._emit(AwaitVerdict(CANCEL_RESPONSE_SECONDS))
        else:
            self._abandon_offer(Unknown(UnknownReason.DEADLINE), now)

    def _abandon_offer(self, outcome: Outcome, now: float) -> None:
        """Conclude at once, without waiting for the current offer's result."""
        offer = self._offer
        if offer is not None:
            if offer.stage is Stage.SENT:
                self._emit(SendMessage(offer.link, Cancel(offer.identifier)))
            self._emit(DropLink(offer.link))
        self._conclude(outcome, now)

    def _conclude(self, outcome: Outcome, now: float) -> None:
        # An earlier offer of an idempotent request may have run although the last was refused.
        if isinstance(outcome, Refused) and self._earlier_unknown_reason is not None:
            outcome = Unknown(self._earlier_unknown_reason)
        self._end_offer(now)
        self._concluded = True
        self._emit(Conclude(outcome))

    def _end_offer(self, now: float) -> None:
        if self._offer is not None:
            self._placement.on_finished(
                self._offer.target_number, self._class.weight, now, self._class.shape
            )
            self._offer = None

    def _new_link(self) -> int:
        self._link_count += 1
        return self._link_count

    def _emit(self, effect: AttemptEffect) -> None:
        self._effects.append(effect)
