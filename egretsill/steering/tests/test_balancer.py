import random
import socket
from collections.abc import Awaitable, Callable, Sequence

import pytest
import trio
import trio.testing

from ...configuration import Address, Bundle
from ...supervision import PropagatingSupervisor
from ...timing import VirtualTimerService
from .. import (
    AgentProbe,
    AgentProbeAnswer,
    Balancer,
    CallerPacket,
    DropReason,
    OwnerNotice,
    ReplyPacket,
    TunnelMessage,
    make_tunnel_codec,
)
from .._balancer import BIND_RETRY_SECONDS
from .builders import CODEC, LOOKUP, SUBMISSION, initial_packet, service, short_packet, target

TUNNEL = make_tunnel_codec()
LOCALHOST = Address("127.0.0.1", 0)


class Fleet:
    """One balancer, one agent for each of two services, and a caller, on loopback."""

    def __init__(self) -> None:
        self.timer = VirtualTimerService()
        self.listen_at: dict[Address, Address] = {}
        self.agents = {number: self._socket() for number in (1, 11)}
        self.caller = self._socket()
        self.balancer = Balancer(
            self.timer, LOCALHOST, CODEC, PropagatingSupervisor(), listen=self._listen
        )
        self.balancer.apply_bundle(self.bundle())

    def bundle(self, revision: int = 1, extra_addresses: Sequence[Address] = ()) -> Bundle:
        lookup = target(1, "lookup", tunnel=self._address(self.agents[1]))
        submission = target(11, "submission", tunnel=self._address(self.agents[11]))
        return Bundle(
            revision,
            "",
            {
                "lookup": service("lookup", 1, [LOOKUP, *extra_addresses], [lookup]),
                "submission": service("submission", 2, [SUBMISSION], [submission]),
            },
        )

    async def send(self, datagram: bytes, service_address: Address = LOOKUP) -> None:
        local_address = self.balancer.local_address(service_address)
        assert local_address is not None
        await self.caller.sendto(datagram, local_address)

    async def send_from_agent(self, number: int, data: bytes) -> None:
        await self.agents[number].sendto(data, self.balancer.tunnel_address)

    def open_agent(self, number: int) -> Address:
        self.agents[number] = self._socket()
        return self._address(self.agents[number])

    async def receive(self, agent: int) -> TunnelMessage:
        with trio.fail_after(5):
            return TUNNEL.decode(await self.agents[agent].recv(4096))

    async def receive_packet(self, agent: int) -> CallerPacket:
        packet = await self.receive(agent)
        assert isinstance(packet, CallerPacket)
        return packet

    async def wait_for_drops(self, reason: DropReason, count: int = 1) -> None:
        """Wait until the balancer has counted `count` drops for the reason."""
        with trio.fail_after(5):
            while self.balancer.counters.drops[reason] < count:
                await trio.sleep(0.001)

    def close(self) -> None:
        for each in (*self.agents.values(), self.caller):
            each.close()

    def _listen(self, service_address: Address) -> Address:
        return self.listen_at.get(service_address, LOCALHOST)

    def _socket(self) -> trio.socket.SocketType:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(LOCALHOST)
        return trio.socket.from_stdlib_socket(opened)

    def _address(self, bound: trio.socket.SocketType) -> Address:
        return Address(*bound.getsockname())


def run_with_fleet(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.balancer.run)
            await trio.testing.wait_all_tasks_blocked()
            await scenario(fleet)
            nursery.cancel_scope.cancel()
        fleet.close()

    trio.run(run)


def test_packet_and_reply_are_forwarded() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.send(initial_packet(b"clientid"))
        packet = await fleet.receive_packet(1)
        assert (packet.service_host, packet.service_port) == LOOKUP
        assert (packet.caller_host, packet.caller_port) == fleet.caller.getsockname()
        assert packet.payload == initial_packet(b"clientid")
        reply = ReplyPacket(packet.caller_host, packet.caller_port, *LOOKUP, b"reply")
        await fleet.send_from_agent(1, TUNNEL.encode(reply))
        with trio.fail_after(5):
            data, source = await fleet.caller.recvfrom(4096)
        assert (data, source) == (b"reply", fleet.balancer.local_address(LOOKUP))
        assert fleet.balancer.counters.replied == 1

    run_with_fleet(scenario)


@pytest.mark.parametrize(
    ("datagram", "reason"),
    [
        pytest.param(b"", DropReason.TRUNCATED, id="empty"),
        pytest.param(b"\xc0\0\0\0\1\x08abc", DropReason.TRUNCATED, id="truncated"),
        pytest.param(bytes(2049), DropReason.OVERSIZED, id="oversized"),
        pytest.param(bytes(60_000), DropReason.OVERSIZED, id="largest datagram"),
        pytest.param(
            initial_packet(b"id", 0x1A2A3A4A), DropReason.UNSUPPORTED_VERSION, id="wrong version"
        ),
        pytest.param(
            short_packet(random.Random(5).randbytes(17)), DropReason.UNDECODABLE_ID, id="random"
        ),
        pytest.param(
            short_packet(CODEC.encode(2, 11, bytes(8))), DropReason.FOREIGN_OWNER, id="foreign"
        ),
    ],
)
def test_invalid_caller_datagram_is_counted(datagram: bytes, reason: DropReason) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.send(datagram)
        await fleet.wait_for_drops(reason)
        await fleet.send(short_packet(CODEC.encode(1, 1, bytes(8))))
        assert (await fleet.receive_packet(1)).payload[:1] == b"\x40"

    run_with_fleet(scenario)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        pytest.param(b"", DropReason.MALFORMED_MESSAGE, id="empty"),
        pytest.param(random.Random(6).randbytes(500), DropReason.MALFORMED_MESSAGE, id="random"),
        pytest.param(bytes(60_000), DropReason.MALFORMED_MESSAGE, id="largest datagram"),
        pytest.param(
            TUNNEL.encode(ReplyPacket("127.0.0.1", 9, *LOOKUP, bytes(99)))[:-1],
            DropReason.MALFORMED_MESSAGE,
            id="truncated",
        ),
        pytest.param(
            TUNNEL.encode(AgentProbe(1)), DropReason.UNEXPECTED_MESSAGE, id="probe to a balancer"
        ),
        pytest.param(
            TUNNEL.encode(ReplyPacket("127.0.0.1", 9, *SUBMISSION, b"x")),
            DropReason.FOREIGN_REPLY,
            id="reply from another service's address",
        ),
        pytest.param(
            TUNNEL.encode(ReplyPacket("not-an-ip..", 9, *LOOKUP, b"x")),
            DropReason.SEND_FAILED,
            id="reply to no IP number",
        ),
    ],
)
def test_invalid_agent_datagram_is_counted(data: bytes, reason: DropReason) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.send_from_agent(1, data)
        await fleet.wait_for_drops(reason)
        assert sum(fleet.balancer.counters.drops.values()) == 1

    run_with_fleet(scenario)


def test_datagram_from_unknown_agent_is_dropped() -> None:
    async def scenario(fleet: Fleet) -> None:
        reply = TUNNEL.encode(ReplyPacket("127.0.0.1", 9, *LOOKUP, b"x"))
        await fleet.caller.sendto(reply, fleet.balancer.tunnel_address)
        await fleet.wait_for_drops(DropReason.UNKNOWN_AGENT)
        assert fleet.balancer.counters.replied == 0

    run_with_fleet(scenario)


def test_silent_agent_is_probed_until_it_answers() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.send(initial_packet(b"clientid"))
        await fleet.receive_packet(1)
        fleet.timer.advance(0.9)
        assert fleet.balancer.silent_targets == {1}
        probe = await fleet.receive(1)
        assert isinstance(probe, AgentProbe)
        await fleet.send_from_agent(1, TUNNEL.encode(AgentProbeAnswer(probe.sequence, 1, False)))
        with trio.fail_after(5):
            while fleet.balancer.silent_targets:
                await trio.sleep(0.001)
        assert fleet.balancer.counters.became_responsive == 1

    run_with_fleet(scenario)


def test_owner_notice_routes_unknown_owner() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.send(short_packet(CODEC.encode(1, 7, bytes(8))))
        await fleet.receive_packet(1)
        owner_tunnel = fleet.open_agent(7)
        notice = OwnerNotice(7, 1, *owner_tunnel)
        await fleet.send_from_agent(1, TUNNEL.encode(notice))
        with trio.fail_after(5):
            while not fleet.balancer.counters.owner_notices:
                await trio.sleep(0.001)
        await fleet.send(short_packet(CODEC.encode(1, 7, bytes(8))))
        await fleet.receive_packet(7)

    run_with_fleet(scenario)


def test_owner_notice_for_other_service_is_dropped() -> None:
    async def scenario(fleet: Fleet) -> None:
        notice = OwnerNotice(7, 1, "127.0.0.1", 9)
        await fleet.send_from_agent(11, TUNNEL.encode(notice))
        await fleet.wait_for_drops(DropReason.FOREIGN_OWNER)
        assert not fleet.balancer.retained_targets

    run_with_fleet(scenario)


def test_bind_is_retried_when_address_is_in_use() -> None:
    async def scenario(fleet: Fleet) -> None:
        added = Address("10.0.0.5", 443)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(LOCALHOST)
            address_in_use = Address(*other.getsockname())
            fleet.listen_at[added] = address_in_use
            fleet.balancer.apply_bundle(fleet.bundle(2, [added]))
            assert fleet.balancer.unbound_addresses == {added}
        fleet.timer.advance(BIND_RETRY_SECONDS)
        assert fleet.balancer.local_address(added) == address_in_use
        assert not fleet.balancer.unbound_addresses
        assert fleet.balancer.counters.bind_failures == 1

    run_with_fleet(scenario)


def test_address_removed_before_first_read_is_harmless() -> None:
    async def scenario(fleet: Fleet) -> None:
        added = Address("10.0.0.5", 443)
        fleet.balancer.apply_bundle(fleet.bundle(2, [added]))
        fleet.balancer.apply_bundle(fleet.bundle(3))
        fleet.timer.pause(25 * 3600.0)
        fleet.balancer.apply_bundle(fleet.bundle(4))
        await fleet.send(initial_packet(b"clientid"))
        await fleet.receive_packet(1)

    run_with_fleet(scenario)


def test_random_datagrams_are_counted_and_leave_no_state() -> None:
    async def scenario(fleet: Fleet) -> None:
        rng = random.Random(9)
        for sent in range(1, 301):
            data = rng.randbytes(rng.randrange(2500))
            await fleet.send(bytes([rng.choice([0x40, 0xC0])]) + data)
            await fleet.send_from_agent(rng.choice([1, 11]), data)
            with trio.fail_after(5):
                while sum(fleet.balancer.counters.drops.values()) < 2 * sent:
                    await trio.sleep(0)
        assert fleet.balancer.counters.forwarded == fleet.balancer.counters.replied == 0
        assert not fleet.balancer.retained_targets
        fleet.timer.advance(2.0)
        assert fleet.balancer.counters.probes == 0

    run_with_fleet(scenario)


def test_service_sockets_follow_configuration() -> None:
    async def scenario(fleet: Fleet) -> None:
        added = Address("10.0.0.5", 443)
        fleet.balancer.apply_bundle(fleet.bundle(2, [added]))
        await fleet.send(initial_packet(b"clientid"), added)
        assert (await fleet.receive_packet(1)).service_host == added.host
        fleet.balancer.apply_bundle(fleet.bundle(3))
        assert fleet.balancer.local_address(added) is not None
        fleet.timer.pause(25 * 3600.0)
        fleet.balancer.apply_bundle(fleet.bundle(4))
        assert fleet.balancer.local_address(added) is None

    run_with_fleet(scenario)
