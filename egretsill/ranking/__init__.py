"""Rendezvous ranking of a service's targets, shared by steering by address and by connection ID."""

from ._ranking import BUCKETS, WinnerTable, bucket_of, first_not_avoided, rank

__all__ = ["BUCKETS", "WinnerTable", "bucket_of", "first_not_avoided", "rank"]
