"""An agent's node, of which nothing runs."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from ...address_steering import DeliverToTarget, Failed, FlowKey
from ...endpoints import Address, open_datagram_socket
from ...observation import Metrics
from ...supervision.tests.faults import Fault, UnexpectedError
from ...supervision.tests.supervisors import RecordingSupervisor
from ...timing import VirtualTimerService
from .._agent_node import RELEASE_SECONDS, AgentNode

FLOW = FlowKey(1, 2, 3, 4)


class Agent:
    """A node with something that waits for ever."""

    def __init__(self) -> None:
        self.timer = VirtualTimerService()
        self.supervisor = RecordingSupervisor()
        self.released: list[float] = []
        self.dropped: list[Any] = []
        steering: Any = SimpleNamespace(is_waiting=True, undecided=0, release=self._release)
        log: Any = SimpleNamespace(dropped=self.dropped.append)
        sockets: Any = SimpleNamespace(
            tunnel=open_datagram_socket(("127.0.0.1", 0), 65_536),
            packets=open_datagram_socket(("127.0.0.1", 0), 65_536),
        )
        codec: Any = None
        self.node = AgentNode(
            sockets,
            1,
            2,
            Address("127.0.0.1", 9),
            codec,
            steering,
            self.timer,
            Metrics(),
            log,
            self.supervisor,
        )

    def _release(self, now: float) -> tuple[()]:
        self.released.append(now)
        return ()


# Guards against packets that wait for ever since a timer couldn't be set once.
def test_release_is_scheduled_again_after_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    agent = Agent()
    fault = Fault(monkeypatch, VirtualTimerService, "call_later")
    fault.remaining = 1
    with pytest.raises(UnexpectedError):
        agent.node._schedule_release()
    agent.node._schedule_release()
    agent.timer.advance(RELEASE_SECONDS)
    agent.node.close()
    assert len(agent.released) == 1


# Guards against a flow that is dropped without a line, and against effects lost beside it.
def test_flow_whose_work_failed_is_dropped_and_reported() -> None:
    agent = Agent()
    assert agent.node._apply((Failed(FLOW, UnexpectedError("one")), DeliverToTarget(b"x")))
    agent.node.close()
    assert agent.supervisor.names == [("packets", "UnexpectedError")]
    assert [(each.flow, each.reason.value) for each in agent.dropped] == [(FLOW, "part-failed")]
