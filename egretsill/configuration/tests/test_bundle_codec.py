from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import (
    Bundle,
    ConfigurationError,
    MalformedValue,
    Publication,
    Service,
    TornPublication,
    ValueTooLarge,
    compile_publication,
    decode_publication,
    encode_publication,
)
from .._bundle_codec import (
    INDEX_PART_BYTES,
    MAXIMUM_VALUE_BYTES,
    RECENT_CHANGES,
    assemble_publication,
    decode_head,
    decode_page,
    index_after_changes,
    missing_services,
)
from .._published import canonical_json, digest_of
from .fleets import make_services


def resize(services: Mapping[str, Service], name: str, tries: int) -> dict[str, Service]:
    limits = dataclasses.replace(services[name].limits, tries=tries)
    return {**services, name: dataclasses.replace(services[name], limits=limits)}


def test_publication_round_trip() -> None:
    services = make_services(3)
    publication = compile_publication(services, 7)
    read = decode_publication(encode_publication(publication))
    assert read.bundle == Bundle(7, publication.head.digest, services)
    assert read.head == publication.head


def test_digest_depends_on_content_only() -> None:
    services = make_services(3)
    first, second = compile_publication(services, 1), compile_publication(services, 2)
    other = compile_publication(resize(services, "service-0", 9), 3)
    assert first.head.digest == second.head.digest
    assert other.head.digest != first.head.digest


def test_only_changed_values_are_missing() -> None:
    services = make_services(5)
    old = compile_publication(services, 1)
    middle = compile_publication(resize(services, "service-1", 9), 2, old)
    changed = resize(services, "service-1", 9)
    del changed["service-3"]
    new = compile_publication(changed, 3, middle)
    index = index_after_changes(new.head, old)
    assert index == new.index
    assert missing_services(new.index, old) == ["service-1"]
    fetched = {"service-1": new.values["service-1"]}
    assert assemble_publication(new.head, new.index, fetched, old).bundle == new.bundle


def test_reader_too_far_behind_needs_index() -> None:
    services = make_services(2)
    first = latest = compile_publication(services, 1)
    for revision in range(2, RECENT_CHANGES + 5):
        latest = compile_publication(resize(services, "service-0", revision), revision, latest)
    assert len(latest.head.changes) == RECENT_CHANGES
    recent = compile_publication(resize(services, "service-0", RECENT_CHANGES), RECENT_CHANGES)
    assert index_after_changes(latest.head, recent) == latest.index
    unrelated = compile_publication(make_services(3), 1)
    assert index_after_changes(latest.head, unrelated) is None
    assert first.head.revision == 1


def test_head_omits_too_large_change() -> None:
    old = compile_publication({}, 1)
    new = compile_publication(make_services(300), 2, old)
    assert new.head.changes == ()
    assert index_after_changes(new.head, old) is None


@pytest.mark.parametrize(
    "kept_from_old",
    [
        pytest.param(["service/service-0"], id="old value under new head"),
        pytest.param(["index/0"], id="old index under new head"),
        pytest.param(["head"], id="new values under old head"),
        pytest.param(["index/0", "service/service-0"], id="only the head is new"),
    ],
)
def test_mixed_revisions_raise_torn_publication(kept_from_old: list[str]) -> None:
    services = make_services(2)
    old = compile_publication(services, 1)
    new = compile_publication(resize(services, "service-0", 9), 2, old)
    before, after = encode_publication(old), encode_publication(new)
    mixed = {**after, **{key: before[key] for key in kept_from_old}}
    with pytest.raises(TornPublication):
        decode_publication(mixed)


def test_stale_value_among_changes_raises_torn_publication() -> None:
    services = make_services(2)
    old = compile_publication(services, 1)
    new = compile_publication(resize(services, "service-0", 9), 2, old)
    with pytest.raises(TornPublication):
        assemble_publication(new.head, new.index, {"service-0": old.values["service-0"]}, old)


def test_too_large_value_is_rejected() -> None:
    with pytest.raises(ValueTooLarge) as caught:
        compile_publication(make_services(1, targets=5000), 1)
    assert caught.value.key == "service/service-0"
    assert caught.value.size > MAXIMUM_VALUE_BYTES


def test_large_index_is_split() -> None:
    names = {f"{number:063d}": digest for number, digest in enumerate(["0" * 32] * 6000)}
    index = dict(names)
    publication = compile_publication({}, 1)
    values = encode_publication(Publication(publication.head, index, {}, publication.bundle))
    parts = [value for key, value in values.items() if key.startswith("index/")]
    assert len(parts) == 3
    assert all(len(part) <= INDEX_PART_BYTES for part in parts)


def test_pages_contain_every_value() -> None:
    publication = compile_publication(make_services(40, targets=200), 1)
    values = encode_publication(publication)
    pages = [value for key, value in values.items() if key.startswith("page/")]
    assert len(pages) == publication.head.pages > 1
    assert all(len(page) <= MAXIMUM_VALUE_BYTES for page in pages)
    read = {name: value for page in pages for name, value in decode_page("page", page).items()}
    assert read == publication.values


def _good_values() -> dict[str, bytes]:
    return dict(encode_publication(compile_publication(make_services(2), 5)))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        pytest.param("format", 2, id="later format"),
        pytest.param("revision", 0, id="revision zero"),
        pytest.param("revision", "5", id="revision as text"),
        pytest.param("revision", 2**63, id="revision too large"),
        pytest.param("digest", "xyz", id="malformed digest"),
        pytest.param("index_parts", 10**9, id="too many index parts"),
        pytest.param("pages", -1, id="negative page count"),
        pytest.param("changes", [{}], id="empty change"),
        pytest.param("extra", 1, id="unknown field"),
    ],
)
def test_malformed_head_is_rejected(field: str, value: object) -> None:
    head = json.loads(_good_values()["head"])
    del head["checksum"]
    head[field] = value
    head["checksum"] = digest_of(canonical_json(head))
    with pytest.raises(MalformedValue) as caught:
        decode_head(canonical_json(head))
    assert caught.value.reason != "checksum"


def test_changed_revision_number_is_rejected() -> None:
    head = _good_values()["head"].replace(b'"revision":5', b'"revision":6')
    with pytest.raises(MalformedValue):
        decode_head(head)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    key=st.sampled_from(sorted(key for key in _good_values() if not key.startswith("page"))),
    position=st.integers(0, 400),
    garbage=st.binary(min_size=0, max_size=8),
)
def test_damaged_values_never_decode_to_other_bundle(
    key: str, position: int, garbage: bytes
) -> None:
    values = _good_values()
    good = decode_publication(values).bundle
    content = values[key]
    values[key] = content[:position] + garbage + content[position + len(garbage) :]
    try:
        read = decode_publication(values).bundle
    except ConfigurationError:
        return
    assert read == good


@settings(derandomize=True, max_examples=200, deadline=None)
@given(content=st.binary(max_size=200))
def test_random_bytes_are_rejected_as_head(content: bytes) -> None:
    with pytest.raises(MalformedValue):
        decode_head(content)
