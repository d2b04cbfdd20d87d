"""Fetching of content from peers that have newer content."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..directory import NO_REVISION, Directory, StoreRevision
from ..endpoints import format_ipv4
from ..observation import Journal
from ..supervision import Part, Supervisor
from ._content_exchange import ContentExchange, PeerContentUnavailable

PUSH_GRACE_SECONDS = 0.15  # wait for pushed changes, which are sent along with the announcement
RETRY_SECONDS = 0.1  # before content is requested from the next peer
MAXIMUM_SOURCES = 8  # number of peers with newer content that are kept


@dataclass(frozen=True, slots=True, order=True)
class _Offer:
    """Content that a peer is known to have or to get soon.

    Attributes:
        revision: store revision of the content.
        version: configuration version in force with it.
    """

    revision: StoreRevision
    version: int


class ContentFetching:
    """Fetches content from the peers that are known to have newer content.

    Args:
        on_change: called after content in force changed, with the peer's address.
        on_first_fetch: called before content is fetched while there is none.
    """

    def __init__(
        self,
        directory: Directory,
        exchange: ContentExchange,
        journal: Journal,
        supervisor: Supervisor,
        on_change: Callable[[str], None],
        on_first_fetch: Callable[[], None] = lambda: None,
    ) -> None:
        self._directory = directory
        self._exchange = exchange
        self._journal = journal
        self._supervisor = supervisor
        self._on_change = on_change
        self._on_first_fetch = on_first_fetch
        self._sources: dict[int, _Offer] = {}
        self._newer_content_known = trio.Event()

    def note_offer(self, source: int, revision: StoreRevision, version: int) -> None:
        """Record that a peer has, or will soon have, content that this process lacks."""
        if source in self._sources or len(self._sources) < MAXIMUM_SOURCES:
            known = self._sources.get(source, _Offer(NO_REVISION, 0))
            self._sources[source] = _Offer(
                max(revision, known.revision), max(version, known.version)
            )
        self._newer_content_known.set()

    async def run(self) -> None:
        """Fetch content until cancelled."""
        while True:
            await self._newer_content_known.wait()
            if self._directory.has_content:
                await trio.sleep(PUSH_GRACE_SECONDS)
            self._newer_content_known = trio.Event()
            sources, self._sources = self._sources, {}
            with self._supervisor.contain(Part.CONTENT_FETCHING):
                await self._fetch_newest(sources)

    async def _fetch_newest(self, sources: dict[int, _Offer]) -> None:
        """Fetch content from the peers with newer content, one by one, the newest first."""
        for source in sorted(sources, key=sources.__getitem__, reverse=True):
            if not self._directory.lacks(sources[source].revision, sources[source].version):
                continue
            host = format_ipv4(source)
            if not self._directory.has_content:
                self._on_first_fetch()
            try:
                changed = await self._exchange.fetch(host)
            except PeerContentUnavailable as error:
                self._journal.record("content-unavailable", peer=host, reason=error.reason)
                await trio.sleep(RETRY_SECONDS)
                continue
            except Exception as error:  # Content that one peer has may be the cause.
                self._supervisor.note_failure(Part.CONTENT_FETCHING, error)
                await trio.sleep(RETRY_SECONDS)
                continue
            if changed:
                with self._supervisor.contain(Part.CONTENT_FETCHING):
                    self._on_change(host)
