"""The task that reads the store according to the plan and merges the results."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import trio

from ..directory import (
    NO_REVISION,
    Directory,
    HistoryLost,
    Pause,
    ReadAll,
    ReadPlan,
    Store,
    StoreFailure,
    StoreUnavailable,
    UnusableEntry,
    WatchChanges,
    describe_entries,
)
from ..observation import Journal, Metrics
from ..supervision import Part, Supervisor
from ..timing import TimerService

FAILURE_PAUSE_SECONDS = 0.2  # after a step that failed unexpectedly
FIRST_FETCH_SECONDS = 0.4  # a peer's content over a slow link, with a thousand routes
YIELD_POLL_SECONDS = 0.02  # how soon it is noticed that the content has come
STORE_SOURCE = "store"  # source of a change that this process read from the store itself


class StoreReading:
    """Keeps the directory up to date from the store.

    Args:
        readers: returns the processes that hold a watch.
        on_change: called after content in force changed.
        on_response: called after each usable response of the store.
    """

    def __init__(
        self,
        store: Store,
        plan: ReadPlan,
        directory: Directory,
        readers: Callable[[], Sequence[int]],
        timer: TimerService,
        metrics: Metrics,
        journal: Journal,
        supervisor: Supervisor,
        on_change: Callable[[str], None],
        on_response: Callable[[], None],
    ) -> None:
        self._store = store
        self._plan = plan
        self._directory = directory
        self._readers = readers
        self._timer = timer
        self._metrics = metrics
        self._journal = journal
        self._supervisor = supervisor
        self._on_change = on_change
        self._on_response = on_response
        self._watched_revision = NO_REVISION
        self._is_reachable = True
        self._first_read: trio.CancelScope | None = None
        self._yields_until: float | None = None

    def yield_to_first_fetch(self) -> None:
        """End a read that began without content, and wait for that of a peer for a while, once.

        A peer's content is a quarter of the store's. Both together would share the link, and use
        the processor while callers wait for their first packet.
        """
        if self._yields_until is None:
            self._yields_until = self._timer.now + FIRST_FETCH_SECONDS
            if self._first_read is not None:
                self._first_read.cancel()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                await self._do_next_step()
            except Exception as error:
                self._supervisor.note_failure(Part.STORE_READING, error)
                # What was merged is unknown, so everything is read again.
                self._plan.note_failure(self._timer.now)
                with self._supervisor.contain(Part.STORE_READING):
                    self._note_failure(
                        StoreUnavailable(StoreFailure.UNEXPECTED, type(error).__name__)
                    )
                await trio.sleep(FAILURE_PAUSE_SECONDS)

    async def close(self) -> None:
        """Close the connections to the store."""
        with trio.CancelScope(shield=True), self._supervisor.contain(Part.STORE_READING):
            await self._store.close()

    async def _do_next_step(self) -> None:
        now = self._timer.now
        directory = self._directory
        if directory.needs_complete_read(now):
            self._plan.require_complete_read()
        if not directory.has_content and now < (self._yields_until or 0.0):
            await trio.sleep(YIELD_POLL_SECONDS)
            return
        step = self._plan.next_step(
            now, directory.confirmed_at, directory.has_content, self._readers()
        )
        if isinstance(step, Pause):
            await trio.sleep(step.seconds)
            return
        self._plan.note_attempt(now)
        try:
            match step:
                case ReadAll(timeout_seconds):
                    if not await self._read(timeout_seconds):
                        return
                case WatchChanges(wait_seconds, timeout_seconds):
                    await self._watch(wait_seconds, timeout_seconds)
        except StoreUnavailable as error:
            if error.failure is StoreFailure.TIMED_OUT:
                self._plan.note_timeout(self._timer.now)
            else:
                self._plan.note_failure(self._timer.now)
            self._note_failure(error)
        except HistoryLost as error:
            self._plan.require_complete_read()
            self._journal.record("store-history-lost", after=str(error.after), era=error.era)
        else:
            self._note_success()
            with self._supervisor.contain(Part.STORE_READING):
                self._on_response()

    async def _read(self, timeout_seconds: float) -> bool:
        """Read everything; return whether the read was not abandoned."""
        requested_at = self._timer.now
        with trio.CancelScope() as scope:
            self._first_read = None if self._directory.has_content else scope
            try:
                snapshot = await self._store.read(timeout_seconds)
            finally:
                self._first_read = None
        if scope.cancelled_caught:
            await self._store.close()  # the rest of the response is still on its way
            return False
        known = self._directory.content_revision
        if snapshot.at.era < known.era:
            raise StoreUnavailable(StoreFailure.OUTDATED, f"{snapshot.at} before {known}")
        self._plan.note_read()
        self._watched_revision = snapshot.at
        self._note_unusable(snapshot.unusable)
        # The first page may be as old as the request.
        if self._directory.apply_snapshot(snapshot, self._timer.now, requested_at):
            self._note_change()
        return True

    async def _watch(self, wait_seconds: float, timeout_seconds: float) -> None:
        requested_at = self._timer.now
        changes = await self._store.watch(self._watched_revision, wait_seconds, timeout_seconds)
        self._watched_revision = max(self._watched_revision, changes.at)
        self._note_unusable(changes.unusable)
        now = self._timer.now
        # Nothing changed until the store stopped waiting; the response may have arrived later.
        confirmed_at = min(now, requested_at + wait_seconds) if changes.is_empty else now
        if self._directory.apply_changes(changes, now, confirmed_at):
            self._note_change()

    def _note_change(self) -> None:
        # The content is in force already, so a failure here is none of the read.
        with self._supervisor.contain(Part.STORE_READING):
            self._on_change(STORE_SOURCE)

    def _note_unusable(self, entries: Sequence[UnusableEntry]) -> None:
        if entries:
            self._metrics.configuration_ignored.increment("unreadable", amount=len(entries))
            self._journal.record(
                "store-entries-unreadable", count=len(entries), entries=describe_entries(entries)
            )

    def _note_failure(self, error: StoreUnavailable) -> None:
        self._metrics.platform_reads.increment("failed")
        if self._is_reachable:
            self._is_reachable = False
            self._journal.record(
                "store-lost",
                failure=error.failure.value,
                detail=error.detail,
                content_age=round(self._timer.now - self._directory.confirmed_at, 3),
                revision=str(self._directory.content_revision),
            )

    def _note_success(self) -> None:
        self._metrics.platform_reads.increment("answered")
        if not self._is_reachable:
            self._is_reachable = True
            self._journal.record("store-regained", revision=str(self._directory.content_revision))
