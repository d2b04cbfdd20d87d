"""How routers spread flows."""

from __future__ import annotations

from random import Random

import pytest
import trio

from ...address_steering import FlowKey
from .._network import Network
from .._router import MISSES, Hashing, Router
from .._scheduler import Scheduler

FLOWS = [FlowKey(number, 2, 3, 4) for number in range(400)]
BALANCERS = [f"10.1.0.{number}" for number in range(1, 5)]


def make_router(hashing: Hashing) -> Router:
    async def main() -> Router:
        return Router("10.201.0.1", 1, 2, hashing, Network(Scheduler(), Random(1)))

    router = trio.run(main)
    for host in BALANCERS:
        router.add(host)
        router._missed[host] = 0
    return router


@pytest.mark.parametrize(
    ("hashing", "least", "most"),
    [
        pytest.param(Hashing.MODULO, 200, 400, id="nearly all flows move"),
        pytest.param(Hashing.STEADY, 50, 150, id="only those of the balancer that left"),
    ],
)
def test_a_balancer_leaves(hashing: Hashing, least: int, most: int) -> None:
    router = make_router(hashing)
    before = [router.route(flow) for flow in FLOWS]
    assert set(before) == set(BALANCERS)
    router._missed[BALANCERS[0]] = MISSES
    after = [router.route(flow) for flow in FLOWS]
    assert set(after) == set(BALANCERS[1:])
    moved = sum(one != other for one, other in zip(before, after, strict=True))
    assert least <= moved <= most


def test_all_are_used_if_less_than_half_are_ready() -> None:
    router = make_router(Hashing.MODULO)
    for host in BALANCERS[:3]:
        router._missed[host] = MISSES
    assert router.balancers == BALANCERS


def test_a_domain_without_balancers() -> None:
    router = make_router(Hashing.MODULO)
    router._missed.clear()
    assert router.route(FLOWS[0]) is None
