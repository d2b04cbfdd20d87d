from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from ...benchmarks._result import BenchmarkResult
from ...commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from ...measurements._measurement import Measurement
from .._main import main
from .._report import make_page

SCHEME = "flows broken by 50 planned changes, against hash modulo N"
MEASURES = [
    Measurement("steering", SCHEME, 0, 0, 8399, True),
    Measurement("membership", "detection by all, 10% loss, 60", 6.0, 5.0, None, False),
    Measurement("membership", "bytes a second a process, 60", 900.0, 18_000.0, None, True),
    Measurement("placement.imbalance", "sibiu <late>, load 80%", 0.1, 0.2, 0.3, True),
]
RESULTS = [
    BenchmarkResult("control", "memory by members", 1.0, "MB", 20, 128.0, True),
    BenchmarkResult("control", "memory by members", 2.0, "MB", 60, 128.0, True),
]


def write_files(directory: Path) -> list[str]:
    measures, bench = directory / "measures.json", directory / "bench.json"
    measures.write_text("\n".join(each.to_json() for each in MEASURES))
    lines = [json.dumps({"date": "2026-01-01"}), *(each.to_json() for each in RESULTS)]
    bench.write_text("\n".join(lines))
    return [f"--measures={measures}", f"--bench={bench}", f"--out={directory / 'report.html'}"]


def test_page_is_self_contained_with_all_measures_and_plots(tmp_path: Path) -> None:
    pytest.importorskip("matplotlib")
    assert main(["report", *write_files(tmp_path)]) == EXIT_OK
    page = (tmp_path / "report.html").read_text()
    assert page.count("<svg") == 5
    assert page.count('<tr class="missed">') == 1
    assert "4 measures, of which 1 miss their target" in page
    assert not re.search(r'(?:src|href)="(?!#)', page)


def test_measure_texts_are_escaped() -> None:
    page = make_page(MEASURES, RESULTS, [])
    assert "sibiu &lt;late&gt;" in page
    assert "<late>" not in page


@pytest.mark.parametrize(
    ("modify", "code"),
    [
        pytest.param(lambda arguments: arguments[:1], EXIT_USAGE, id="no benchmarks"),
        pytest.param(lambda arguments: [*arguments, "x"], EXIT_USAGE, id="unexpected argument"),
        pytest.param(
            lambda arguments: [arguments[1].replace("bench=", "measures="), *arguments[1:]],
            EXIT_FAILED,
            id="lines of another kind",
        ),
        pytest.param(
            lambda arguments: ["--measures=/none", *arguments[1:]], EXIT_FAILED, id="missing file"
        ),
    ],
)
def test_invalid_arguments_set_exit_code(tmp_path: Path, modify: object, code: int) -> None:
    assert callable(modify)
    assert main(["report", *modify(write_files(tmp_path))]) == code
