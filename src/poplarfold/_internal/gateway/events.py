"""Splits a byte stream of server-sent events into complete events."""

import re
from collections.abc import Mapping

from poplarfold._internal.exceptions import EventTooLongError

__all__ = [
    "EVENT_STREAM",
    "EventSplitter",
    "continues_stream",
    "ends_inside_event",
    "media_type",
]

EVENT_STREAM = "text/event-stream"

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
# The longest end of an event, without its last byte.
EVENT_END_OVERLAP_BYTES = 3
EVENT_MAX_BYTES = 131_072
NUMERIC_ID = re.compile(r"[0-9]{1,40}")


class EventSplitter:
    """Buffers bytes as they arrive and returns complete events only.

    >>> splitter = EventSplitter(None)
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.rest
    ('1', b'id: 2')
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self.rest = b""
        self.events = 0
        # Whether the last event had an id, after which a stream can go on.
        self.is_resumable = True
        self.marked = (last_id, 0, True)

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now complete, and buffer the rest.

        Raises EventTooLongError if the rest exceeds EVENT_MAX_BYTES: a faulty endpoint
        may send bytes without end that are no events.
        """
        buffer = self.rest + data
        end = 0
        events: list[bytes] = []
        searched = max(0, len(self.rest) - EVENT_END_OVERLAP_BYTES)
        for match in EVENT_END.finditer(buffer, searched):
            events.append(buffer[end : match.end()])
            end = match.end()
        whole, self.rest = buffer[:end], buffer[end:]
        if len(self.rest) > EVENT_MAX_BYTES:
            self.rest = b""
            raise EventTooLongError(f"an event exceeds {EVENT_MAX_BYTES} bytes")
        for event in events:
            self._record_event(event)
        return whole

    def _record_event(self, event: bytes) -> None:
        self.events += 1
        ids = EVENT_ID.findall(event)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
            self.is_resumable = self.last_id != ""
        elif not is_comment(event):
            self.is_resumable = False

    def mark(self) -> None:
        """Begin an answer whose events may have to be discarded."""
        self.marked = (self.last_id, self.events, self.is_resumable)

    def rewind(self) -> None:
        """Discard all events since the mark."""
        self.last_id, self.events, self.is_resumable = self.marked
        self.rest = b""

    def restart(self) -> None:
        """Discard the partial event of a stream that was interrupted."""
        self.rest = b""


def continues_stream(data: bytes, last_id: str | None) -> bool | None:
    """Return whether the first event in ``data`` may follow the one with ``last_id``.

    Ids increase. Returns None if there are only comments so far.

    >>> continues_stream(b"id: 8\\ndata: b\\n\\n", "7")
    True
    >>> continues_stream(b"the server has failed", "7")
    False
    """
    for event in EVENT_END.split(data):
        if is_comment(event):
            continue
        found = EVENT_ID.search(event)
        return found is not None and follows(found[1].decode("latin-1"), last_id)
    return None


def ends_inside_event(data: bytes) -> bool:
    """Return whether bytes end before the blank line that ends their last event.

    >>> ends_inside_event(b"id: 1\\ndata: a\\n\\n"), ends_inside_event(b"id: 1\\nda")
    (False, True)
    """
    return bool(EVENT_END.split(data)[-1].strip(b"\r\n"))


def is_comment(event: bytes) -> bool:
    """Return whether an event has no lines but comments."""
    return all(line.startswith(b":") or not line for line in event.splitlines())


def follows(event_id: str, last_id: str | None) -> bool:
    """Return whether an event may come after another one, by their ids."""
    event_id = event_id.strip()
    if last_id is None or not NUMERIC_ID.fullmatch(last_id):
        return event_id not in ("", last_id)
    return bool(NUMERIC_ID.fullmatch(event_id)) and int(event_id) > int(last_id)


def media_type(headers: Mapping[str, str]) -> str:
    """Return the media type of an answer, without its parameters."""
    value = headers.get("Content-Type", "")
    return value.partition(";")[0].strip().lower()
