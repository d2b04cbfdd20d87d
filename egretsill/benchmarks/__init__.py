"""Benchmarks of speed and memory, reported as ratios and slopes within one run."""
