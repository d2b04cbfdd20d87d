from __future__ import annotations

import json
from pathlib import Path

import pytest

from ... import ctl
from ...commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command
from .. import _check, _compile, _diff
from .._bundle_files import RevisionNotHigher, read_publication_files
from .._check import check
from .._compile import compile_declaration
from .._diff import Difference, DifferenceKind, diff

EXAMPLES = Path(ctl.__file__).parents[2] / "examples"
BASE, OVERLAY = EXAMPLES / "sibiu.ini", EXAMPLES / "sibiu-site.ini"


def run(command: Command, *arguments: str) -> int:
    return command.run(command.flags, command.flags([command.name, *arguments])[1:])


def test_valid_declaration_is_accepted(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(_check.make_command(), "--output=json", str(BASE), str(OVERLAY)) == EXIT_OK
    result = json.loads(capsys.readouterr().out)
    assert result["accepted"] is True
    assert {each["name"]: each["targets"] for each in result["services"]} == {
        "catalog": 7,
        "upload": 3,
    }


def test_all_problems_are_listed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    bad = tmp_path / "bad.ini"
    bad.write_text(BASE.read_text().replace("slots = 2", "slots = two"))
    assert len(check(bad).problems) == 10
    assert run(_check.make_command(), "--output=json", str(bad)) == EXIT_FAILED
    problem = json.loads(capsys.readouterr().out)["problems"][0]
    assert (problem["type"], problem["key"]) == ("InvalidValue", "slots")
    assert run(_check.make_command(), str(bad)) == EXIT_FAILED
    assert "[target catalog-1] slots" in capsys.readouterr().out


def test_compiled_declaration_can_be_read(tmp_path: Path) -> None:
    out = tmp_path / "out"
    result = compile_declaration(BASE, OVERLAY, 5, out)
    publication = read_publication_files(out)
    assert (publication.head.revision, publication.head.digest) == (5, result.digest)
    assert publication.bundle.services["catalog"].limits.queue_seconds == 0.25


def test_next_revision_keeps_earlier_changes(tmp_path: Path) -> None:
    compile_declaration(BASE, None, 5, tmp_path)
    compile_declaration(BASE, OVERLAY, 6, tmp_path)
    changes = read_publication_files(tmp_path).head.changes
    assert [(each.revision, [name for name, _ in each.services]) for each in changes] == [
        (5, ["catalog", "upload"]),
        (6, ["catalog"]),
    ]


def test_values_of_removed_services_are_removed(tmp_path: Path) -> None:
    compile_declaration(BASE, None, 5, tmp_path)
    compile_declaration(EXAMPLES / "kallioniemi.ini", None, 6, tmp_path)
    assert sorted(path.name for path in (tmp_path / "service").iterdir()) == [
        "hakusana",
        "vastaanotto",
    ]


@pytest.mark.parametrize("revision", [pytest.param(5, id="same"), pytest.param(4, id="lower")])
def test_revision_that_is_not_higher_is_rejected(tmp_path: Path, revision: int) -> None:
    compile_declaration(BASE, None, 5, tmp_path)
    with pytest.raises(RevisionNotHigher):
        compile_declaration(BASE, OVERLAY, revision, tmp_path)
    assert read_publication_files(tmp_path).head.revision == 5


def test_changed_fields_are_listed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    overlay = tmp_path / "overlay.ini"
    overlay.write_text("[target catalog-1]\nstate = draining\n[class catalog/orders]\nweight = 5\n")
    compile_declaration(BASE, None, 1, tmp_path / "one")
    compile_declaration(BASE, overlay, 2, tmp_path / "two")
    before, after = (read_publication_files(tmp_path / each).bundle for each in ("one", "two"))
    assert diff(before, after).differences == (
        Difference(DifferenceKind.CHANGED, "class catalog/orders", "weight", "4.0", "5.0"),
        Difference(DifferenceKind.CHANGED, "target catalog-1", "state", "active", "draining"),
    )
    arguments = [str(tmp_path / "one"), str(tmp_path / "two")]
    assert run(_diff.make_command(), *arguments) == EXIT_OK
    assert "target catalog-1: state active -> draining" in capsys.readouterr().out
    assert run(_diff.make_command(), "--output=json", *arguments) == EXIT_OK
    assert len(json.loads(capsys.readouterr().out)["differences"]) == 2


def test_added_and_removed_parts_are_listed(tmp_path: Path) -> None:
    compile_declaration(BASE, None, 1, tmp_path / "one")
    compile_declaration(EXAMPLES / "kallioniemi.ini", None, 2, tmp_path / "two")
    before, after = (read_publication_files(tmp_path / each).bundle for each in ("one", "two"))
    assert {(each.kind, each.part) for each in diff(before, after).differences} == {
        (DifferenceKind.REMOVED, "service catalog"),
        (DifferenceKind.REMOVED, "service upload"),
        (DifferenceKind.ADDED, "service hakusana"),
        (DifferenceKind.ADDED, "service vastaanotto"),
    }


@pytest.mark.parametrize(
    ("command", "arguments", "code"),
    [
        pytest.param(_check.make_command(), [], EXIT_USAGE, id="check without arguments"),
        pytest.param(
            _check.make_command(), ["/none.ini"], EXIT_FAILED, id="check of a missing file"
        ),
        pytest.param(
            _compile.make_command(), [str(BASE)], EXIT_USAGE, id="compile without revision"
        ),
        pytest.param(
            _diff.make_command(), ["/none", "/none"], EXIT_FAILED, id="diff of missing directories"
        ),
        pytest.param(_diff.make_command(), ["/none"], EXIT_USAGE, id="diff of one directory"),
    ],
)
def test_invalid_arguments_set_exit_code(command: Command, arguments: list[str], code: int) -> None:
    assert run(command, *arguments) == code


def overlay_of(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "overlay.ini"
    path.write_text(text)
    return path


@pytest.mark.parametrize("name", ["sibiu", "kallioniemi"])
def test_examples_have_no_warnings(name: str) -> None:
    assert check(EXAMPLES / f"{name}.ini", EXAMPLES / f"{name}-site.ini").findings == ()


@pytest.mark.parametrize(
    "overlay",
    [
        pytest.param(
            "[service upload]\ntries = 3\n[target upload-1]\nstate = draining\n",
            id="a target drains for a while",
        ),
        pytest.param(
            "[service upload]\nqueue_time = 500 ms\n[class upload/sheets]\ndeadline = 400 ms\n",
            id="default queue time",
        ),
    ],
)
def test_intended_settings_are_no_warnings(tmp_path: Path, overlay: str) -> None:
    assert check(BASE, overlay_of(tmp_path, overlay)).findings == ()


# Guards against mistakes in a declaration that otherwise show only under load.
@pytest.mark.parametrize(
    ("overlay", "findings"),
    [
        pytest.param(
            "[class catalog/orders]\npath = /orders#new\n",
            ["ClassNeverMatches"],
            id="fragment in a path",
        ),
        pytest.param(
            "[service catalog]\nqueue_time = 30 s\n[class catalog/orders]\ndeadline = 30 s\n",
            ["QueueOutlastsDeadline"],
            id="queue as long as the deadline",
        ),
        pytest.param(
            "[service catalog]\nqueue_length = 0\nqueue_time = 1 s\n",
            ["QueueTimeWithoutQueue"],
            id="queue time without a queue",
        ),
        pytest.param(
            "[service upload]\ntries = 5\n", ["TriesExceedTargets"], id="more tries than targets"
        ),
        pytest.param(
            "[service upload]\nretry_share = 0\n", ["TriesWithoutRetries"], id="no retries"
        ),
        pytest.param(
            "".join(f"[target upload-{number}]\nstate = draining\n" for number in (1, 2, 3)),
            ["NoActiveTarget"],
            id="all targets draining",
        ),
        pytest.param(
            "[class catalog/orders]\nshape = subscription\n"
            + "".join(f"[target catalog-{number}]\nconnections = 0\n" for number in range(1, 8)),
            ["NoConnections"],
            id="subscriptions without connections",
        ),
    ],
)
def test_contradictions_are_warnings(tmp_path: Path, overlay: str, findings: list[str]) -> None:
    result = check(BASE, overlay_of(tmp_path, overlay))
    assert result.accepted
    assert sorted({type(each).__name__ for each in result.findings}) == findings


def test_check_compares_with_the_publication_in_force(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    compile_declaration(BASE, None, 4, tmp_path / "in-force")
    overlay = overlay_of(tmp_path, "[service upload]\ntries = 5\n")
    arguments = [f"--against={tmp_path / 'in-force'}", str(BASE), str(overlay)]
    assert run(_check.make_command(), *arguments) == EXIT_OK
    text = capsys.readouterr().out
    assert "warning: [service upload] allows 5 tries, but has 3 targets" in text
    assert "revision 4: 1 differences" in text
    assert run(_check.make_command(), "--strict", "--output=json", *arguments) == EXIT_FAILED
    result = json.loads(capsys.readouterr().out)
    assert (result["accepted"], result["compared_revision"]) == (True, 4)
    changed = [(e["part"], e["field"], e["before"], e["after"]) for e in result["differences"]]
    assert changed == [("service upload", "tries", "4", "5")]
    assert run(_check.make_command(), f"--against={tmp_path}", str(BASE)) == EXIT_FAILED
