from __future__ import annotations

from ...measurements import Measurement
from .._measures_table import measures_table

MEASURES = [
    Measurement("speed", "fast", 1234.56789, 2000, None, True),
    Measurement("speed", "slow", 0.5, 0.25, 1.0, False),
]


def test_table_has_one_row_per_line_and_highlights_misses() -> None:
    first, _, _, _, *rows = measures_table(MEASURES).splitlines()
    assert first == "1 of 2 lines hold."
    assert rows == [
        "| speed | fast | 1,234.568 | 2,000 |  | yes |",
        "| speed | slow | 0.5 | 0.25 | 1.0 | **no** |",
    ]
