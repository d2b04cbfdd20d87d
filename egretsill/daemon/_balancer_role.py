"""What a daemon does as a balancer."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..configuration import Address, Bundle
from ..membership import MembershipView
from ..observation import JSON, Metrics
from ..settings import DaemonSettings
from ..steering import Balancer, ConnectionIdCodec, SteeringView
from ..timing import TimerService


class BalancerRole:
    """Steers callers' packets by the configuration and the view of this process.

    Raises:
        OSError: if the tunnel endpoint can't be bound.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        timer: TimerService,
        metrics: Metrics,
        is_view_fresh: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._balancer = Balancer(
            timer,
            settings.tunnel,
            ConnectionIdCodec(settings.connection_id_keys),
            self._listener,
            placement_delay_seconds=settings.flows.placement_delay_seconds,
            may_place=is_view_fresh,
        )

    @property
    def target_number(self) -> int | None:
        """Return None: a balancer has no target."""
        return None

    @property
    def backend(self) -> Address | None:
        """Return None: a balancer guards no backend server."""
        return None

    @property
    def packets(self) -> int:
        """Return how many packets of callers arrived so far."""
        return self._balancer.counters.forwarded

    @property
    def flows_open(self) -> int:
        """Return 0: a balancer keeps no flows."""
        return 0

    @property
    def requests_running(self) -> int:
        """Return 0: a balancer serves no requests."""
        return 0

    async def run(self) -> None:
        """Forward packets until cancelled."""
        await self._balancer.run()

    def close(self) -> None:
        """Close what was bound; do so if `run` is never called."""
        self._balancer.close()

    def apply_bundle(self, bundle: Bundle) -> None:
        """Steer by this configuration from now on."""
        self._balancer.apply_bundle(bundle)

    def update_view(self, view: MembershipView) -> None:
        """Place new flows by this view from now on."""
        self._balancer.update_view(
            SteeringView(draining=view.leaving, unresponsive=view.unresponsive)
        )

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Use other connection-ID keys from now on."""
        self._balancer.replace_codec(codec)

    def stop_new_work(self) -> None:
        """Do nothing: a balancer forwards until the fabric feeds it no more."""

    def resume_new_work(self) -> None:
        """Do nothing: a balancer never stopped."""

    def send_goaway(self) -> None:
        """Do nothing: flows belong to agents."""

    def close_idle_flows(self) -> None:
        """Do nothing: flows belong to agents."""

    def update_gauges(self) -> None:
        """Bring the metrics up to what the balancer has counted."""
        counters = self._balancer.counters
        metrics = self._metrics
        metrics.datagrams_forwarded.catch_up(counters.forwarded, "to-agent")
        metrics.datagrams_forwarded.catch_up(counters.replied, "to-caller")
        for reason, count in counters.drops.items():
            metrics.datagrams_dropped.catch_up(count, "balancer", reason)

    def status(self) -> Mapping[str, JSON]:
        """Return what the status page says of this role."""
        return {"silent_targets": sorted(self._balancer.silent_targets)}

    def _listener(self, service_address: Address) -> Address:
        return self._settings.listen.get(service_address, service_address)
