"""Conversion of processes of the fleet to `Member` and `Peer` values."""

from __future__ import annotations

from collections.abc import Sequence

from ..configuration import Bundle, Peer, Vm
from ..membership import NO_TARGET, Member, MembershipView
from ..membership import Role as MemberRole
from ..settings import DaemonSettings, Role

AGENT_NAME_PREFIX = "agent-"
ENDPOINTS = frozenset({"gossip", "tunnel", "relay"})


def own_member(settings: DaemonSettings) -> Member:
    """Return this process as a member."""
    is_balancer = settings.role is Role.BALANCER
    return Member(
        name=settings.name,
        role=MemberRole.BALANCER if is_balancer else MemberRole.AGENT,
        target_number=NO_TARGET if settings.number is None else settings.number,
        gossip=settings.gossip,
        tunnel=settings.tunnel,
        relay=settings.relay,
        failure_domain=settings.failure_domain,
    )


def agents_of(bundle: Bundle) -> Sequence[Member]:
    """Return the agents of all targets of a bundle as membership candidates."""
    return [
        Member(
            name=AGENT_NAME_PREFIX + target.name,
            role=MemberRole.AGENT,
            target_number=target.number,
            gossip=target.gossip,
            tunnel=target.tunnel,
            relay=target.relay,
            failure_domain=target.failure_domain,
        )
        for service in bundle.services.values()
        for target in service.targets
    ]


def balancers_of(vms: Sequence[Vm]) -> Sequence[Member]:
    """Return the balancers on a VM list as membership candidates.

    Entries that lack an endpoint are skipped.
    """
    return [
        Member(
            name=vm.name,
            role=MemberRole.BALANCER,
            target_number=NO_TARGET,
            gossip=vm.addresses["gossip"],
            tunnel=vm.addresses["tunnel"],
            relay=vm.addresses["relay"],
            failure_domain=vm.failure_domain,
        )
        for vm in vms
        if vm.role == MemberRole.BALANCER.value and vm.addresses.keys() >= ENDPOINTS
    ]


def peers_of(view: MembershipView) -> Sequence[Peer]:
    """Return the reachable processes as peers for the exchange of configuration."""
    return [
        Peer(member.name, member.failure_domain, member.gossip, member.relay)
        for member in view.alive
    ]
