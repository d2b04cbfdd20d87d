"""One running site for the length of a scene."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from ._loopback import own_loopback_host
from ._run import READY_SECONDS, load_plan
from ._site import Site

SEED = 1


@asynccontextmanager
async def open_site(user: str) -> AsyncIterator[Site]:
    """Run a user's example site for the length of the block, which begins when it is ready."""
    with tempfile.TemporaryDirectory(prefix="egretsill-") as name, own_loopback_host() as host:
        plan = load_plan(user, Path(name)).moved_to(host)
        async with trio.open_nursery() as nursery:
            site = Site(plan, nursery, SEED)
            await site.start()
            if not await site.wait_until_ready(READY_SECONDS):
                print("not all daemons were ready in time")
            yield site
            nursery.cancel_scope.cancel()
