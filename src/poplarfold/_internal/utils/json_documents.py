"""Parses JSON documents that another program has written."""

import json
import re
from typing import Any, NoReturn

__all__ = ["parse_json"]

# The documents of this project and of the platform are nested a few levels deep. The
# standard library's parser recurses on the stack of the C code, and from Python 3.12 on
# a document of some thousand levels overflows the stack of a thread, which ends the
# process.
DEPTH_MAX = 64
STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[{]|[\]}]', re.DOTALL)


def parse_json(data: bytes | str) -> Any:
    """Parse a document in UTF-8.

    Raises ValueError if it is malformed, is nested too deeply or has a number that JSON
    does not allow.

        parse_json(b'{"slots": 4}')
    """
    text = data.decode() if isinstance(data, bytes) else data
    check_depth(text)
    return json.loads(text, parse_constant=reject_constant)


def check_depth(text: str) -> None:
    """Raise ValueError if brackets are nested more than DEPTH_MAX levels deep."""
    if text.count("[") + text.count("{") <= DEPTH_MAX:
        return
    depth = 0
    for found in STRING_OR_BRACKET.finditer(text):
        first = found.group()[0]
        if first in "[{":
            depth += 1
            if depth > DEPTH_MAX:
                raise ValueError(
                    f"document is nested more than {DEPTH_MAX} levels deep"
                )
        elif first != '"':
            depth -= 1


def reject_constant(name: str) -> NoReturn:
    """Raise ValueError for NaN or Infinity, which the standard library accepts."""
    raise ValueError(f"{name} is no JSON number")
