"""Rendezvous ranking of a service's targets, shared by both ways to steer."""

from ._ranking import BUCKETS, WinnerTable, bucket_of, first_unavoided, rank

__all__ = ["BUCKETS", "WinnerTable", "bucket_of", "first_unavoided", "rank"]
