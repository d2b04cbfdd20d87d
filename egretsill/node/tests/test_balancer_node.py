"""A balancer's node, of which nothing runs."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ...address_steering import BalancerSteering
from ...address_steering.tests.scene import BALANCER, DOMAIN, RETENTION, Scene, packet, table
from ...endpoints import open_datagram_socket
from ...observation import Metrics
from ...supervision.tests.faults import Fault, UnexpectedError
from ...supervision.tests.supervisors import RecordingSupervisor
from ...timing import VirtualTimerService
from .._balancer_node import DECISION_SECONDS, BalancerNode


class Balancer:
    """A node whose view says that the address of its callers' flows was withdrawn."""

    def __init__(self) -> None:
        self.timer = VirtualTimerService()
        self.scene = Scene()
        self.scene.publish(self.timer.now, table(version=9, port=1))
        self.directory = self.scene.directory
        scene = self.scene
        self.steering = BalancerSteering(
            BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
        )
        self.refused: list[Any] = []
        self.dropped: list[Any] = []
        log: Any = SimpleNamespace(dropped=self.dropped.append, refused=self.refused.append)
        codec: Any = SimpleNamespace(
            decode_from_caller=lambda _: packet(), encode_reset=lambda flow, acknowledged: b"reset"
        )
        sockets: Any = SimpleNamespace(
            tunnel=open_datagram_socket(("127.0.0.1", 0), 65_536),
            packets=open_datagram_socket(("127.0.0.1", 0), 65_536),
        )
        supervisor = RecordingSupervisor()
        self.node = BalancerNode(
            sockets, 1, 2, codec, self.steering, self.timer, Metrics(), log, supervisor
        )

    def advance(self, seconds: float) -> None:
        """Let time pass in which checks for newer content are made."""
        for _ in range(round(seconds / DECISION_SECONDS)):
            self.timer.advance(DECISION_SECONDS)


# Guards against a caller that isn't told of a withdrawn address unless it sends again.
def test_flow_of_a_withdrawn_address_is_reset_once_newer_content_confirms_that() -> None:
    balancer = Balancer()
    balancer.node._receive_from_caller(b"packet", balancer.timer.now)
    balancer.advance(1.0)
    assert (len(balancer.dropped), balancer.refused) == (1, [])
    balancer.directory.confirm(balancer.directory.content_revision, 0.0, balancer.timer.now)
    balancer.advance(2 * DECISION_SECONDS)
    balancer.node.close()
    assert [each.reason.value for each in balancer.refused] == ["no-route"]
    assert balancer.timer.next_deadline is None, "no check is due while no flow waits"


# Guards against flows that are never reset since a check failed or its timer couldn't be set.
@pytest.mark.parametrize("owner", [VirtualTimerService, BalancerSteering], ids=["timer", "check"])
def test_checks_go_on_after_a_failure(owner: type, monkeypatch: pytest.MonkeyPatch) -> None:
    balancer = Balancer()
    name = "call_later" if owner is VirtualTimerService else "decide"
    fault = Fault(monkeypatch, owner, name)
    fault.remaining = 1
    if owner is VirtualTimerService:
        with pytest.raises(UnexpectedError):
            balancer.node._receive_from_caller(b"packet", balancer.timer.now)
    balancer.node._receive_from_caller(b"packet", balancer.timer.now)
    balancer.directory.confirm(balancer.directory.content_revision, 0.0, balancer.timer.now + 1)
    balancer.advance(0.5)
    balancer.node.close()
    assert len(balancer.refused) == 1
