"""Reads TOML files, and finds the line of each key for the report of a problem.

>>> parse_toml("connect_s = 1\\n", "a.toml").unwrap().problem("connect_s", "is low")
SettingsProblem(file='a.toml', line=1, key='connect_s', message='is low')
"""

import re
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.exceptions import SettingsError, SettingsProblem

__all__ = ["TomlFile", "parse_toml", "read_toml"]

# A file with 400 nodes and 1,200 accounts has about 150 kB. The limit prevents a
# wrong path (a log file, a device) from using up the memory.
FILE_LIMIT_BYTES = 4_000_000
HEADER_PATTERN = re.compile(r"\s*\[{1,2}(?P<path>[^\[\]]+)\]{1,2}\s*(#.*)?$")
ASSIGNMENT_PATTERN = re.compile(r"\s*(?P<path>[A-Za-z0-9_.\"'-]+)\s*=")
TOML_LINE_PATTERN = re.compile(r"at line (\d+)")


class TomlFile(NamedTuple):
    """The content of a file. ``lines`` has the line of each key, by dotted path."""

    file: str
    document: dict[str, Any]
    lines: dict[str, int]

    def problem(self, key: str, message: str) -> SettingsProblem:
        """Return a problem at the line of the key or of its nearest table."""
        path = key
        while path and path not in self.lines:
            path = path.rpartition(".")[0]
        return SettingsProblem(self.file, self.lines.get(path, 1), key, message)


def read_toml(path: Path) -> Result[TomlFile, SettingsError]:
    """Read a TOML file."""
    try:
        with path.open("rb") as stream:
            content = stream.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        return _failed(str(path), 0, f"cannot be read: {error.strerror}")
    return parse_toml(content, str(path))


def parse_toml(text: str | bytes, file: str) -> Result[TomlFile, SettingsError]:
    """Parse the content of a file, whose name is only used in problems."""
    if len(text) > FILE_LIMIT_BYTES:
        return _failed(file, 1, f"the file is larger than {FILE_LIMIT_BYTES} bytes")
    try:
        decoded = text.decode("utf-8") if isinstance(text, bytes) else text
    except UnicodeDecodeError as error:
        line = error.object[: error.start].count(b"\n") + 1
        return _failed(file, line, "the file is not UTF-8")
    try:
        document = tomllib.loads(decoded)
    except RecursionError:
        return _failed(file, 1, "the file is nested too deeply")
    except ValueError as error:
        # An integer of thousands of digits raises a plain ValueError without a line.
        found = TOML_LINE_PATTERN.search(str(error))
        return _failed(file, int(found[1]) if found else 1, f"not TOML: {error}")
    return Ok(TomlFile(file, document, find_lines(decoded)))


def _failed(file: str, line: int, message: str) -> Err[SettingsError]:
    return Err(SettingsError.from_problems([SettingsProblem(file, line, "", message)]))


def find_lines(text: str) -> dict[str, int]:
    """Return the line of each table header and assignment, by dotted path.

    The lines are matched with patterns and not parsed: keys inside inline tables
    are not found, and their problems are reported at the line of the table.
    """
    lines: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.split("\n"), start=1):
        header = HEADER_PATTERN.match(line)
        if header:
            table = _plain_path(header["path"])
            lines.setdefault(table, number)
            continue
        assignment = ASSIGNMENT_PATTERN.match(line)
        if assignment:
            key = _plain_path(assignment["path"])
            lines.setdefault(f"{table}.{key}" if table else key, number)
    return lines


def _plain_path(path: str) -> str:
    return ".".join(part.strip().strip("\"'") for part in path.split("."))
