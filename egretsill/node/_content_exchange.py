"""Content of the directory over TCP: one question and one answer a connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from ..directory import (
    DIRECTORY_TYPES,
    ContentChanged,
    ContentFound,
    ContentWanted,
    Directory,
    DirectoryMessage,
    MalformedContent,
    pack_changes,
    pack_table,
    pack_targets,
    unpack_changes,
    unpack_table,
    unpack_targets,
)
from ..timing import TimerService
from ..wire import Address, Codec, MalformedMessage, StreamDecoder

EXCHANGE_SECONDS = 0.6  # three round trips between failure domains and a busy peer
READ_BYTES = 65_536
MAXIMUM_CONNECTIONS = 64  # questions answered at once; the others ask somebody else
MAXIMUM_PUSHED = 16  # entries or routes; more than fit in a datagram
MAXIMUM_PUSH_BYTES = 1_200  # as a packet of a flow
LONGEST_AGE_SECONDS = 1e6
MILLISECONDS = 1000


class PeerContentUnavailable(Exception):
    """A peer's content could not be had.

    Attributes:
        host: the peer's address.
        reason: what went wrong, in a word.
    """

    def __init__(self, host: str, reason: str) -> None:
        super().__init__(f"content of {host}: {reason}")
        self.host = host
        self.reason = reason


class ContentExchange:
    """Answers peers' questions about the directory and asks them.

    Args:
        listen: TCP endpoint; peers have the same port.
        directory: what is told, and what answers are merged into.
        count_malformed: called with what was wrong with a peer's message.
    """

    def __init__(
        self,
        listen: Address,
        directory: Directory,
        timer: TimerService,
        count_malformed: Callable[[str], None],
    ) -> None:
        self._listen = listen
        self._directory = directory
        self._timer = timer
        self._count_malformed = count_malformed
        self._codec: Codec[DirectoryMessage] = Codec("directory", DIRECTORY_TYPES)
        self._open = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Answer questions until cancelled; started once the endpoint is bound.

        Raises:
            OSError: if it can't be.
        """
        listeners = await trio.open_tcp_listeners(self._listen.port, host=self._listen.host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def fetch(self, host: str) -> bool:
        """Merge a peer's content; return whether anything in force changed.

        Raises:
            PeerContentUnavailable: if there is no usable answer in time.
        """
        try:
            with trio.fail_after(EXCHANGE_SECONDS):
                stream = await trio.open_tcp_stream(host, self._listen.port)
                async with stream:
                    question = ContentWanted(
                        self._directory.version, self._directory.content_revision
                    )
                    await stream.send_all(self._codec.encode(question))
                    answer = await self._next_message(stream)
            return self._merge(answer)
        except trio.TooSlowError as error:
            raise PeerContentUnavailable(host, "timeout") from error
        except (OSError, trio.BrokenResourceError) as error:
            raise PeerContentUnavailable(host, type(error).__name__) from error
        except (MalformedMessage, MalformedContent) as error:
            self._count_malformed(str(error))
            raise PeerContentUnavailable(host, "malformed") from error

    def answer(self, question: ContentWanted) -> ContentFound | ContentChanged:
        """Return the content for a peer that has some already: what came after it, or all."""
        directory = self._directory
        changes = directory.changes_since(question.revision)
        if changes is not None:
            return pack_changes(changes, self._age_milliseconds)
        table = directory.table
        is_wanted = table is not None and table.version > question.version
        return ContentFound(
            directory.content_revision,
            self._age_milliseconds,
            pack_table(table) if table is not None and is_wanted else None,
            pack_targets(directory.targets),
        )

    def push(self, revision: int) -> bytes | None:
        """Return what came after a revision as one datagram, None if it can't be one."""
        changes = self._directory.changes_since(revision)
        if changes is None or len(changes.targets) + len(changes.removed) > MAXIMUM_PUSHED:
            return None
        if changes.routes is not None and len(changes.routes.changed) > MAXIMUM_PUSHED:
            return None
        data = self._codec.encode(pack_changes(changes, self._age_milliseconds))
        return data if len(data) <= MAXIMUM_PUSH_BYTES else None

    def take_push(self, data: bytes) -> bool | None:
        """Merge a datagram of changes.

        Returns:
            Whether anything changed; None if the changes build on content that isn't here.
        """
        try:
            message = self._codec.decode(data)
            if not isinstance(message, ContentChanged):
                raise MalformedContent("push")
            return self._merge_changes(message)
        except (MalformedMessage, MalformedContent) as error:
            self._count_malformed(str(error))
            return False

    @property
    def _age_milliseconds(self) -> int:
        age = min(max(self._timer.now - self._directory.confirmed_at, 0.0), LONGEST_AGE_SECONDS)
        return int(age * MILLISECONDS)

    def _merge_changes(self, message: ContentChanged) -> bool | None:
        return self._directory.apply_peer_changes(
            unpack_changes(message), message.age_milliseconds / MILLISECONDS, self._timer.now
        )

    def _merge(self, answer: DirectoryMessage | None) -> bool:
        if isinstance(answer, ContentChanged):
            changed = self._merge_changes(answer)
            if changed is None:
                raise MalformedContent("changes")
            return changed
        if not isinstance(answer, ContentFound):
            raise MalformedContent("answer")
        return self._directory.apply_peer_content(
            answer.revision,
            unpack_table(answer.table) if answer.table is not None else None,
            unpack_targets(answer.targets),
            answer.age_milliseconds / MILLISECONDS,
            self._timer.now,
        )

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._open >= MAXIMUM_CONNECTIONS:
            await trio.aclose_forcefully(stream)
            return
        self._open += 1
        try:
            with trio.move_on_after(EXCHANGE_SECONDS):
                question = await self._next_message(stream)
                if isinstance(question, ContentWanted):
                    await stream.send_all(self._codec.encode(self.answer(question)))
                    await stream.aclose()
        except MalformedMessage as error:
            self._count_malformed(str(error))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The asker went away; it asks again or asks somebody else.
            return
        finally:
            self._open -= 1
            await trio.aclose_forcefully(stream)

    async def _next_message(self, stream: trio.abc.Stream) -> DirectoryMessage | None:
        decoder: StreamDecoder[Any] = StreamDecoder(self._codec)
        while data := await stream.receive_some(READ_BYTES):
            for message in decoder.feed(bytes(data)):
                return message  # type: ignore[no-any-return]
        return None
