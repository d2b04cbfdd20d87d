"""Scenario: key rotation, then a platform outage and an old revision while balancers change."""

from __future__ import annotations

import trio

from ..stand_ins.platform import Down, Well
from ..steering import ConnectionIdKey
from ._run import (
    CALLERS_PER_KIND,
    LOOKUP,
    REQUEST_PAUSE_SECONDS,
    SUBSCRIPTIONS,
    summarize,
)
from ._scene import open_site
from ._score import Score, Verdict, compute_verdict
from ._site import FIRST_REVISION, Site
from ._site_plan import CONNECTION_ID_KEYS
from ._traffic import Traffic

USER = "kallioniemi"
OLD_KEY = CONNECTION_ID_KEYS[0]
NEW_KEY = ConnectionIdKey(2, bytes(range(16, 32)))
KEY_CHANGE_PAUSE_SECONDS = 0.1
PAUSE_SECONDS = 2.0
REVISION_WAIT_SECONDS = 5.0
LATEST_REVISION = 3


async def run_operations() -> Verdict:
    """Run the scenario and return the verdict.

    A revision counts as in force only if no daemon went back to an older one.
    """
    score = Score()
    async with open_site(USER) as site:
        operations = _Operations(site)
        authorities_file = site.plan.tls.certificate
        traffic = Traffic(authorities_file, score, lambda: not operations.finished)
        async with trio.open_nursery() as callers:
            operations.start_callers(traffic, callers)
            callers.start_soon(operations.run, traffic, callers)
    counts = [each.counts for each in site.backends.values()]
    verdict = compute_verdict(score, counts, operations.lowest_revision)
    print(summarize("operations: keys rotated, platform down and then old", score, verdict))
    return verdict


class _Operations:
    """Operator actions of this scenario."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.finished = False
        self.lowest_revision = 0

    def start_callers(self, traffic: Traffic, nursery: trio.Nursery) -> None:
        """Start callers that hold subscriptions and send look-ups."""
        service = self._site.plan.services["hakusana"]
        for _ in range(SUBSCRIPTIONS):
            nursery.start_soon(traffic.subscribe, service, "/subscriptions")
        for _ in range(CALLERS_PER_KIND):
            nursery.start_soon(traffic.send_repeatedly, service, LOOKUP, REQUEST_PAUSE_SECONDS)

    async def run(self, traffic: Traffic, nursery: trio.Nursery) -> None:
        """Rotate the keys, then stop the platform and restore it with an old revision."""
        await self._rotate_keys()
        self.start_callers(traffic, nursery)
        self._site.publish(LATEST_REVISION)
        await trio.sleep(REVISION_WAIT_SECONDS)
        self._site.platform.set_fault(Down())
        await self._replace_balancers()
        self._site.platform.set_fault(Well())
        self._site.publish(FIRST_REVISION)
        await trio.sleep(PAUSE_SECONDS)
        await self._site.add_balancer(f"{USER}-balancer-late")
        await trio.sleep(PAUSE_SECONDS)
        self.lowest_revision = self._site.revision_in_force
        self.finished = True

    async def _rotate_keys(self) -> None:
        """Add the new key to all daemons, then make it their first; existing flows keep the old."""
        for keys in ((OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY)):
            await self._site.set_keys(keys, KEY_CHANGE_PAUSE_SECONDS)
            await trio.sleep(PAUSE_SECONDS)

    async def _replace_balancers(self) -> None:
        for old in self._site.plan.balancers[:3]:
            await self._site.replace_balancer(old, f"{old}-new")
            await trio.sleep(PAUSE_SECONDS)
