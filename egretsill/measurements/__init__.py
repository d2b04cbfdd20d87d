"""Seeded measures of the decision classes, compared with baselines."""

from ._measurement import Measurement

__all__ = ["Measurement"]
