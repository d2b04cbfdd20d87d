"""Slopes over sizes, and memory as the system counts it."""

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
CHILD_SECONDS = 60.0

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line by least squares.

    Attributes:
        base: value at size 0.
        slope: growth of the value for each unit of size.
    """

    base: float
    slope: float


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Return the line through pairs of size and value.

    Raises:
        statistics.StatisticsError: if there are fewer than two sizes.
    """
    slope, base = statistics.linear_regression(*zip(*points, strict=True))
    return Line(base, slope)


def slope_result(results: Sequence[BenchmarkResult], unit: str) -> BenchmarkResult:
    """Return the growth of results of one case for each unit of size."""
    line = fit([(each.size or 0, each.value) for each in results])
    first = results[0]
    return BenchmarkResult(first.benchmark, f"slope of {first.case}", line.slope, unit)


def resident_bytes() -> int:
    """Return the resident size of this process after a collection of garbage."""
    gc.collect()
    return int(STATM.read_text().split()[1]) * resource.getpagesize()


def processor_seconds(work: Callable[[], object]) -> float:
    """Return the processor time that some work takes."""
    start = time.process_time()
    work()
    return time.process_time() - start


def in_child(function: Callable[..., ResultT], *arguments: object) -> ResultT:
    """Return what a function of a module returns in a new process, whose heap is its own.

    Raises:
        TimeoutError: if the new process takes too long.
    """
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_run_child, args=(theirs, function, arguments))
    process.start()
    try:
        if not ours.poll(CHILD_SECONDS):
            raise TimeoutError
        result: ResultT = ours.recv()
        return result
    finally:
        process.terminate()
        process.join()


def grown_bytes(make: Callable[..., object], *arguments: object) -> int:
    """Return by how much a new process grows while it makes an object and holds it.

    Args:
        make: a function of a module; it makes and returns the object.
        arguments: for `make`, picklable.

    Raises:
        TimeoutError: if the new process takes too long.
    """
    return in_child(_growth, make, arguments)


def resident_bytes_with(module: str) -> int:
    """Return the resident size of a new process that has imported one module.

    Raises:
        TimeoutError: if the new process takes too long.
    """
    return in_child(_size_with, module)


def _run_child(
    pipe: Connection, function: Callable[..., object], arguments: Sequence[object]
) -> None:
    pipe.send(function(*arguments))


def _growth(make: Callable[..., object], arguments: Sequence[object]) -> int:
    before = resident_bytes()
    held = make(*arguments)
    grown = resident_bytes() - before
    del held
    return grown


def _size_with(module: str) -> int:
    importlib.import_module(module)
    return resident_bytes()
