"""Tests of how routers spread flows over balancers."""

from __future__ import annotations

from random import Random

import pytest
import trio

from ...address_steering import FlowKey
from .._network import Network
from .._router import MAXIMUM_FAILED_PROBES, Hashing, Router
from .._scheduler import Scheduler

FLOWS = [FlowKey(number, 2, 3, 4) for number in range(400)]
BALANCERS = [f"10.1.0.{number}" for number in range(1, 5)]


def make_router(hashing: Hashing) -> Router:
    async def main() -> Router:
        return Router("10.201.0.1", 1, 2, hashing, Network(Scheduler(), Random(1)))

    router = trio.run(main)
    for host in BALANCERS:
        router.add(host)
        router._failed_probes[host] = 0
    return router


@pytest.mark.parametrize(
    ("hashing", "least", "most"),
    [
        pytest.param(Hashing.MODULO, 200, 400, id="nearly all flows move"),
        pytest.param(Hashing.STEADY, 50, 150, id="only those of the balancer that left"),
    ],
)
def test_flows_moved_when_balancer_leaves(hashing: Hashing, least: int, most: int) -> None:
    router = make_router(hashing)
    before = [router.route(flow) for flow in FLOWS]
    assert set(before) == set(BALANCERS)
    router._failed_probes[BALANCERS[0]] = MAXIMUM_FAILED_PROBES
    after = [router.route(flow) for flow in FLOWS]
    assert set(after) == set(BALANCERS[1:])
    moved = sum(old_host != new_host for old_host, new_host in zip(before, after, strict=True))
    assert least <= moved <= most


def test_all_balancers_used_if_most_are_unready() -> None:
    router = make_router(Hashing.MODULO)
    for host in BALANCERS[:3]:
        router._failed_probes[host] = MAXIMUM_FAILED_PROBES
    assert router.balancers == BALANCERS


def test_route_without_balancers_is_none() -> None:
    router = make_router(Hashing.MODULO)
    router._failed_probes.clear()
    assert router.route(FLOWS[0]) is None
