from .. import SourceLimit
from .._source_limit import MAXIMUM_SOURCES


def test_flood_of_one_source_does_not_limit_others() -> None:
    limit = SourceLimit(10)
    assert [limit.admits("a", 0.5) for _ in range(12)] == [True] * 10 + [False] * 2
    assert limit.admits("b", 0.5)


def test_count_restarts_each_window() -> None:
    limit = SourceLimit(1)
    assert [limit.admits("a", now) for now in (0.0, 0.9, 1.0, 1.1)] == [True, False, True, False]


def test_memory_is_bounded() -> None:
    limit = SourceLimit(1)
    admitted = sum(limit.admits(str(source), 0.0) for source in range(MAXIMUM_SOURCES + 100))
    assert admitted == MAXIMUM_SOURCES + 1
    assert len(limit._counts) <= MAXIMUM_SOURCES + 1
