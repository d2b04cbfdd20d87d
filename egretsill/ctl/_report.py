"""`egretsillctl report`: writes measures and benchmarks as one page with plots."""

from __future__ import annotations

import html
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags
from absl.flags import FlagValues

from ..benchmarks._result import BenchmarkResult
from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..measurements._measurement import Measurement
from ._figures import Plot
from ._report_plots import make_plots

STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 62em; color: #222; }
svg { width: 100%; height: auto; }
table { border-collapse: collapse; width: 100%; font-size: 13px; }
td, th { border-bottom: 1px solid #ddd; padding: 3px 8px; text-align: left; }
td.number { text-align: right; }
tr.missed { background: #f7dcdc; }
"""


class MalformedLines(Exception):
    """A file contains a line that is not a measure or benchmark result.

    Attributes:
        path: the file.
        line: number of the first such line.
    """

    def __init__(self, path: Path, line: int) -> None:
        super().__init__(f"{path}: line {line} is not of the expected form")
        self.path = path
        self.line = line


def make_command() -> Command:
    """Return the `report` command."""
    values = new_flags()
    flags.DEFINE_string(
        "measures", None, "File with the output of the measures.", flag_values=values
    )
    flags.DEFINE_string(
        "bench", None, "File with the output of the benchmarks.", flag_values=values
    )
    flags.DEFINE_string("out", "report.html", "HTML file to write.", flag_values=values)
    return Command(
        "report",
        "",
        "Write measures and benchmarks as one page; needs matplotlib.",
        values,
        _run,
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if arguments or values.measures is None or values.bench is None:
        print("report takes --measures=FILE and --bench=FILE", file=sys.stderr)
        return EXIT_USAGE
    try:
        measures = read_measures(Path(values.measures))
        results = read_results(Path(values.bench))
        page = make_page(measures, results, make_plots(measures, results))
        Path(values.out).write_text(page)
    except (OSError, MalformedLines, ImportError) as error:
        print(f"report: {error}", file=sys.stderr)
        return EXIT_FAILED
    missed = sum(not each.holds for each in measures)
    summary = {"page": values.out, "measures": len(measures), "missed": missed}
    text = f"{values.out}: {len(measures)} measures, {missed} missed"
    print(json.dumps(summary) if values.output == "json" else text)
    return EXIT_OK


def read_measures(path: Path) -> Sequence[Measurement]:
    """Return the measures in a file, one per line.

    Raises:
        OSError: if the file can't be read.
        MalformedLines: if a line is not a measure.
    """
    measures = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            measures.append(Measurement(**json.loads(line)))
        except (ValueError, TypeError):
            raise MalformedLines(path, number) from None
    return measures


def read_results(path: Path) -> Sequence[BenchmarkResult]:
    """Return the benchmark results in a file, one per line except the line with the date.

    Raises:
        OSError: if the file can't be read.
        MalformedLines: if a line is not a benchmark result.
    """
    results = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            fields = json.loads(line)
            if "date" not in fields:
                results.append(BenchmarkResult(**fields))
        except (ValueError, TypeError):
            raise MalformedLines(path, number) from None
    return results


def make_page(
    measures: Sequence[Measurement], results: Sequence[BenchmarkResult], plots: Sequence[Plot]
) -> str:
    """Return the page as HTML without references to other files."""
    missed = sum(not each.holds for each in measures)
    figures = "".join(f"<h2>{html.escape(each.title)}</h2>\n{each.svg}\n" for each in plots)
    goals = [each for each in results if each.goal is not None]
    return f"""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>egretsill: measures</title>
<style>{STYLE}</style></head><body>
<h1>egretsill: measures</h1>
<p>{len(measures)} measures, of which {missed} miss their target.</p>
{figures}
<h2>All measures</h2>
{_table([_measure_row(each) for each in measures], "baseline")}
<h2>Benchmarks with a goal</h2>
{_table([_result_row(each) for each in goals], "unit")}
</body></html>
"""


def _table(rows: Sequence[str], last: str) -> str:
    names = ("what", "case", "value", "target", last, "holds")
    head = "".join(f"<th>{name}</th>" for name in names)
    return f"<table><tr>{head}</tr>\n" + "\n".join(rows) + "</table>"


def _measure_row(measure: Measurement) -> str:
    figures = (measure.value, measure.target, measure.baseline)
    cells = [_text(measure.measure), _text(measure.case), *map(_number, figures)]
    return _row(cells, measure.holds)


def _result_row(result: BenchmarkResult) -> str:
    case = result.case if result.size is None else f"{result.case}, {result.size:,}"
    figures = map(_number, (result.value, result.goal))
    cells = [_text(result.benchmark), _text(case), *figures, _text(result.unit)]
    return _row(cells, result.holds is not False)


def _row(cells: Sequence[str], holds: bool) -> str:
    opening = "<tr>" if holds else '<tr class="missed">'
    return opening + "".join(cells) + _text("yes" if holds else "no") + "</tr>"


def _text(content: str) -> str:
    return f"<td>{html.escape(content)}</td>"


def _number(value: float | None) -> str:
    shown = "" if value is None else f"{value:,.4g}"
    return f'<td class="number">{shown}</td>'
