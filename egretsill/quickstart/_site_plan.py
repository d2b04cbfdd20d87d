"""Processes of a user's site and the loopback endpoints on which they listen."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from ..configuration import (
    Address,
    Service,
    Target,
    TargetState,
    Vm,
    VmState,
    load_declaration,
)
from ..settings import (
    DaemonSettings,
    LogSettings,
    PlatformSettings,
    Role,
    ShutdownSettings,
    TlsSettings,
)
from ..steering import ConnectionIdKey

HOST = "127.0.0.1"
FIRST_PORTS = {"kallioniemi": 20_000, "sibiu": 21_000}
PLATFORM_PORT = 10
BALANCER_TUNNEL_PORT = 500
BALANCER_RELAY_PORT = 520
BALANCER_GOSSIP_PORT = 540
BALANCER_ADMIN_PORT = 560
BALANCER_LISTEN_PORT = 600
BALANCER_LISTEN_STRIDE = 10
AGENT_TUNNEL_PORT = 100
AGENT_ADMIN_PORT = 700
LINGER_SECONDS = 1.0
CONNECTION_ID_KEYS = (ConnectionIdKey(1, bytes(range(16))),)


@dataclass(frozen=True, slots=True)
class SitePlan:
    """Processes, endpoints and settings of one user's site.

    Attributes:
        name: name of the user.
        first_port: base of the ports that the declaration doesn't name.
        services: declared services by name.
        balancers: names of the balancers.
        tls: certificate and key of all services.
        log_directory: directory of the log files of daemons.
        leaving: names of the VMs that the platform's VM list shows as leaving.
        connection_id_keys: keys of processes that start from now on.
        host: loopback address of endpoints that the declaration doesn't name.
    """

    name: str
    first_port: int
    services: Mapping[str, Service]
    balancers: Sequence[str]
    tls: TlsSettings
    log_directory: Path
    leaving: frozenset[str] = frozenset()
    connection_id_keys: tuple[ConnectionIdKey, ...] = CONNECTION_ID_KEYS
    host: str = HOST

    @property
    def targets(self) -> Sequence[Target]:
        """Return the targets of all services."""
        return [target for service in self.services.values() for target in service.targets]

    @property
    def service_addresses(self) -> Sequence[Address]:
        """Return the addresses that callers send to."""
        return [address for service in self.services.values() for address in service.addresses]

    @property
    def platform(self) -> Address:
        """Return the endpoint of the platform stand-in."""
        return Address(self.host, self.first_port + PLATFORM_PORT)

    @property
    def seeds(self) -> Sequence[Address]:
        """Return the gossip endpoints that new processes contact first."""
        return [self._balancer_port(index, BALANCER_GOSSIP_PORT) for index in range(3)]

    @property
    def vms(self) -> Sequence[Vm]:
        """Return the platform's VM list."""
        daemons = [self.balancer_settings(each) for each in self.balancers]
        daemons += [self.agent_settings(each) for each in self.targets]
        return [
            Vm(
                name=each.name,
                role=each.role.value,
                failure_domain=each.failure_domain,
                state=VmState.LEAVING if each.name in self.leaving else VmState.LIVE,
                addresses={"gossip": each.gossip, "relay": each.relay, "tunnel": each.tunnel},
            )
            for each in daemons
        ]

    def moved_to(self, host: str) -> SitePlan:
        """Return the plan with every endpoint moved to another loopback address."""
        services = {name: _move_service(service, host) for name, service in self.services.items()}
        return replace(self, services=services, host=host)

    def with_balancer(self, name: str) -> SitePlan:
        """Return the plan with one more balancer."""
        return replace(self, balancers=(*self.balancers, name))

    def with_target(self, target: Target) -> SitePlan:
        """Return the plan with one more target of an existing service."""
        service = self.services[target.service]
        return self._with_targets(service, (*service.targets, target))

    def with_target_state(self, name: str, state: TargetState) -> SitePlan:
        """Return the plan with another state of one target."""
        plan = self
        for service in self.services.values():
            targets = tuple(
                replace(each, state=state) if each.name == name else each
                for each in service.targets
            )
            plan = plan._with_targets(service, targets)
        return plan

    def with_keys(self, keys: tuple[ConnectionIdKey, ...]) -> SitePlan:
        """Return the plan with other connection-ID keys."""
        return replace(self, connection_id_keys=keys)

    def with_vm_leaving(self, name: str) -> SitePlan:
        """Return the plan with one VM marked as leaving."""
        return replace(self, leaving=self.leaving | {name})

    def listeners(self, balancer: str) -> Mapping[Address, Address]:
        """Return a balancer's listener for each service address."""
        index = self.balancers.index(balancer)
        first = self.first_port + BALANCER_LISTEN_PORT + BALANCER_LISTEN_STRIDE * index
        return {
            address: Address(self.host, first + offset)
            for offset, address in enumerate(self.service_addresses)
        }

    def balancer_settings(self, balancer: str) -> DaemonSettings:
        """Return the settings of a balancer."""
        index = self.balancers.index(balancer)
        domains = sorted({target.failure_domain for target in self.targets})
        return DaemonSettings(
            role=Role.BALANCER,
            name=balancer,
            number=None,
            failure_domain=domains[index % len(domains)],
            listen=self.listeners(balancer),
            tunnel=self._balancer_port(index, BALANCER_TUNNEL_PORT),
            relay=self._balancer_port(index, BALANCER_RELAY_PORT),
            gossip=self._balancer_port(index, BALANCER_GOSSIP_PORT),
            admin=self._balancer_port(index, BALANCER_ADMIN_PORT),
            platform=PlatformSettings((self.platform,)),
            seeds=tuple(self.seeds),
            tls=None,
            connection_id_keys=self.connection_id_keys,
            fleet=self.name,
            log=LogSettings(self.log_directory / f"{balancer}.log"),
            shutdown=ShutdownSettings(linger_seconds=LINGER_SECONDS),
        )

    def agent_settings(self, target: Target) -> DaemonSettings:
        """Return the settings of the agent of a target."""
        return DaemonSettings(
            role=Role.AGENT,
            name=f"agent-{target.name}",
            number=target.number,
            failure_domain=target.failure_domain,
            listen={},
            tunnel=target.tunnel,
            relay=target.relay,
            gossip=target.gossip,
            admin=Address(self.host, self._agent_admin_port(target)),
            platform=PlatformSettings((self.platform,)),
            seeds=tuple(self.seeds),
            tls=self.tls,
            connection_id_keys=self.connection_id_keys,
            fleet=self.name,
            log=LogSettings(self.log_directory / f"agent-{target.name}.log"),
            shutdown=ShutdownSettings(linger_seconds=LINGER_SECONDS),
        )

    def _with_targets(self, service: Service, targets: tuple[Target, ...]) -> SitePlan:
        changed = replace(service, targets=targets)
        return replace(self, services={**self.services, service.name: changed})

    def _agent_admin_port(self, target: Target) -> int:
        first_tunnel_port = self.first_port + AGENT_TUNNEL_PORT
        return self.first_port + AGENT_ADMIN_PORT + target.tunnel.port - first_tunnel_port

    def _balancer_port(self, index: int, offset: int) -> Address:
        return Address(self.host, self.first_port + offset + index)


def _move_service(service: Service, host: str) -> Service:
    def at_host(address: Address) -> Address:
        return Address(host, address.port)

    targets = tuple(
        replace(
            each,
            tunnel=at_host(each.tunnel),
            relay=at_host(each.relay),
            gossip=at_host(each.gossip),
            backend=at_host(each.backend),
        )
        for each in service.targets
    )
    return replace(service, addresses=tuple(map(at_host, service.addresses)), targets=targets)


def load_site_plan(
    name: str, examples: Path, first_port: int, tls: TlsSettings, log_directory: Path
) -> SitePlan:
    """Return the plan of one of the shipped example sites.

    Raises:
        DeclarationRejected: if its files are invalid.
    """
    services = load_declaration(examples / f"{name}.ini", examples / f"{name}-site.ini")
    balancers = [f"{name}-balancer-{number}" for number in (1, 2, 3)]
    return SitePlan(name, first_port, services, balancers, tls, log_directory)
