"""Least-squares slopes over sizes, processor time and resident memory."""

from __future__ import annotations

import gc
import importlib
import multiprocessing
import resource
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import TypeVar

from ._result import BenchmarkResult

STATM = Path("/proc/self/statm")
SUBPROCESS_TIMEOUT_SECONDS = 60.0

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted by least squares.

    Attributes:
        base: intercept, the value at size 0.
        slope: growth of the value per unit of size.
    """

    base: float
    slope: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line of pairs of size and value.

    Raises:
        statistics.StatisticsError: if there are fewer than two sizes.
    """
    slope, base = statistics.linear_regression(*zip(*points, strict=True))
    return Line(base, slope)


def slope_result(results: Sequence[BenchmarkResult], unit: str) -> BenchmarkResult:
    """Return the growth per unit of size of the results of one case."""
    line = fit([(each.size or 0, each.value) for each in results])
    first = results[0]
    return BenchmarkResult(first.benchmark, f"slope of {first.case}", line.slope, unit)


def resident_bytes() -> int:
    """Return the resident size of this process after a garbage collection."""
    gc.collect()
    return int(STATM.read_text().split()[1]) * resource.getpagesize()


def processor_seconds(work: Callable[[], object]) -> float:
    """Return the processor time in seconds that a call takes."""
    start = time.process_time()
    work()
    return time.process_time() - start


def run_in_subprocess(function: Callable[..., ResultT], *arguments: object) -> ResultT:
    """Run a module-level function in a new process, with its own heap, and return the result.

    Raises:
        TimeoutError: if the new process does not finish in time.
    """
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=_run_subprocess, args=(child_pipe, function, arguments))
    process.start()
    try:
        if not parent_pipe.poll(SUBPROCESS_TIMEOUT_SECONDS):
            raise TimeoutError
        result: ResultT = parent_pipe.recv()
        return result
    finally:
        process.terminate()
        process.join()


def memory_growth_bytes(make: Callable[..., object], *arguments: object) -> int:
    """Return how many bytes a new process grows by when it makes an object and keeps it.

    Args:
        make: module-level function that makes and returns the object.
        arguments: picklable arguments of `make`.

    Raises:
        TimeoutError: if the new process does not finish in time.
    """
    return run_in_subprocess(_measure_growth, make, arguments)


def resident_bytes_after_import(module: str) -> int:
    """Return the resident size of a new process that has imported one module.

    Raises:
        TimeoutError: if the new process does not finish in time.
    """
    return run_in_subprocess(_import_and_measure, module)


def _run_subprocess(
    pipe: Connection, function: Callable[..., object], arguments: Sequence[object]
) -> None:
    pipe.send(function(*arguments))


def _measure_growth(make: Callable[..., object], arguments: Sequence[object]) -> int:
    before = resident_bytes()
    made = make(*arguments)
    grown = resident_bytes() - before
    del made
    return grown


def _import_and_measure(module: str) -> int:
    importlib.import_module(module)
    return resident_bytes()
