"""The operators' command-line tool."""

from ._main import main, run

__all__ = ["main", "run"]
