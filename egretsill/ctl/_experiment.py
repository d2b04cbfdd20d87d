"""`egretsillctl experiment`: plots emulated days with several seeds and settings."""

from __future__ import annotations

import html
import itertools
import json
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
from typing import TYPE_CHECKING, Any

from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ._figures import EGRETSILL_COLOUR, Plot, as_svg, new_figure
from ._report import STYLE

if TYPE_CHECKING:
    from ..emulator import Adapter, Day, Played

PLOT_INCHES = 3.6
ROW_INCHES = 0.3


@dataclass(frozen=True, slots=True)
class Trial:
    """Results of a day with one setting.

    Attributes:
        label: name of the day, and the setting.
        played: the results, one for each seed.
    """

    label: str
    played: Sequence[Played]


def make_command() -> Command:
    """Return the `experiment` command."""
    values = new_flags()
    flags.DEFINE_list("seeds", ["1"], "Seeds to play each day with.", flag_values=values)
    flags.DEFINE_string(
        "vary",
        None,
        "KEY=VALUE,VALUE...: play each day with each value of this key.",
        flag_values=values,
    )
    flags.DEFINE_string("out", "experiment.html", "HTML file to write.", flag_values=values)
    flags.DEFINE_string(
        "adapter", None, "MODULE:FUNCTION that creates packets and the store.", flag_values=values
    )
    return Command(
        "experiment",
        "DAY...",
        "Play days with several seeds and settings, and write a page with plots.",
        values,
        _run,
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    from ..emulator import DEFAULT_ADAPTER, AdapterUnavailable, DayRejected, load_adapter

    if not arguments:
        print("experiment takes at least one DAY", file=sys.stderr)
        return EXIT_USAGE
    try:
        seeds = [int(each) for each in values.seeds]
        days = _vary(arguments, values.vary)
        adapter = load_adapter(values.adapter or DEFAULT_ADAPTER)
    except (DayRejected, AdapterUnavailable, ValueError) as error:
        print(f"experiment: {error}", file=sys.stderr)
        return EXIT_USAGE
    trials = [Trial(label, _play(day, adapter, seeds)) for label, day in days.items()]
    broken = sum(len(played.violations) for trial in trials for played in trial.played)
    try:
        Path(values.out).write_text(make_page(trials), encoding="utf-8")
    except (OSError, ImportError) as error:
        print(f"experiment: {error}", file=sys.stderr)
        return EXIT_FAILED
    summary = {"page": values.out, "played": len(trials) * len(seeds), "broken": broken}
    text = f"{values.out}: {summary['played']} days played, {broken} rule violations"
    print(json.dumps(summary) if values.output == "json" else text)
    return EXIT_FAILED if broken else EXIT_OK


def _play(day: Day, adapter: Adapter, seeds: Sequence[int]) -> Sequence[Played]:
    from ..emulator import play

    return [play(day, adapter, seed) for seed in seeds]


def _vary(names: Sequence[str], variation: str | None) -> Mapping[str, Day]:
    """Return the days by label, one for each value of the varied key.

    Raises:
        ValueError: if the variation isn't KEY=VALUE,VALUE or a value is invalid for the key.
    """
    from ..emulator import Day, library, load_day

    included_days = {path.stem: path for path in library()}
    days = {Path(name).stem: load_day(included_days.get(name, Path(name))) for name in names}
    if variation is None:
        return days
    key, separator, texts = variation.partition("=")
    if not separator or key not in Day.model_fields:
        raise ValueError(f"KEY=VALUE,VALUE is expected, with a key of days, not {variation!r}")
    return {
        f"{label}, {key} {text}": Day.model_validate({**day.model_dump(), key: text})
        for (label, day), text in itertools.product(days.items(), texts.split(","))
    }


def make_page(trials: Sequence[Trial]) -> str:
    """Return the page as HTML without references to other files.

    Raises:
        ImportError: if matplotlib is not installed.
    """
    plots = [
        Plot("Share of requests in time over the day", as_svg(_draw_time(trials))),
        _plot_bars("Share of requests in time, worst window", trials, _worst_share),
        _plot_bars("Most flows at one target, relative to the mean", trials, _imbalance),
        _plot_bars("Hops between agents per request", trials, _hops),
        _plot_bars("Store calls per second", trials, _store_calls),
    ]
    figures = "".join(f"<h2>{html.escape(each.title)}</h2>\n{each.svg}\n" for each in plots)
    rows = "".join(_table_row(trial) for trial in trials)
    return f"""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>egretsill: emulated days</title>
<style>{STYLE}</style></head><body>
<h1>egretsill: emulated days</h1>
<table><tr><th>day</th><th>requests</th><th>served</th><th>rule violations</th></tr>
{rows}</table>
{figures}</body></html>
"""


def _table_row(trial: Trial) -> str:
    counts = (
        sum(each.requests for each in trial.played),
        sum(each.served for each in trial.played),
        sum(len(each.violations) for each in trial.played),
    )
    cells = "".join(f'<td class="number">{count:,}</td>' for count in counts)
    return f"<tr><td>{html.escape(trial.label)}</td>{cells}</tr>\n"


def _draw_time(trials: Sequence[Trial]) -> Any:
    figure, axes = new_figure(PLOT_INCHES)
    plot = axes[0][0]
    for trial in trials:
        shares: dict[float, list[float]] = {}
        for played in trial.played:
            for window in played.windows:
                shares.setdefault(window.at, []).append(window.in_time / window.requests)
        points = sorted((at, fmean(found)) for at, found in shares.items())
        plot.plot(*zip(*points, strict=True), marker="o", label=trial.label)
    plot.set_xlabel("seconds since the first caller")
    plot.set_ylabel("share of requests in time")
    plot.set_ylim(0.0, 1.05)
    plot.grid(alpha=0.3)
    plot.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.01, 0.5))
    return figure


def _plot_bars(title: str, trials: Sequence[Trial], value: Callable[[Played], float]) -> Plot:
    figure, axes = new_figure(1.0 + ROW_INCHES * len(trials))
    plot = axes[0][0]
    means = [fmean(value(each) for each in trial.played) for trial in trials]
    bars = plot.barh(range(len(trials)), means, 0.7, color=EGRETSILL_COLOUR)
    plot.bar_label(bars, fmt="%.3g", padding=3, fontsize=7)
    plot.set_yticks(range(len(trials)))
    plot.set_yticklabels([trial.label for trial in trials], fontsize=8)
    plot.margins(x=0.1, y=0.02)
    plot.invert_yaxis()
    return Plot(title, as_svg(figure))


def _worst_share(played: Played) -> float:
    worst = played.worst_windows[0]
    return worst.in_time / worst.requests


def _imbalance(played: Played) -> float:
    flows = list(played.flows_by_target.values())
    return max(flows) / fmean(flows)


def _hops(played: Played) -> float:
    return played.hops / played.requests


def _store_calls(played: Played) -> float:
    return played.store_calls / played.virtual_seconds
