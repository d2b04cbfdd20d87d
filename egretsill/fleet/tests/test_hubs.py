"""Tests of the selection of hubs, at several fleet sizes and while hubs fail."""

from __future__ import annotations

from collections import Counter

import pytest

from ...directory.tests.revisions import rev
from .. import HEARTBEAT_SECONDS, HUBS, Cells, HeartbeatHead, HubPlan, PeerReport, PeerTable
from .._hubs import FAILED_HUB_SECONDS, HUB_SILENT_SECONDS, MAXIMUM_CONTACTED_CELLS

SEED = 99


class Fleet:
    """Processes of some cells that exchange heartbeats step by step, without a network."""

    def __init__(self, targets: int, domains: int) -> None:
        known = {0x0A000000 + each: f"d{each % domains}" for each in range(targets)}
        self.cells = Cells(known)
        self.hosts = dict(known)
        self.peers = {host: PeerTable(host) for host in known}
        self.plans = {
            host: HubPlan(host, domain, [SEED], self.peers[host]) for host, domain in known.items()
        }
        for plan in self.plans.values():
            plan.replace_cells(self.cells)
        self.crashed: set[int] = set()
        self.now = 0.0
        self.sent: Counter[int] = Counter()

    def step(self) -> None:
        """Let every process send the heartbeats of one period."""
        self.now += HEARTBEAT_SECONDS
        for host, plan in self.plans.items():
            if host in self.crashed:
                continue
            hubs = plan.hubs(self.now)
            far = plan.far_hubs(self.now)
            own = [PeerReport(host)]
            digest = own + list(self.peers[host].reports_of(plan.subscribers(), self.now))
            for receiver in hubs:
                self._deliver(host, receiver, own, True)
            for receiver in far:
                self._deliver(host, receiver, digest, True)
            far_subscribers = plan.far_subscribers(far) if far else ()
            for receiver in (*plan.subscribers(), *far_subscribers):
                self._deliver(host, receiver, digest, False)
            plan.note_contacted((*hubs, *far), self.now)
            plan.retain_contacts((*hubs, *far))
            plan.tick(self.now)

    def _deliver(
        self, sender: int, host: int, reports: list[PeerReport], is_subscribing: bool
    ) -> None:
        self.sent[sender] += 1
        if host in self.crashed or host not in self.plans:
            return
        cell = self.plans[sender].cell
        head = HeartbeatHead(sender, 1, self.sent[sender], 1, rev(1), 0, cell, is_subscribing)
        self.peers[host].receive_reports(reports, self.now)
        self.plans[host].receive(head, self.now)

    def hubs_of(self, host: int) -> tuple[int, ...]:
        cell = self.plans[host].cell
        return tuple(each for each in self.cells.members(cell) if self.plans[each].is_hub(self.now))


def test_seeds_are_contacted_before_a_directory_is_known() -> None:
    plan = HubPlan(1, "d0", [SEED, 1], PeerTable(1))
    assert plan.hubs(0.0) == (SEED,)
    assert plan.far_hubs(0.0) == ()
    plan.replace_seeds([7])
    assert plan.hubs(0.0) == (7,)


# Guards against an agent that joins another cell than its target when it isn't told its domain.
def test_agent_without_failure_domain_is_in_its_targets_cell() -> None:
    cells = Cells({1: "d0", 2: "d0", 3: "d1", 4: "d2"})
    for host, cell in ((1, "d0/0"), (3, "d1/0"), (4, "d2/0")):
        plan = HubPlan(host, "", [SEED], PeerTable(host))
        plan.replace_cells(cells)
        assert plan.cell == cell
    balancer = HubPlan(9, "", [SEED], PeerTable(9))
    balancer.replace_cells(cells)
    assert balancer.cell in cells.names


@pytest.mark.parametrize(("targets", "domains"), [(15, 3), (110, 5), (300, 1)])
def test_heartbeats_reach_the_cell_within_a_second(targets: int, domains: int) -> None:
    fleet = Fleet(targets, domains)
    for _ in range(4):
        fleet.step()
    for host, peers in fleet.peers.items():
        cell = fleet.plans[host].cell
        others = set(fleet.cells.members(cell)) - {host}
        assert {each for each in others if peers.is_reachable(each, fleet.now)} == others


@pytest.mark.parametrize(("targets", "domains"), [(15, 3), (110, 5), (1_300, 7)])
def test_heartbeats_sent_do_not_grow_with_the_fleet(targets: int, domains: int) -> None:
    fleet = Fleet(targets, domains)
    for _ in range(8):
        fleet.step()
    fleet.sent.clear()
    for _ in range(4):
        fleet.step()
    plain = [host for host in fleet.hosts if not fleet.plans[host].is_hub(fleet.now)]
    assert max(fleet.sent[host] for host in plain) <= 4 * HUBS
    # A hub sends to its cell and to the hubs of some other cells.
    assert max(fleet.sent.values()) <= 4 * (2 * 48 + HUBS * (MAXIMUM_CONTACTED_CELLS + 10))


@pytest.mark.parametrize("count", [pytest.param(1, id="one hub"), pytest.param(2, id="both hubs")])
def test_crashed_hubs_are_replaced_within_the_silence_limit(count: int) -> None:
    fleet = Fleet(42, 3)
    for _ in range(8):
        fleet.step()
    host = next(each for each in fleet.hosts if not fleet.plans[each].is_hub(fleet.now))
    before = fleet.hubs_of(host)
    fleet.crashed.update(before[:count])
    crashed_at = fleet.now
    while fleet.now < crashed_at + HUB_SILENT_SECONDS + 2 * HEARTBEAT_SECONDS:
        fleet.step()
    chosen = fleet.plans[host].hubs(fleet.now)
    assert len(chosen) == HUBS
    assert not fleet.crashed & set(chosen)
    fleet.step()
    running = set(fleet.cells.members(fleet.plans[host].cell)) - fleet.crashed - {host}
    assert all(fleet.peers[host].is_reachable(each, fleet.now) for each in running)
    assert not any(fleet.peers[host].is_silent(each) for each in running)


def test_crashed_process_is_reported_silent_to_its_cell() -> None:
    fleet = Fleet(42, 3)
    for _ in range(8):
        fleet.step()
    victim = next(each for each in fleet.hosts if not fleet.plans[each].is_hub(fleet.now))
    fleet.crashed.add(victim)
    for _ in range(5):
        fleet.step()
    near = set(fleet.cells.members(fleet.plans[victim].cell)) - {victim}
    assert all(fleet.peers[host].is_silent(victim) for host in near)


def test_unresponsive_hub_is_retried_after_the_failure_period() -> None:
    fleet = Fleet(15, 3)
    plan = next(iter(fleet.plans.values()))
    first = tuple(plan.hubs(0.0))
    plan.note_contacted(first, 0.0)
    assert set(plan.tick(HUB_SILENT_SECONDS)) == set(first)
    assert not set(first) & set(plan.hubs(HUB_SILENT_SECONDS))
    plan.tick(HUB_SILENT_SECONDS + FAILED_HUB_SECONDS + 0.1)
    assert tuple(plan.hubs(HUB_SILENT_SECONDS + FAILED_HUB_SECONDS + 0.1)) == first


def test_scheduling_pause_does_not_fail_hubs() -> None:
    fleet = Fleet(15, 3)
    plan = next(iter(fleet.plans.values()))
    plan.note_contacted(plan.hubs(0.0), 0.0)
    plan.note_scheduling_pause(60.0)
    assert plan.tick(60.1) == []


def test_far_digest_is_forwarded_once_and_announcements_are_not() -> None:
    fleet = Fleet(42, 3)
    for _ in range(4):
        fleet.step()
    host = next(each for each in fleet.hosts if fleet.plans[each].is_hub(fleet.now))
    plan, now = fleet.plans[host], fleet.now
    far = next(name for name in fleet.cells.names if name != plan.cell)
    announcement = HeartbeatHead(1, 1, 1, 1, rev(1), 0, far)
    assert plan.forward_recipients(announcement, 1, now) == ()
    digest = announcement._replace(sequence=2)
    near = plan.forward_recipients(digest, 14, now + 0.01)
    assert set(near) == set(plan.subscribers()), "an earlier announcement must not delay it"
    assert (
        plan.forward_recipients(announcement._replace(host=2), 14, now + 0.1) == ()
    ), "from the second hub"
    assert plan.forward_recipients(digest._replace(sequence=3), 14, now + 0.6) != ()
    assert plan.forward_recipients(digest._replace(cell=plan.cell), 14, now + 2.0) == ()


def test_second_copy_of_a_forwarded_heartbeat_is_not_read() -> None:
    plan = next(iter(Fleet(42, 3).plans.values()))
    digest = HeartbeatHead(1, 1, 1, 1, rev(1), 0, "d1/0")
    assert plan.should_read_reports(digest, 1.0)
    assert not plan.should_read_reports(digest, 1.1)
    assert plan.should_read_reports(digest._replace(cell="d2/0"), 1.1)
    assert plan.should_read_reports(digest, 1.5)


# Guards against a process that keeps the name of its former cell after a failure to find the new.
def test_failed_change_of_cells_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    plan = HubPlan(1, "d0", [SEED], PeerTable(1))
    cells = Cells({1: "d0", 2: "d0"})

    def fail(*_: object) -> str:
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(Cells, "cell_of", fail)
        with pytest.raises(RuntimeError):
            plan.replace_cells(cells)
    plan.replace_cells(cells)
    assert plan.cell == "d0/0"
