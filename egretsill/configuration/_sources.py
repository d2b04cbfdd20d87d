"""Reading a publication from the platform or a peer, and answering requests from peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol, TypeAlias

from ._bundle_codec import (
    Head,
    Publication,
    assemble_publication,
    decode_head,
    decode_index,
    decode_page,
    encode_head,
    index_after_changes,
    index_key,
    missing_services,
    page_key,
    service_key,
)
from ._exceptions import MalformedValue, PeerAnswerMalformed, PeerHoldsNothing, TornPublication
from ._messages import (
    MAXIMUM_NAMES,
    NO_REVISION,
    ConfigurationRequest,
    ConfigurationResponse,
    HeadRequest,
    HeadResponse,
    IndexRequest,
    IndexResponse,
    NoConfiguration,
    ServicesRequest,
    ServicesResponse,
)
from ._platform_client import Value

SINGLE_READS_FOR_EACH_PAGE = 4
ANSWER_BYTES = 512_000
MAXIMUM_INDEX_ENTRIES = 100_000

SendRequest: TypeAlias = Callable[[ConfigurationRequest], Awaitable[ConfigurationResponse]]
Read: TypeAlias = Callable[[str], Awaitable[Value]]


class PublicationSource(Protocol):
    """A source from which the values of one publication are read."""

    async def index(self, head: Head) -> Mapping[str, str]:
        """Return the complete index."""

    async def services(self, head: Head, names: Sequence[str]) -> Mapping[str, bytes]:
        """Return the values of services, without those that are missing."""


async def read_publication(
    source: PublicationSource, head: Head, known: Publication | None
) -> Publication:
    """Return the publication of a head, reading only values that `known` doesn't have.

    Raises:
        ConfigurationError: if values can't be read or are of different revisions.
    """
    index = index_after_changes(head, known) if known else None
    if index is None:
        index = await source.index(head)
    missing = missing_services(index, known)
    fetched = await source.services(head, missing) if missing else {}
    return assemble_publication(head, index, fetched, known)


class PlatformSource:
    """Reads from the platform; uses pages when many services are missing.

    Args:
        read: returns a value, within the process's share of the platform's reads.
    """

    def __init__(self, read: Read) -> None:
        self._read = read

    async def index(self, head: Head) -> Mapping[str, str]:
        """Return the complete index."""
        parts = [(await self._read(index_key(each))).content for each in range(head.index_parts)]
        return decode_index(head, parts)

    async def services(self, head: Head, names: Sequence[str]) -> Mapping[str, bytes]:
        """Return the values of services, without those that are missing."""
        if len(names) <= SINGLE_READS_FOR_EACH_PAGE * max(1, head.pages):
            return {name: (await self._read(service_key(name))).content for name in names}
        fetched: dict[str, bytes] = {}
        for number in range(head.pages):
            key = page_key(number)
            fetched.update(decode_page(key, (await self._read(key)).content))
        return fetched


class PeerSource:
    """Reads from another process.

    Args:
        send_request: sends one request to it and returns the response.
    """

    def __init__(self, send_request: SendRequest) -> None:
        self._send_request = send_request
        self._prefetched: Mapping[str, bytes] = {}

    async def head(self, known: Publication | None) -> Head:
        """Return the head of the peer's publication, and cache the changed values sent with it."""
        revision, digest = known.head.rank if known else (NO_REVISION, "")
        match await self._send_request(HeadRequest(revision, digest)):
            case HeadResponse(head, services):
                self._prefetched = dict(services)
                return decode_head(head)
            case NoConfiguration():
                raise PeerHoldsNothing()
            case answer:
                raise PeerAnswerMalformed(type(answer).__name__)

    async def index(self, head: Head) -> Mapping[str, str]:
        """Return the complete index."""
        index: dict[str, str] = {}
        after = ""
        while len(index) < MAXIMUM_INDEX_ENTRIES:
            answer = await self._send_request(IndexRequest(after))
            if not isinstance(answer, IndexResponse):
                raise PeerAnswerMalformed(type(answer).__name__)
            if not answer.entries:
                return index
            index.update(answer.entries)
            last = answer.entries[-1][0]
            if last <= after:
                raise PeerAnswerMalformed("index out of order")
            after = last
        raise MalformedValue(index_key(0), "too many entries")

    async def services(self, head: Head, names: Sequence[str]) -> Mapping[str, bytes]:
        """Return the values of services, without those that are missing."""
        fetched = {name: self._prefetched[name] for name in names if name in self._prefetched}
        missing = [name for name in names if name not in fetched]
        while missing:
            answer = await self._send_request(ServicesRequest(tuple(missing[:MAXIMUM_NAMES])))
            if not isinstance(answer, ServicesResponse):
                raise PeerAnswerMalformed(type(answer).__name__)
            new = {name: value for name, value in answer.services if name not in fetched}
            if not new.keys() & set(missing):
                raise TornPublication(service_key(missing[0]), head.revision)
            fetched.update(new)
            missing = [name for name in missing if name not in fetched]
        return fetched


def answer_request(
    question: ConfigurationRequest, held: Publication | None
) -> ConfigurationResponse:
    """Return the response to a peer's request."""
    if held is None:
        return NoConfiguration()
    match question:
        case HeadRequest(revision, _):
            changed = _changed_since(held, revision)
            return HeadResponse(encode_head(held.head), _values_within_limit(changed, held))
        case IndexRequest(after):
            names = sorted(name for name in held.index if name > after)[:MAXIMUM_NAMES]
            return IndexResponse(tuple((name, held.index[name]) for name in names))
        case ServicesRequest(names):
            return ServicesResponse(_values_within_limit(names, held))


def _changed_since(held: Publication, revision: int) -> Sequence[str]:
    since = [change for change in held.head.changes if change.revision > revision]
    return sorted({name for change in since for name, _ in change.services})


def _values_within_limit(names: Sequence[str], held: Publication) -> tuple[tuple[str, bytes], ...]:
    chosen: list[tuple[str, bytes]] = []
    remaining_bytes = ANSWER_BYTES
    for name in names:
        value = held.values.get(name)
        if value is None:
            continue
        remaining_bytes -= len(value)
        if remaining_bytes < 0 and chosen:
            break
        chosen.append((name, value))
    return tuple(chosen)
