"""A library for callers."""
