"""Plots of measures and benchmarks as SVG; drawing them requires matplotlib."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ..benchmarks._result import BenchmarkResult
from ..measurements._measurement import Measurement
from ._figures import EGRETSILL_COLOUR, Plot, as_svg, new_figure

HEIGHT_INCHES = 4.2
ROW_INCHES = 0.36
LONGEST_LABEL = 64
CONTROL_LIMIT_BYTES = 18_000.0
EGRETSILL_LABEL = "egretsill"
BASELINE_COLOUR = "#c9a66b"
TARGET_COLOUR = "#a33b3b"
SIZE_SUFFIX = re.compile(r"^(.*), (\d+)$")
SCHEME_CASE_PREFIX = "flows broken by 50 planned changes, against "


@dataclass(frozen=True, slots=True)
class Bar:
    """One row of a bar plot.

    Attributes:
        baseline: the value under the policy that it is compared with, or None.
        target: the bound that the value should meet, or None.
    """

    label: str
    value: float
    baseline: float | None = None
    target: float | None = None


def make_plots(
    measures: Sequence[Measurement], results: Sequence[BenchmarkResult]
) -> Sequence[Plot]:
    """Return all plots for which there are values.

    Raises:
        ImportError: if matplotlib is not installed.
    """
    return [
        Plot(title, as_svg(figure)) for title, figure in make_figures(measures, results).items()
    ]


def make_figures(
    measures: Sequence[Measurement], results: Sequence[BenchmarkResult]
) -> Mapping[str, Any]:
    """Return matplotlib figures by title, omitting those without values.

    Raises:
        ImportError: if matplotlib is not installed.
    """
    drawings: dict[str, Callable[[], Any]] = {}
    imbalance = _imbalance(measures)
    broken = _broken_flows(measures)
    detection = _detection(measures)
    control = _control_bytes(measures)
    cost = _cost(results)
    if imbalance:
        drawings["Imbalance by policy"] = lambda: _draw_bars(imbalance, "ratio")
    if broken:
        drawings["Flows broken by 50 planned changes, by scheme"] = lambda: _draw_bars(
            broken, "flows"
        )
    if cost:
        drawings["Cost against size"] = lambda: _draw_cost(cost)
    if detection:
        drawings["Detection times"] = lambda: _draw_bars(detection, "seconds")
    if control:
        drawings["Control bytes against size"] = lambda: _draw_control(control)
    return {title: draw() for title, draw in drawings.items()}


def _imbalance(measures: Iterable[Measurement]) -> Sequence[Bar]:
    return [
        Bar(f"{each.measure.removeprefix('placement.')}: {each.case}", each.value, each.baseline)
        for each in measures
        if "imbalance" in each.measure and each.baseline is not None
    ]


def _broken_flows(measures: Iterable[Measurement]) -> Sequence[Bar]:
    rows = [each for each in measures if each.case.startswith(SCHEME_CASE_PREFIX)]
    if not rows:
        return []
    baselines = [
        Bar(each.case.removeprefix(SCHEME_CASE_PREFIX), each.baseline or 0.0) for each in rows
    ]
    return [Bar("owner IDs (egretsill)", rows[0].value), *baselines]


def _detection(measures: Iterable[Measurement]) -> Sequence[Bar]:
    return [
        Bar(f"{each.measure}: {each.case}", each.value, target=each.target)
        for each in measures
        if each.case.startswith(("detection", "seconds until first packets avoid"))
        or (each.measure == "silence" and "noticed" in each.case)
    ]


def _control_bytes(measures: Iterable[Measurement]) -> Mapping[str, list[tuple[int, float]]]:
    lines: dict[str, list[tuple[int, float]]] = {}
    for each in measures:
        sized = SIZE_SUFFIX.match(each.case)
        if sized and sized[1].startswith("bytes"):
            lines.setdefault(f"{each.measure}: {sized[1]}", []).append((int(sized[2]), each.value))
    return lines


def _cost(
    results: Iterable[BenchmarkResult],
) -> Mapping[str, Mapping[str, list[tuple[int, float]]]]:
    """Return points of size and value, by unit and case."""
    units: dict[str, dict[str, list[tuple[int, float]]]] = {}
    for each in results:
        if each.size is not None and each.unit in ("milliseconds", "microseconds", "MB", "kB"):
            lines = units.setdefault(each.unit, {})
            lines.setdefault(f"{each.benchmark}: {each.case}", []).append((each.size, each.value))
    plottable = {
        unit: {case: points for case, points in lines.items() if len(points) > 1}
        for unit, lines in units.items()
    }
    return {unit: lines for unit, lines in plottable.items() if lines}


def _draw_bars(bars: Sequence[Bar], unit: str) -> Any:
    figure, axes = new_figure(1.2 + ROW_INCHES * len(bars))
    plot = axes[0][0]
    has_baseline = any(each.baseline is not None for each in bars)
    thickness = 0.4 if has_baseline else 0.7
    positions = range(len(bars))
    values = [each.value for each in bars]
    bar_container = plot.barh(
        positions, values, thickness, color=EGRETSILL_COLOUR, label=EGRETSILL_LABEL
    )
    plot.bar_label(bar_container, fmt="%.4g", padding=3, fontsize=7)
    if has_baseline:
        baseline_positions = [position + thickness for position in positions]
        baseline_values = [each.baseline or 0.0 for each in bars]
        plot.barh(
            baseline_positions,
            baseline_values,
            thickness,
            color=BASELINE_COLOUR,
            label="best other policy",
        )
    targets = [
        (position, each.target) for position, each in enumerate(bars) if each.target is not None
    ]
    if targets:
        rows, bounds = zip(*targets, strict=True)
        plot.plot(bounds, rows, "|", color=TARGET_COLOUR, markersize=14, label="target")
    plot.set_yticks([position + (thickness / 2 if has_baseline else 0) for position in positions])
    plot.set_yticklabels([_shorten(each.label) for each in bars], fontsize=8)
    plot.margins(x=0.1, y=0.01)
    plot.invert_yaxis()
    plot.set_xlabel(unit)
    if has_baseline or targets:
        figure.legend(loc="outside upper right", ncols=3, fontsize=8)
    return figure


def _draw_cost(units: Mapping[str, Mapping[str, list[tuple[int, float]]]]) -> Any:
    figure, axes = new_figure(HEIGHT_INCHES * len(units), rows=len(units))
    for (unit, lines), (plot,) in zip(units.items(), axes, strict=True):
        _draw_lines(plot, lines, unit)
    return figure


def _draw_control(lines: Mapping[str, list[tuple[int, float]]]) -> Any:
    figure, axes = new_figure(HEIGHT_INCHES)
    plot = axes[0][0]
    plot.axhline(CONTROL_LIMIT_BYTES, color=TARGET_COLOUR, linestyle="--", label="limit, 18 KB")
    _draw_lines(plot, lines, "bytes a second")
    return figure


def _draw_lines(plot: Any, lines: Mapping[str, list[tuple[int, float]]], unit: str) -> None:
    for case, points in lines.items():
        plot.plot(*zip(*sorted(points), strict=True), marker="o", label=_shorten(case))
    plot.set_xscale("log")
    plot.set_yscale("log")
    plot.set_xlabel("size")
    plot.set_ylabel(unit)
    plot.grid(alpha=0.3)
    plot.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.01, 0.5))


def _shorten(label: str) -> str:
    return label if len(label) <= LONGEST_LABEL else label[: LONGEST_LABEL - 1] + "…"
