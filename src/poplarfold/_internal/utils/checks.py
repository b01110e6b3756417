"""Checks of values from documents that another program has written.

Each check returns the value, or raises TypeError or ValueError with the field's name.
"""

__all__ = [
    "check_address",
    "check_integer",
    "check_number",
    "check_text",
]

# JSON programs agree on integers up to this one, and it converts to a float exactly.
INTEGER_MAX = 2**53


def check_text(value: object, name: str) -> str:
    """Return a non-empty string."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def check_integer(value: object, name: str) -> int:
    """Return an integer from 0 to INTEGER_MAX."""
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    if not 0 <= value <= INTEGER_MAX:
        raise ValueError(f"{name} is not an integer from 0 to 2**53")
    return value


def check_number(value: object, name: str) -> float:
    """Return a number from 0 to INTEGER_MAX."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is not a number")
    if not 0 <= value <= INTEGER_MAX:
        raise ValueError(f"{name} is not a number from 0 to 2**53")
    return float(value)


def check_address(value: object, name: str) -> str:
    """Return an ``IP:PORT`` with an IPv4 address."""
    found = check_text(value, name)
    host, _, port = found.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(is_number(part, 255) for part in parts):
        raise ValueError(f"{name} does not start with an IPv4 address")
    if not is_number(port, 65535) or int(port) == 0:
        raise ValueError(f"{name} does not end with a valid port")
    return found


def is_number(text: str, limit: int) -> bool:
    """Return whether a text has up to five ASCII digits, with a value up to a limit."""
    is_short = text.isascii() and text.isdigit() and len(text) <= 5
    return is_short and int(text) <= limit
