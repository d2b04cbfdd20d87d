"""Requests for and offers of capacity between the agents of a service.

An agent whose target has no capacity left keeps SYN packets and asks the other candidates of their
flows for capacity. The first that has some offers it, and gets a SYN packet. A flow is so bound to
a target only when one can serve it, whatever was known when the packet arrived (late binding;
Ousterhout and others, "Sparrow: distributed, low latency scheduling", SOSP 2013).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ._decisions import OfferCapacity
from ._service_order import Urgency
from ._tunnel import CapacityOffer, CapacityRequest

REQUEST_INTERVAL_SECONDS = 0.05  # between requests to the same agent
REQUEST_LIFETIME_SECONDS = 0.08  # the next request has arrived by then if more SYN packets wait
RESERVATION_SECONDS = 0.03  # a round trip between failure domains, and the wake-up of a process
MAXIMUM_ASKERS = 64  # agents whose requests are kept


class CapacityExchange:
    """Requests that an agent sent and received, and capacity that it has offered.

    Args:
        host: IPv4 address of the agent, as a number.
        service_hash: hash of the name of its target's service.
    """

    def __init__(self, host: int, service_hash: int) -> None:
        self._host = host
        self._service_hash = service_hash
        self._requested_at: dict[int, float] = {}
        self._askers: dict[int, tuple[CapacityRequest, float]] = {}
        self._reservations: dict[int, list[float]] = {}

    @property
    def has_askers(self) -> bool:
        """Return whether other agents asked for capacity lately."""
        return bool(self._askers)

    def due_requests(self, hosts: Iterable[int], now: float) -> Sequence[int]:
        """Return the agents to which a request is due, and record it as sent."""
        due = []
        for host in hosts:
            if now - self._requested_at.get(host, float("-inf")) >= REQUEST_INTERVAL_SECONDS:
                self._requested_at[host] = now
                due.append(host)
        return due

    def record_request(self, request: CapacityRequest, now: float) -> None:
        """Record another agent's request; one for another service is ignored."""
        if request.service_hash != self._service_hash or not request.waiting:
            return
        if request.asker in self._askers or len(self._askers) < MAXIMUM_ASKERS:
            self._askers[request.asker] = (request, now)

    def reserved(self, now: float) -> int:
        """Return the number of requests for which capacity is reserved by offers."""
        for host, ends in tuple(self._reservations.items()):
            kept = [each for each in ends if each > now]
            if kept:
                self._reservations[host] = kept
            else:
                del self._reservations[host]
        return sum(len(ends) for ends in self._reservations.values())

    def use_reservation(self, host: int, now: float) -> bool:
        """Release the reservation of an agent whose SYN packet has come; return if it was valid."""
        ends = self._reservations.get(host)
        if not ends:
            return False
        return ends.pop() > now

    def most_urgent(self, now: float) -> Urgency | None:
        """Return the urgency of the most urgent requests elsewhere, None if nobody asks."""
        for asker, (_, asked_at) in tuple(self._askers.items()):
            if now - asked_at > REQUEST_LIFETIME_SECONDS:
                del self._askers[asker]
        return min((request.urgency for request, _ in self._askers.values()), default=None)

    def make_offers(self, room: int, urgency: Urgency, now: float) -> Sequence[OfferCapacity]:
        """Return offers to those who asked, the earliest first, and reserve what they offer.

        Args:
            room: number of requests that the target can accept now.
            urgency: only those who asked for requests of this urgency get offers.
            now: local time.
        """
        offers = []
        for asker, (request, _) in tuple(self._askers.items()):
            if room <= 0:
                break
            if request.urgency != urgency:
                continue
            count = min(room, request.waiting)
            room -= count
            del self._askers[asker]
            self._reservations.setdefault(asker, []).extend([now + RESERVATION_SECONDS] * count)
            offer = CapacityOffer(self._host, self._service_hash, count)
            offers.append(OfferCapacity(asker, offer))
        return offers

    def sweep(self, now: float) -> None:
        """Remove the records of requests that were sent or received too long ago."""
        for asker, (_, asked_at) in tuple(self._askers.items()):
            if now - asked_at > REQUEST_LIFETIME_SECONDS:
                del self._askers[asker]
        for host, sent_at in tuple(self._requested_at.items()):
            if now - sent_at > REQUEST_INTERVAL_SECONDS:
                del self._requested_at[host]
