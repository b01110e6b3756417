"""A router for separate prefill and decode pools and the services beside them."""

__version__ = "0.1.0"
__all__ = ["__version__"]
