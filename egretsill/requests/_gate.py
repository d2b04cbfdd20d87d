"""Decides which requests start at a backend server, and remembers which did.

There is one gate for each backend server. It does no I/O: it maps an event and a time to effects.
Three rules keep a request from starting twice, or after it was reported as not run:

- An identifier starts at most once, and never after a Resume that arrived before its start.
- Each link for an identifier has a higher epoch than the previous one; older links are fenced.
- An identifier that may have been evicted is neither started nor reported as not run.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..admission import AdmissionDecision, Admitted, Queued, Rejected, Ticket
from ..configuration import RequestClass, Service
from ..outcomes import RefusalReason, Refused, UnknownReason
from ._byte_window import WindowGap
from ._collaborators import GateAdmission, ServiceLookup
from ._gate_events import (
    Abort,
    BackendEnded,
    BoundsChanged,
    CloseLink,
    Follow,
    GateEffect,
    GateEvent,
    Launch,
    LinkLost,
    MessageArrived,
    Progress,
    Resumed,
    Send,
    Stopped,
    TimePassed,
)
from ._gate_memory import GateMemory
from ._gate_request import BODY_WINDOW_BYTES, GateRequest, Phase
from ._messages import (
    FINISHED,
    NOT_KNOWN,
    NOT_STARTED,
    RUNNING,
    Accepted,
    Acknowledge,
    Body,
    Cancel,
    End,
    Failed,
    GateMark,
    Open,
    Ping,
    Pong,
    Refusal,
    RequestId,
    Resume,
    ResumeAnswer,
    Verdict,
)

ORPHAN_SECONDS = 10.0


class Gate:
    """The gate of one backend server.

    Args:
        incarnation: number that differs in each run of this agent.
        service_name: the service of the backend server.
        services: the configuration in force.
        admission: slots, connections and queue of the backend server.
    """

    def __init__(
        self,
        incarnation: int,
        service_name: str,
        services: ServiceLookup,
        admission: GateAdmission,
    ) -> None:
        self._incarnation = incarnation
        self._memory = GateMemory(incarnation)
        self._service_name = service_name
        self._services = services
        self._admission = admission
        self._links: dict[int, GateRequest] = {}
        self._ping_intervals: dict[int, float] = {}
        self._detached: dict[RequestId, float] = {}
        self._stopped = False
        self._effects: list[GateEffect] = []

    @property
    def incarnation(self) -> int:
        """Return the number that identifies this run of the agent."""
        return self._incarnation

    @property
    def running(self) -> int:
        """Return how many requests wait, run, or may still be resumed by their requester."""
        return self._memory.running(self._detached)

    @property
    def remembered(self) -> int:
        """Return the number of remembered identifiers."""
        return len(self._memory)

    def request(self, identifier: RequestId) -> GateRequest | None:
        """Return a request, or None if it is unknown."""
        return self._memory.get(identifier)

    def handle(self, event: GateEvent, now: float) -> Sequence[GateEffect]:
        """Handle an event and return the effects to apply, in order."""
        match event:
            case MessageArrived(link, message):
                self._on_message(link, message, now)
            case LinkLost(link):
                self._on_link_lost(link, now)
            case BackendEnded(identifier, verdict):
                self._on_backend_ended(identifier, verdict, now)
            case TimePassed():
                self._on_tick(now)
            case Stopped():
                self._stopped = True
                self._apply(self._admission.stop(now), now)
            case Resumed():
                self._stopped = False
                self._admission.resume()
            case BoundsChanged(slots, connections, limits):
                self._apply(self._admission.update(slots, connections, limits, now), now)
        effects, self._effects = self._effects, []
        return effects

    def start(self, identifier: RequestId, now: float) -> Refused | None:
        """Return None if the first byte may be sent to the backend server now, else the refusal.

        The first byte must follow this call without anything in between.
        """
        request = self._memory.get(identifier)
        if request is None or request.phase is Phase.ENDED:
            return Refused(RefusalReason.FENCED)
        if request.deadline is not None and now >= request.deadline:
            return Refused(RefusalReason.DEADLINE)
        if self._stopped and request.phase is not Phase.STARTED:
            return Refused(RefusalReason.DRAINING)
        request.phase = Phase.STARTED
        request.started_at = now
        return None

    def _on_message(self, link: int, message: object, now: float) -> None:
        match message:
            case Ping(next_seconds):
                self._ping_intervals[link] = next_seconds
                self._emit(Send(link, Pong(GateMark(self._incarnation, now))))
            case Open():
                self._on_open(link, message, now)
            case Resume():
                self._on_resume(link, message, now)
            case Body():
                self._on_body(link, message)
            case Acknowledge(offset):
                self._on_acknowledge(link, offset, now)
            case Cancel(identifier):
                self._on_cancel(link, identifier, now)
            case _:
                self._emit(CloseLink(link))

    def _on_open(self, link: int, message: Open, now: float) -> None:
        identifier = message.identifier
        known = self._memory.get(identifier) is not None or self._memory.is_delivered(identifier)
        if known or self._is_busy(link):
            self._emit(CloseLink(link))
            return
        if self._memory.is_withdrawn(identifier):
            self._refuse(link, RefusalReason.FENCED)
            return
        if not self._memory.is_complete_since(message.mark):
            self._emit(Send(link, Failed(UnknownReason.RELAY_LOST.value)))
            return
        service = self._services(message.service)
        if service is None or message.service != self._service_name:
            self._refuse(link, RefusalReason.WRONG_SERVICE)
            return
        request_class = service.classify(message.method, message.path)
        if request_class is None or request_class.name != message.class_name:
            # The requester's configuration declares the class, and either one may be out of date.
            self._refuse(link, RefusalReason.NO_TARGET)
            return
        self._admit(link, message, service, request_class, now)

    def _admit(
        self, link: int, message: Open, service: Service, request_class: RequestClass, now: float
    ) -> None:
        if self._stopped:
            self._refuse(link, RefusalReason.DRAINING)
            return
        if message.deadline is not None and now >= message.deadline:
            self._refuse(link, RefusalReason.DEADLINE)
            return
        ticket = Ticket(
            str(message.identifier),
            service.tenant,
            request_class.name,
            request_class.weight,
            request_class.shape,
            request_class.priority,
            message.deadline,
        )
        decision = self._admission.ask(ticket, now)
        if isinstance(decision, Rejected):
            self._emit(Send(link, _refusal(decision.refusal)))
            return
        request = GateRequest(
            message, service, request_class, message.epoch, link, message.deadline, now
        )
        self._memory.add(request)
        self._links[link] = request
        self._emit(Send(link, Accepted(message.identifier)))
        self._emit(Follow(link, message.identifier, False, False, 0))
        if isinstance(decision, Admitted):
            self._launch(request)
        else:
            # Report a request that this one displaced from the queue without delay.
            self._apply(self._admission.expire(now), now)

    def _on_resume(self, link: int, message: Resume, now: float) -> None:
        if self._is_busy(link):
            self._emit(CloseLink(link))
            return
        request = self._memory.get(message.identifier)
        if request is None:
            self._resume_unknown(link, message, now)
            return
        if message.epoch <= request.epoch:
            self._emit(CloseLink(link))
            return
        self._fence(request, message.epoch)
        if request.phase in (Phase.WAITING, Phase.ADMITTED):
            self._end(request, _refusal(Refused(RefusalReason.FENCED)), now)
        if isinstance(request.verdict, Refusal):
            self._emit(Send(link, ResumeAnswer(NOT_STARTED, 0)))
        elif message.offset < request.answer.base or message.offset > request.answer.end:
            self._emit(Send(link, ResumeAnswer(NOT_KNOWN, 0)))
        else:
            self._resume_answer(link, request, message)

    def _resume_answer(self, link: int, request: GateRequest, message: Resume) -> None:
        self._links[link] = request
        request.link = link
        self._detached.pop(message.identifier, None)
        state = RUNNING if request.verdict is None else FINISHED
        self._emit(Send(link, ResumeAnswer(state, request.body.end)))
        self._emit(Follow(link, message.identifier, True, message.has_head, message.offset))

    def _resume_unknown(self, link: int, message: Resume, now: float) -> None:
        """Withdraw an identifier that never arrived, or answer that it is not known."""
        identifier = message.identifier
        withdrawn = self._memory.is_withdrawn(identifier)
        delivered = self._memory.is_delivered(identifier)
        if not withdrawn and not delivered and self._memory.is_complete_since(message.mark):
            self._memory.withdraw(identifier, now)
            withdrawn = True
        self._emit(Send(link, ResumeAnswer(NOT_STARTED if withdrawn else NOT_KNOWN, 0)))

    def _on_body(self, link: int, message: Body) -> None:
        request = self._links.get(link)
        if request is None:
            return
        try:
            request.body.append_at(message.offset, message.data)
        except WindowGap:
            self._emit(CloseLink(link))
            return
        if request.body.size > 2 * BODY_WINDOW_BYTES:
            self._emit(CloseLink(link))
            return
        request.body.complete = request.body.complete or message.last
        self._emit(Progress(request.open.identifier))

    def _on_acknowledge(self, link: int, offset: int, now: float) -> None:
        request = self._links.get(link)
        if request is None:
            return
        request.answer.release(offset)
        self._emit(Progress(request.open.identifier))
        if request.finished:
            self._detach(request, now)
            self._memory.compact(request, now)

    def _on_cancel(self, link: int, identifier: RequestId, now: float) -> None:
        request = self._memory.get(identifier)
        if request is None or request.link != link or request.verdict is not None:
            return
        if request.phase is Phase.STARTED:
            self._end(request, Failed(UnknownReason.DEADLINE.value), now)
        else:
            self._end(request, _refusal(Refused(RefusalReason.DEADLINE)), now)

    def _on_link_lost(self, link: int, now: float) -> None:
        request = self._links.get(link)
        if request is not None:
            self._detach(request, now)
        self._ping_intervals.pop(link, None)

    def _on_backend_ended(self, identifier: RequestId, verdict: Verdict, now: float) -> None:
        request = self._memory.get(identifier)
        if request is None or not request.launched:
            return
        request.launched = False
        completed = isinstance(verdict, End)
        free_capacity = self._admission.release if completed else self._admission.cancel
        self._apply(free_capacity(str(identifier), now), now)
        if request.verdict is None:
            self._end(request, verdict, now)

    def _on_tick(self, now: float) -> None:
        self._apply(self._admission.expire(now), now)
        self._abandon_orphans(now)
        self._memory.evict_old(now)

    def _abandon_orphans(self, now: float) -> None:
        for identifier in [each for each, due in self._detached.items() if due <= now]:
            del self._detached[identifier]
            request = self._memory.get(identifier)
            if request is not None and request.verdict is None:
                lost = Failed(UnknownReason.RELAY_LOST.value)
                refused = _refusal(Refused(RefusalReason.FENCED))
                self._end(request, lost if request.phase is Phase.STARTED else refused, now)

    def _is_busy(self, link: int) -> bool:
        """Return whether a link serves a running request; detach a request that has ended."""
        request = self._links.get(link)
        if request is None:
            return False
        if request.verdict is None:
            return True
        del self._links[link]
        request.link = None
        return False

    def _fence(self, request: GateRequest, epoch: int) -> None:
        request.epoch = epoch
        if request.link is not None:
            self._emit(CloseLink(request.link))
            del self._links[request.link]
            request.link = None

    def _detach(self, request: GateRequest, now: float) -> None:
        link, request.link = request.link, None
        if link is not None:
            del self._links[link]
        if link is not None and not request.finished:
            # The requester may notice the lost link only at its next Ping.
            due = now + ORPHAN_SECONDS + self._ping_intervals.get(link, 0.0)
            self._detached[request.open.identifier] = due

    def _end(self, request: GateRequest, verdict: Verdict, now: float) -> None:
        """Set the final verdict of a request, which can no longer start or change after this."""
        identifier = request.open.identifier
        if request.phase is Phase.WAITING:
            self._apply(self._admission.cancel(str(identifier), now), now)
        request.phase = Phase.ENDED
        request.verdict = verdict
        if request.finished:
            self._detached.pop(identifier, None)
        self._memory.note_end(identifier, now)
        if request.launched:
            self._emit(Abort(identifier))
        self._emit(Progress(identifier))

    def _apply(self, decisions: Sequence[AdmissionDecision], now: float) -> None:
        for decision in decisions:
            request = self._find_request(decision.identifier)
            if request is None or request.phase is not Phase.WAITING:
                continue
            match decision:
                case Admitted():
                    self._launch(request)
                case Rejected(_, refusal):
                    self._end(request, _refusal(refusal), now)
                case Queued():
                    continue

    def _find_request(self, text: str) -> GateRequest | None:
        return self._memory.get(RequestId(*map(int, text.split("."))))

    def _launch(self, request: GateRequest) -> None:
        request.phase = Phase.ADMITTED
        request.launched = True
        self._emit(Launch(request.open.identifier))

    def _refuse(self, link: int, reason: RefusalReason) -> None:
        self._emit(Send(link, _refusal(Refused(reason))))

    def _emit(self, effect: GateEffect) -> None:
        self._effects.append(effect)


def _refusal(refused: Refused) -> Refusal:
    return Refusal(refused.reason.value, refused.retry_after_seconds)
