"""Plays every day of the emulator's library and every wrong decision, and counts the results.

    python -m egretsill.measurements.emulated_days --seed=1

The last line is one line of JSON, the same for the same seed.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass

from absl import flags

from ..commands import new_flags
from ..emulator import Adapter, Played, library, load_adapter, load_day, play
from ._wrong_decisions import WRONG_DECISIONS


@dataclass(frozen=True, slots=True)
class Counts:
    """The results of all days.

    Attributes:
        days: days played with the real decisions.
        requests: requests of callers on those days.
        served: requests that were served.
        broken: broken guarantees on those days.
        mutants: wrong decisions played.
        mutants_caught: wrong decisions for which the judge reported a broken guarantee.
    """

    days: int
    requests: int
    served: int
    broken: int
    mutants: int
    mutants_caught: int

    def as_json(self) -> str:
        """Return the counts as one line of JSON."""
        return json.dumps({name: getattr(self, name) for name in self.__slots__})


def play_all(adapter: Adapter, seed: int) -> Counts:
    """Play everything and print a line for each day."""
    days = {path.stem: load_day(path) for path in library()}
    played = {name: play(day, adapter, seed) for name, day in days.items()}
    for name, each in played.items():
        print(_format_played(name, each))
    caught = 0
    for wrong in WRONG_DECISIONS:
        with wrong.applied():
            seen = play(days[wrong.day], adapter, seed).violations
        caught += bool(seen)
        rules = sorted({each.rule.value for each in seen})
        print(f"wrong: {wrong.name}: {', '.join(rules) or 'not noticed'}")
    return Counts(
        days=len(played),
        requests=sum(each.requests for each in played.values()),
        served=sum(each.served for each in played.values()),
        broken=sum(len(each.violations) for each in played.values()),
        mutants=len(WRONG_DECISIONS),
        mutants_caught=caught,
    )


def _format_played(name: str, played: Played) -> str:
    outcomes = ", ".join(f"{count} {each.value}" for each, count in played.outcomes.items())
    worst = ", ".join(
        f"{each.in_time} of {each.requests} at {each.at:g} s" for each in played.worst_windows
    )
    rules = ", ".join(f"{each.rule.value}: {each.detail}" for each in played.violations[:3])
    return f"{name}: {outcomes}; worst windows {worst}; broken: {rules or 'nothing'}"


def main(arguments: Sequence[str]) -> int:
    """Run the program; return 0 if no guarantee was broken and every wrong decision detected."""
    values = new_flags()
    flags.DEFINE_integer("seed", 1, "Seed of all chance.", flag_values=values)
    values(arguments)
    counts = play_all(load_adapter(), values.seed)
    print(counts.as_json())
    return int(counts.broken > 0 or counts.mutants_caught < counts.mutants)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
