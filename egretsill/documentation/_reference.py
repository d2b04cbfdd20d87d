"""The reference tables of the operators' guide as Markdown."""

from __future__ import annotations

from collections.abc import Sequence

from ..observation import log_reference, metric_reference
from ._sections import DECLARATION_SECTIONS, SECTIONS, SectionReference
from ._settings_table import settings_table


def make_reference() -> str:
    """Return the tables of settings, metrics and log lines, each under its heading."""
    parts = ["### Settings of a daemon\n", *_section_parts(SECTIONS)]
    parts += ["### Declaration of services\n", *_section_parts(DECLARATION_SECTIONS)]
    parts += ["### Metrics\n", metric_reference(), "### Log lines\n", log_reference()]
    return "\n".join(parts)


def _section_parts(sections: Sequence[SectionReference]) -> Sequence[str]:
    return [f"`[{each.name}]`\n\n{settings_table(each.model, each.meanings)}" for each in sections]
