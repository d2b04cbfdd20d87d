"""Scenario: both users' sites run under load and disturbances, and the results are reported."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from pathlib import Path

import trio

from ..settings import TlsSettings
from ..stand_ins.certificates import CERTIFICATE_FILE, PRIVATE_KEY_FILE, write_certificate
from ._loopback import reserve_loopback_host
from ._score import Score, Verdict, compute_verdict
from ._site import Site
from ._site_plan import FIRST_PORTS, SitePlan, load_site_plan
from ._traffic import RequestKind, Traffic

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
AUTHORITIES = ("hakusana.example", "vastaanotto.example", "catalog.example", "upload.example")
TRAFFIC_SECONDS = 14.0
BALANCER_STOPS_AFTER_SECONDS = 4.0
FABRIC_DETECTS_AFTER_SECONDS = 1.0
DRAIN_AFTER_SECONDS = 1.0
PUBLISH_AFTER_SECONDS = 1.0
READY_SECONDS = 12.0
DRAINED_TARGETS = {"kallioniemi": "hakusana-2", "sibiu": "catalog-3"}
SECOND_REVISION = 2
TITLE = (
    "egretsill quickstart: two sites of three balancers and ten targets each; in each\n"
    "a balancer was stopped without warning, a target drained, a revision published"
)
SUBSCRIPTIONS = 6
CALLERS_PER_KIND = 3
UPLOADS = 2
UPLOAD_PIECES = 40
UPLOAD_PAUSE_SECONDS = 0.25
REQUEST_PAUSE_SECONDS = 0.15

LOOKUP = RequestKind("GET", "/terms/{}", 1, at_most_once=False)
LISTING = RequestKind("GET", "/listings/{}", 1, at_most_once=False)
ORDER = RequestKind("POST", "/orders", 4, at_most_once=True, body=b'{"hulls": "buckwheat"}')


async def run_quickstart() -> Verdict:
    """Run the scenario and return the verdict."""
    score = Score()
    with tempfile.TemporaryDirectory(prefix="egretsill-") as name, reserve_loopback_host() as host:
        plans = [load_plan(user, Path(name)).moved_to(host) for user in FIRST_PORTS]
        async with trio.open_nursery() as nursery:
            sites = [Site(plan, nursery, seed) for seed, plan in enumerate(plans)]
            for site in sites:
                await site.start()
            for site in sites:
                if not await site.wait_until_ready(READY_SECONDS):
                    print(f"{site.plan.name}: not all daemons became ready before the timeout")
            await _run_traffic(sites, plans[0].tls.certificate, score)
            revision = min(site.revision_in_force for site in sites)
            nursery.cancel_scope.cancel()
    counts = [backend.counts for site in sites for backend in site.backends.values()]
    verdict = compute_verdict(score, counts, revision)
    print(summarize(TITLE, score, verdict))
    return verdict


def load_plan(user: str, directory: Path) -> SitePlan:
    """Return the plan of a user's example site, with its certificate and logs in `directory`.

    Raises:
        DeclarationRejected: if the example is invalid.
    """
    certificate = directory / CERTIFICATE_FILE
    if not certificate.exists():
        write_certificate(directory, AUTHORITIES)
    tls = TlsSettings(certificate, directory / PRIVATE_KEY_FILE)
    return load_site_plan(user, EXAMPLES, FIRST_PORTS[user], tls, directory)


async def _run_traffic(sites: Sequence[Site], authorities_file: Path, score: Score) -> None:
    ends_at = trio.current_time() + TRAFFIC_SECONDS
    traffic = Traffic(authorities_file, score, lambda: trio.current_time() < ends_at)
    async with trio.open_nursery() as nursery:
        for site in sites:
            _start_callers(site.plan, traffic, nursery)
            nursery.start_soon(_inject_disturbances, site)


def _start_callers(plan: SitePlan, traffic: Traffic, nursery: trio.Nursery) -> None:
    services = plan.services
    if "hakusana" in services:
        for _ in range(SUBSCRIPTIONS):
            nursery.start_soon(traffic.subscribe, services["hakusana"], "/subscriptions")
        for _ in range(CALLERS_PER_KIND):
            nursery.start_soon(
                traffic.send_repeatedly, services["hakusana"], LOOKUP, REQUEST_PAUSE_SECONDS
            )
    if "catalog" in services:
        for kind in (LISTING, ORDER):
            for _ in range(CALLERS_PER_KIND):
                nursery.start_soon(
                    traffic.send_repeatedly, services["catalog"], kind, REQUEST_PAUSE_SECONDS
                )
    for name, path in (("vastaanotto", "/glossaries/draft"), ("upload", "/sheets/design")):
        if name in services:
            for _ in range(UPLOADS):
                nursery.start_soon(
                    traffic.upload_slowly,
                    services[name],
                    path,
                    UPLOAD_PIECES,
                    UPLOAD_PAUSE_SECONDS,
                )


async def _inject_disturbances(site: Site) -> None:
    await trio.sleep(BALANCER_STOPS_AFTER_SECONDS)
    await site.stop_balancer(site.plan.balancers[0], FABRIC_DETECTS_AFTER_SECONDS)
    await trio.sleep(DRAIN_AFTER_SECONDS)
    site.drain_target(DRAINED_TARGETS[site.plan.name])
    await trio.sleep(PUBLISH_AFTER_SECONDS)
    site.publish(SECOND_REVISION)


def summarize(title: str, score: Score, verdict: Verdict) -> str:
    """Return a human-readable summary of a run."""
    lines = [
        title,
        f"  requests           {verdict.requests}",
        f"  complete answers   {verdict.whole_answers}",
        f"  wrong answers      {verdict.wrong_answers}",
        f"  broken flows       {verdict.broken_flows}",
        f"  retried            {score.repeats} (after a refusal that did not run)",
        f"  ran though refused {verdict.ran_though_refused}",
        f"  run twice          {verdict.run_twice}",
        f"  misdirected        {verdict.misdirected}",
        f"  flows opened       {score.flows_opened}",
    ]
    lines += [f"  {count:6d} x {name}" for name, count in sorted(score.outcomes.items())]
    return "\n".join(lines)
