"""Matplotlib figures as SVG; matplotlib is imported only when a figure is drawn."""

from __future__ import annotations

import io
from dataclasses import dataclass
from typing import Any

WIDTH_INCHES = 10.0
EGRETSILL_COLOUR = "#1f6f8b"


@dataclass(frozen=True, slots=True)
class Plot:
    """A plot with its title.

    Attributes:
        svg: an `svg` element that can be embedded in a page.
    """

    title: str
    svg: str


def new_figure(height: float, columns: int = 1, rows: int = 1) -> Any:
    """Return a figure and its grid of axes.

    Raises:
        ImportError: if matplotlib is not installed.
    """
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_INCHES, height), layout="constrained")
    return figure, figure.subplots(rows, columns, squeeze=False)


def as_svg(figure: Any) -> str:
    """Return a figure as an `svg` element."""
    content = io.StringIO()
    figure.savefig(content, format="svg", metadata={"Date": None})
    document = content.getvalue()
    return document[document.index("<svg") :]
