"""A layer-4 load balancer for callers that stay connected for hours."""

__all__ = ["__version__"]

__version__ = "0.1.0"
