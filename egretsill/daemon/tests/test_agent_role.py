from __future__ import annotations

import socket
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
import trio

from ...configuration import Address, Bundle
from ...observation import Metrics
from ...quickstart import load_plan
from ...supervision import PropagatingSupervisor
from ...timing import TrioTimerService
from .._agent_role import AgentRole
from .._exceptions import AddressUnavailable


def test_tunnel_endpoint_in_use_is_reported(tmp_path: Path) -> None:
    plan = load_plan("sibiu", tmp_path)
    target = plan.targets[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        tunnel = Address("127.0.0.1", taken.getsockname()[1])
        settings = replace(plan.agent_settings(target), tunnel=tunnel)

        async def run() -> None:
            role = AgentRole(
                settings,
                plan.tls,
                target.number,
                TrioTimerService(),
                Metrics(),
                lambda gossip, report: None,
                lambda: True,
                lambda answered: None,
                Random(1),
                PropagatingSupervisor(),
            )
            role.apply_bundle(Bundle(1, "", plan.services))
            await role.run()

        with pytest.raises(BaseExceptionGroup) as caught:
            trio.run(run)
    assert caught.group_contains(AddressUnavailable, match=f"tunnel {tunnel}: EADDRINUSE")
