from __future__ import annotations

import contextlib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ... import configuration
from .. import DeclarationRejected, RequestShape, load_declaration
from .._problems import (
    DuplicateAddress,
    DuplicateClass,
    DuplicateKey,
    DuplicateNumber,
    DuplicateSection,
    InvalidValue,
    MalformedLine,
    MissingKey,
    Problem,
    ServiceWithoutClass,
    ServiceWithoutTarget,
    TargetInTwoServices,
    UnknownKey,
    UnknownSection,
    UnknownService,
    UnreadableFile,
    WrongUnit,
)

EXAMPLES = Path(configuration.__file__).parents[2] / "examples"

GOOD = """
[service catalog]
number = 1
tenant = sibiu
authority = catalog.example
addresses = 127.0.0.1:1000

[class catalog/listings]
methods = get
path = /
idempotent = yes

[target one]
number = 1
service = catalog
failure_domain = turnisor
tunnel = 127.0.0.1:1001
relay = 127.0.0.1:1002
gossip = 127.0.0.1:1003
backend = 127.0.0.1:1004
slots = 2

[target two]
number = 2
service = catalog
failure_domain = turnisor
tunnel = 127.0.0.1:2001
relay = 127.0.0.1:2002
gossip = 127.0.0.1:2003
backend = 127.0.0.1:2004
slots = 2
"""


def load(tmp_path: Path, base: str, overlay: str | None = None) -> list[Problem]:
    (tmp_path / "base.ini").write_text(base)
    site = tmp_path / "site.ini"
    if overlay is not None:
        site.write_text(overlay)
    try:
        load_declaration(tmp_path / "base.ini", site if overlay is not None else None)
    except DeclarationRejected as error:
        return list(error.problems)
    return []


@pytest.mark.parametrize(
    ("old", "new", "kind", "section", "key"),
    [
        pytest.param("slots = 2", "slot = 2", UnknownKey, "target one", "slot", id="unknown key"),
        pytest.param("path = /", "", MissingKey, "class catalog/listings", "path", id="missing"),
        pytest.param(
            "path = /",
            "path = /\ndeadline = 30",
            WrongUnit,
            "class catalog/listings",
            "deadline",
            id="duration without unit",
        ),
        pytest.param(
            "path = /",
            "path = /\ndeadline = 30 KiB",
            WrongUnit,
            "class catalog/listings",
            "deadline",
            id="duration in bytes",
        ),
        pytest.param(
            "tenant = sibiu",
            "tenant = sibiu\nanswer_tail = 5 s",
            WrongUnit,
            "service catalog",
            "answer_tail",
            id="size in seconds",
        ),
        pytest.param(
            "path = /",
            "path = /\ndeadline = soon",
            InvalidValue,
            "class catalog/listings",
            "deadline",
            id="no duration",
        ),
        pytest.param(
            "path = /",
            "path = /\nweight = nan",
            InvalidValue,
            "class catalog/listings",
            "weight",
            id="weight is no number",
        ),
        pytest.param(
            "tunnel = 127.0.0.1:2001",
            "tunnel = 127.0.0.1:1001",
            DuplicateAddress,
            "target two",
            "tunnel",
            id="tunnel of another target",
        ),
        pytest.param(
            "gossip = 127.0.0.1:2003",
            "gossip = 127.0.0.1:1000",
            DuplicateAddress,
            "target two",
            "gossip",
            id="gossip on a service address",
        ),
        pytest.param(
            "backend = 127.0.0.1:2004",
            "backend = 127.0.0.1:1004",
            DuplicateAddress,
            "target two",
            "backend",
            id="backend server of another target",
        ),
        pytest.param(
            "number = 2", "number = 1", DuplicateNumber, "target two", "number", id="number twice"
        ),
        pytest.param(
            "service = catalog",
            "service = catalog, upload",
            TargetInTwoServices,
            "target one",
            "service",
            id="target in two services",
        ),
        pytest.param(
            "service = catalog",
            "service = uploads",
            UnknownService,
            "target one",
            "service",
            id="target of an unknown service",
        ),
        pytest.param(
            "[class catalog/listings]",
            "[class uploads/listings]",
            ServiceWithoutClass,
            "service catalog",
            "",
            id="service without a class",
        ),
        pytest.param(
            "[class catalog/listings]",
            "[class listings]",
            InvalidValue,
            "class listings",
            "",
            id="class without a service",
        ),
        pytest.param(
            "[target two]", "[targets two]", UnknownSection, "targets two", "", id="section"
        ),
        pytest.param(
            "[target two]", "[target one]", DuplicateSection, "target one", "", id="section twice"
        ),
        pytest.param(
            "slots = 2", "slots = 2\nslots = 3", DuplicateKey, "target one", "slots", id="key twice"
        ),
        pytest.param("slots = 2", "slots", MalformedLine, "", "", id="line without a value"),
        pytest.param(
            "idempotent = yes",
            "idempotent = yes\n[class catalog/again]\nmethods = GET\npath = /\nidempotent = no",
            DuplicateClass,
            "class catalog/again",
            "path",
            id="two classes for one request",
        ),
        pytest.param(
            "127.0.0.1:1000", "localhost:1000", InvalidValue, "service catalog", "addresses",
            id="host name",
        ),
        pytest.param(
            "127.0.0.1:1000", "127.0.0.1:65536", InvalidValue, "service catalog", "addresses",
            id="port too large",
        ),
        pytest.param(
            "[target one]", "[service empty]\nnumber = 9\ntenant = sibiu\nauthority = e.example\n"
            "addresses = 127.0.0.1:9\n[class empty/any]\nmethods = GET\npath = /\n"
            "idempotent = yes\n[target one]",
            ServiceWithoutTarget, "service empty", "", id="service without a target",
        ),
    ],
)  # fmt: skip
def test_problem_has_file_section_and_key(
    tmp_path: Path, old: str, new: str, kind: type[Problem], section: str, key: str
) -> None:
    problems = load(tmp_path, GOOD.replace(old, new, 1))
    found = [each for each in problems if type(each) is kind]
    assert [(each.file, each.section, each.key) for each in found] == [
        (str(tmp_path / "base.ini"), section, key)
    ]
    assert section in found[0].message
    assert found[0].reason in found[0].message


def test_all_problems_of_both_files_are_reported(tmp_path: Path) -> None:
    base = GOOD.replace("slots = 2", "slots = many").replace("tenant = sibiu", "tenants = sibiu")
    problems = load(tmp_path, base, "[class catalog/listings]\ndeadline = 5\n")
    assert {(Path(each.file).name, each.section, each.key) for each in problems} == {
        ("base.ini", "target one", "slots"),
        ("base.ini", "target two", "slots"),
        ("base.ini", "service catalog", "tenant"),
        ("base.ini", "service catalog", "tenants"),
        ("site.ini", "class catalog/listings", "deadline"),
    }


def test_unknown_service_is_reported_with_other_problems(tmp_path: Path) -> None:
    base = GOOD.replace("service = catalog", "service = other", 1).replace("slots = 2", "", 1)
    assert {(type(each), each.section, each.key) for each in load(tmp_path, base)} == {
        (UnknownService, "target one", "service"),
        (MissingKey, "target one", "slots"),
    }


def test_overlay_replaces_single_values(tmp_path: Path) -> None:
    (tmp_path / "base.ini").write_text(GOOD)
    (tmp_path / "site.ini").write_text("[target one]\nslots = 9\n")
    service = load_declaration(tmp_path / "base.ini", tmp_path / "site.ini")["catalog"]
    assert [target.slots for target in service.targets] == [9, 2]
    assert service.targets[0].tunnel == ("127.0.0.1", 1001)


def test_overlay_cannot_move_target_to_other_service(tmp_path: Path) -> None:
    problems = load(tmp_path, GOOD, "[target one]\nservice = other\n")
    assert [type(each) for each in problems] == [TargetInTwoServices]


def test_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(DeclarationRejected) as caught:
        load_declaration(tmp_path / "none.ini")
    assert [type(each) for each in caught.value.problems] == [UnreadableFile]


@pytest.mark.parametrize(
    ("name", "targets", "slots"),
    [
        pytest.param("kallioniemi", {"hakusana": 7, "vastaanotto": 3}, 4, id="kallioniemi"),
        pytest.param("sibiu", {"catalog": 7, "upload": 3}, 2, id="sibiu"),
    ],
)
def test_examples_are_accepted(name: str, targets: dict[str, int], slots: int) -> None:
    services = load_declaration(EXAMPLES / f"{name}.ini", EXAMPLES / f"{name}-site.ini")
    assert {each.name: len(each.targets) for each in services.values()} == targets
    declared = [target for each in services.values() for target in each.targets]
    assert {target.slots for target in declared} == {slots}
    assert len({target.failure_domain for target in declared}) == 3


def test_examples_share_no_endpoints() -> None:
    both = [load_declaration(EXAMPLES / f"{name}.ini") for name in ("kallioniemi", "sibiu")]
    endpoints = [
        {address for each in services.values() for address in each.addresses}
        | {
            address
            for each in services.values()
            for target in each.targets
            for address in (target.tunnel, target.relay, target.gossip, target.backend)
        }
        for services in both
    ]
    assert not endpoints[0] & endpoints[1]


def test_examples_classify_requests() -> None:
    catalog = load_declaration(EXAMPLES / "sibiu.ini")["catalog"]
    order, listing = catalog.classify("POST", "/orders/7"), catalog.classify("GET", "/x")
    assert order is not None
    assert listing is not None
    assert (order.idempotent, listing.idempotent) == (False, True)
    assert order.weight > listing.weight
    lookup = load_declaration(EXAMPLES / "kallioniemi.ini")["hakusana"]
    subscription = lookup.classify("GET", "/subscriptions/fi")
    assert subscription is not None
    assert subscription.shape is RequestShape.SUBSCRIPTION
    assert subscription.deadline_seconds is None


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    lines=st.lists(
        st.sampled_from([*GOOD.splitlines(), "[", "]", "x", "= 1", "[service catalog]"])
        | st.text(max_size=20),
        max_size=40,
    )
)
def test_any_text_is_accepted_or_rejected_with_typed_problems(
    tmp_path_factory: pytest.TempPathFactory, lines: list[str]
) -> None:
    path = tmp_path_factory.getbasetemp() / "garbage.ini"
    path.write_bytes("\n".join(lines).encode("utf-8", "surrogatepass"))
    with contextlib.suppress(DeclarationRejected):
        assert load_declaration(path) is not None
