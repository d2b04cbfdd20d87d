"""The published format of a bundle: a head, an index, one value for each service, and pages.

A reader that is a few changes behind reads the head and the changed services. One further behind
also reads the index, and one without any publication reads pages, which hold many services each.
Every value is checked against its digest when it is read, so values of different revisions are
never combined.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ._exceptions import MalformedValue, TornPublication, ValueTooLarge
from ._model import Bundle, Service
from ._published import (
    FORMAT,
    PublishedHead,
    PublishedIndexPart,
    PublishedPage,
    canonical_json,
    decode_model,
    decode_service,
    digest_of,
    digest_of_index,
    encode_service,
)

HEAD_KEY = "head"
MAXIMUM_VALUE_BYTES = 1_000_000
INDEX_PART_BYTES = 256_000
INDEX_ENTRY_BYTES = 40
PAGE_BYTES = 900_000
PAGE_ENTRY_BYTES = 8
RECENT_CHANGES = 32
RECENT_CHANGED_SERVICES = 256


@dataclass(frozen=True, slots=True)
class Change:
    """Changes made by one revision.

    Attributes:
        digest: of the complete bundle after the change.
        services: name and digest of each changed service's value; None if it was removed.
    """

    revision: int
    digest: str
    services: tuple[tuple[str, str | None], ...]


@dataclass(frozen=True, slots=True)
class Head:
    """Identifies the published bundle and lists its recent changes.

    Attributes:
        index_parts: number of values that hold the index.
        pages: number of values that hold all services.
        changes: the latest changes, oldest first.
    """

    revision: int
    digest: str
    index_parts: int
    pages: int
    changes: tuple[Change, ...]

    @property
    def rank(self) -> tuple[int, str]:
        """Return the key by which publications are ordered, the same at every process."""
        return (self.revision, self.digest)


@dataclass(frozen=True, slots=True, eq=False)
class Publication:
    """One complete published bundle with the values that it was decoded from.

    Attributes:
        index: digest of each service's value, by service name.
        values: each service's value, by service name.
    """

    head: Head
    index: Mapping[str, str]
    values: Mapping[str, bytes]
    bundle: Bundle


def service_key(name: str) -> str:
    """Return the key of a service's value."""
    return f"service/{name}"


def index_key(part: int) -> str:
    """Return the key of a part of the index."""
    return f"index/{part}"


def page_key(number: int) -> str:
    """Return the key of a page of services."""
    return f"page/{number}"


def compile_publication(
    services: Mapping[str, Service], revision: int, previous: Publication | None = None
) -> Publication:
    """Return the publication of `services` under a revision number.

    The recent changes of the previous publication are retained.

    Raises:
        ValueTooLarge: if a service doesn't fit into one value.
    """
    values = {name: _encode_service(service, previous) for name, service in services.items()}
    for name, value in values.items():
        _check_size(service_key(name), value)
    index = {name: digest_of(value) for name, value in values.items()}
    before = previous.index if previous else {}
    digest = digest_of_index(index)
    changed = _changed_services(before, index)
    changes = (*(previous.head.changes if previous else ()), Change(revision, digest, changed))
    parts, pages = len(_split_index(index)), len(_split_pages(values))
    head = Head(revision, digest, parts, pages, _changes_that_fit(changes))
    return Publication(head, index, values, Bundle(revision, digest, dict(services)))


def encode_publication(publication: Publication) -> Mapping[str, bytes]:
    """Return all values to publish, by key; `head` must be published last."""
    values = {service_key(name): value for name, value in publication.values.items()}
    for number, part in enumerate(_split_index(publication.index)):
        values[index_key(number)] = canonical_json({"services": part})
    for number, names in enumerate(_split_pages(publication.values)):
        values[page_key(number)] = _encode_page(names, publication.values)
    values[HEAD_KEY] = encode_head(publication.head)
    for key, value in values.items():
        _check_size(key, value)
    return values


def encode_head(head: Head) -> bytes:
    """Return a head encoded as the value `head`."""
    fields = _head_fields(head)
    return canonical_json({**fields, "checksum": digest_of(canonical_json(fields))})


def decode_head(content: bytes) -> Head:
    """Decode the value `head`.

    Raises:
        MalformedValue: if it doesn't have the published format.
    """
    model = decode_model(PublishedHead, HEAD_KEY, content)
    changes = tuple(
        Change(each.revision, each.digest, tuple(sorted(each.services.items())))
        for each in model.changes
    )
    head = Head(model.revision, model.digest, model.index_parts, model.pages, changes)
    if digest_of(canonical_json(_head_fields(head))) != model.checksum:
        raise MalformedValue(HEAD_KEY, "checksum")
    return head


def decode_index(head: Head, parts: Sequence[bytes]) -> Mapping[str, str]:
    """Return the index from its parts.

    Raises:
        MalformedValue: if a part doesn't have the published format.
        TornPublication: if the parts don't match the digest in `head`.
    """
    index: dict[str, str] = {}
    for number, part in enumerate(parts):
        index.update(decode_model(PublishedIndexPart, index_key(number), part).services)
    if digest_of_index(index) != head.digest:
        raise TornPublication(index_key(0), head.revision)
    return index


def decode_page(key: str, content: bytes) -> Mapping[str, bytes]:
    """Return the values of the services in a page, without checking their digests.

    Raises:
        MalformedValue: if it doesn't have the published format.
    """
    page = decode_model(PublishedPage, key, content)
    return {name: canonical_json(value) for name, value in page.services.items()}


def index_after_changes(head: Head, known: Publication) -> Mapping[str, str] | None:
    """Return the index of `head`, derived from an older publication and the changes since.

    Returns None if the changes don't reach back that far or start from different content.
    """
    since = [change for change in head.changes if change.revision > known.head.revision]
    index = dict(known.index)
    for change in since:
        for name, digest in change.services:
            index.pop(name, None)
            if digest is not None:
                index[name] = digest
    return index if digest_of_index(index) == head.digest else None


def missing_services(index: Mapping[str, str], known: Publication | None) -> Sequence[str]:
    """Return the names of the services whose values must be read."""
    known_digests = known.index if known else {}
    return [name for name, digest in sorted(index.items()) if known_digests.get(name) != digest]


def assemble_publication(
    head: Head,
    index: Mapping[str, str],
    fetched: Mapping[str, bytes],
    known: Publication | None = None,
) -> Publication:
    """Return the publication from an index, fetched values and values already known.

    Raises:
        TornPublication: if a value doesn't match its digest in the index, or the index doesn't
            match its digest in the head.
        MalformedValue: if a value doesn't have the published format.
    """
    if digest_of_index(index) != head.digest:
        raise TornPublication(HEAD_KEY, head.revision)
    values: dict[str, bytes] = {}
    services: dict[str, Service] = {}
    for name, digest in index.items():
        if known is not None and known.index.get(name) == digest:
            values[name] = known.values[name]
            services[name] = known.bundle.services[name]
            continue
        values[name] = fetched.get(name, b"")
        services[name] = _checked_service(name, digest, values[name], head)
    return Publication(head, index, values, Bundle(head.revision, head.digest, services))


def decode_publication(values: Mapping[str, bytes]) -> Publication:
    """Return the publication from all its values by key, such as those read from files.

    Raises:
        MalformedValue: if a value is missing or doesn't have the published format.
        TornPublication: if values of different revisions are mixed.
    """
    head = decode_head(values.get(HEAD_KEY, b""))
    parts = [values.get(index_key(number), b"") for number in range(head.index_parts)]
    index = decode_index(head, parts)
    fetched = {name: values.get(service_key(name), b"") for name in index}
    return assemble_publication(head, index, fetched)


def _encode_service(service: Service, previous: Publication | None) -> bytes:
    if previous is not None and previous.bundle.services.get(service.name) == service:
        return previous.values[service.name]
    return encode_service(service)


def _head_fields(head: Head) -> Mapping[str, Any]:
    return {
        "format": FORMAT,
        "revision": head.revision,
        "digest": head.digest,
        "index_parts": head.index_parts,
        "pages": head.pages,
        "changes": [
            {"revision": each.revision, "digest": each.digest, "services": dict(each.services)}
            for each in head.changes
        ],
    }


def _checked_service(name: str, digest: str, value: bytes, head: Head) -> Service:
    key = service_key(name)
    if digest_of(value) != digest:
        raise TornPublication(key, head.revision)
    service = decode_service(key, value)
    if service.name != name:
        raise MalformedValue(key, "contains another service")
    return service


def _changed_services(
    before: Mapping[str, str], after: Mapping[str, str]
) -> tuple[tuple[str, str | None], ...]:
    names = sorted(before.keys() | after.keys())
    return tuple((name, after.get(name)) for name in names if before.get(name) != after.get(name))


def _changes_that_fit(changes: Sequence[Change]) -> tuple[Change, ...]:
    """Return the latest changes that fit into a head; none if the last one is too large."""
    kept: list[Change] = []
    remaining_services = RECENT_CHANGED_SERVICES
    for change in reversed(changes[-RECENT_CHANGES:]):
        remaining_services -= len(change.services)
        if remaining_services < 0:
            break
        kept.append(change)
    return tuple(reversed(kept))


def _split_index(index: Mapping[str, str]) -> Sequence[Mapping[str, str]]:
    sizes = {name: len(name) + INDEX_ENTRY_BYTES for name in index}
    groups = _group_by_size(sizes, INDEX_PART_BYTES)
    return [{name: index[name] for name in names} for names in groups]


def _split_pages(values: Mapping[str, bytes]) -> Sequence[Sequence[str]]:
    sizes = {name: len(name) + len(value) + PAGE_ENTRY_BYTES for name, value in values.items()}
    return list(_group_by_size(sizes, PAGE_BYTES))


def _encode_page(names: Sequence[str], values: Mapping[str, bytes]) -> bytes:
    entries = [canonical_json(name) + b":" + values[name] for name in names]
    return b'{"services":{' + b",".join(entries) + b"}}"


def _group_by_size(sizes: Mapping[str, int], limit: int) -> Iterator[Sequence[str]]:
    """Yield the names in order, in groups with a total size of at most `limit`.

    A name with a larger size is a group of its own.
    """
    group: list[str] = []
    total = 0
    for name in sorted(sizes):
        total += sizes[name]
        if group and total > limit:
            yield group
            group, total = [], sizes[name]
        group.append(name)
    if group:
        yield group


def _check_size(key: str, value: bytes) -> None:
    if len(value) > MAXIMUM_VALUE_BYTES:
        raise ValueTooLarge(key, len(value), MAXIMUM_VALUE_BYTES)
