"""Seeded measures of the decisions against baselines."""

from ._measurement import Measurement

__all__ = ["Measurement"]
