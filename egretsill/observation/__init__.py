"""Counters, histograms, state pages and log lines."""
