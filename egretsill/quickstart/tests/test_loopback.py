"""Concurrent runs of the quickstart use separate loopback addresses."""

from __future__ import annotations

from pathlib import Path

from .._loopback import reserve_loopback_host
from .._run import load_plan
from .._site_plan import FIRST_PORTS, HOST, SitePlan


def endpoint_hosts(plan: SitePlan) -> set[str]:
    settings = [plan.balancer_settings(each) for each in plan.balancers]
    settings += [plan.agent_settings(each) for each in plan.targets]
    addresses = [plan.platform, *plan.seeds, *plan.service_addresses]
    for each in settings:
        addresses += [each.tunnel, each.relay, each.gossip, each.admin, *each.listen.values()]
    addresses += [each.backend for each in plan.targets]
    return {address.host for address in addresses}


def test_concurrent_runs_get_different_addresses() -> None:
    with reserve_loopback_host() as first, reserve_loopback_host() as second:
        assert first != second
        assert not {first, second} & {HOST}


def test_moved_plan_has_every_endpoint_at_the_new_host(tmp_path: Path) -> None:
    for user in FIRST_PORTS:
        assert endpoint_hosts(load_plan(user, tmp_path)) == {HOST}
        assert endpoint_hosts(load_plan(user, tmp_path).moved_to("127.9.8.1")) == {"127.9.8.1"}
