"""Construction of a daemon's configuration service from its settings, and its metrics."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from ..configuration import (
    ConfigurationService,
    DistributionTimes,
    Peer,
    PlatformClient,
    SendAnnouncement,
)
from ..observation import Metrics
from ..settings import DaemonSettings
from ..supervision import Supervisor
from ..timing import TimerService
from ._configuration_link import fetch_configuration


def make_configuration_service(
    settings: DaemonSettings,
    timer: TimerService,
    random: Random,
    peers: Callable[[], Sequence[Peer]],
    send: SendAnnouncement,
    supervisor: Supervisor,
) -> ConfigurationService:
    """Return the configuration service of a daemon; see `ConfigurationService`."""
    exchange = settings.exchange
    return ConfigurationService(
        name=settings.name,
        failure_domain=settings.failure_domain,
        relay=settings.relay,
        platform=_make_platform_client(settings),
        vm_platform=_make_platform_client(settings),
        timer=timer,
        random=random,
        peers=peers,
        send=send,
        fetch=fetch_configuration,
        supervisor=supervisor,
        seeds=settings.seeds,
        times=DistributionTimes(
            period=exchange.period_seconds,
            fetch=exchange.fetch_seconds,
            start=exchange.start_seconds,
            start_spread=exchange.start_spread_seconds,
            silence=exchange.silence_seconds,
            watch=settings.platform.watch_seconds,
            vm_list=settings.membership.vm_list_seconds,
        ),
    )


def update_configuration_metrics(service: ConfigurationService, metrics: Metrics) -> None:
    """Update the metrics from the counters of the configuration service."""
    counters = service.counters
    reads = metrics.platform_reads
    reads.raise_to(counters.platform_reads - counters.platform_failures, "answered")
    reads.raise_to(counters.platform_failures, "failed")
    ignored = metrics.configuration_ignored
    ignored.raise_to(service.older_ignored, "older")
    ignored.raise_to(counters.torn, "torn")
    ignored.raise_to(counters.malformed, "invalid")


def _make_platform_client(settings: DaemonSettings) -> PlatformClient:
    platform = settings.platform
    return PlatformClient(platform.addresses, platform.read_seconds)
