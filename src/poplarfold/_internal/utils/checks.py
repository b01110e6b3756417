"""Checks of values from documents that another program has written.

Each check returns the value, or raises TypeError or ValueError with the field's name.
"""

import ipaddress
import re

__all__ = [
    "check_address",
    "check_integer",
    "check_number",
    "check_sendable",
    "check_text",
]

# JSON programs agree on integers up to this one, and it converts to a float exactly.
INTEGER_MAX = 2**53
PORT = re.compile("[1-9][0-9]{0,4}")
PORT_MAX = 65_535


def check_text(value: object, name: str) -> str:
    """Return a non-empty string."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def check_sendable(value: object, name: str) -> str:
    """Return a text that a header can carry as it is.

    That is one of visible ASCII characters, with blanks between them at most. A header
    loses blanks around its value, and an encoding beyond ASCII is not agreed on. The
    error does not quote the value.
    """
    found = check_text(value, name)
    if not (found.isascii() and found.isprintable() and found == found.strip()):
        raise ValueError(f"{name} has characters that no header may have")
    return found


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
    """Return an ``IP:PORT`` with the IPv4 address of a host.

    Leading zeros are rejected: the resolver reads such a number as an octal one.
    """
    found = check_text(value, name)
    host, _, port = found.rpartition(":")
    if not is_host(host):
        raise ValueError(f"{name} does not start with the IPv4 address of a host")
    if not PORT.fullmatch(port) or int(port) > PORT_MAX:
        raise ValueError(f"{name} does not end with a valid port")
    return found


def is_host(text: str) -> bool:
    """Return whether a text is an IPv4 address that one host can have."""
    try:
        found = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (found.is_unspecified or found.is_multicast or found.is_reserved)
