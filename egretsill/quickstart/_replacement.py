"""Scenario: every balancer and target of a site is replaced one by one, twice, under load."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import trio

from ..configuration import Address, Target
from ._run import (
    CALLERS_PER_KIND,
    LOOKUP,
    REQUEST_PAUSE_SECONDS,
    SUBSCRIPTIONS,
    summarize,
)
from ._scene import open_site
from ._score import Score, Verdict, compute_verdict
from ._site import Site
from ._traffic import Traffic

USER = "kallioniemi"
ROUNDS = 2
PORT_OFFSET_PER_ROUND = 30
NUMBER_OFFSET_PER_ROUND = 1000
PAUSE_SECONDS = 0.8
UPLOADS = 3
UPLOAD_PIECES = 60
UPLOAD_PAUSE_SECONDS = 0.4
SETTLE_SECONDS = 3.0
SHUTDOWN_WAIT_SECONDS = 25.0


async def run_replacement() -> Verdict:
    """Run the scenario and return the verdict."""
    score = Score()
    async with open_site(USER) as site:
        replacement = _Replacement(site)
        authorities_file = site.plan.tls.certificate
        traffic = Traffic(authorities_file, score, lambda: not replacement.finished)
        async with trio.open_nursery() as callers:
            _start_callers(site, traffic, callers)
            callers.start_soon(replacement.run)
        left = await replacement.wait_for_shutdowns()
        revision = site.revision_in_force
    verdict = compute_verdict(score, [each.counts for each in site.backends.values()], revision)
    title = f"replacement: {replacement.replaced} processes replaced, {left} shut down on their own"
    print(summarize(title, score, verdict))
    return verdict


class _Replacement:
    """Operator actions of this scenario."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._revision = 1
        self._replaced_processes: list[str] = []
        self.finished = False

    @property
    def replaced(self) -> int:
        """Return the number of processes replaced."""
        return len(self._replaced_processes)

    async def run(self) -> None:
        """Replace all targets and balancers, both concurrently."""
        for number in range(1, ROUNDS + 1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._replace_balancers, number)
                nursery.start_soon(self._replace_targets, number)
        await trio.sleep(SETTLE_SECONDS)
        self.finished = True

    async def wait_for_shutdowns(self) -> int:
        """Wait up to `SHUTDOWN_WAIT_SECONDS` for replaced processes; return how many ended."""
        with trio.move_on_after(SHUTDOWN_WAIT_SECONDS):
            while not set(self._replaced_processes) <= set(self._site.ended):
                await trio.sleep(PAUSE_SECONDS)
        return len(set(self._replaced_processes) & set(self._site.ended))

    async def _replace_balancers(self, number: int) -> None:
        for old in self._site.plan.balancers[-3:]:
            new = f"{old.rsplit('-r', 1)[0]}-r{number}"
            await self._site.replace_balancer(old, new)
            self._replaced_processes.append(old)
            await trio.sleep(2 * PAUSE_SECONDS)

    async def _replace_targets(self, number: int) -> None:
        for old in self._current_targets():
            await self._site.add_target(_make_successor(old, number))
            self._publish()
            await trio.sleep(PAUSE_SECONDS)
            self._site.mark_target_draining(old.name)
            self._site.mark_vm_leaving(f"agent-{old.name}")
            self._replaced_processes.append(f"agent-{old.name}")
            self._publish()
            await trio.sleep(PAUSE_SECONDS)

    def _current_targets(self) -> Sequence[Target]:
        names = {each.removeprefix("agent-") for each in self._replaced_processes}
        return [each for each in self._site.plan.targets if each.name not in names]

    def _publish(self) -> None:
        self._revision += 1
        self._site.publish(self._revision)


def _start_callers(site: Site, traffic: Traffic, nursery: trio.Nursery) -> None:
    reading, writing = (site.plan.services[name] for name in ("hakusana", "vastaanotto"))
    for _ in range(SUBSCRIPTIONS):
        nursery.start_soon(traffic.subscribe, reading, "/subscriptions")
    for _ in range(CALLERS_PER_KIND):
        nursery.start_soon(traffic.send_repeatedly, reading, LOOKUP, REQUEST_PAUSE_SECONDS)
    for _ in range(UPLOADS):
        nursery.start_soon(
            traffic.upload_slowly,
            writing,
            "/glossaries/draft",
            UPLOAD_PIECES,
            UPLOAD_PAUSE_SECONDS,
        )


def _make_successor(target: Target, number: int) -> Target:
    """Return the replacement of a target; numbers and endpoints are never reused."""
    return replace(
        target,
        name=f"{target.name.rsplit('-r', 1)[0]}-r{number}",
        number=target.number + NUMBER_OFFSET_PER_ROUND,
        tunnel=_shift_port(target.tunnel),
        relay=_shift_port(target.relay),
        gossip=_shift_port(target.gossip),
        backend=_shift_port(target.backend),
    )


def _shift_port(address: Address) -> Address:
    return Address(address.host, address.port + PORT_OFFSET_PER_ROUND)
