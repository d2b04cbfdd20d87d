"""Tests that all processes choose the same two readers, at any size of the fleet."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from ...directory import (
    READERS,
    Changes,
    Directory,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
    reader_order,
)
from ...directory.tests.revisions import rev
from ...fleet import PeerReport, PeerTable
from .. import _reader_choice as reader_choice_module
from .._reader_choice import HEARD_SECONDS, ReaderChoice

SEEDS = (901, 902, 903)


def targets(count: int) -> list[Target]:
    ready = Target("", 0, 80, "lookup", "a", TargetPhase.READY, 1, 0.0, 1, rev(5))
    return [replace(ready, name=f"t{host}", host=host) for host in range(1, count + 1)]


def make_directory(entries: list[Target]) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), RouteTable(1, {}, 15.0), entries), 0.0)
    return directory


@pytest.mark.parametrize("count", [15, 195, 1_300])
def test_all_processes_choose_the_same_readers(count: int) -> None:
    directory = make_directory(targets(count))
    chosen = {
        tuple(ReaderChoice(host, SEEDS, directory, PeerTable(host), lambda: True).readers())
        for host in range(1, 2 * count, 7)
    }
    assert chosen == {tuple(reader_order(range(1, count + 1))[:READERS])}


def test_seeds_are_readers_before_targets_are_known() -> None:
    choice = ReaderChoice(901, SEEDS, Directory(), PeerTable(901), lambda: True)
    assert set(choice.readers()) <= set(SEEDS)
    choice.replace_seeds([7])
    assert choice.readers() == [7]


@pytest.mark.parametrize(
    "report",
    [
        pytest.param(PeerReport(0, can_read=False), id="cannot read the store"),
        pytest.param(PeerReport(0, is_leaving=True), id="leaving"),
        pytest.param(PeerReport(0, silence_milliseconds=2_000), id="silent"),
    ],
)
def test_next_in_rank_replaces_an_unusable_reader(report: PeerReport) -> None:
    order = reader_order(range(1, 16))
    peers = PeerTable(99)
    peers.receive_reports([report._replace(host=order[0])], 1.0)
    choice = ReaderChoice(99, SEEDS, make_directory(targets(15)), peers, lambda: True)
    assert choice.readers() == list(order[1:3])


def test_draining_targets_and_unable_own_process_are_not_readers() -> None:
    entries = targets(15)
    order = reader_order(range(1, 16))
    entries = [
        replace(each, phase=TargetPhase.DRAINING) if each.host == order[0] else each
        for each in entries
    ]
    own = order[1]
    choice = ReaderChoice(own, SEEDS, make_directory(entries), PeerTable(own), lambda: False)
    assert choice.readers() == list(order[2:4])


# Guards against content that nobody reads because the readers' VMs have no process of the system.
def test_vms_of_services_without_a_route_are_not_readers() -> None:
    entries = targets(15)
    foreign = [replace(each, name=f"f{each.host}", host=each.host + 50) for each in entries]
    foreign = [replace(each, service="inventory") for each in foreign]
    directory = make_directory([])
    route = Route("r", 9, 443, (ServiceShare("lookup", 1),))
    table = RouteTable(2, {(9, 443): route}, 15.0)
    directory.apply_changes(Changes(rev(21), table, (*entries, *foreign)), 1.0)
    choice = ReaderChoice(99, SEEDS, directory, PeerTable(99), lambda: True)
    assert choice.readers() == list(reader_order(range(1, 16))[:READERS])


# Guards against readers of earlier content that stay chosen after a failure to rank the new ones.
def test_failed_ranking_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    directory = make_directory(targets(5))
    choice = ReaderChoice(901, SEEDS, directory, PeerTable(901), lambda: True)
    choice.readers()
    entry = replace(targets(9)[8], revision=rev(30))
    removed = tuple(f"t{host}" for host in range(1, 6))
    directory.apply_changes(Changes(rev(30), None, (entry,), removed), 1.0)

    def fail(_: object) -> Sequence[int]:
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(reader_choice_module, "reader_order", fail)
        for _ in range(2):
            with pytest.raises(RuntimeError):
                choice.readers()
    assert choice.readers() == [9]


# Guards against content that nobody watches, since another writer's whole entries of a routed
# service name VMs on which no process of the system runs.
def test_vms_without_a_process_are_not_readers_while_others_are_heard() -> None:
    own, others = targets(5), targets(85)[5:]
    peers = PeerTable(99)
    choice = ReaderChoice(99, SEEDS, make_directory([*own, *others]), peers, lambda: True)
    for now in (30.0, 30.0 + HEARD_SECONDS):
        peers.receive_reports([PeerReport(each.host) for each in own], now)
    assert set(choice.readers()) == set(reader_order(each.host for each in own)[:READERS])


# Guards against many readers at a fleet's start, when each process has heard of a few others.
def test_process_that_has_just_started_ranks_vms_that_it_has_not_heard_of() -> None:
    peers = PeerTable(99)
    peers.receive_reports([PeerReport(host) for host in reader_order(range(1, 16))[3:]], 30.0)
    choice = ReaderChoice(99, SEEDS, make_directory(targets(15)), peers, lambda: True)
    assert choice.readers() == list(reader_order(range(1, 16))[:READERS])


# Guards against content without two readers while too few processes are heard.
@pytest.mark.parametrize("heard", [0, 1])
def test_vms_that_were_not_heard_of_are_readers_while_too_few_others_are(heard: int) -> None:
    order = reader_order(range(1, 16))
    peers = PeerTable(99)
    for now in (30.0, 30.0 + HEARD_SECONDS):
        peers.receive_reports([PeerReport(host) for host in order[4 : 4 + heard]], now)
    choice = ReaderChoice(99, SEEDS, make_directory(targets(15)), peers, lambda: True)
    assert choice.readers() == [*order[4 : 4 + heard], *order[: READERS - heard]]
