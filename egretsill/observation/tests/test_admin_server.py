"""Admin port, tested with requests over loopback sockets."""

from __future__ import annotations

import json
from collections.abc import Mapping

import pytest
import trio
import trio.testing

from ...configuration import Address
from ...supervision import PropagatingSupervisor
from ...supervision.tests.supervisors import RecordingSupervisor
from ...wire import StreamServer
from .. import JSON, AdminServer, HealthProblem, HealthState, Metrics
from .._admin_server import MAXIMUM_CONNECTIONS


class _Admin:
    """An admin server on a free loopback port."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.health = HealthState()
        self.address = Address("127.0.0.1", 0)
        self.errors: list[OSError | None] = []
        self.stream_server = StreamServer(self.address, self.errors.append)
        self.server = AdminServer(
            self.stream_server,
            self.metrics,
            self._status,
            lambda: self.health,
            PropagatingSupervisor(),
        )

    def refused(self, reason: str) -> float:
        counter = self.metrics.admin_connections_refused
        return counter.value(reason)

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream(self.address.host, self.address.port)

    async def request(self, data: bytes) -> tuple[int, bytes]:
        """Return status and body; status 0 if the connection was closed without a response."""
        stream = await self.connect()
        async with stream:
            received = b""
            try:
                await stream.send_all(data)
                while chunk := await stream.receive_some(65_536):
                    received += chunk
            except trio.BrokenResourceError:
                pass
        head, _, body = received.partition(b"\r\n\r\n")
        return (int(head.split()[1]) if head else 0), body

    def _status(self) -> Mapping[str, JSON]:
        return {"revision": 7, "flows": {"open": 2}}


def _request(path: str, method: str = "GET") -> bytes:
    return f"{method} {path} HTTP/1.1\r\nHost: admin\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(_request("/metrics"), 200, id="metrics"),
        pytest.param(_request("/status"), 200, id="status"),
        pytest.param(_request("/health?verbose=1"), 200, id="query is ignored"),
        pytest.param(_request("/metrics", "HEAD"), 200, id="head"),
        pytest.param(_request("/nothing"), 404, id="unknown page"),
        pytest.param(_request("/nothing", "HEAD"), 404, id="head of an unknown page"),
        pytest.param(_request("/status", "POST"), 405, id="wrong method"),
        pytest.param(b"\x00\xff garbage\r\n\r\n", 400, id="garbage"),
        pytest.param(b"GET / HTTP/9.9\r\n\r\n", 505, id="no such version"),
        pytest.param(_request("/" + "x" * 20_000), 431, id="oversized target"),
        pytest.param(b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000, 431, id="endless header"),
    ],
)
def test_response_status(data: bytes, status: int) -> None:
    async def main() -> tuple[int, bytes]:
        admin = _Admin()
        async with trio.open_nursery() as nursery:
            admin.address = await nursery.start(admin.server.run)
            response = await admin.request(data)
            after = await admin.request(_request("/health"))
            nursery.cancel_scope.cancel()
        assert after[0] == 200
        assert admin.refused("malformed") == (status in (400, 431))
        return response

    seen = trio.run(main)[0]
    # Closing while the client still sends may reset the connection before it reads the response.
    assert seen == status or (status == 431 and seen == 0)


def test_page_contents() -> None:
    async def main() -> None:
        admin = _Admin()
        admin.metrics.flows_open.set(12)
        async with trio.open_nursery() as nursery:
            admin.address = await nursery.start(admin.server.run)
            _, metrics = await admin.request(_request("/metrics"))
            _, status = await admin.request(_request("/status"))
            admin.health = HealthState((HealthProblem.DRAINING,))
            code, health = await admin.request(_request("/health"))
            nursery.cancel_scope.cancel()
        assert b"egretsill_flows_open 12" in metrics
        assert json.loads(status) == {"revision": 7, "flows": {"open": 2}}
        assert code == 503
        assert json.loads(health) == {"healthy": False, "problems": ["draining"]}

    trio.run(main)


def test_failing_page_returns_500_and_others_still_work() -> None:
    def fail() -> HealthState:
        raise KeyError

    async def main() -> None:
        admin = _Admin()
        supervisor = RecordingSupervisor()
        admin.server = AdminServer(
            admin.stream_server, admin.metrics, admin._status, fail, supervisor
        )
        async with trio.open_nursery() as nursery:
            admin.address = await nursery.start(admin.server.run)
            assert await admin.request(_request("/health")) == (500, b'{"error": "KeyError"}\n')
            assert supervisor.names == [("admin", "KeyError")]
            assert (await admin.request(_request("/status")))[0] == 200
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_excess_connections_are_refused_and_idle_ones_closed() -> None:
    async def main() -> None:
        admin = _Admin()
        async with trio.open_nursery() as nursery:
            admin.address = await nursery.start(admin.server.run)
            idle = [await admin.connect() for _ in range(MAXIMUM_CONNECTIONS)]
            await trio.testing.wait_all_tasks_blocked(0.01)
            refused = await admin.request(_request("/health"))
            assert refused[0] == 0
            assert admin.refused("too-many-connections") == 1
            assert [await each.receive_some(10) for each in idle] == [b""] * len(idle)
            assert admin.refused("slow") == MAXIMUM_CONNECTIONS
            assert (await admin.request(_request("/health")))[0] == 200
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(rate=20))


def test_disconnecting_client_is_counted() -> None:
    async def main() -> None:
        admin = _Admin()
        async with trio.open_nursery() as nursery:
            admin.address = await nursery.start(admin.server.run)
            await (await admin.connect()).aclose()
            while not admin.refused("gone"):
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()

    trio.run(main)
