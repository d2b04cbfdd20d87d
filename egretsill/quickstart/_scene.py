"""Runs one site for the duration of a scenario."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from ..supervision import PropagatingSupervisor, SupervisorFactory
from ._loopback import reserve_loopback_host
from ._run import READY_SECONDS, load_plan
from ._site import Site

SEED = 1


@asynccontextmanager
async def open_site(
    user: str, make_supervisor: SupervisorFactory = PropagatingSupervisor
) -> AsyncIterator[Site]:
    """Run a user's example site while the block runs.

    The block begins when the site is ready, or after `READY_SECONDS`.
    """
    with tempfile.TemporaryDirectory(prefix="egretsill-") as name, reserve_loopback_host() as host:
        plan = load_plan(user, Path(name)).moved_to(host)
        async with trio.open_nursery() as nursery:
            site = Site(plan, nursery, SEED, make_supervisor)
            await site.start()
            if not await site.wait_until_ready(READY_SECONDS):
                print("not all daemons became ready before the timeout")
            yield site
            nursery.cancel_scope.cancel()
