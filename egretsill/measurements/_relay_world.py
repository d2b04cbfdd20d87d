"""Real gates and attempts, with the order of all steps between them chosen by the test.

Each message on a link, each step of a backend call, each piece consumed by a caller, each timer and
each fault is a separate action. A paused or delayed process is one whose actions are not chosen
while time advances.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from random import Random

from ..admission import Admission
from ..configuration import RequestClass
from ..outcomes import Answered
from ..requests import RequestHead, RetryBudget
from ..requests._attempt_events import (
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
    SendBody,
    SendMessage,
    VerdictDue,
)
from ..requests._attempts import Attempts
from ..requests._gate import Gate
from ..requests._gate_events import (
    Abort,
    BackendEnded,
    CloseLink,
    Follow,
    GateEffect,
    GateEvent,
    Launch,
    LinkLost,
    MessageArrived,
    Send,
    TimePassed,
)
from ..requests._gate_request import AnswerWriter, BodyWriter, Phase
from ..requests._messages import End, Failed, GateMark, Head, Refusal, RequestId, Verdict
from ._relay_parties import (
    KEY_HEADER,
    PIECES,
    SLOTS,
    BackendCallModel,
    Caller,
    CallStage,
    GateNode,
    LinkModel,
    PendingConnect,
    RequestAttempts,
    RotatingPlacement,
    expected_answer,
    make_world_service,
)

Action = tuple[str, Callable[[], None]]
RequestAttemptsFactory = Callable[..., RequestAttempts]
REQUESTER = 99
BODY = b"buckwheat hulls, 40 kg"
SKEWS = (0.0, 1000.0, -500.0)


class RelayWorld:
    """Callers, one requesting agent, and the gates of a few targets.

    Args:
        targets: how many.
        random: seeds the admissions.
        make_decider: makes the object that offers a request to targets.

    Attributes:
        violations: count of broken guarantees, by name.
    """

    def __init__(
        self, targets: int, random: Random, make_decider: RequestAttemptsFactory = Attempts
    ) -> None:
        self.now = 0.0
        self.requester_paused_until = 0.0
        self.callers: list[Caller] = []
        self.links: list[LinkModel] = []
        self.connects: list[PendingConnect] = []
        self.violations: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self._timers: list[tuple[float, Caller, AttemptEvent]] = []
        self._random = random
        self._make_decider = make_decider
        self._service = make_world_service(targets)
        self._budget = RetryBudget(self._service.limits.retry_share)
        self._sequence = itertools.count(1)
        self._link_numbers = itertools.count(1)
        self._runs = itertools.count(1)
        self._targets = targets
        self.nodes = {number: self.make_node(number, 1) for number in range(1, targets + 1)}

    def ask(self, request_class: RequestClass, deadline: float | None) -> Caller:
        """Start a caller's request."""
        key = f"k{len(self.callers)}"
        method = request_class.methods[0]
        head = RequestHead("catalog", method, "/", ((KEY_HEADER, key.encode()),), deadline)
        placement = RotatingPlacement(self._targets, len(self.callers))
        decider = self._make_decider(
            head, self._service, request_class, deadline, placement, self._budget, self._identifier
        )
        body_writer = BodyWriter(decider.body)
        caller = Caller(key, request_class, decider, placement, body_writer, deadline)
        self.callers.append(caller)
        decider.body.append(BODY)
        decider.body.complete = True
        if deadline is not None:
            self._timers.append((deadline, caller, DeadlinePassed()))
        self.handle_caller_event(caller, RequestBegun())
        return caller

    def steps(self) -> Sequence[Action]:
        """Return the possible next actions without faults, in a fixed order."""
        return list(self._iterate_steps())

    def take_first_step(self) -> bool:
        """Take the first of `steps`, and return whether there was one."""
        for _, act in self._iterate_steps():
            act()
            return True
        return False

    def advance(self, seconds: float) -> None:
        """Advance time; fire timers and tick gates of the processes that are not paused."""
        self.now += seconds
        self.links = [each for each in self.links if not each.over]
        if self.now >= self.requester_paused_until:
            self._fire_timers()
        for node in self.nodes.values():
            if self.now >= node.paused_until:
                self.handle_gate_event(node, TimePassed())

    def _iterate_steps(self) -> Iterator[Action]:
        if self.now >= self.requester_paused_until:
            yield from self._iterate_requester_steps()
        for link in self.links:
            if link.to_gate and self.now >= max(link.late_until, link.node.paused_until):
                yield "to gate", partial(self._deliver_to_gate, link)
        for node in self.nodes.values():
            for call in node.calls:
                if self._can_advance(call) and self.now >= node.paused_until:
                    yield "backend", partial(self._advance_call, node, call)

    def _iterate_requester_steps(self) -> Iterator[Action]:
        for connect in self.connects:
            # A link is ready only once the gate's process has answered a Ping.
            if self.now >= max(connect.due, self.nodes[connect.target_number].paused_until):
                yield "connect", partial(self._connect, connect)
        for link in self.links:
            if link.to_requester and self.now >= link.late_until:
                yield "to asker", partial(self._deliver_to_requester, link)
        for caller in self.callers:
            if caller.deliveries:
                yield "caller", partial(self._consume_delivery, caller)

    def _fire_timers(self) -> None:
        due = [each for each in self._timers if each[0] <= self.now]
        self._timers = [each for each in self._timers if each[0] > self.now]
        for _, caller, event in due:
            self.handle_caller_event(caller, event)

    def handle_gate_event(self, node: GateNode, event: GateEvent) -> None:
        """Pass an event to a gate, at the time of its own clock."""
        for effect in node.gate.handle(event, self.now + node.skew):
            self._apply_gate_effect(node, effect)
        self._send_answer_messages(node)

    def make_node(self, number: int, incarnation: int) -> GateNode:
        """Return a gate without any requests."""
        limits = self._service.limits
        admission = Admission(SLOTS, SLOTS, limits, self._random)
        services = {"catalog": self._service}
        gate = Gate(incarnation, "catalog", services.get, admission)
        return GateNode(number, gate, incarnation, SKEWS[number % len(SKEWS)])

    def _identifier(self) -> RequestId:
        return RequestId(REQUESTER, 1, next(self._sequence))

    def add_link(self, caller: Caller, requester_number: int, node: GateNode) -> LinkModel:
        """Return a new link of a caller's request to a gate."""
        link = LinkModel(caller, requester_number, next(self._link_numbers), node)
        self.links.append(link)
        return link

    def _connect(self, connect: PendingConnect) -> None:
        self.connects.remove(connect)
        node = self.nodes[connect.target_number]
        self.add_link(connect.caller, connect.requester_number, node)
        mark = GateMark(node.incarnation, self.now + node.skew)
        self.handle_caller_event(
            connect.caller, LinkReady(connect.requester_number, mark, node.skew)
        )

    def _deliver_to_gate(self, link: LinkModel) -> None:
        message = link.to_gate.popleft()
        if not link.gate_open:
            return
        if message is None:
            self.close_at_gate(link)
        else:
            self.handle_gate_event(link.node, MessageArrived(link.gate_number, message))

    def _deliver_to_requester(self, link: LinkModel) -> None:
        message = link.to_requester.popleft()
        if not link.requester_open:
            return
        if message is None:
            self.close_at_requester(link)
            self.handle_caller_event(link.caller, LinkFailed(link.requester_number))
        else:
            self.handle_caller_event(link.caller, MessageReceived(link.requester_number, message))

    def close_at_requester(self, link: LinkModel) -> None:
        """Close the requester's end; messages in flight still arrive."""
        link.requester_open = False
        link.sends_body = False
        link.to_gate.append(None)

    def close_at_gate(self, link: LinkModel) -> None:
        """Close the gate's end; messages in flight still arrive."""
        link.gate_open = False
        link.writer = None
        link.to_requester.append(None)
        self.handle_gate_event(link.node, LinkLost(link.gate_number))

    def _can_advance(self, call: BackendCallModel) -> bool:
        request = call.request
        if call.aborted or call.stage is CallStage.CONNECTING:
            return True
        if request.head is None:
            return request.body.complete or call.taken < request.body.end
        return call.pieces == PIECES or not request.answer_full

    def _advance_call(self, node: GateNode, call: BackendCallModel) -> None:
        request = call.request
        if call.aborted:
            self.end_call(node, call, Failed("deadline"))
        elif call.stage is CallStage.CONNECTING:
            self._start(node, call)
        elif call.taken < request.body.end or not request.body.complete:
            call.taken = request.body.end
            request.body.release(call.taken)
        elif request.head is None:
            request.head = Head(200, ())
        elif call.pieces < PIECES:
            pieces = expected_answer(call.run)
            size = len(pieces) // PIECES
            request.answer.append(pieces[call.pieces * size : (call.pieces + 1) * size])
            call.pieces += 1
        else:
            self.end_call(node, call, End(request.answer.end))
        self._send_answer_messages(node)

    def _start(self, node: GateNode, call: BackendCallModel) -> None:
        identifier = call.request.open.identifier
        refused = node.gate.start(identifier, self.now + node.skew)
        if refused is None:
            call.stage = CallStage.RUNNING
            call.caller.start(call.run)
        else:
            refusal = Refusal(refused.reason.value, refused.retry_after_seconds)
            self.end_call(node, call, refusal)

    def end_call(self, node: GateNode, call: BackendCallModel, verdict: Verdict) -> None:
        """End a call to a backend server."""
        call.stage = CallStage.OVER
        node.calls.remove(call)
        self.handle_gate_event(node, BackendEnded(call.request.open.identifier, verdict))

    def _consume_delivery(self, caller: Caller) -> None:
        match caller.deliveries.popleft():
            case DeliverHead(status):
                caller.status = status
            case DeliverData(data, end):
                caller.data += data
                self.handle_caller_event(caller, Delivered(end))
        if isinstance(caller.outcome, Answered) and not caller.deliveries:
            self._check_answer(caller)

    def _check_answer(self, caller: Caller) -> None:
        if caller.data not in [expected_answer(run) for run in caller.runs]:
            self.violations["wrong answers"] += 1

    def handle_caller_event(self, caller: Caller, event: AttemptEvent) -> None:
        """Pass an event to a caller's request."""
        if caller.lost:
            return
        for effect in caller.decider.handle(event, self.now):
            self._apply_requester_effect(caller, effect)

    def _apply_requester_effect(self, caller: Caller, effect: AttemptEffect) -> None:
        match effect:
            case Connect(number, target_number, _, delay_seconds):
                due = self.now + delay_seconds
                self.connects.append(PendingConnect(caller, number, target_number, due))
            case SendMessage(number, message):
                for link in self._open_links(caller, number):
                    link.to_gate.append(message)
            case SendBody(number, offset):
                caller.body_writer.rewind(offset)
                for link in self._open_links(caller, number):
                    link.sends_body = True
                self._send_body_messages(caller)
            case BodyAcknowledged(offset):
                caller.body_writer.acknowledge(offset)
                self._send_body_messages(caller)
            case FreeLink(number) | DropLink(number):
                for link in self._open_links(caller, number):
                    self.close_at_requester(link)
            case DeliverHead() | DeliverData():
                caller.deliveries.append(effect)
            case AwaitVerdict(seconds):
                self._timers.append((self.now + seconds, caller, VerdictDue()))
            case Conclude(outcome):
                self._conclude(caller, outcome)

    def _conclude(self, caller: Caller, outcome: object) -> None:
        caller.conclusions += 1
        caller.outcome = outcome  # type: ignore[assignment]
        self.connects = [each for each in self.connects if each.caller is not caller]
        if not isinstance(outcome, Answered):
            caller.deliveries.clear()
        elif not caller.deliveries:
            self._check_answer(caller)

    def _open_links(self, caller: Caller, number: int) -> Sequence[LinkModel]:
        return [
            link
            for link in self.links
            if link.caller is caller and link.requester_number == number and link.requester_open
        ]

    def _apply_gate_effect(self, node: GateNode, effect: GateEffect) -> None:
        match effect:
            case Send(number, message):
                for link in self._gate_links(node, number):
                    link.to_requester.append(message)
            case Follow(number, identifier, resumed, has_head, offset):
                request = node.gate.request(identifier)
                for link in self._gate_links(node, number):
                    if request is not None:
                        link.writer = AnswerWriter(request, resumed, has_head, offset)
            case CloseLink(number):
                for link in self._gate_links(node, number):
                    self.close_at_gate(link)
            case Launch(identifier):
                self._launch(node, identifier)
            case Abort(identifier):
                for call in node.calls:
                    call.aborted = call.aborted or call.request.open.identifier == identifier
            case _:
                return

    def _gate_links(self, node: GateNode, number: int) -> Sequence[LinkModel]:
        return [each for each in self.links if each.gate_number == number and each.gate_open]

    def _launch(self, node: GateNode, identifier: RequestId) -> None:
        request = node.gate.request(identifier)
        if request is None or request.phase is not Phase.ADMITTED:
            self.violations["launched unadmitted"] += 1
            return
        key = dict(request.open.headers)[KEY_HEADER].decode()
        caller = next(each for each in self.callers if each.key == key)
        run = f"{key}@{node.number}#{next(self._runs)}"
        node.calls.append(BackendCallModel(request, caller, run))

    def _send_answer_messages(self, node: GateNode) -> None:
        for link in self.links:
            if link.node is node and link.writer is not None and link.gate_open:
                while (message := link.writer.next_message()) is not None:
                    link.to_requester.append(message)

    def _send_body_messages(self, caller: Caller) -> None:
        for link in self.links:
            if link.caller is caller and link.sends_body and link.requester_open:
                while (message := caller.body_writer.next_message()) is not None:
                    link.to_gate.append(message)
