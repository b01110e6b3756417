"""What decoding of an untrusted JSON document can raise."""

__all__ = ["MALFORMED"]

MALFORMED = (
    AttributeError,
    KeyError,
    # Converting an infinite number to an integer.
    OverflowError,
    # Documents that are nested too deeply.
    RecursionError,
    TypeError,
    ValueError,
)
