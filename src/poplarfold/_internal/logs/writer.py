"""Writes each numbered event as one JSON line.

    writer = open_writer(None, "galway-a-1", incarnation=1_700_000_000_000)
    writer.write_event("PF2001", None, {"open_calls": 3})

The lines have the keys of eliot (``task_uuid``, ``task_level``, ``timestamp``,
``message_type``), so that ``eliot-prettyprint`` and ``eliot-tree`` can read them.
The fields of the event are nested under ``fields``, so that an event field named
``host``, which names another host, does not collide with the host of the writer.
"""

import io
import sys
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import IO, Any

from eliot import FileDestination

from poplarfold._internal.logs.catalogue import EVENTS

__all__ = ["EventWriter", "WriteLog", "open_writer"]

WriteLog = Callable[[str, str | None, dict[str, object]], None]
"""Writes a numbered event: number, call id, fields."""

# Limits the length of a line, which a reader holds in memory: callers choose some
# of the logged text.
FIELD_MAX_CHARS = 2_000
FIELD_DEPTH_MAX = 8
INTEGER_MAX = 2**53 - 1
UNKNOWN_NAME = "uncatalogued_event"


class EventWriter:
    """Writes the events of one process. It is thread-safe.

    A failed write (the file system is full or gone) does not stop the process,
    since a logging error must not fail a call. It is counted in ``lost_events``,
    which later lines contain.
    """

    def __init__(
        self,
        stream: IO[Any],
        host: str,
        incarnation: int,
        monotonic: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.stream = stream
        self.destination = FileDestination(file=stream)
        self.host = host
        self.incarnation = incarnation
        self.monotonic = monotonic
        self.wall = wall
        self.lock = threading.Lock()
        self.written_events = 0
        self.lost_events = 0

    def write_event(
        self, number: str, call_id: str | None, fields: Mapping[str, object]
    ) -> None:
        """Write one event of the catalogue. ``fields`` should be JSON values."""
        kind = EVENTS.get(number)
        message: dict[str, object] = {
            "number": number,
            "message_type": kind.name if kind else UNKNOWN_NAME,
            "host": self.host,
            "incarnation": self.incarnation,
            "call_id": call_id,
            "fields": to_json_value(fields),
            "task_uuid": call_id or f"{self.host}-{self.incarnation:x}",
        }
        with self.lock:
            # Read under the lock, so that the lines are in the order of their times.
            message["monotonic"] = self.monotonic()
            message["timestamp"] = self.wall()
            message["task_level"] = [self.written_events + self.lost_events + 1]
            if self.lost_events:
                message["lost_events"] = self.lost_events
            try:
                self.destination(message)
                self.written_events += 1
            except (OSError, TypeError, ValueError):
                self.lost_events += 1

    def close(self) -> None:
        """Close the stream, unless it is standard error."""
        with self.lock:
            if self.stream is not sys.stderr:
                self.stream.close()


def open_writer(path: Path | None, host: str, incarnation: int) -> EventWriter:
    """Return a writer that appends to a file, or writes to standard error.

    Raises OSError if the file cannot be opened.
    """
    if path is None:
        return EventWriter(sys.stderr, host, incarnation)
    # Unbuffered, so that each line is a single write. Other processes that append
    # to the same file cannot split it.
    stream = io.FileIO(path, "a")
    return EventWriter(stream, host, incarnation)


def to_json_value(value: object, depth: int = 0) -> object:
    """Convert a value to one that every JSON encoder accepts.

    Some encoders reject lone surrogates, integers over 64 bits and keys that are
    not strings. An event must not be lost because of such a value.
    """
    if value is None or isinstance(value, bool | float):
        return value
    if isinstance(value, int):
        return value if abs(value) <= INTEGER_MAX else to_safe_text(hex(value))
    if isinstance(value, str):
        return to_safe_text(value)
    if isinstance(value, bytes):
        return to_safe_text(value.decode("utf-8", "backslashreplace"))
    if depth < FIELD_DEPTH_MAX and isinstance(value, Mapping):
        return {
            to_safe_text(str(key)): to_json_value(item, depth + 1)
            for key, item in value.items()
        }
    if depth < FIELD_DEPTH_MAX and isinstance(value, list | tuple | set | frozenset):
        return [to_json_value(item, depth + 1) for item in value]
    return to_safe_text(repr(value))


def to_safe_text(text: str) -> str:
    """Return the text without lone surrogates, truncated to FIELD_MAX_CHARS."""
    cut = text if len(text) <= FIELD_MAX_CHARS else text[:FIELD_MAX_CHARS] + "..."
    return cut.encode("utf-8", "backslashreplace").decode()
