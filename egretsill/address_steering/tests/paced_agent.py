"""An agent whose target is in warm-up, and the SYN packets that the target gets."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from ...directory import Directory, Snapshot, TargetPlace, WarmUpTerms
from ...directory.tests.revisions import rev
from .. import AgentSteering, DeliverToTarget, Envelope, PacketKind, SteeringPolicy
from .._warm_up_pace import BOUND_SECONDS, BUNCHING_SECONDS
from .scene import AGENTS, RETENTION, SERVICE, Scene, envelope, flow, packet, table

HERE = AGENTS[0]
TERMS = WarmUpTerms(2.0, 2.0)
POLICY = SteeringPolicy(warm_up_overshoot=1.5, warm_up_tolerance=1.0)
LIMIT = 4  # 2 x 1.5 + 1
SPAN = BOUND_SECONDS + BUNCHING_SECONDS
SYN = PacketKind.SYN
PACED_TABLE = replace(table(), warm_up={SERVICE: TERMS})
COLD_AT = 100.0


class PacedAgent:
    """An agent whose target is in warm-up from `COLD_AT` on, and the SYN packets that it delivers.

    Args:
        started_at: when the agent started.
        policy: its limits.
    """

    def __init__(self, started_at: float = -RETENTION, policy: SteeringPolicy = POLICY) -> None:
        self.scene = Scene(HERE)
        self.scene.publish(0.0, PACED_TABLE)
        self.policy = policy
        self.delivered: list[float] = []
        self.start(started_at)

    def start(self, now: float, age_seconds: float = 0.0) -> None:
        """Start the agent, again with no memory of what it delivered or knew.

        Args:
            now: local time.
            age_seconds: time since its first content was confirmed.
        """
        scene = self.scene
        scene.directory = Directory(RETENTION, TargetPlace(HERE, 8080, SERVICE))
        content = Snapshot(rev(scene.revision), PACED_TABLE, tuple(scene.targets.values()))
        scene.directory.apply_snapshot(content, now, now - age_seconds)
        self.agent = AgentSteering(
            HERE,
            SERVICE,
            scene.directory,
            scene.peers,
            scene.placement,
            RETENTION,
            now,
            self.policy,
        )

    def restart_target(self, now: float, warm_up_seconds: float = 2.0, started: int = 2) -> None:
        """Let the target's entry tell of a new run."""
        self.scene.receive_heartbeats(now)
        self.scene.change_target(
            HERE, now, warmup_seconds=warm_up_seconds, started_milliseconds=started
        )

    def apply(self, effects: Sequence[object], now: float) -> Sequence[object]:
        """Count the SYN packets among some effects; other packets of these tests have data."""
        self.delivered += [now for each in effects if isinstance(each, DeliverToTarget)]
        return effects

    def take(
        self, number: int, now: float, copy: int = 0, path: Envelope | None = None
    ) -> Sequence[object]:
        """Let a SYN packet arrive."""
        syn = packet(SYN, flow(number), copy)
        return self.apply(self.agent.take_from_peer(path or envelope(), syn, now), now)

    def answer(self, number: int, now: float) -> None:
        """Let the target answer a SYN packet."""
        self.agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), now)

    def release(self, now: float) -> Sequence[object]:
        """Let the agent look at what waits."""
        return self.apply(self.agent.release(now), now)

    def fill(self, now: float) -> None:
        """Use the pace up; the flows end at once, so that the target has capacity."""
        for number in range(LIMIT):
            effects = self.take(1000 + number, now)
            reset = packet(PacketKind.RST, flow(1000 + number))
            if any(isinstance(each, DeliverToTarget) for each in effects):
                self.agent.take_from_target(reset, now)
            else:
                # The target knows nothing of a SYN packet that waits, but its caller may give up.
                self.agent.take_from_peer(envelope(), reset, now)

    @property
    def most_in_a_second(self) -> int:
        """Return the most SYN packets that the target got in any second."""
        times = self.delivered
        return max((sum(0 <= at - start <= 1.0 for at in times) for start in times), default=0)
