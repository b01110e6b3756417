"""The body of a caller's request, decoded as it arrives; does no I/O.

The memory of a body is proportional to its content, whatever the size of its chunks.
"""

import re

from poplarfold._internal.exceptions import PromptTooLargeError, RequestError
from poplarfold._internal.http.chunked import parse_chunk_size
from poplarfold._internal.http.chunked_body import (
    CRLF,
    LINE_MAX_BYTES,
    TRAILER_MAX_LINES,
)

__all__ = ["ChunkedBody", "IncomingBody", "LengthBody"]

# Runs of equal chunks of up to this size are decoded together. Decoded one by one, the
# chunks of one byte of a 4 MB body occupy the interpreter for seconds.
RUN_CHUNK_MAX = 15
EQUAL_CHUNKS = {
    b"%x" % size: re.compile(rb"(?:%x\r\n[\x00-\xff]{%d}\r\n)+" % (size, size))
    for size in range(1, RUN_CHUNK_MAX + 1)
}


class IncomingBody:
    """A body that arrives in parts of any size.

    ``content`` is what has been decoded so far. ``ended`` is true once the body is
    complete.
    """

    def __init__(self) -> None:
        self.content = bytearray()
        self.ended = False

    def feed(self, data: bytes) -> int:
        """Decode ``data`` and return how many bytes of it belong to the body.

        Fewer than all belong to it only if the body has ended.
        """
        raise NotImplementedError


class LengthBody(IncomingBody):
    """A body whose length is known.

    >>> body = LengthBody(3)
    >>> body.feed(b"abcGET /"), body.ended
    (3, True)
    """

    def __init__(self, length: int) -> None:
        super().__init__()
        self.length = length
        self.ended = length == 0

    def feed(self, data: bytes) -> int:
        """Append what belongs to the body, and return how many bytes that is."""
        size = min(len(data), self.length - len(self.content))
        self.content += data[:size]
        self.ended = len(self.content) == self.length
        return size


class ChunkedBody(IncomingBody):
    """A body in the chunked transfer coding, with the trailer after it.

    It accepts exactly what ``read_chunked_body`` does. ``feed`` raises RequestError if
    the framing is malformed, and PromptTooLargeError beyond ``limit_bytes``.

    >>> body = ChunkedBody(100)
    >>> body.feed(b"2\\r\\nhi\\r\\n0\\r\\n\\r\\nGET /"), bytes(body.content)
    (12, b'hi')
    """

    def __init__(self, limit_bytes: int) -> None:
        super().__init__()
        self.limit_bytes = limit_bytes
        # The content bytes of the current chunk that are still to come; -1 between
        # chunks, and 0 before the line break at the end of a chunk.
        self.remaining_bytes = -1
        # The lines of the trailer so far, or -1 before the last chunk.
        self.trailer_lines = -1
        # The beginning of a line that is not complete.
        self.rest = b""

    def feed(self, data: bytes) -> int:
        """Decode ``data`` and return how many bytes of it belong to the body."""
        kept = len(self.rest)
        buffer = self.rest + data if kept else data
        position = 0
        while not self.ended:
            if self.remaining_bytes > 0:
                position = self._read_content(buffer, position)
            if self.remaining_bytes < 0 <= position and self.trailer_lines < 0:
                position = self._read_equal_chunks(buffer, position)
            end = buffer.find(b"\n", position, position + LINE_MAX_BYTES) + 1
            if self.remaining_bytes > 0 or not end:
                break
            self._read_line(buffer[position:end])
            position = end
        self.rest = b"" if self.ended else buffer[position:]
        self._check_rest()
        return position - kept if self.ended else len(data)

    def _read_content(self, buffer: bytes, position: int) -> int:
        """Take content of the current chunk; return the position behind it."""
        end = min(len(buffer), position + self.remaining_bytes)
        self.content += buffer[position:end]
        self.remaining_bytes -= end - position
        return end

    def _read_equal_chunks(self, buffer: bytes, position: int) -> int:
        """Decode a run of small chunks of one size; return the position behind it."""
        digit = buffer[position : position + 1]
        pattern = EQUAL_CHUNKS.get(digit)
        found = pattern.match(buffer, position) if pattern else None
        if found is None:
            return position
        run = found.group()
        size = int(digit, 16)
        frame = len(digit + CRLF) + size + len(CRLF)
        count = len(run) // frame
        self._check_size(count * size)
        content = bytearray(count * size)
        for offset in range(size):
            content[offset::size] = run[len(digit + CRLF) + offset :: frame]
        self.content += content
        return found.end()

    def _read_line(self, line: bytes) -> None:
        """Handle the line before or after a chunk, or a line of the trailer."""
        if not line.endswith(CRLF):
            raise RequestError("a line of the body does not end in CRLF")
        line = line[: -len(CRLF)]
        if self.trailer_lines >= 0:
            self._read_trailer_line(line)
        elif self.remaining_bytes == 0:
            if line:
                raise RequestError("a chunk of the body has a wrong size")
            self.remaining_bytes = -1
        else:
            try:
                size = parse_chunk_size(line)
            except ValueError as error:
                raise RequestError(str(error)) from None
            self._check_size(size)
            if size:
                self.remaining_bytes = size
            else:
                self.trailer_lines = 0

    def _read_trailer_line(self, line: bytes) -> None:
        """Handle a line after the last chunk; an empty one ends the body."""
        if not line:
            self.ended = True
            return
        if b":" not in line:
            raise RequestError("a line of the trailer is no header")
        self.trailer_lines += 1
        if self.trailer_lines >= TRAILER_MAX_LINES:
            raise RequestError(f"the trailer has more than {TRAILER_MAX_LINES} lines")

    def _check_size(self, size: int) -> None:
        """Raise PromptTooLargeError if ``size`` more bytes exceed the limit."""
        if len(self.content) + size > self.limit_bytes:
            raise PromptTooLargeError(f"the body exceeds {self.limit_bytes} bytes")

    def _check_rest(self) -> None:
        """Raise RequestError if a line that is not complete cannot become valid."""
        if self.remaining_bytes == 0 and not CRLF.startswith(self.rest):
            raise RequestError("a chunk of the body has a wrong size")
        if len(self.rest) >= LINE_MAX_BYTES:
            raise RequestError("a line of the body is too long")
