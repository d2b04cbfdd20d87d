"""Runs of the quickstart at the same time."""

from __future__ import annotations

from pathlib import Path

from .._loopback import own_loopback_host
from .._run import load_plan
from .._site_plan import FIRST_PORTS, HOST, SitePlan


def hosts_of(plan: SitePlan) -> set[str]:
    settings = [plan.balancer_settings(each) for each in plan.balancers]
    settings += [plan.agent_settings(each) for each in plan.targets]
    addresses = [plan.platform, *plan.seeds, *plan.service_addresses]
    for each in settings:
        addresses += [each.tunnel, each.relay, each.gossip, each.admin, *each.listen.values()]
    addresses += [each.backend for each in plan.targets]
    return {address.host for address in addresses}


def test_each_run_has_an_address_of_its_own() -> None:
    with own_loopback_host() as first, own_loopback_host() as second:
        assert first != second
        assert not {first, second} & {HOST}


def test_every_endpoint_of_a_plan_moves_there(tmp_path: Path) -> None:
    for user in FIRST_PORTS:
        assert hosts_of(load_plan(user, tmp_path)) == {HOST}
        assert hosts_of(load_plan(user, tmp_path).moved_to("127.9.8.1")) == {"127.9.8.1"}
