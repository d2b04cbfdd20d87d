from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio

from ...stand_ins.platform import Failing, PlatformStandIn, Well
from ...supervision import PropagatingSupervisor
from ...timing import TrioTimerService
from .. import (
    Address,
    Announcement,
    Bundle,
    ConfigurationRequest,
    ConfigurationResponse,
    ConfigurationService,
    DistributionTimes,
    PeerUnreachable,
    PlatformClient,
    Vm,
    encode_publication,
    encode_vms,
)
from .fleets import make_history

NAME = "vm-0"
TIMES = DistributionTimes(
    period=0.1, start=0.2, start_spread=0.01, silence=0.5, watch=1.0, vm_list=0.2
)
RELAY = Address("127.0.0.1", 9)


async def no_peer(relay: Address, question: ConfigurationRequest) -> ConfigurationResponse:
    raise PeerUnreachable(str(relay), "not listening")


def run(
    scenario: Callable[[PlatformStandIn, ConfigurationService], Awaitable[None]],
    sent: list[Announcement] | None = None,
) -> None:
    async def main() -> None:
        stand_in = PlatformStandIn()
        timer = TrioTimerService()
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(stand_in.serve, Address("127.0.0.1", 0))
                service = ConfigurationService(
                    name=NAME,
                    failure_domain="turnisor",
                    relay=RELAY,
                    platform=PlatformClient([address], 1.0),
                    vm_platform=PlatformClient([address], 1.0),
                    timer=timer,
                    random=Random(1),
                    peers=lambda: [],
                    send=lambda to, message: (sent if sent is not None else []).append(message),
                    fetch=no_peer,
                    supervisor=PropagatingSupervisor(),
                    seeds=[Address("127.0.0.1", 8)],
                    times=TIMES,
                )
                nursery.start_soon(timer.run)
                nursery.start_soon(service.run)
                await scenario(stand_in, service)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def wait_for(condition: Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.01)


def test_reader_follows_platform_over_http() -> None:
    history = make_history(3)

    async def scenario(stand_in: PlatformStandIn, service: ConfigurationService) -> None:
        bundles: list[Bundle] = []
        service.subscribe(bundles.append)
        stand_in.publish_vms(encode_vms([Vm(NAME, "agent", "turnisor")]))
        stand_in.publish(encode_publication(history[0]))
        await wait_for(lambda: service.revision == 1)
        assert service.is_reader
        stand_in.publish(encode_publication(history[1]))
        await wait_for(lambda: service.revision == 2)
        stand_in.set_fault(Failing())
        await trio.sleep(0.1)
        stand_in.set_fault(Well())
        stand_in.publish(encode_publication(history[2]))
        await wait_for(lambda: service.revision == 3)
        assert [bundle.revision for bundle in bundles] == [1, 2, 3]
        assert bundles[-1] == history[2].bundle
        age = service.platform_age_seconds
        assert age is not None

    run(scenario)


# Guards against a revision that is missed as the platform came back from a copy and gave its
# version to other content.
@pytest.mark.parametrize("unrelated_writes", [0, 1, 40])
def test_revision_after_the_platform_returned_from_a_copy_takes_force(
    unrelated_writes: int,
) -> None:
    history = make_history(3)

    async def scenario(stand_in: PlatformStandIn, service: ConfigurationService) -> None:
        stand_in.publish_vms(encode_vms([Vm(NAME, "agent", "turnisor")]))
        stand_in.publish(encode_publication(history[0]))
        await wait_for(lambda: service.revision == 1)
        copy = stand_in.store.copy()
        for number in range(20):
            stand_in.store.put("unrelated", str(number).encode())
        stand_in.publish(encode_publication(history[1]))
        await wait_for(lambda: service.revision == 2)
        failures = service.counters.platform_failures
        stand_in.set_fault(Failing())
        await wait_for(lambda: service.counters.platform_failures > failures)
        stand_in.store.return_from(copy)
        for number in range(unrelated_writes):
            stand_in.store.put("unrelated", str(number).encode())
        stand_in.publish(encode_publication(history[2]))
        stand_in.set_fault(Well())
        with trio.fail_after(10):
            await wait_for(lambda: service.revision == 3)

    run(scenario)


def test_process_without_peers_reads_platform_directly() -> None:
    history = make_history(1)

    async def scenario(stand_in: PlatformStandIn, service: ConfigurationService) -> None:
        vms = [Vm(f"other-{number}", "agent", "turnisor") for number in range(2)]
        stand_in.publish_vms(encode_vms([*vms]))
        stand_in.publish(encode_publication(history[0]))
        await wait_for(lambda: service.revision == 1)
        assert not service.is_reader

    run(scenario)


def test_subscribers_get_vm_list() -> None:
    async def scenario(stand_in: PlatformStandIn, service: ConfigurationService) -> None:
        lists: list[int] = []
        service.subscribe_vms(lambda vms: lists.append(len(vms)))
        stand_in.publish_vms(encode_vms([Vm(NAME, "agent", "turnisor")]))
        await wait_for(lambda: lists == [1])
        stand_in.publish_vms(b"nonsense")
        await wait_for(lambda: service.counters.malformed > 0)
        stand_in.publish_vms(encode_vms([Vm(NAME, "agent", "x"), Vm("vm-1", "agent", "x")]))
        await wait_for(lambda: lists == [1, 2])
        assert [vm.name for vm in service.vms] == [NAME, "vm-1"]

    run(scenario)


def test_seeds_are_contacted_while_no_peer_is_known() -> None:
    sent: list[Announcement] = []

    async def scenario(stand_in: PlatformStandIn, service: ConfigurationService) -> None:
        await wait_for(lambda: len(sent) >= 2)
        assert sent[0].answer_wanted
        assert sent[0].rank is None

    run(scenario, sent)


def test_next_peer_is_tried_after_unreachable_peer() -> None:
    async def scenario(stand_in: PlatformStandIn, service: ConfigurationService) -> None:
        for number in (1, 2):
            message = Announcement(
                f"peer-{number}", 9, "a" * 32, True, None, Address("127.0.0.1", number), False
            )
            service.receive(message, Address("127.0.0.1", 50 + number))
        await wait_for(lambda: service.counters.peer_failures == 2)
        assert service.counters.peer_fetches == 2
        assert service.bundle is None

    run(scenario)
