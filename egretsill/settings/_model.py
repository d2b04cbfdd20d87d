"""Settings of one daemon as data classes; durations are in seconds, sizes in bytes."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..configuration import Address
from ..steering import ConnectionIdKey

DEFAULT_FLEET = "egretsill"


class Role(enum.Enum):
    """Role of a daemon."""

    BALANCER = "balancer"
    AGENT = "agent"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Access to the platform's configuration service and VM list.

    Attributes:
        addresses: endpoints to try in turn.
        read_seconds: timeout of a read that isn't a watch.
        watch_seconds: how long a watch is held before the platform answers "no change".
    """

    addresses: tuple[Address, ...]
    read_seconds: float = 2.0
    watch_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Certificate chain and private key, as PEM files."""

    certificate: Path
    key: Path


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Destination of log lines.

    Attributes:
        file: log file; None for standard error.
    """

    file: Path | None = None


@dataclass(frozen=True, slots=True)
class FlowSettings:
    """Callers' QUIC connections at an agent.

    Attributes:
        keep_alive_seconds: time without a packet after which a keep-alive packet is sent.
        idle_seconds: time without a packet after which the connection is closed.
        maximum_flows: limit of open connections; further ones are refused.
        handshakes_per_second: limit of new connections per second.
        placement_delay_seconds: time for which a new target's agent forwards first packets to
            other agents, until every balancer knows the target.
    """

    keep_alive_seconds: float = 15.0
    idle_seconds: float = 60.0
    maximum_flows: int = 4000
    handshakes_per_second: int = 500
    placement_delay_seconds: float = 35.0


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """An agent's access to its backend server.

    Attributes:
        connect_seconds: timeout of a new connection.
        silence_seconds: timeout of the first and of each next byte of a short request's answer.
        health_seconds: interval of reads of the health page.
        health_path: path of the health page.
    """

    connect_seconds: float = 1.0
    silence_seconds: float = 30.0
    health_seconds: float = 1.0
    health_path: str = "/health"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Sources of the membership view.

    Attributes:
        vm_list_seconds: interval of reads of the VM list.
    """

    vm_list_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """Exchange of configuration between processes.

    Attributes:
        period_seconds: interval of comparisons with a random peer.
        fetch_seconds: timeout of fetching changes from a peer.
        start_seconds: longest time that a new process queries peers before it applies any
            revision.
        start_spread_seconds: a new process first reads the VM list at a random time within this
            period after its start.
        silence_seconds: age of the platform's latest known answer at which a process reads the
            platform itself.
    """

    period_seconds: float = 1.0
    fetch_seconds: float = 5.0
    start_seconds: float = 2.0
    start_spread_seconds: float = 1.5
    silence_seconds: float = 20.0


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Time limits of a graceful shutdown.

    Attributes:
        drain_seconds: time from the drain signal after which the process ends even if requests
            are in progress; None for no limit.
        linger_seconds: time for which a balancer goes on forwarding after the stop signal.
    """

    drain_seconds: float | None = None
    linger_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """All settings of one daemon.

    Attributes:
        name: the VM's name in the platform's list.
        fleet: name shared by all processes of a fleet; gossip from other fleets is dropped.
        number: number of an agent's target; None for a balancer.
        listen: local endpoint to bind for a service address; a service address that isn't
            listed is bound itself.
        tunnel: UDP endpoint for datagrams between balancers and agents.
        relay: TCP endpoint for other processes.
        gossip: UDP endpoint for membership, load reports and configuration announcements.
        admin: TCP endpoint of the pages for operators.
        seeds: gossip endpoints of processes to contact at the start.
        tls: certificate and key of an agent; None for a balancer.
        connection_id_keys: accepted keys; new connection IDs use the first.
    """

    role: Role
    name: str
    number: int | None
    failure_domain: str
    listen: Mapping[Address, Address]
    tunnel: Address
    relay: Address
    gossip: Address
    admin: Address
    platform: PlatformSettings
    seeds: tuple[Address, ...]
    tls: TlsSettings | None
    connection_id_keys: tuple[ConnectionIdKey, ...]
    fleet: str = DEFAULT_FLEET
    log: LogSettings = LogSettings()
    flows: FlowSettings = FlowSettings()
    backend: BackendSettings = BackendSettings()
    membership: MembershipSettings = MembershipSettings()
    exchange: ExchangeSettings = ExchangeSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
