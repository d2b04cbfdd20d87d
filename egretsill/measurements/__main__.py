"""Runs every measure in this package and prints one JSON line for each value."""

from __future__ import annotations

import importlib
import pkgutil
import sys

from . import __path__ as measurement_path


def run() -> int:
    """Run all measures, or those named on the command line; return 1 if any target is missed."""
    wanted = sys.argv[1:]
    missed = 0
    for module in pkgutil.iter_modules(measurement_path):
        if module.name.startswith("_") or module.ispkg:
            continue
        if wanted and module.name not in wanted:
            continue
        measure = importlib.import_module(f"{__package__}.{module.name}").measure
        for measurement in measure():
            print(measurement.to_json(), flush=True)
            missed += not measurement.holds
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(run())
