"""Settings of one daemon as values; durations are in seconds, sizes in bytes."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..configuration import Address
from ..steering import ConnectionIdKey

DEFAULT_FLEET = "egretsill"


class Role(enum.Enum):
    """What a daemon does."""

    BALANCER = "balancer"
    AGENT = "agent"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """How the platform's configuration service and VM list are read.

    Attributes:
        addresses: endpoints to try in turn.
        read_seconds: longest wait for an answer to a plain read.
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
    """Where log lines go.

    Attributes:
        file: None for standard error.
    """

    file: Path | None = None


@dataclass(frozen=True, slots=True)
class FlowSettings:
    """Callers' QUIC connections at an agent.

    Attributes:
        keep_alive_seconds: time without a packet after which one is sent.
        idle_seconds: time without a packet after which the connection is given up.
        maximum_flows: connections held at once; new ones are refused above it.
        handshakes_per_second: new connections accepted a second.
        placement_delay_seconds: time for which a new target's agent passes first packets on,
            until every balancer knows it.
    """

    keep_alive_seconds: float = 15.0
    idle_seconds: float = 60.0
    maximum_flows: int = 4000
    handshakes_per_second: int = 500
    placement_delay_seconds: float = 35.0


@dataclass(frozen=True, slots=True)
class BackendSettings:
    """An agent's dealings with its own backend server.

    Attributes:
        connect_seconds: longest wait for a new connection.
        silence_seconds: longest wait for a first or next byte of a short request's answer.
        health_seconds: time between reads of the health page.
        health_path: path of the health page.
    """

    connect_seconds: float = 1.0
    silence_seconds: float = 30.0
    health_seconds: float = 1.0
    health_path: str = "/health"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """What a process learns of the others.

    Attributes:
        vm_list_seconds: time between reads of the VM list.
    """

    vm_list_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """How configuration travels between processes.

    Attributes:
        period_seconds: time between two comparisons with a random peer.
        fetch_seconds: longest wait for changes from a peer.
        start_seconds: longest time that a new process asks around before it puts anything in
            force.
        start_spread_seconds: window in which a new process first reads the VM list.
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
    """A graceful shutdown.

    Attributes:
        drain_seconds: time from the signal to leave after which the process ends though requests
            are in progress; None for never.
        linger_seconds: how long a balancer forwards on after the signal to stop.
    """

    drain_seconds: float | None = None
    linger_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Everything that one daemon learns from its settings file.

    Attributes:
        name: the VM's name in the platform's list.
        fleet: name that all processes of one fleet share; gossip of others is dropped.
        number: number of the target beside which an agent runs; None for a balancer.
        listen: local endpoint for each service address; a service address that isn't named
            is bound itself.
        tunnel: UDP endpoint for datagrams between balancers and agents.
        relay: TCP endpoint for other processes.
        gossip: UDP endpoint for membership, load reports and configuration news.
        admin: TCP endpoint of the pages for operators.
        seeds: gossip endpoints of processes to ask at the start.
        tls: None for a balancer.
        connection_id_keys: the first is used for new connection IDs.
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
