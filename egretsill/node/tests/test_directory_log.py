"""Tests of the log lines about the content in force."""

from __future__ import annotations

from dataclasses import replace

from ...directory import Directory, Route, RouteTable, ServiceShare, Snapshot, Target, TargetPhase
from ...directory.tests.revisions import rev
from ...observation import Metrics
from .._directory_log import DirectoryLog
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
