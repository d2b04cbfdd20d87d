"""Command-line tool for operators."""

from ._main import main, run

__all__ = ["main", "run"]
