"""Reads and writes a publication as files in a directory, one file for each value."""

from __future__ import annotations

import os
from pathlib import Path

from ..configuration import (
    HEAD_KEY,
    ConfigurationError,
    Publication,
    decode_publication,
    encode_publication,
    read_value_files,
)


class RevisionNotHigher(ConfigurationError):
    """A revision number is not higher than the published one.

    Publishing it would go back, or give one number two contents.

    Attributes:
        revision: the requested number.
        published: the number in the directory.
    """

    def __init__(self, revision: int, published: int) -> None:
        super().__init__(
            f"revision {revision} is not higher than the published revision {published}"
        )
        self.revision = revision
        self.published = published


def read_publication_files(directory: Path) -> Publication:
    """Return the publication in a directory.

    Raises:
        ConfigurationError: if values are missing, malformed or of different revisions.
        OSError: if a file can't be read.
    """
    return decode_publication(read_value_files(directory))


def write_publication_files(directory: Path, publication: Publication) -> int:
    """Write a publication, its head last, then remove values that it doesn't contain.

    Returns the number of files that changed.

    Raises:
        ConfigurationError: if a value is too large.
        OSError: if a file can't be written.
    """
    values = encode_publication(publication)
    before = read_value_files(directory)
    changed = [key for key, value in values.items() if before.get(key) != value]
    for key in sorted(changed, key=lambda key: key == HEAD_KEY):
        _replace_file(directory / key, values[key])
    for key in before.keys() - values.keys():
        if key.partition("/")[0] in ("index", "page", "service"):
            (directory / key).unlink()
    return len(changed)


def _replace_file(path: Path, content: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f".{path.name}.part")
    temporary.write_bytes(content)
    os.replace(temporary, path)
