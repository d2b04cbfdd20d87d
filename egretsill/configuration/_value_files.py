"""Published values as files below a directory, one file for each value."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path


def read_value_files(directory: Path) -> Mapping[str, bytes]:
    """Return the values below a directory by key, without files whose name begins with a dot.

    Raises:
        OSError: if a file can't be read.
    """
    return {
        path.relative_to(directory).as_posix(): path.read_bytes()
        for path in sorted(directory.rglob("*"))
        if path.is_file() and not path.name.startswith(".")
    }
