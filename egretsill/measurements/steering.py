"""Measures flows broken by planned changes, first packets moved by a change, and how soon an
unreachable agent gets no more first packets.

Balancers and agents are the real decision classes. A simulated fabric hands each packet to a random
balancer, and configurations reach each process up to 30 s late.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random

from xxhash import xxh3_64_intdigest

from ..configuration import Target, TargetState
from ..steering import (
    PLACEMENT_DELAY_SECONDS,
    WATCH_TICK_SECONDS,
    ConnectionIdCodec,
    ConnectionIdKey,
    FirstPacketWatch,
    Forward,
    SendProbe,
    SourceLimit,
    Steering,
    rank,
)
from ._measurement import Measurement
from ._steering_fleet import (
    CALLER,
    NO_LIMIT,
    SERVICE_ADDRESS,
    FleetAgent,
    SteeringFleet,
    initial_packet,
    make_bundle,
    make_target,
    short_packet,
)

MEASURE = "steering"
SEED = 4
FLOWS = 10_000
CHANGES = 50
SECONDS_BETWEEN_CHANGES = 30.0
PACKETS_PER_FLOW = 8
ROTATIONS_END_SECONDS = 300.0
MOVED_SHARE_FACTOR = 1.2
UNREACHABLE_AGENT_SECONDS = 1.0
LEAST_ACTIVE_TARGETS = 4
LEAST_BALANCERS = 3
TARGETS = 7
BALANCERS = 4
KEYS = [ConnectionIdKey(rotation, bytes([rotation]) * 16) for rotation in range(3)]
Choice = Callable[[bytes, Sequence[Target]], int]


def measure() -> Sequence[Measurement]:
    """Return all values of steering."""
    return [
        *_planned_changes(),
        _key_rotation(),
        *(each for targets in (3, 7, 20) for each in _moved_shares(targets)),
        *(_measure_unreachable_agent(rate) for rate in (1000, 20)),
        _bogus_packets(),
    ]


def _planned_changes() -> Sequence[Measurement]:
    """Return the flows broken by changes of balancers and targets, one for each baseline."""
    broken, baselines = _run_changes()
    return [
        Measurement(
            MEASURE,
            f"flows broken by {CHANGES} planned changes, against {name}",
            broken,
            0,
            baseline,
            holds=broken == 0,
        )
        for name, baseline in baselines.items()
    ]


def _run_changes() -> tuple[int, dict[str, int]]:
    random = Random(SEED)
    fleet = SteeringFleet(random, ConnectionIdCodec(KEYS[:1]), TARGETS, BALANCERS)
    for change in range(CHANGES):
        fleet.at(
            (change + 1) * SECONDS_BETWEEN_CHANGES, partial(_make_random_change, fleet, random)
        )
    end = (CHANGES + 2) * SECONDS_BETWEEN_CHANGES
    baselines: dict[str, Choice] = {
        "hash modulo N": _modulo,
        "consistent hash without owner IDs": _consistent,
    }
    steered = _Flows(fleet, random, end)
    hashed = {name: _HashedFlows(fleet, random, choose) for name, choose in baselines.items()}
    steered.schedule(list(hashed.values()))
    fleet.run(end)
    return len(steered.broken), {name: len(each.broken) for name, each in hashed.items()}


def _make_random_change(fleet: SteeringFleet, random: Random) -> None:
    """Make one planned change that leaves enough targets and balancers."""
    active = [n for n, each in fleet.targets.items() if each.state is TargetState.ACTIVE]
    draining = [n for n, each in fleet.targets.items() if each.state is TargetState.DRAINING]
    changes: list[Callable[[], None]] = [fleet.add_target, fleet.start_balancer]
    if len(active) > LEAST_ACTIVE_TARGETS:
        changes.append(lambda: fleet.drain_target(random.choice(active)))
    if draining:
        changes.append(lambda: fleet.remove_target(draining[0]))
    if len(fleet.balancers) > LEAST_BALANCERS:
        changes.append(fleet.stop_balancer)
    random.choice(changes)()


class _Flows:
    """Flows that open over time and send packets until the end of the measure."""

    def __init__(self, fleet: SteeringFleet, random: Random, end: float) -> None:
        self.broken: set[int] = set()
        self._fleet = fleet
        self._random = random
        self._end = end

    def schedule(self, hashed: Sequence[_HashedFlows] = ()) -> None:
        """Plan the packets of all flows, of the hashed ones at the same times."""
        for flow in range(FLOWS):
            opened_at = self._random.uniform(0.0, self._end)
            ends_at = self._random.uniform(opened_at, self._end)
            times = [self._random.uniform(opened_at, ends_at) for _ in range(PACKETS_PER_FLOW)]
            self._fleet.at(opened_at, partial(self._open, flow, times))
            for each in hashed:
                for when in (opened_at, *times):
                    self._fleet.at(when, partial(each.send, flow))

    def _open(self, flow: int, times: Sequence[float]) -> None:
        opened = self._fleet.open_flow()
        if opened is None:
            self.broken.add(flow)
            return
        for when in times:
            self._fleet.at(when, partial(self._send, flow, *opened))

    def _send(self, flow: int, owner: FleetAgent, connection_id: bytes) -> None:
        if self._fleet.deliver(short_packet(connection_id)) is not owner:
            self.broken.add(flow)


class _HashedFlows:
    """The same flows, with targets chosen by a hash of the flow over the balancer's view."""

    def __init__(self, fleet: SteeringFleet, random: Random, choose: Choice) -> None:
        self.broken: set[int] = set()
        self._fleet = fleet
        self._random = random
        self._choose = choose
        self._owners: dict[int, int] = {}

    def send(self, flow: int) -> None:
        """Send a packet of a flow; the first one gives the flow its owner."""
        balancer = self._random.choice(self._fleet.balancers)
        active = [each for each in balancer.targets if each.state is TargetState.ACTIVE]
        target_number = self._choose(flow.to_bytes(8, "big"), active)
        if self._owners.setdefault(flow, target_number) != target_number:
            self.broken.add(flow)


def _modulo(key: bytes, targets: Sequence[Target]) -> int:
    return targets[xxh3_64_intdigest(key) % len(targets)].number


def _consistent(key: bytes, targets: Sequence[Target]) -> int:
    return rank(key, [each.number for each in targets])[0]


def _key_rotation() -> Measurement:
    """Return the flows broken while keys are added and then made active one by one."""
    random = Random(SEED + 1)
    fleet = SteeringFleet(random, ConnectionIdCodec(KEYS[:1]), TARGETS, BALANCERS)
    steps = [
        (60.0, [KEYS[0], KEYS[1]]),
        (120.0, [KEYS[1], KEYS[0]]),
        (180.0, [KEYS[1], KEYS[0], KEYS[2]]),
        (240.0, [KEYS[2], KEYS[1], KEYS[0]]),
    ]
    for when, keys in steps:
        codec = ConnectionIdCodec(keys)
        fleet.at(when, partial(fleet.replace_codec, codec, makers=True))
    flows = _Flows(fleet, random, ROTATIONS_END_SECONDS)
    flows.schedule()
    fleet.run(ROTATIONS_END_SECONDS)
    broken = len(flows.broken)
    case = "flows broken by two key rotations"
    return Measurement(MEASURE, case, broken, 0, None, holds=broken == 0)


def _moved_shares(targets: int) -> Sequence[Measurement]:
    """Return the share of first packets that move when one target is added and when one leaves."""
    random = Random(SEED + targets)
    keys = [random.randbytes(8) for _ in range(FLOWS)]
    before, more, fewer = (
        [make_target(number) for number in range(1, count + 1)]
        for count in (targets, targets + 1, targets - 1)
    )
    bound = MOVED_SHARE_FACTOR / targets
    lines = []
    for name, after in (("adding", more), ("removing", fewer)):
        moved = _moved_share(
            keys, _choose_targets(keys, [before]), _choose_targets(keys, [before, after])
        )
        baseline = _moved_share(
            keys, [_modulo(key, before) for key in keys], [_modulo(key, after) for key in keys]
        )
        case = f"share of first packets moved by {name} one of {targets}, against hash modulo N"
        lines.append(Measurement(MEASURE, case, moved, bound, baseline, holds=moved <= bound))
    return lines


def _choose_targets(keys: Sequence[bytes], history: Sequence[Sequence[Target]]) -> Sequence[int]:
    """Return the targets of first packets after a balancer has applied these target lists."""
    steering = _steering(history)
    now = len(history) * PLACEMENT_DELAY_SECONDS
    return [_choose_target(steering, key, now) for key in keys]


def _steering(history: Sequence[Sequence[Target]]) -> Steering:
    steering = Steering(ConnectionIdCodec(KEYS), SourceLimit(NO_LIMIT))
    for revision, targets in enumerate(history):
        steering.apply_bundle(
            make_bundle(revision + 1, targets), revision * PLACEMENT_DELAY_SECONDS
        )
    return steering


def _choose_target(steering: Steering, key: bytes, now: float) -> int:
    decision = steering.steer(SERVICE_ADDRESS, CALLER.host, initial_packet(key), now)
    return decision.target_number if isinstance(decision, Forward) else 0


def _moved_share(keys: Sequence[bytes], before: Sequence[int], after: Sequence[int]) -> float:
    pairs = zip(before, after, strict=True)
    return sum(old != new for old, new in pairs) / len(keys)


def _measure_unreachable_agent(flows_per_second: int) -> Measurement:
    """Return how long an unreachable agent gets first packets after the first unanswered one."""
    last, first = _run_watch(flows_per_second, answers=lambda number, now: number != 1)
    seconds = last - first
    case = f"seconds until first packets avoid a dead agent, {flows_per_second} flows a second"
    return Measurement(
        MEASURE,
        case,
        seconds,
        UNREACHABLE_AGENT_SECONDS,
        None,
        holds=seconds <= UNREACHABLE_AGENT_SECONDS,
    )


def _bogus_packets() -> Measurement:
    """Return how many reachable agents are avoided due to first packets that get no answer."""
    steering = _steering([[make_target(n) for n in range(1, TARGETS + 1)]])
    watch = FirstPacketWatch()
    random = Random(SEED)
    avoided: set[int] = set()
    for step in range(round(30.0 / WATCH_TICK_SECONDS)):
        now = step * WATCH_TICK_SECONDS
        watch.first_packet_sent(_choose_target(steering, random.randbytes(8), now), now)
        for effect in watch.tick(now):
            if isinstance(effect, SendProbe):
                watch.datagram_received(effect.target_number)
        avoided |= watch.silent
    case = "live agents avoided because of first packets that deserve no answer"
    return Measurement(MEASURE, case, len(avoided), 0, None, holds=not avoided)


def _run_watch(flows_per_second: int, answers: Callable[[int, float], bool]) -> tuple[float, float]:
    """Return the times of the last and the first packet to target 1 in 10 s of watching."""
    steering = _steering([[make_target(n) for n in range(1, TARGETS + 1)]])
    watch = FirstPacketWatch()
    random = Random(SEED)
    sent: list[float] = []
    next_tick = 0.0
    for flow in range(10 * flows_per_second):
        now = flow / flows_per_second
        while next_tick <= now:
            _tick_watch(steering, watch, next_tick, answers)
            next_tick += WATCH_TICK_SECONDS
        number = _choose_target(steering, random.randbytes(8), now)
        watch.first_packet_sent(number, now)
        if answers(number, now):
            watch.datagram_received(number)
        if number == 1:
            sent.append(now)
    return sent[-1], sent[0]


def _tick_watch(
    steering: Steering, watch: FirstPacketWatch, now: float, answers: Callable[[int, float], bool]
) -> None:
    for effect in watch.tick(now):
        if isinstance(effect, SendProbe) and answers(effect.target_number, now):
            watch.datagram_received(effect.target_number)
    steering.update_silent(watch.silent)
