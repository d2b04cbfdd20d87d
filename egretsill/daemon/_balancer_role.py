"""The balancer role of a daemon."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..configuration import Address, Bundle
from ..membership import MembershipView
from ..observation import JSON, Metrics
from ..settings import DaemonSettings
from ..steering import Balancer, ConnectionIdCodec, SteeringView
from ..supervision import Supervisor
from ..timing import TimerService


class BalancerRole:
    """Steers callers' packets by the configuration and the membership view.

    Raises:
        OSError: if the tunnel endpoint can't be bound.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        timer: TimerService,
        metrics: Metrics,
        is_view_fresh: Callable[[], bool],
        supervisor: Supervisor,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._balancer = Balancer(
            timer,
            settings.tunnel,
            ConnectionIdCodec(settings.connection_id_keys),
            supervisor,
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
        """Return None: a balancer has no backend server."""
        return None

    @property
    def packets(self) -> int:
        """Return the number of packets received from callers."""
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
        """Close the tunnel endpoint; needed if `run` is never called."""
        self._balancer.close()

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply a new configuration revision."""
        self._balancer.apply_bundle(bundle)

    def update_view(self, view: MembershipView) -> None:
        """Apply a new membership view to the placement of new flows."""
        self._balancer.update_view(
            SteeringView(draining=view.leaving, unresponsive=view.unresponsive)
        )

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Use new connection-ID keys."""
        self._balancer.replace_codec(codec)

    def stop_new_work(self) -> None:
        """Do nothing: a balancer forwards until the fabric sends it no more packets."""

    def resume_new_work(self) -> None:
        """Do nothing: a balancer never stops forwarding."""

    def send_goaway(self) -> None:
        """Do nothing: flows belong to agents."""

    def close_idle_flows(self) -> None:
        """Do nothing: flows belong to agents."""

    def update_gauges(self) -> None:
        """Update the metrics from the counters of the balancer."""
        counters = self._balancer.counters
        metrics = self._metrics
        metrics.datagrams_forwarded.raise_to(counters.forwarded, "to-agent")
        metrics.datagrams_forwarded.raise_to(counters.replied, "to-caller")
        for reason, count in counters.drops.items():
            metrics.datagrams_dropped.raise_to(count, "balancer", reason)

    def status(self) -> Mapping[str, JSON]:
        """Return the entries of the status page for this role."""
        return {"silent_targets": sorted(self._balancer.silent_targets)}

    def _listener(self, service_address: Address) -> Address:
        return self._settings.listen.get(service_address, service_address)
