"""Exchange of directory content over TCP, with one request and one response per connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from ..directory import (
    DIRECTORY_TYPES,
    ContentRequest,
    ContentResponse,
    ContentUpdate,
    Directory,
    DirectoryMessage,
    MalformedContent,
    StoreRevision,
    UnusableEntry,
    pack_changes,
    pack_evacuations,
    pack_revision,
    pack_table,
    pack_targets,
    unpack_age,
    unpack_changes,
    unpack_evacuations,
    unpack_request,
    unpack_revision,
    unpack_table,
    unpack_targets,
)
from ..supervision import Connections, Part, Supervisor
from ..timing import TimerService
from ..wire import (
    Address,
    Codec,
    MalformedMessage,
    StreamDecoder,
    StreamServer,
)

EXCHANGE_SECONDS = 0.6  # three round trips between failure domains, with a busy peer
READ_BYTES = 65_536
MAXIMUM_CONNECTIONS = 64  # requests served at once; further requesters use another peer
MAXIMUM_PUSHED = 16  # entries and evacuations, or routes; more than fit in a datagram
MAXIMUM_PUSH_BYTES = 1_200  # the same limit as for a packet of a flow
LONGEST_AGE_SECONDS = 1e6
MILLISECONDS = 1000


class PeerContentUnavailable(Exception):
    """A peer's content could not be fetched.

    Attributes:
        host: the peer's address.
        reason: the cause in a few words.
    """

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(f"content of peer {host} is unavailable: {reason}")
        self.host = host
        self.reason = reason


class ContentExchange:
    """Serves directory content to peers and fetches theirs.

    Args:
        server: serves the TCP endpoint; peers use the same port.
        directory: the content that is served, and into which responses are merged.
        count_malformed: called with a description of each malformed message.
    """

    def __init__(
        self,
        server: StreamServer,
        directory: Directory,
        timer: TimerService,
        supervisor: Supervisor,
        count_malformed: Callable[[str], None],
    ) -> None:
        self._server = server
        self._directory = directory
        self._timer = timer
        self._count_malformed = count_malformed
        self._codec: Codec[DirectoryMessage] = Codec("directory", DIRECTORY_TYPES)
        self._connections = Connections(Part.CONTENT_SERVING, MAXIMUM_CONNECTIONS, supervisor)

    async def run(self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve requests until cancelled; `task_status` reports the endpoint after one attempt."""
        await self._server.run(self._serve, task_status)

    async def fetch(self, host: str) -> bool:
        """Fetch and merge a peer's content; return whether anything in force changed.

        Raises:
            PeerContentUnavailable: if there is no usable response in time.
        """
        try:
            with trio.fail_after(EXCHANGE_SECONDS):
                stream = await trio.open_tcp_stream(host, self._server.address.port)
                async with stream:
                    request = ContentRequest(
                        self._directory.version, pack_revision(self._directory.content_revision)
                    )
                    await stream.send_all(self._codec.encode(request))
                    response = await self._next_message(stream)
            return self._apply_response(response)
        except trio.TooSlowError as error:
            raise PeerContentUnavailable(host, "timeout") from error
        except (OSError, trio.BrokenResourceError) as error:
            raise PeerContentUnavailable(host, type(error).__name__) from error
        except (MalformedMessage, MalformedContent) as error:
            self._count_malformed(str(error))
            raise PeerContentUnavailable(host, str(error)) from error

    def respond(self, request: ContentRequest) -> ContentResponse | ContentUpdate:
        """Return the changes since the requester's revision, or else the complete content.

        The changes of configuration must apply to the requester's, which may be another one than
        this process had at that revision.

        Raises:
            MalformedContent: if the requester's version or revision is not valid.
        """
        directory = self._directory
        known_version, revision = unpack_request(request)
        changes = directory.changes_since(revision)
        if changes is not None:
            routes = changes.routes
            bases = routes.base_versions if routes is not None else (directory.version,)
            if known_version >= directory.version or known_version in bases:
                return pack_changes(changes, self._age_milliseconds)
        table = directory.table
        is_wanted = table is not None and table.version > known_version
        return ContentResponse(
            pack_revision(directory.content_revision),
            self._age_milliseconds,
            pack_table(table) if table is not None and is_wanted else None,
            pack_targets(directory.targets_for_peers),
            pack_evacuations(directory.evacuations_in_store),
        )

    def encode_push(self, revision: StoreRevision) -> bytes | None:
        """Encode the changes since a revision as one datagram, or return None if they don't fit."""
        changes = self._directory.changes_since(revision)
        if changes is None:
            return None
        parts = (changes.targets, changes.removed, changes.evacuations, changes.restored)
        if sum(map(len, parts)) > MAXIMUM_PUSHED:
            return None
        if changes.routes is not None and len(changes.routes.changed) > MAXIMUM_PUSHED:
            return None
        data = self._codec.encode(pack_changes(changes, self._age_milliseconds))
        return data if len(data) <= MAXIMUM_PUSH_BYTES else None

    def apply_push(self, data: bytes) -> bool | None:
        """Merge a datagram of changes.

        Returns:
            Whether anything changed; None if this process lacks the base of the changes.
        """
        try:
            message = self._codec.decode(data)
            if not isinstance(message, ContentUpdate):
                raise MalformedContent("push")
            return self._apply_changes(message)
        except (MalformedMessage, MalformedContent) as error:
            self._count_malformed(str(error))
            return False

    @property
    def _age_milliseconds(self) -> int:
        age = min(max(self._timer.now - self._directory.confirmed_at, 0.0), LONGEST_AGE_SECONDS)
        return int(age * MILLISECONDS)

    def _apply_changes(self, message: ContentUpdate) -> bool | None:
        return self._directory.apply_peer_changes(
            unpack_changes(message, self._note_unusable),
            unpack_age(message.age_milliseconds),
            self._timer.now,
        )

    def _apply_response(self, response: DirectoryMessage | None) -> bool:
        if isinstance(response, ContentUpdate):
            changed = self._apply_changes(response)
            if changed is None:
                raise MalformedContent("changes")
            return changed
        if not isinstance(response, ContentResponse):
            raise MalformedContent("answer")
        return self._directory.apply_peer_content(
            unpack_revision(response.revision),
            unpack_table(response.table) if response.table is not None else None,
            unpack_targets(response.targets, self._note_unusable),
            unpack_age(response.age_milliseconds),
            self._timer.now,
            unpack_evacuations(response.evacuations),
        )

    def _note_unusable(self, entry: UnusableEntry) -> None:
        self._count_malformed(f"unusable {entry.part} of a target")

    async def _serve(self, stream: trio.abc.Stream) -> None:
        await self._connections.serve(stream, lambda: self._serve_request(stream))

    async def _serve_request(self, stream: trio.abc.Stream) -> None:
        try:
            with trio.move_on_after(EXCHANGE_SECONDS):
                request = await self._next_message(stream)
                if isinstance(request, ContentRequest):
                    await stream.send_all(self._codec.encode(self.respond(request)))
                    await stream.aclose()
        except (MalformedMessage, MalformedContent) as error:
            self._count_malformed(str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The requester closed the connection; it retries here or at another peer.
            return

    async def _next_message(self, stream: trio.abc.Stream) -> DirectoryMessage | None:
        decoder: StreamDecoder[Any] = StreamDecoder(self._codec)
        while data := await stream.receive_some(READ_BYTES):
            for message in decoder.feed(bytes(data)):
                return message  # type: ignore[no-any-return]
        return None
