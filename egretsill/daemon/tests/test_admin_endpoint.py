"""A daemon serves without its admin endpoint, and opens it once its address is free."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from random import Random

import eliot
import pytest
import trio

from ...configuration import Address
from ...quickstart import load_plan
from ...wire import get_page
from ...wire.tests.holders import HOLDERS, held, own_host
from .._daemon import Daemon

TUNNEL, RELAY, GOSSIP, ADMIN = range(20_310, 20_314)


# Guards against an end of the process because its admin address was taken for a moment.
@pytest.mark.parametrize("holder", HOLDERS)
def test_admin_endpoint_in_use_is_logged_and_opened_later(tmp_path: Path, holder: str) -> None:
    host = own_host()
    admin = Address(host, ADMIN)
    plan = load_plan("sibiu", tmp_path)
    settings = replace(
        plan.balancer_settings(plan.balancers[0]),
        listen={},
        tunnel=Address(host, TUNNEL),
        relay=Address(host, RELAY),
        gossip=Address(host, GOSSIP),
        admin=admin,
    )
    lines: list[tuple[object, object, object]] = []

    def collect(message: Mapping[str, object]) -> None:
        if message["message_type"] == "egretsill:endpoint":
            lines.append((message["subject"], message["state"], message["details"]))

    async def main() -> None:
        daemon = Daemon(settings, Random(1))
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                with held(holder, admin) as release:
                    await nursery.start(daemon.run)
                    assert [state for _, state, _ in lines] == ["unavailable"]
                    release()
                    while len(lines) < 2:
                        await trio.sleep(0.01)
                page = await get_page(*admin, "/metrics", 5.0)
                assert b'egretsill_endpoint_open{endpoint="admin"} 1' in page.body
                nursery.cancel_scope.cancel()

    eliot.add_destinations(collect)
    try:
        trio.run(main)
    finally:
        eliot.remove_destination(collect)
    assert lines == [
        ("admin", "unavailable", {"address": str(admin), "error": "EADDRINUSE"}),
        ("admin", "open", {"address": str(admin)}),
    ]
