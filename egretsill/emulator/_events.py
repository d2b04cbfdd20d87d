"""Application of a day's events to the emulated world."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import replace

from ..directory import TargetPhase
from ..endpoints import format_ipv4
from ._day import (
    AddBalancers,
    AddTargets,
    Burst,
    ClockStep,
    Configure,
    CrashTarget,
    Cut,
    Drain,
    Evacuate,
    Event,
    ExpireEntries,
    Kill,
    Lag,
    Loss,
    MoveRoute,
    PowerLoss,
    ProcessGroup,
    Restart,
    ReuseAddress,
    SlowTarget,
    StoreDown,
    StoreForgets,
    StoreRefuses,
    StoreReturns,
    StoreSlow,
)
from ._machine import Machine
from ._target import EmulatedTarget
from ._world import DOMAINS, INTAKE, LISTINGS, UPLOADS, World

DRAIN_SECONDS = 4.0  # a draining target keeps serving for this time
EXPIRY_SECONDS = 3.0  # until the store removes the entry of a crashed target
RESTART_CHECK_SECONDS = 0.1


def apply_event(event: Event, world: World) -> None:
    """Apply an event and schedule its end."""
    match event:
        case Kill():
            chosen = _machines(world, event.who, event.share)
            _kill(world, chosen, event.seconds)
        case PowerLoss():
            _cut_power(world, _machines(world, event.who, event.share), event.seconds)
        case Cut():
            for machine in _machines(world, event.who, event.share):
                world.network.cut(machine.host)
                _disturb_until(
                    world, event.seconds, machine, lambda m: world.network.reconnect(m.host)
                )
        case Loss():
            for machine in _machines(world, event.who, event.share):
                world.network.set_loss(machine.host, event.lost)
                _disturb_until(
                    world, event.seconds, machine, lambda m: world.network.set_loss(m.host, 0.0)
                )
        case Restart():
            _restart_in_turn(world, _machines(world, event.who, event.share), event.gap)
        case ClockStep():
            for machine in _machines(world, ProcessGroup.ALL, event.share):
                machine.wall_offset += event.by
                _disturb_until(world, event.seconds, machine, _clock_restorer(event.by))
        case AddBalancers():
            for number in range(event.count):
                world.add_balancer(DOMAINS[number % len(DOMAINS)])
        case AddTargets():
            _add_targets(world, event)
        case Lag():
            for machine in _machines(world, event.who, event.share):
                world.start_lag(machine)
                _disturb_until(world, event.seconds, machine, world.end_lag)
        case StoreDown():
            world.store.faults.is_down = True
            _end_fault_later(
                world, event.seconds, lambda: setattr(world.store.faults, "is_down", False)
            )
        case StoreSlow():
            usual_delay = world.store.faults.delay_seconds
            world.store.faults.delay_seconds = event.delay
            _end_fault_later(
                world,
                event.seconds,
                lambda: setattr(world.store.faults, "delay_seconds", usual_delay),
            )
        case StoreRefuses():
            hosts = {each.host for each in _machines(world, ProcessGroup.ALL, event.share)}
            world.store.faults.refused_hosts |= hosts
            _end_fault_later(
                world,
                event.seconds,
                lambda: world.store.faults.refused_hosts.difference_update(hosts),
            )
        case StoreForgets():
            world.store.compact()
        case StoreReturns():
            _return_store(world, event)
        case Configure():
            for number in range(event.count):
                world.scheduler.call_later(
                    number * event.gap, lambda n=number: world.publish(n % 3)  # type: ignore[misc]
                )
        case MoveRoute():
            world.services[UPLOADS] = LISTINGS
            world.publish()
        case Drain():
            for number, target in enumerate(_targets(world, LISTINGS, event.count)):
                world.scheduler.call_later(
                    number * event.gap, lambda t=target: _drain(world, t)  # type: ignore[misc]
                )
        case Evacuate():
            world.evacuate(event.domain)
            _end_fault_later(world, event.seconds, lambda: world.restore(event.domain))
        case ExpireEntries():
            for number, target in enumerate(_targets(world, LISTINGS, event.count)):
                world.scheduler.call_later(number * event.gap, _entry_expirer(world, target, event))
        case CrashTarget():
            for target in _targets(world, LISTINGS, event.count):
                _crash(world, target, event.seconds)
        case ReuseAddress():
            for target in _targets(world, LISTINGS, 1):
                _reuse(world, target, event.seconds)
        case SlowTarget():
            for target in _targets(world, LISTINGS, event.count):
                target.slowdown = event.factor
                _end_fault_later(world, event.seconds, lambda t=target: setattr(t, "slowdown", 1.0))  # type: ignore[misc]
        case Burst():
            world.load_factor *= event.factor
            _end_fault_later(world, event.seconds, lambda: _end_burst(world, event.factor))


def _return_store(world: World, event: StoreReturns) -> None:
    copy = world.store.copy()

    def stop() -> None:
        world.store.faults.is_down = True

    def come_back() -> None:
        world.store.faults.is_down = False
        world.store.return_from(copy)
        world.write_again()
        world.scheduler.call_later(EXPIRY_SECONDS, world.remove_stale_entries)

    world.scheduler.call_later(event.lost, stop)
    _end_fault_later(world, event.lost + event.seconds, come_back)


def _machines(world: World, who: ProcessGroup, share: float) -> Sequence[Machine]:
    match who:
        case ProcessGroup.BALANCERS:
            candidates = world.balancers
        case ProcessGroup.AGENTS:
            candidates = world.agents
        case ProcessGroup.ALL:
            candidates = list(world.machines.values())
    return world.random.sample(candidates, math.ceil(share * len(candidates)))


def _targets(world: World, service: str, count: int) -> Sequence[EmulatedTarget]:
    """Choose running targets of a service at random; at least one is left out."""
    running = [
        each
        for each in world.targets.values()
        if each.is_running and not each.is_draining and each.entry.service == service
    ]
    return world.random.sample(running, min(count, max(len(running) - 1, 0)))


def _end_fault_later(world: World, seconds: float, call: Callable[[], None]) -> None:
    ends_at = world.scheduler.now + seconds
    world.last_fault_ended_at = max(world.last_fault_ended_at, ends_at)
    world.scheduler.call_at(ends_at, call)


def _disturb_until(
    world: World, seconds: float, machine: Machine, end: Callable[[Machine], None]
) -> None:
    def finish() -> None:
        machine.note_disturbance()
        end(machine)

    machine.note_disturbance()
    # Note it again each second, so that the VM counts as disturbed throughout.
    for step in range(int(seconds)):
        world.scheduler.call_later(step + 1.0, machine.note_disturbance)
    _end_fault_later(world, seconds, finish)


def _clock_restorer(by: float) -> Callable[[Machine], None]:
    def set_back(machine: Machine) -> None:
        machine.wall_offset -= by

    return set_back


def _end_burst(world: World, factor: float) -> None:
    world.load_factor /= factor


def _kill(world: World, machines: Sequence[Machine], seconds: float) -> None:
    def start(machine: Machine) -> None:
        if machine.host in world.machines:
            machine.start()

    for machine in machines:
        machine.kill()
        _disturb_until(world, seconds, machine, start)


def _cut_power(world: World, machines: Sequence[Machine], seconds: float) -> None:
    def restore(machine: Machine) -> None:
        world.network.power_on(machine.host)
        if machine.host in world.machines:
            machine.start()

    for machine in machines:
        machine.kill()
        world.network.power_off(machine.host)
        _disturb_until(world, seconds, machine, restore)
        for target in tuple(world.targets.values()):
            if format_ipv4(target.entry.host) == machine.host and target.is_running:
                _crash(world, target, seconds)


def _crash(world: World, target: EmulatedTarget, seconds: float) -> None:
    entry = replace(target.entry, phase=TargetPhase.READY)
    target.stop()
    _end_fault_later(world, seconds, lambda: _restart_target(world, target, entry.host))


def _restart_target(world: World, target: EmulatedTarget, host: int) -> None:
    if format_ipv4(host) in world.machines and world.targets.get(target.entry.name) is target:
        world.start_target(replace(target.entry, phase=TargetPhase.READY))


def _add_targets(world: World, event: AddTargets) -> None:
    def add(number: int) -> None:
        world.add_target(event.service.value, DOMAINS[number % len(DOMAINS)])

    for number in range(event.count):
        world.scheduler.call_later(number * event.gap, lambda n=number: add(n))  # type: ignore[misc]


def _entry_expirer(
    world: World, target: EmulatedTarget, event: ExpireEntries
) -> Callable[[], None]:
    def expire() -> None:
        if target.is_running:
            world.expire_entry(target)
            _end_fault_later(world, event.seconds, lambda: world.register(target))

    return expire


def _drain(world: World, target: EmulatedTarget) -> None:
    if not target.is_running:
        return
    target.entry = replace(target.entry, phase=TargetPhase.DRAINING)
    world.register(target)

    def leave() -> None:
        if not target.is_running:
            return
        target.stop()
        world.remove_entry(target.entry.name)
        machine = world.machines.get(format_ipv4(target.entry.host))
        if machine is not None:
            world.remove_machine(machine)

    _end_fault_later(world, DRAIN_SECONDS, leave)


def _reuse(world: World, target: EmulatedTarget, seconds: float) -> None:
    """Stop a target and start one of the intake service on its VM after some time.

    The old entry is removed after the store's expiry time.
    """
    target.stop()
    host = format_ipv4(target.entry.host)
    world.scheduler.call_later(EXPIRY_SECONDS, lambda: world.remove_entry(target.entry.name))
    machine = world.machines[host]
    settings = machine.settings
    machine.kill()

    def start_new_target() -> None:
        agent = settings.agent
        if agent is None or host not in world.machines:
            return
        machine.settings = replace(settings, agent=replace(agent, service=INTAKE))
        machine.start()
        world.add_target(INTAKE, settings.failure_domain, host)

    _end_fault_later(world, seconds, start_new_target)


def _restart_in_turn(world: World, machines: Sequence[Machine], gap: float) -> None:
    def stop(machine: Machine) -> None:
        machine.note_disturbance()
        machine.stop()
        start_when_ended(machine)

    def start_when_ended(machine: Machine) -> None:
        if machine.host not in world.machines:
            return
        if machine.node is None:
            machine.start()
        else:
            world.scheduler.call_later(RESTART_CHECK_SECONDS, lambda: start_when_ended(machine))

    for number, machine in enumerate(machines):
        _end_fault_later(world, number * gap, lambda m=machine: stop(m))  # type: ignore[misc]
