"""The exceptions that decoding an untrusted JSON document can raise."""

__all__ = ["MALFORMED_DOCUMENT_ERRORS"]

MALFORMED_DOCUMENT_ERRORS = (
    AttributeError,
    KeyError,
    # Raised when an infinite number is converted to an integer.
    OverflowError,
    # Raised for documents that are nested too deeply.
    RecursionError,
    TypeError,
    ValueError,
)
