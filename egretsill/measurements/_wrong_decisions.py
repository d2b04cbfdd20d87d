"""Deliberately wrong decisions, to check that the judge of emulated days detects them."""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from ..address_steering import DeliverToTarget, Refuse, RefuseReason, SendToCaller
from ..address_steering._agent_steering import AgentSteering
from ..address_steering._placement import FlowPlacement
from ..address_steering._presence import Presence
from ..address_steering._target_capacity import TargetCapacity
from ..address_steering._warm_up_pace import WarmUpPace
from ..directory import Directory, Pause, ReadPlan, StoreRevision, TargetPhase
from ..directory._evacuations import Evacuations
from ..directory._target_entries import TargetEntries
from ..node._fleet_link import FleetLink

Method = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Replacement:
    """The replacement of one method.

    Attributes:
        owner: its class.
        method: its name.
        make: returns the wrong method, given the original one.
    """

    owner: type
    method: str
    make: Callable[[Method], Method]


@dataclass(frozen=True, slots=True)
class WrongDecision:
    """One wrong decision.

    Attributes:
        name: what is wrong.
        day: name of the day on which it has an effect.
        replacements: the methods to replace.
    """

    name: str
    day: str
    replacements: tuple[Replacement, ...]

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Apply the replacements to all processes within the context."""
        with ExitStack() as stack:
            for each in self.replacements:
                wrong = each.make(getattr(each.owner, each.method))
                stack.enter_context(mock.patch.object(each.owner, each.method, wrong))
            yield


def _choose_leaving(original: Method) -> Method:
    def choose(self: Any, flow: Any, service: str, excluded: Any, domain: str, now: float) -> Any:
        for each in self._directory.targets_of(service):
            is_leaving = each.target.phase is TargetPhase.DRAINING
            if is_leaving and each.target.host not in excluded:
                return each.target.host
        return original(self, flow, service, excluded, domain, now)

    return choose


def _refuse_unknown(_: Method) -> Method:
    def take_unknown(self: Any, envelope: Any, packet: Any, now: float) -> Any:
        return (Refuse(packet.flow, packet.acknowledged, RefuseReason.NOWHERE_OPEN),)

    return take_unknown


def _keep_unknown(_: Method) -> Method:
    def take_unknown(self: Any, envelope: Any, packet: Any, now: float) -> Any:
        return (DeliverToTarget(packet.datagram),)

    return take_unknown


def _change_payload(original: Method) -> Method:
    def take_owned(self: Any, entry: Any, envelope: Any, packet: Any, now: float) -> Any:
        effects = original(self, entry, envelope, packet, now)
        return [
            (
                DeliverToTarget(each.datagram[:-1] + b"!")
                if isinstance(each, DeliverToTarget) and packet.payload_bytes
                else each
            )
            for each in effects
        ]

    return take_owned


def _change_answers(original: Method) -> Method:
    def take_from_target(self: Any, packet: Any, now: float) -> Any:
        return [
            (
                SendToCaller(each.host, each.datagram[:-1] + b"!")
                if isinstance(each, SendToCaller) and packet.payload_bytes
                else each
            )
            for each in original(self, packet, now)
        ]

    return take_from_target


def _never_read_again(original: Method) -> Method:
    def next_step(self: Any, now: float, *rest: Any) -> Any:
        return original(self, now, *rest) if now < 4.0 else Pause(1.0)

    return next_step


def _never_pass(_: Method) -> Method:
    return lambda *_: None


def _keep_first_route(original: Method) -> Method:
    kept: dict[tuple[int, int, int], Any] = {}

    def route(self: Any, host: int, port: int) -> Any:
        found = original(self, host, port)
        return found if found is None else kept.setdefault((id(self), host, port), found)

    return route


def _trust_own_view(original: Method) -> Method:
    def pass_on(self: Any, envelope: Any, packet: Any, now: float, _: bool = False) -> Any:
        return original(self, envelope, packet, now, is_confirmed=True)

    return pass_on


def _trust_vanished_entries(_: Method) -> Method:
    def has_left(self: Any, host: int, services: Any, now: float) -> bool:
        views = [self._directory.target_at(host, service) for service in services]
        return all(view is None or view.has_departed(now) for view in views)

    return has_left


def _compare_numbers(operation: Callable[[int, int], bool]) -> Callable[[Method], Method]:
    def make(_: Method) -> Method:
        return lambda self, other: operation(self.number, other.number)

    return make


def _hide_era(original: Method) -> Method:
    def make_head(self: Any, *rest: Any) -> Any:
        head = original(self, *rest)
        return head._replace(revision=StoreRevision(0, head.revision.number))

    return make_head


def _never_evacuated(_: Method) -> Method:
    return lambda *_: False


def _end_all_missing(original: Method) -> Method:
    def end_missing(self: Any, evacuations: Any, at: Any, _: bool) -> Any:
        return original(self, evacuations, at, is_settled=True)

    return end_missing


def _take_any_entry(_: Method) -> Method:
    return lambda *_: True


def _forget(_: Method) -> Method:
    return lambda *_: None


def _count_half(original: Method) -> Method:
    counted: dict[int, int] = {}

    def record(self: Any, now: float) -> None:
        counted[id(self)] = counted.get(id(self), 0) + 1
        if counted[id(self)] % 2:
            original(self, now)

    return record


WRONG_DECISIONS = (
    WrongDecision(
        "targets that leave get new flows",
        "release",
        (
            Replacement(FlowPlacement, "choose", _choose_leaving),
            Replacement(TargetCapacity, "reason_to_pass", _never_pass),
        ),
    ),
    WrongDecision(
        "agents open what balancers send that don't know of an evacuation",
        "evacuation",
        (Replacement(TargetCapacity, "_is_evacuated", _never_evacuated),),
    ),
    WrongDecision(
        "an evacuation that a copy lacks is over at once",
        "evacuation",
        (Replacement(Evacuations, "end_missing", _end_all_missing),),
    ),
    WrongDecision(
        "a newer configuration is ignored",
        "route-moves",
        (Replacement(Directory, "route", _keep_first_route),),
    ),
    WrongDecision(
        "a flow that isn't here is reset at once",
        "balancers-restart-and-grow",
        (Replacement(AgentSteering, "_take_unknown", _refuse_unknown),),
    ),
    WrongDecision(
        "a flow that isn't here is never passed on",
        "balancers-restart-and-grow",
        (Replacement(AgentSteering, "_take_unknown", _keep_unknown),),
    ),
    WrongDecision(
        "callers' data is changed",
        "quiet",
        (Replacement(AgentSteering, "_take_owned", _change_payload),),
    ),
    WrongDecision(
        "targets' answers are changed",
        "quiet",
        (Replacement(AgentSteering, "take_from_target", _change_answers),),
    ),
    WrongDecision(
        "a process doesn't read the store after its start",
        "recovery",
        (Replacement(ReadPlan, "next_step", _never_read_again),),
    ),
    WrongDecision(
        "resets what its own view lacks",
        "targets-added-while-agents-lag",
        (Replacement(AgentSteering, "_pass_on", _trust_own_view),),
    ),
    WrongDecision(
        "a target whose entry vanished is held for gone",
        "entries-vanish",
        (Replacement(Presence, "has_left", _trust_vanished_entries),),
    ),
    WrongDecision(
        "content is ordered by the store's revision alone",
        "store-returns-before-a-route-moves",
        tuple(
            Replacement(StoreRevision, f"__{each.__name__}__", _compare_numbers(each))
            for each in (operator.lt, operator.le, operator.gt, operator.ge)
        ),
    ),
    WrongDecision(
        "heartbeats don't tell the era",
        "store-returns-while-it-refuses-some",
        (Replacement(FleetLink, "_make_head", _hide_era),),
    ),
    WrongDecision(
        "a copy's entry wins over a later write",
        "store-returns-over-drains",
        (
            Replacement(TargetEntries, "_is_taken", _take_any_entry),
            # The run that drains by the later write would hold the copy's entry back otherwise.
            Replacement(TargetEntries, "_keep_departed", _forget),
        ),
    ),
    WrongDecision(
        "a target in warm-up gets any number of flows",
        "targets-warm-up-at-a-pace",
        (Replacement(WarmUpPace, "left", _never_pass),),
    ),
    WrongDecision(
        "half of the SYN packets don't count for the pace",
        "targets-warm-up-at-a-pace",
        (Replacement(WarmUpPace, "record_opening", _count_half),),
    ),
)
