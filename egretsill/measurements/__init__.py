"""Seeded measures of the decisions against baselines."""
