"""Reads attribute descriptions from class docstrings."""

from __future__ import annotations

import inspect
import re
from collections.abc import Mapping

_HEADING = "Attributes:"
_ENTRY = re.compile(r"^    (\w+): (.*)$")
_CONTINUATION = re.compile(r"^        +(\S.*)$")


def attribute_docs(documented: type) -> Mapping[str, str]:
    """Return the description of each attribute in a class docstring, joined to one line."""
    lines = (inspect.getdoc(documented) or "").splitlines()
    if _HEADING not in lines:
        return {}
    texts: dict[str, str] = {}
    name = ""
    for line in lines[lines.index(_HEADING) + 1 :]:
        if entry := _ENTRY.match(line):
            name = entry[1]
            texts[name] = entry[2]
        elif name and (continuation := _CONTINUATION.match(line)):
            texts[name] += " " + continuation[1]
        else:
            break
    return texts
