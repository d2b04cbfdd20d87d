"""Unexpected exceptions in running daemons cost the piece of work in which they happen."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from ...admission import Admission
from ...caller import Caller, open_caller
from ...configuration import ConfigurationService, PlatformClient
from ...flows import AgentTunnel, FlowServer
from ...membership import GossipSocket, MembershipService
from ...outcomes import Answered, Unknown, UnknownReason
from ...quickstart._scene import open_site
from ...quickstart._site import Site
from ...requests import BackendClient, RequestService
from ...requests._gate_runner import GateRunner
from ...requests._local_link import LocalLink
from ...requests._requester_link import RequesterLink
from ...steering import AgentSteering, Balancer
from ...supervision import Supervisor
from ...supervision.tests.faults import Fault, UnexpectedError
from .._agent_core import AgentCore
from .._stream_endpoint import StreamEndpoint

SERVICE = "hakusana"
TEST_SECONDS = 40.0
STEP_SECONDS = 0.05  # between attempts of a test to bring about what it waits for


def counted(site: Site) -> float:
    """Return how many failures all daemons contained."""
    return sum(each._metrics.failures_contained.total() for each in site.daemons.values())


async def send_requests(site: Site, caller: Caller) -> None:
    for _ in range(3):
        with trio.move_on_after(1.0):
            await caller.call("GET", "/terms/1")


async def publish(site: Site, caller: Caller) -> None:
    site.publish(site.revision_in_force + 1)


async def wait(site: Site, caller: Caller) -> None:
    await trio.sleep(STEP_SECONDS)


async def check_service(site: Site, caller: Caller) -> None:
    """Check that no daemon has ended, and that requests and new revisions get through."""
    while not isinstance((await caller.call("GET", "/terms/1")).outcome, Answered):
        await trio.sleep(STEP_SECONDS)
    revision = site.revision_in_force + 1
    site.publish(revision)
    while site.revision_in_force < revision:
        await trio.sleep(STEP_SECONDS)
    assert site.ended == ()


def run_site(
    scenario: Callable[[Site, Caller], Awaitable[None]],
    user: str = "kallioniemi",
    service_name: str = SERVICE,
) -> None:
    async def main() -> None:
        with trio.fail_after(TEST_SECONDS):
            async with open_site(user, Supervisor) as site:
                service, authorities = site.plan.services[service_name], site.plan.tls.certificate
                async with open_caller(
                    service.addresses[0], service.authority, authorities
                ) as caller:
                    await scenario(site, caller)

    trio.run(main)


# Guards against an exception in one piece of work that ends a daemon.
@pytest.mark.parametrize(
    ("owner", "method", "work"),
    [
        pytest.param(Balancer, "_forward_caller_datagram", send_requests, id="caller's datagram"),
        pytest.param(Balancer, "_handle_agent_datagram", send_requests, id="agent's datagram"),
        pytest.param(AgentTunnel, "_handle_datagram", send_requests, id="tunneled datagram"),
        pytest.param(AgentSteering, "decide", send_requests, id="steering at an agent"),
        pytest.param(FlowServer, "receive", send_requests, id="datagram of a flow"),
        pytest.param(RequestService, "_outcome", send_requests, id="request"),
        pytest.param(GateRunner, "_apply_effect", send_requests, id="effect of a gate"),
        pytest.param(BackendClient, "call", send_requests, id="call of the backend server"),
        pytest.param(LocalLink, "transfer", send_requests, id="link to the own gate"),
        pytest.param(Admission, "ask", send_requests, id="admission"),
        pytest.param(RequesterLink, "run", send_requests, id="link to another gate"),
        pytest.param(StreamEndpoint, "_dispatch", publish, id="stream of a peer"),
        pytest.param(GossipSocket, "_receive", wait, id="gossip"),
        pytest.param(MembershipService, "_on_tick", wait, id="timer"),
        pytest.param(PlatformClient, "watch", publish, id="read of the platform"),
        pytest.param(ConfigurationService, "_offer", publish, id="new revision"),
        pytest.param(AgentCore, "apply_bundle", publish, id="subscriber of revisions"),
    ],
)
def test_failure_costs_one_piece_of_work(
    owner: type, method: str, work: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(site: Site, caller: Caller) -> None:
        await check_service(site, caller)
        fault.remaining = 1
        while not counted(site):
            await work(site, caller)
            await trio.sleep(STEP_SECONDS)
        await check_service(site, caller)
        assert counted(site) == 1

    fault = Fault(monkeypatch, owner, method)
    run_site(scenario)


# Guards against a request that runs twice, or hangs, as a failure hides that it has run.
def test_request_that_ran_before_a_failure_has_an_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site, caller: Caller) -> None:
        reply = await caller.call("POST", "/orders", body=b"{}", headers=[(b"x-weight", b"1")])
        runs = sum(each.counts.starts_by_method["POST"] for each in site.backends.values())
        assert (reply.outcome, runs) == (Unknown(UnknownReason.ANSWER_CUT), 1)
        assert counted(site) == 1
        assert site.ended == ()

    original = BackendClient.call

    async def call_and_fail(*arguments: Any) -> int:
        await original(*arguments)
        raise UnexpectedError("after the answer's end")

    monkeypatch.setattr(BackendClient, "call", call_and_fail)
    run_site(scenario, "sibiu", "catalog")
