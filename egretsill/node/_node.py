"""The composition root of a process that steers by service address."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import TypeAlias

import trio

from ..address_steering import (
    AgentSteering,
    BalancerSteering,
    Candidates,
    FlowPlacement,
    PacketCodec,
    SteeringPolicy,
)
from ..boot import AgentSettings, NodeSettings, NodeSockets
from ..directory import Directory, ReadPlan, Store, TargetPlace
from ..endpoints import Address, parse_ipv4
from ..fleet import HubPlan, PeerTable
from ..observation import (
    JSON,
    AdminServer,
    HealthProblem,
    HealthState,
    Journal,
    Metrics,
)
from ..supervision import Part, Supervisor, SupervisorFactory, leaves
from ..timing import TrioTimerService
from ..wire import StreamServer
from ._agent_node import AgentNode
from ._balancer_node import BalancerNode
from ._choice_inputs import ChoiceInputs
from ._content_exchange import ContentExchange
from ._decision_log import DecisionLog
from ._directory_log import DirectoryLog, evacuation_status
from ._fleet_link import FleetLink, TargetLoad
from ._journal_failure_log import JournalFailureLog
from ._log_writer import LogWriter, OpenLog
from ._reader_choice import ReaderChoice
from ._shutdown import ShutdownPlan
from ._store_reading import STORE_SOURCE, StoreReading
from ._target_failure_log import TargetFailureLog
from ._tcp_endpoints import TcpEndpoints

SWEEP_SECONDS = 1.0
CONTENT_SECONDS = 1.0  # longest wait for content at startup; callers stop sending SYNs after 1.4 s

# Without these the process can't serve; it gets no new flows while one of them doesn't work.
_ESSENTIAL_PARTS = frozenset({Part.PACKETS, Part.TUNNEL, Part.SERVING, Part.TIMERS})

StoreFactory: TypeAlias = Callable[[Address], Store]


class Node:
    """One balancer or agent.

    Args:
        settings: as read at startup.
        sockets: bound according to the settings; the node closes them when it ends.
        codec: decodes and encodes the packets of flows.
        make_store: opens the store at an address.
        timer: the only clock of the node, which runs it.
        open_log: called once before the first lines are written; see `LogWriter`.
        random: spreads actions that the whole fleet would otherwise do at the same time.
        make_supervisor: takes what failures are reported to.
    """

    def __init__(
        self,
        settings: NodeSettings,
        sockets: NodeSockets,
        codec: PacketCodec,
        make_store: StoreFactory,
        timer: TrioTimerService,
        open_log: OpenLog,
        random: Random,
        make_supervisor: SupervisorFactory = Supervisor,
    ) -> None:
        self._settings = settings
        self._sockets = sockets
        self._timer = timer
        self._metrics = Metrics()
        self._journal = Journal(
            settings.name, lambda: self._timer.now, lambda: self._timer.epoch_milliseconds / 1000
        )
        self._endpoints = TcpEndpoints(settings, sockets, self._metrics, self._journal)
        self._failures = JournalFailureLog(self._metrics, self._journal)
        self._supervisor = make_supervisor(self._failures.record)
        timer.contain_failures(lambda error: self._supervisor.note_failure(Part.TIMERS, error))
        self._log_writer = LogWriter(self._journal, open_log, random, self._supervisor)
        self._host = parse_ipv4(settings.host)
        self._directory = Directory(settings.flow_seconds, self._find_own_place())
        seeds = [parse_ipv4(each) for each in settings.seeds]
        self._peers = PeerTable(self._host)
        self._hubs = HubPlan(self._host, settings.failure_domain, seeds, self._peers)
        self._candidates = Candidates(self._directory)
        self._placement = FlowPlacement(
            self._directory, self._peers, self._candidates, settings.uses_expected_finish
        )
        self._directory_log = DirectoryLog(self._directory, self._metrics, self._journal)
        self._plan = ReadPlan(self._host, settings.is_first_start)
        self._shutdown = ShutdownPlan(settings.grace_seconds)
        self._stopped = trio.Event()
        self._content_known = trio.Event()
        self._agent_steering: AgentSteering | None = None
        self._target_failures = TargetFailureLog(self._journal)
        self._role = self._make_role(codec)
        self._exchange = ContentExchange(
            self._endpoints.content,
            self._directory,
            self._timer,
            self._supervisor,
            lambda reason: self._metrics.messages_malformed.increment("directory", reason),
        )
        self._link = self._make_link()
        self._readers = ReaderChoice(
            self._host, seeds, self._directory, self._peers, self._can_read_store
        )
        self._reading = StoreReading(
            make_store(settings.store),
            self._plan,
            self._directory,
            self._readers.readers,
            self._timer,
            self._metrics,
            self._journal,
            self._supervisor,
            self._note_content_change,
            lambda: self._link.announce_content(None),
        )

    @property
    def supervisor(self) -> Supervisor:
        """Return the supervisor of this process, for work beside the node's own."""
        return self._supervisor

    @property
    def health(self) -> HealthState:
        """Return the health state: whether this process takes packets of new flows."""
        problems = []
        if not self._directory.is_known:
            problems.append(HealthProblem.NO_CONFIGURATION)
        if self._shutdown.is_leaving:
            problems.append(HealthProblem.DRAINING)
        if not self._is_serving():
            problems.append(HealthProblem.PART_STOPPED)
        return HealthState(tuple(problems))

    @property
    def status(self) -> Mapping[str, JSON]:
        """Return the content of the status page."""
        now = self._timer.now
        load = self._load()
        return {
            "name": self._settings.name,
            "role": self._settings.role.value,
            "version": self._directory.version,
            "revision": str(self._directory.content_revision),
            "content_age": round(min(now - self._directory.confirmed_at, 1e6), 3),
            "targets": len(self._directory.targets),
            "evacuated": evacuation_status(self._directory, now),
            "peers_heard": len(self._peers.heard(now)),
            "flows": load.flows,
            "pending": load.pending,
            "flows_homed": self._agent_steering.announced_flows if self._agent_steering else 0,
            "cell": self._hubs.cell,
            "is_hub": self._hubs.is_hub(now),
            "is_leaving": self._shutdown.is_leaving,
            "endpoints": self._endpoints.states,
            "parts_stopped": sorted(each.value for each in self._supervisor.stopped),
            "failures_unreported": self._supervisor.unreported,
        }

    async def run(self) -> None:
        """Run until shut down or cancelled; a part that fails is started again.

        An exception is recorded before it is raised.
        """
        self._journal.record("started", role=self._settings.role.value, host=self._settings.host)
        self._note_defaults(self._settings)
        try:
            await self._run_parts()
        except* Exception as group:
            for each in leaves(group):
                self._failures.record_end(each)
            raise
        finally:
            await self._reading.close()
            self._role.close()
            self._link.close()
            self._journal.record("stopped", **self._shutdown.outcome)
            self._log_writer.flush()

    def shut_down(self) -> None:
        """Start to leave: take no new flows, and end once routers and open work permit."""
        if self._shutdown.is_leaving:
            return
        self._shutdown.begin(self._timer.now)
        self._timer.subscribe(ShutdownPlan.POLL_SECONDS, self._check_shutdown)
        with self._supervisor.contain(Part.SHUTDOWN):
            load = self._load()
            self._journal.record("leaving", flows=load.flows, pending=load.pending)
        with self._supervisor.contain(Part.SHUTDOWN):
            self._link.leave()

    def replace_settings(self, settings: NodeSettings) -> None:
        """Apply the seeds of new settings; other differences take effect at the next start."""
        seeds = [parse_ipv4(each) for each in settings.seeds]
        self._hubs.replace_seeds(seeds)
        self._readers.replace_seeds(seeds)
        self._journal.record("settings-reloaded", seeds=",".join(settings.seeds))
        self._note_defaults(settings)

    def reject_settings(self, problem: str) -> None:
        """Record that the settings file is invalid; the old settings stay in force."""
        self._journal.record("settings-rejected", problem=problem)

    def _note_defaults(self, settings: NodeSettings) -> None:
        if settings.defaulted:
            self._journal.record("settings-defaulted", keys=",".join(settings.defaulted))

    async def _run_parts(self) -> None:
        run, start = self._supervisor.run, self._supervisor.start
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, Part.TIMERS, self._timer.run)
            nursery.start_soon(run, Part.SERVING, self._serve)
            nursery.start_soon(run, Part.STORE_READING, self._reading.run)
            await nursery.start(start, Part.CONTENT_SERVING, self._exchange.run)
            nursery.start_soon(run, Part.HEARTBEATS, self._link.run)
            for server in self._endpoints.pages:
                await nursery.start(start, Part.ADMIN, self._make_admin(server).run)
            self._timer.subscribe(SWEEP_SECONDS, self._sweep)
            nursery.start_soon(run, Part.LOG, self._log_writer.run)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()

    def _make_role(self, codec: PacketCodec) -> BalancerNode | AgentNode:
        settings = self._settings
        inputs = ChoiceInputs(
            settings.failure_domain, self._directory, self._placement, self._timer
        )
        log = DecisionLog(
            settings.role.value,
            self._directory,
            self._peers,
            self._timer,
            self._metrics,
            self._journal,
            inputs.load,
            inputs.finish,
            inputs.spill,
        )
        if settings.agent is not None:
            return self._make_agent(settings.agent, codec, log)
        steering = BalancerSteering(
            self._host,
            settings.failure_domain,
            self._directory,
            self._peers,
            self._placement,
            settings.flow_seconds,
        )
        self._timer.subscribe(SWEEP_SECONDS, steering.tick)
        self._timer.subscribe_jumps(lambda _: steering.note_scheduling_pause())
        return BalancerNode(
            self._sockets,
            settings.packets.port,
            settings.tunnel_port,
            codec,
            steering,
            self._timer,
            self._metrics,
            log,
            self._supervisor,
        )

    def _find_own_place(self) -> TargetPlace | None:
        agent = self._settings.agent
        return TargetPlace(self._host, agent.target.port, agent.service) if agent else None

    def _make_agent(self, agent: AgentSettings, codec: PacketCodec, log: DecisionLog) -> AgentNode:
        settings = self._settings
        steering = AgentSteering(
            self._host,
            agent.service,
            self._directory,
            self._peers,
            self._placement,
            settings.flow_seconds,
            self._timer.now,
            SteeringPolicy(
                warm_up_overshoot=agent.warm_up_overshoot,
                warm_up_tolerance=agent.warm_up_tolerance,
                hold_seconds=agent.hold_seconds,
                has_urgent_first=agent.has_urgent_first,
            ),
            settings.failure_domain,
        )
        self._agent_steering = steering
        self._timer.subscribe(SWEEP_SECONDS, steering.sweep)
        self._timer.subscribe_jumps(lambda jump: steering.note_scheduling_pause(jump.after))
        return AgentNode(
            self._sockets,
            settings.packets.port,
            settings.tunnel_port,
            agent.target,
            codec,
            steering,
            self._timer,
            self._metrics,
            log,
            self._supervisor,
        )

    def _make_link(self) -> FleetLink:
        settings = self._settings
        return FleetLink(
            settings.host,
            self._sockets.heartbeats,
            settings.agent is None,
            self._directory,
            self._peers,
            self._hubs,
            self._candidates,
            self._plan,
            self._exchange,
            self._timer,
            self._metrics,
            self._journal,
            self._supervisor,
            self._load,
            self._is_serving,
            self._note_content_change,
            lambda: self._reading.yield_to_first_fetch(),
        )

    def _make_admin(self, server: StreamServer) -> AdminServer:
        return AdminServer(
            server, self._metrics, lambda: self.status, lambda: self.health, self._supervisor
        )

    def _is_serving(self) -> bool:
        return not _ESSENTIAL_PARTS.intersection(self._supervisor.stopped)

    def _load(self) -> TargetLoad:
        if self._agent_steering is None:
            return TargetLoad()
        now = self._timer.now
        steering, flows = self._agent_steering, self._agent_steering.flows
        return TargetLoad(
            steering.load(now),
            flows.owned,
            flows.delay_seconds,
            steering.is_target_silent(now),
            steering.backlog_seconds(now),
            flows.work.usual_seconds if flows.work.is_known else 0.0,
            steering.is_target_failing(now),
        )

    def _note_content_change(self, source: str) -> None:
        if self._directory.is_known:
            self._content_known.set()
        if not self._hubs.cell:
            with self._supervisor.contain(Part.HEARTBEATS):
                self._link.send_heartbeats()
        self._directory_log.note_change(source)
        if source != STORE_SOURCE:
            self._link.announce_content(parse_ipv4(source))

    def _can_read_store(self) -> bool:
        return self._plan.can_read(self._timer.now) and not self._shutdown.is_leaving

    def _sweep(self, now: float) -> None:
        self._directory.tick(now)
        self._directory_log.note_tick()
        load = self._load()
        self._metrics.flows_open.set(load.flows)
        if self._agent_steering is not None:
            self._target_failures.note_load(load, self._agent_steering.failures)

    def _check_shutdown(self, now: float) -> None:
        is_idle = False
        with self._supervisor.contain(Part.SHUTDOWN):
            is_idle = (
                now - self._role.last_packet_at > ShutdownPlan.IDLE_SECONDS
                if isinstance(self._role, BalancerNode)
                else self._load().pending == 0
            )
        if self._shutdown.should_end(now, is_idle):
            self._stopped.set()

    async def _serve(self) -> None:
        """Serve packets once content is known, or after `CONTENT_SECONDS` without it."""
        with trio.move_on_after(CONTENT_SECONDS):
            await self._content_known.wait()
        await self._role.run()
