"""Reads the log files of many processes and skips lines that are not events."""

import json
import math
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO, Any, NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.exceptions import LogFileError

__all__ = [
    "TEXT_MAX_CHARS",
    "LogEvent",
    "LogFiles",
    "ProcessKey",
    "parse_line",
    "read_events",
    "read_logs",
]

# No line of the event writer is longer, since it truncates each string.
LINE_LIMIT_BYTES = 262_144
# Limits the memory of the reader.
EVENTS_MAX = 1_000_000
NUMBER_PATTERN = re.compile(r"PF\d{4}")
EVENT_START = b'{"number":"PF'
TEXT_MAX_CHARS = 256


class ProcessKey(NamedTuple):
    """The host id and the incarnation that identify one process."""

    host: str
    incarnation: int


class LogEvent(NamedTuple):
    """One line of a log. Times are in seconds, from the clocks of the writer.

    ``order`` is the position of the event among all events that were read.
    ``lost_events`` counts the events that the process has not written before it.
    """

    number: str
    process: ProcessKey
    call_id: str | None
    fields: dict[str, Any]
    monotonic: float
    wall: float
    order: int
    lost_events: int = 0


class LogFiles(NamedTuple):
    """The events of all files.

    ``skipped`` counts the lines that are not events. ``truncated`` is true if the
    reader stopped at EVENTS_MAX events.
    """

    events: list[LogEvent]
    skipped: int
    truncated: bool


def read_logs(paths: Iterable[Path]) -> Result[LogFiles, LogFileError]:
    """Read all files. Torn lines and lines of other programs are skipped."""
    events: list[LogEvent] = []
    skipped = 0
    try:
        for event in read_events(paths):
            if event is None:
                skipped += 1
                continue
            events.append(event)
            if len(events) >= EVENTS_MAX:
                return Ok(LogFiles(events, skipped, True))
    except LogFileError as error:
        return Err(error)
    return Ok(LogFiles(events, skipped, False))


def read_events(paths: Iterable[Path]) -> Iterator[LogEvent | None]:
    """Yield the event of each line of all files, and None for other lines.

    Raises LogFileError.
    """
    order = 0
    for path in paths:
        try:
            with path.open("rb") as stream:
                for line in read_lines(stream):
                    event = parse_line(line, order) if line else None
                    order += event is not None
                    yield event
        except OSError as error:
            message = f"{path}: cannot be read: {error.strerror}"
            raise LogFileError(message) from error


def read_lines(stream: IO[bytes]) -> Iterator[bytes]:
    """Yield each line that is not blank, and b"" for a line over the limit."""
    while line := stream.readline(LINE_LIMIT_BYTES):
        if len(line) == LINE_LIMIT_BYTES and not line.endswith(b"\n"):
            while (rest := stream.readline(LINE_LIMIT_BYTES)) and rest[-1:] != b"\n":
                pass
            yield b""
        elif line.strip():
            yield line


def parse_line(line: bytes, order: int = 0) -> LogEvent | None:
    """Return the event of a line, or None.

    A process that is killed during a write leaves a torn line, and the next
    process appends its own line to it. The complete event at the end is returned.
    """
    start = line.rfind(EVENT_START)
    for candidate in (line, line[start:] if start > 0 else b""):
        try:
            content = json.loads(candidate)
        except (ValueError, RecursionError):
            continue
        return decode_event(content, order)
    return None


def decode_event(content: object, order: int) -> LogEvent | None:
    """Return the event of a decoded line, or None if a field has a wrong type."""
    if not isinstance(content, dict):
        return None
    number, host = content.get("number"), content.get("host")
    incarnation, fields = content.get("incarnation"), content.get("fields")
    call_id = content.get("call_id")
    monotonic: Any = content.get("monotonic")
    wall: Any = content.get("timestamp")
    if not is_text(number) or not NUMBER_PATTERN.fullmatch(str(number)):
        return None
    if not is_text(host) or type(incarnation) is not int or abs(incarnation) > 2**63:
        return None
    if not isinstance(fields, dict) or not (call_id is None or is_text(call_id)):
        return None
    if not (is_time(monotonic) and is_time(wall)):
        return None
    lost = content.get("lost_events", 0)
    return LogEvent(
        number=str(number),
        process=ProcessKey(str(host), incarnation),
        call_id=call_id,
        fields=fields,
        monotonic=float(monotonic),
        wall=float(wall),
        order=order,
        lost_events=lost if type(lost) is int else 0,
    )


def is_text(value: object) -> bool:
    """Return whether a value is a string of at most TEXT_MAX_CHARS."""
    return isinstance(value, str) and len(value) <= TEXT_MAX_CHARS


def is_time(value: Any) -> bool:
    """Return whether a value is a plausible number of seconds."""
    if type(value) not in (int, float):
        return False
    return -1e12 < value < 1e12 and math.isfinite(value)
