from __future__ import annotations

from .._configuration_content import content_reads, make_history
from .._configuration_fleet import ConfigurationFleet

SIZE = 12
LIMIT_SECONDS = 30.0


def make_fleet() -> ConfigurationFleet:
    fleet = ConfigurationFleet(SIZE, 3)
    fleet.publish(make_history(4, 1)[0])
    fleet.run(8.0)
    return fleet


def test_published_change_comes_into_force() -> None:
    fleet = make_fleet()
    assert fleet.in_force_everywhere(1)
    fleet.publish(make_history(4, 2)[1])
    assert not fleet.in_force_everywhere(2)
    assert 0.0 < fleet.run_until_in_force(2, LIMIT_SECONDS) < LIMIT_SECONDS


def test_same_seed_gives_same_run() -> None:
    runs = [make_fleet() for _ in range(2)]
    assert runs[0].bytes_sent == runs[1].bytes_sent > 0
    assert runs[0].platform.reads == runs[1].platform.reads


def test_unreachable_platform_leaves_configuration_out_of_force() -> None:
    fleet = ConfigurationFleet(SIZE, 3)
    fleet.platform.down = True
    fleet.publish(make_history(4, 1)[0])
    assert fleet.run_until_in_force(1, LIMIT_SECONDS) >= LIMIT_SECONDS
    assert sum(fleet.platform.reads.values()) > 0


def test_lower_revision_counts_as_backwards() -> None:
    fleet = make_fleet()
    process = fleet.processes[0]
    fleet._note_in_force(process, 1)
    assert fleet.backwards == 1


def test_content_reads_by_known_publication() -> None:
    history = make_history(40, 3)
    head = history[2].head
    assert content_reads(history[2], None) == head.index_parts + head.pages
    assert content_reads(history[2], history[1]) == 1
    assert content_reads(history[2], history[0]) == 2
