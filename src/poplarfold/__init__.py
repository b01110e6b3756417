"""A router for prefill pools, decode pools and plain services."""

__version__ = "0.1.0"
__all__ = ["__version__"]
