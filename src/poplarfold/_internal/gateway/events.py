"""Splits a byte stream of server-sent events into complete events."""

import re

from poplarfold._internal.exceptions import EventTooLongError

__all__ = ["EventSplitter"]

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
# The longest end of an event, without its last byte.
EVENT_END_OVERLAP_BYTES = 3
EVENT_MAX_BYTES = 131_072


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

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now complete, and buffer the rest.

        Raises EventTooLongError if the rest exceeds EVENT_MAX_BYTES: a faulty endpoint
        may send bytes without end that are no events.
        """
        buffer = self.rest + data
        end = 0
        searched = max(0, len(self.rest) - EVENT_END_OVERLAP_BYTES)
        for match in EVENT_END.finditer(buffer, searched):
            end = match.end()
            self.events += 1
        whole, self.rest = buffer[:end], buffer[end:]
        if len(self.rest) > EVENT_MAX_BYTES:
            self.rest = b""
            raise EventTooLongError(f"an event exceeds {EVENT_MAX_BYTES} bytes")
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return whole

    def restart(self) -> None:
        """Discard the partial event of a stream that was interrupted."""
        self.rest = b""
