"""Tests of the time as of which content counts as confirmed by the store."""

from __future__ import annotations

from collections.abc import Sequence

import eliot
import pytest
import trio
import trio.testing

from ...directory import (
    Changes,
    Directory,
    HistoryLost,
    ReadPlan,
    RouteTable,
    Snapshot,
    Store,
    StoreRevision,
    UnusableEntry,
)
from ...directory.tests.revisions import rev
from ...observation import Journal, Metrics
from ...supervision import PropagatingSupervisor
from ...supervision.tests.faults import Fault
from ...supervision.tests.supervisors import RecordingSupervisor
from ...timing import VirtualTimerService
from .._store_reading import FAILURE_PAUSE_SECONDS, FIRST_FETCH_SECONDS, StoreReading

HOST = 0x0A020001
TABLE, NEWER_TABLE = RouteTable(1, {}, 15.0), RouteTable(2, {}, 15.0)


class SlowStore:
    """A store whose responses arrive some time after it looked up their content.

    A read looks at once, a watch after it has waited.

    Args:
        timer: advanced by the time that responses take.
        delay_seconds: time between lookup and arrival of the response.
    """

    def __init__(self, timer: VirtualTimerService, delay_seconds: float) -> None:
        self._timer = timer
        self._delay_seconds = delay_seconds
        self.lookup_at = 0.0

    async def read(self, timeout_seconds: float) -> Snapshot:
        self.lookup_at = self._timer.now
        self._timer.advance(self._delay_seconds)
        return Snapshot(rev(10), TABLE, ())

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        self._timer.advance(wait_seconds)
        self.lookup_at = self._timer.now
        self._timer.advance(self._delay_seconds)
        return Changes(after)

    async def close(self) -> None:
        """Nothing is open."""


def make_reading(
    store: Store,
    plan: ReadPlan,
    directory: Directory,
    timer: VirtualTimerService,
    metrics: Metrics,
    journal: Journal | None = None,
) -> StoreReading:
    return StoreReading(
        store,
        plan,
        directory,
        lambda: (HOST,),
        timer,
        metrics,
        journal or Journal("reader", lambda: timer.now, lambda: timer.now),
        PropagatingSupervisor(),
        lambda _: None,
        lambda: None,
    )


@pytest.mark.parametrize("delay", [0.004, 0.24, 0.6])
def test_content_is_confirmed_as_of_the_store_lookup(
    delay: float,
) -> None:
    """Guards against late responses of a slow store that make old content look new."""
    timer = VirtualTimerService()
    directory = Directory()
    plan = ReadPlan(HOST, is_first_start=False)
    store = SlowStore(timer, delay)
    reading = make_reading(store, plan, directory, timer, Metrics())
    for _ in range(3):
        trio.run(reading._do_next_step)
        assert directory.confirmed_at == pytest.approx(store.lookup_at)


class StoreOverSlowLink(SlowStore):
    """A store whose response takes longer than anybody waits."""

    is_closed = False
    reads = 0

    async def read(self, timeout_seconds: float) -> Snapshot:
        self.reads += 1
        await trio.sleep_forever()
        raise AssertionError

    async def close(self) -> None:
        self.is_closed = True


@pytest.mark.parametrize("has_content", [False, True], ids=["first read", "later read"])
def test_first_read_yields_to_the_content_of_a_peer(has_content: bool) -> None:
    """Guards against a response that takes the link and processor when callers come back."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reading._do_next_step)
            await trio.testing.wait_all_tasks_blocked()
            reading.yield_to_first_fetch()
            await trio.testing.wait_all_tasks_blocked()
            assert store.is_closed is not has_content
            nursery.cancel_scope.cancel()
        assert store.reads == 1
        if not has_content:
            await reading._do_next_step()
            assert store.reads == 1, "the peer's content is awaited"
            timer.advance(1.01 * FIRST_FETCH_SECONDS)
            reading.yield_to_first_fetch()
            with trio.move_on_after(0.01):
                await reading._do_next_step()
            assert store.reads == 2, "it is awaited once"

    timer = VirtualTimerService()
    directory = Directory()
    if has_content:
        directory.apply_snapshot(Snapshot(rev(10), TABLE, ()), timer.now)
    store = StoreOverSlowLink(timer, 0.0)
    reading = make_reading(store, ReadPlan(HOST, False), directory, timer, Metrics())
    trio.run(main)


class ScriptedStore:
    """A store that gives one prepared snapshot after the other; watches change nothing."""

    def __init__(self, *revisions: StoreRevision) -> None:
        self._revisions = list(revisions)

    async def read(self, timeout_seconds: float) -> Snapshot:
        return Snapshot(self._revisions.pop(0), TABLE, ())

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        raise HistoryLost(after, after.era)

    async def close(self) -> None:
        """Nothing is open."""


# Guards against content of an earlier era, or of an unstated one, once a later era is known.
@pytest.mark.parametrize("late", [rev(50, era=1), rev(50, era=0)], ids=["earlier", "unstated"])
def test_answer_of_an_earlier_era_is_a_typed_failure(late: StoreRevision) -> None:
    timer = VirtualTimerService()
    directory = Directory()
    metrics = Metrics()
    plan = ReadPlan(HOST, is_first_start=False)
    store = ScriptedStore(rev(10, era=2), late)
    reading = make_reading(store, plan, directory, timer, metrics)
    for _ in range(3):
        trio.run(reading._do_next_step)
    assert directory.content_revision == rev(10, era=2)
    assert not plan.can_read(timer.now)
    assert metrics.platform_reads.value("failed") == 1


class ForeignEntries(ScriptedStore):
    """A store with entries of another writer."""

    def __init__(self, unusable: Sequence[UnusableEntry]) -> None:
        super().__init__()
        self._unusable = unusable

    async def read(self, timeout_seconds: float) -> Snapshot:
        return Snapshot(rev(10), TABLE, (), self._unusable)

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        return Changes(rev(11), unusable=self._unusable)


# Guards against entries of another writer that are only counted, so that nobody finds the writer.
def test_entries_that_were_passed_over_are_counted_and_named() -> None:
    timer = VirtualTimerService()
    metrics = Metrics()
    journal = Journal("reader", lambda: timer.now, lambda: timer.now)
    store = ForeignEntries([UnusableEntry("servers/a\ud83d", "key"), UnusableEntry("b", "zone")])
    reading = make_reading(
        store, ReadPlan(HOST, is_first_start=False), Directory(), timer, metrics, journal
    )
    logged: list[dict[str, object]] = []
    destination = logged.append
    eliot.add_destinations(destination)
    try:
        for _ in range(2):
            trio.run(reading._do_next_step)
        journal.flush()
    finally:
        eliot.remove_destination(destination)
    lines = [e for e in logged if e["message_type"] == "egretsill:store-entries-unreadable"]
    described = "servers/a\\ud83d: key; b: zone"
    assert [(each["count"], each["entries"]) for each in lines] == [(2, described)] * 2
    assert metrics.configuration_ignored.value("unreadable") == 4


class BrokenStore:
    """A store whose client fails with an exception that nothing expects."""

    async def read(self, timeout_seconds: float) -> Snapshot:
        raise KeyError("unexpected")

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        raise KeyError("unexpected")

    async def close(self) -> None:
        raise KeyError("unexpected")


# Guards against a failure that persists and takes all of the process's time.
@pytest.mark.parametrize("step", ["store", "plan"])
def test_persistent_failure_is_repeated_at_a_limited_rate(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> object:
        raise KeyError("unexpected")

    async def main() -> None:
        with trio.move_on_after(10.0):
            await reading.run()
        # The first failure is at once, and the last one may be just at the end.
        assert 2 <= len(supervisor.failures) <= 10.0 / FAILURE_PAUSE_SECONDS + 1
        await reading.close()

    timer = VirtualTimerService()
    monkeypatch.setattr(timer, "_read_clock", trio.current_time)
    plan = ReadPlan(HOST, is_first_start=False)
    if step == "plan":
        monkeypatch.setattr(ReadPlan, "next_step", fail)
    reading = make_reading(BrokenStore(), plan, Directory(), timer, Metrics())
    reading._supervisor = supervisor = RecordingSupervisor()
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert set(supervisor.names) == {("store-reading", "KeyError")}


class ChangingStore:
    """A store whose route table is replaced after the first read; it counts the reads."""

    def __init__(self) -> None:
        self.reads = 0

    async def read(self, timeout_seconds: float) -> Snapshot:
        self.reads += 1
        return Snapshot(rev(9 + self.reads), TABLE if self.reads == 1 else NEWER_TABLE, ())

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        if after < rev(11):
            return Changes(rev(11), NEWER_TABLE)
        await trio.sleep(wait_seconds)
        return Changes(after)

    async def close(self) -> None:
        """Nothing is open."""


# Guards against a change of content that is lost for good since its merge failed once, and against
# a failed read that isn't counted or logged as one.
def test_change_whose_merge_failed_is_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        with trio.move_on_after(3.0):
            await reading.run()

    timer = VirtualTimerService()
    monkeypatch.setattr(timer, "_read_clock", trio.current_time)
    fault = Fault(monkeypatch, Directory, "apply_changes")
    fault.remaining = 1
    store, directory, metrics = ChangingStore(), Directory(), Metrics()
    journal = Journal("reader", lambda: timer.now, lambda: timer.now)
    plan = ReadPlan(HOST, is_first_start=False)
    reading = make_reading(store, plan, directory, timer, metrics, journal)
    reading._supervisor = supervisor = RecordingSupervisor()
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert supervisor.names == [("store-reading", "UnexpectedError")]
    assert metrics.platform_reads.value("failed") == 1
    lost, regained = journal._waiting
    assert (lost.kind, regained.kind) == ("store-lost", "store-regained")
    assert (lost.fields["failure"], lost.fields["detail"]) == ("unexpected", "UnexpectedError")
    assert store.reads == 2
    assert directory.content_revision == rev(11)
