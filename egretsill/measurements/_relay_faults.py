"""Faults of links, agents, backend connections and callers in a relay world."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from ..requests._attempt_events import LinkFailed, RequestCancelled
from ..requests._gate_events import Stopped
from ..requests._messages import Failed, Open, Refusal, Verdict
from ._relay_parties import BackendCallModel, Caller, CallStage, GateNode, LinkModel, PendingConnect
from ._relay_world import Action, RelayWorld

PAUSE_SECONDS = 12.0


def break_at_requester(world: RelayWorld, link: LinkModel) -> None:
    """Break a link at the requester's end; messages in flight may still arrive, however late."""
    if not link.requester_open:
        return
    world.faults["link broken at asker"] += 1
    world.close_at_requester(link)
    world.handle_caller_event(link.caller, LinkFailed(link.requester_number))


def break_at_gate(world: RelayWorld, link: LinkModel) -> None:
    """Break a link at the gate's end; messages in flight may still arrive, however late."""
    if link.gate_open and link.node is world.nodes[link.node.number]:
        world.faults["link broken at gate"] += 1
        world.close_at_gate(link)


def lose_in_flight(world: RelayWorld, link: LinkModel) -> None:
    """Break a link at both ends and lose the messages in flight."""
    link.to_gate.clear()
    link.to_requester.clear()
    break_at_gate(world, link)
    break_at_requester(world, link)
    link.to_gate.clear()
    link.to_requester.clear()


def fail_connect(world: RelayWorld, connect: PendingConnect) -> None:
    """Fail a pending connect."""
    world.faults["link not opened"] += 1
    world.connects.remove(connect)
    world.handle_caller_event(connect.caller, LinkFailed(connect.requester_number))


def duplicate_open(world: RelayWorld, link: LinkModel) -> None:
    """Deliver an Open in flight a second time, over a link that nobody reads."""
    opens = [each for each in link.to_gate if isinstance(each, Open)]
    if opens:
        world.faults["open duplicated"] += 1
        stale = world.add_link(link.caller, -1, link.node)
        stale.requester_open = False
        stale.to_gate.extend([opens[0], None])


def pause_gate(world: RelayWorld, node: GateNode) -> None:
    """Pause a gate's process; on resuming it gets all messages that arrived meanwhile."""
    world.faults["agent paused"] += 1
    node.paused_until = world.now + PAUSE_SECONDS


def pause_requester(world: RelayWorld) -> None:
    """Pause the requester's process."""
    world.faults["asker paused"] += 1
    world.requester_paused_until = world.now + PAUSE_SECONDS


def delay_link(world: RelayWorld, link: LinkModel) -> None:
    """Delay the messages in flight and those that follow."""
    world.faults["link late"] += 1
    link.late_until = world.now + PAUSE_SECONDS


def crash(world: RelayWorld, number: int) -> None:
    """Replace a gate by a new incarnation without its state."""
    world.faults["agent lost"] += 1
    old = world.nodes[number]
    for link in world.links:
        if link.node is old and link.gate_open:
            link.gate_open = False
            link.to_gate.clear()
            link.to_requester.append(None)
    world.nodes[number] = world.make_node(number, old.incarnation + 1)


def crash_requester(world: RelayWorld) -> None:
    """Crash the requesting agent; its links close at the gates later."""
    world.faults["asking agent lost"] += 1
    for caller in world.callers:
        caller.lost = caller.lost or caller.outcome is None
    for link in world.links:
        if link.requester_open:
            world.close_at_requester(link)
    world.connects.clear()


def stop_gate(world: RelayWorld, number: int) -> None:
    """Stop a gate from starting requests."""
    world.handle_gate_event(world.nodes[number], Stopped())


def fail_backend(
    world: RelayWorld, node: GateNode, call: BackendCallModel, verdict: Verdict
) -> None:
    """Fail a call: with a Refusal before its start or when shed, else with Failed."""
    if call.stage is CallStage.OVER or node is not world.nodes[node.number]:
        return
    world.faults[f"backend {type(verdict).__name__.lower()}"] += 1
    if isinstance(verdict, Refusal) and call.stage is CallStage.RUNNING:
        if call.request.head is not None:
            return
        call.caller.starts -= 1
    elif isinstance(verdict, Failed) and call.stage is CallStage.CONNECTING:
        return
    world.end_call(node, call, verdict)


def leave(world: RelayWorld, caller: Caller) -> None:
    """Let a caller withdraw its request."""
    world.faults["caller left"] += 1
    world.handle_caller_event(caller, RequestCancelled())


def possible_faults(world: RelayWorld) -> Sequence[Action]:
    """Return every fault that can happen now, in a fixed order."""
    faults: list[Action] = []
    for connect in world.connects:
        faults.append(("link not opened", partial(fail_connect, world, connect)))
    for link in world.links:
        if (link.to_gate or link.to_requester) and world.now >= link.late_until:
            faults.append(("link late", partial(delay_link, world, link)))
        if link.requester_open:
            faults.append(("link broken at asker", partial(break_at_requester, world, link)))
            faults.append(("link lost in flight", partial(lose_in_flight, world, link)))
        if link.gate_open and link.node is world.nodes[link.node.number]:
            faults.append(("link broken at gate", partial(break_at_gate, world, link)))
        if any(isinstance(each, Open) for each in link.to_gate):
            faults.append(("open duplicated", partial(duplicate_open, world, link)))
    for node in world.nodes.values():
        faults.append(("agent lost", partial(crash, world, node.number)))
        faults.append(("agent drained", partial(stop_gate, world, node.number)))
        if world.now >= node.paused_until:
            faults.append(("agent paused", partial(pause_gate, world, node)))
        for call in node.calls:
            faults.extend(_backend_faults(world, node, call))
    if world.now >= world.requester_paused_until:
        faults.append(("asker paused", partial(pause_requester, world)))
    if any(not caller.lost and caller.outcome is None for caller in world.callers):
        faults.append(("asking agent lost", partial(crash_requester, world)))
    for caller in world.callers:
        if caller.outcome is None and not caller.lost:
            faults.append(("caller left", partial(leave, world, caller)))
    return faults


def _backend_faults(world: RelayWorld, node: GateNode, call: BackendCallModel) -> Sequence[Action]:
    if call.stage is CallStage.CONNECTING:
        unreachable = Refusal("backend-unreachable", 1.0)
        return [("backend unreachable", partial(fail_backend, world, node, call, unreachable))]
    faults: list[Action] = [
        ("backend lost", partial(fail_backend, world, node, call, Failed("backend-lost"))),
        ("backend garbage", partial(fail_backend, world, node, call, Failed("backend-malformed"))),
    ]
    if call.request.head is None:
        shed = Refusal("shedding", 1.0)
        faults.append(("backend sheds", partial(fail_backend, world, node, call, shed)))
    return faults
