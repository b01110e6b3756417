"""Reads catalogue entries from JSON files and reports errors with their line."""

import difflib
import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.entry_codec import entry_fields, entry_from_fields
from poplarfold._internal.exceptions import (
    EntryInvalidError,
    SettingsError,
    SettingsProblem,
)

__all__ = ["EntryFile", "entry_diff", "find_line", "parse_entry", "read_entry"]

FILE_LIMIT_BYTES = 1_000_000
FIELD_PATTERN = re.compile(r"([A-Za-z_][\w.]*)(\[\d+\])?:")


class EntryFile(NamedTuple):
    """An entry from a file, with every field present.

    ``base_revision`` is the ``revision`` in the file, or None. The output of
    ``poplarfold show NAME`` contains it.
    """

    name: str
    fields: dict[str, Any]
    base_revision: int | None


def read_entry(path: Path) -> Result[EntryFile, SettingsError]:
    """Read and check one entry."""
    try:
        with path.open("rb") as stream:
            content = stream.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        return error_at(str(path), 0, "", f"cannot be read: {error.strerror}")
    return parse_entry(content, str(path))


def parse_entry(content: bytes, file: str) -> Result[EntryFile, SettingsError]:
    """Decode and check one entry. Errors name the line and the field."""
    if len(content) > FILE_LIMIT_BYTES:
        return error_at(file, 1, "", f"the file is over {FILE_LIMIT_BYTES} bytes")
    try:
        text = content.decode("utf-8")
        fields = json.loads(text, object_pairs_hook=unique_object)
    except json.JSONDecodeError as error:
        return error_at(file, error.lineno, "", f"not JSON: {error.msg}")
    except EntryInvalidError as error:
        field = str(error).partition(":")[0]
        return error_at(file, find_line(text, field, last=True), field, "set twice")
    except RecursionError:
        return error_at(file, 1, "", "the file is nested too deeply")
    except ValueError as error:
        # Not UTF-8, or an integer of thousands of digits.
        return error_at(file, 1, "", f"not JSON: {error}")
    base = fields.pop("revision", None) if isinstance(fields, dict) else None
    if base is not None and (not isinstance(base, int) or isinstance(base, bool)):
        line = find_line(text, "revision")
        return error_at(file, line, "revision", "must be an integer")
    decoded = entry_from_fields(fields)
    if isinstance(decoded, Err):
        message = str(decoded.err_value)
        found = FIELD_PATTERN.match(message)
        field = found[1] if found else ""
        detail = message[found.end() :].strip() if found else message
        return error_at(file, find_line(text, field), field, detail)
    entry = decoded.ok_value
    return Ok(EntryFile(entry.name, entry_fields(entry), base))


def unique_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object and reject duplicate keys."""
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise EntryInvalidError(f"{duplicate}: set twice")
    return fields


def error_at(file: str, line: int, field: str, message: str) -> Err[SettingsError]:
    """Return the error for one problem."""
    problem = SettingsProblem(file, line, field, message)
    return Err(SettingsError.from_problems([problem]))


def find_line(text: str, field: str, last: bool = False) -> int:
    """Return the line of a field such as ``targets.first_output_s``.

    For a missing field, return the line of the enclosing object.
    """
    position = text.find("{") if "{" in text else 0
    for part in field.split(".") if field else ():
        matches = list(re.finditer(re.escape(json.dumps(part)) + r"\s*:", text))
        matches = [match for match in matches if match.start() >= position]
        if not matches:
            break
        position = (matches[-1] if last else matches[0]).start()
    return text.count("\n", 0, position) + 1


def entry_diff(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    """Return the lines of a unified diff between two entries."""
    before, after = (
        json.dumps(
            {key: value for key, value in fields.items() if key != "revision"},
            indent=2,
            sort_keys=True,
        ).split("\n")
        for fields in (old, new)
    )
    lines = difflib.unified_diff(before, after, "current", "proposed", n=2, lineterm="")
    return list(lines)
