"""Tests of the log lines about the content in force."""

from __future__ import annotations

from dataclasses import replace

from ...directory import (
    Changes,
    Directory,
    Evacuation,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
    TargetPlace,
)
from ...directory.tests.revisions import rev
from ...observation import Metrics
from .._directory_log import DirectoryLog, evacuation_status
from .test_decision_log import RecordingJournal

OWN = Target("own", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, rev(11))
FOREIGN = replace(OWN, name="foreign", service="inventory", revision=rev(12))


# Guards against entries of services without a route that no log line tells of.
def test_entries_without_a_route_are_counted() -> None:
    directory, journal = Directory(), RecordingJournal()
    route = Route("r", 9, 443, (ServiceShare("lookup", 1),))
    table = RouteTable(7, {(9, 443): route}, 15.0)
    directory.apply_snapshot(Snapshot(rev(20), table, (OWN, FOREIGN)), 0.0)
    DirectoryLog(directory, Metrics(), journal).note_change("store")
    ((kind, fields),) = journal.lines
    assert kind == "content-changed"
    assert (fields["targets"], fields["unrouted"]) == (2, 1)


def lines_of_changes(directory: Directory) -> list[tuple[object, ...]]:
    journal = RecordingJournal()
    DirectoryLog(directory, Metrics(), journal).note_target_changes()
    return [(each["change"], each["target"], each["by"]) for _, each in journal.lines]


# Guards against a target that gets new flows, or none, without a line that says by which entry.
def test_decisions_about_entries_are_logged() -> None:
    directory, other = Directory(), replace(OWN, name="other", revision=rev(21))
    drained = replace(OWN, phase=TargetPhase.DRAINING, revision=rev(23))
    directory.apply_snapshot(Snapshot(rev(20), None, (OWN,)), 0.0)
    assert lines_of_changes(directory) == [], "first content has no line for each target"
    directory.apply_changes(Changes(rev(21), changed=(other,)), 1.0)
    assert lines_of_changes(directory) == [
        ("known", "other", ""),
        ("ready", "other", ""),
        ("superseded", "other", "own"),
    ]
    directory.apply_changes(Changes(rev(22), changed=(replace(other, port=81),)), 2.0)
    directory.apply_changes(Changes(rev(23), changed=(drained,)), 2.0)
    assert ("draining", "own", "") in lines_of_changes(directory)
    directory.apply_changes(Changes(rev(24), changed=(replace(OWN, revision=rev(24)),)), 3.0)
    assert lines_of_changes(directory) == [("ready", "own", ""), ("drained", "own", "own")]
    directory.apply_changes(Changes(rev(25), removed=("other",)), 4.0)
    assert lines_of_changes(directory)[0] == ("departed", "other", "")


# Guards against a flow at an agent without a line that says why its target took new flows then.
def test_first_entry_of_an_agents_own_target_is_logged() -> None:
    directory = Directory(60.0, TargetPlace(OWN.host, OWN.port, OWN.service))
    elsewhere = replace(OWN, name="elsewhere", host=2)
    directory.apply_snapshot(Snapshot(rev(20), None, (OWN, elsewhere)), 0.0)
    assert lines_of_changes(directory) == [("known", "own", ""), ("ready", "own", "")]


# Guards against memory and log volume that grow with the changes between two log lines.
def test_changes_that_wait_to_be_logged_are_bounded() -> None:
    directory, journal = Directory(), RecordingJournal()
    directory.apply_snapshot(Snapshot(rev(20), None, (OWN,)), 0.0)
    written = [replace(OWN, name=f"t{each}", host=each, revision=rev(21)) for each in range(2, 200)]
    directory.apply_changes(Changes(rev(21), changed=written), 1.0)
    DirectoryLog(directory, Metrics(), journal).note_target_changes()
    assert journal.lines[-1] == ("target-changes-omitted", {"count": 2 * len(written) - 64})


# Guards against an evacuation of which no line says what it leaves unserved, or when it ended.
def test_evacuations_are_logged_at_order_and_at_taking_back() -> None:
    directory, journal, metrics = Directory(), RecordingJournal(), Metrics()
    elsewhere = replace(OWN, name="elsewhere", host=2, failure_domain="b")
    route = Route("r", 9, 443, (ServiceShare("lookup", 1), ServiceShare("intake", 1)))
    table = RouteTable(7, {(9, 443): route}, 15.0)
    intake = replace(FOREIGN, service="intake")
    directory.apply_snapshot(Snapshot(rev(20), table, (OWN, intake, elsewhere)), 0.0)
    log = DirectoryLog(directory, metrics, journal)
    directory.apply_changes(Changes(rev(21), evacuations=(Evacuation("a", rev(21)),)), 1.0)
    for _ in range(2):
        log.note_evacuations("store")
    ((kind, fields),) = journal.lines
    assert (kind, fields["domain"], fields["ordered_at"]) == ("domain-evacuated", "a", "1:21")
    assert (fields["targets"], fields["unserved"]) == (2, "intake")
    assert metrics.domains_evacuated.value() == 1
    (status,) = evacuation_status(directory, 3.5)
    assert status == {"domain": "a", "revision": "1:21", "known_for": 2.5, "awaited": False}
    directory.apply_changes(Changes(rev(22), restored=("a",)), 4.0)
    log.note_evacuations("10.0.0.1")
    kind, fields = journal.lines[-1]
    assert (kind, fields["domain"], fields["source"]) == ("domain-restored", "a", "10.0.0.1")
    assert metrics.domains_evacuated.value() == 0
    assert evacuation_status(directory, 4.0) == []
