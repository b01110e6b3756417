"""The chunked transfer coding of HTTP bodies; does no I/O."""

import re

__all__ = ["LINE_MAX_BYTES", "ChunkDecoder", "parse_chunk_size"]

CRLF = b"\r\n"
# The longest line before a chunk, with its extensions.
LINE_MAX_BYTES = 8192
# At most 2**31 - 1 bytes; a sign, a prefix or underscores are no part of the coding.
CHUNK_SIZE = re.compile(rb"0*[0-7]?[0-9a-fA-F]{1,7}")


def parse_chunk_size(line: bytes) -> int:
    """Return the size of the chunk that follows a line. Raises ValueError.

    >>> parse_chunk_size(b"1f;name=value")
    31
    """
    digits = line.partition(b";")[0].strip(b" \t")
    if not CHUNK_SIZE.fullmatch(digits):
        raise ValueError("the size of a chunk is not a hexadecimal number")
    return int(digits, 16)


class ChunkDecoder:
    """Decodes a chunked body that arrives in parts of any size.

    The content of a chunk is returned as it arrives, so that no chunk is buffered.

    >>> decoder = ChunkDecoder()
    >>> decoder.feed(b"3\\r\\nab"), decoder.feed(b"c\\r\\n0\\r\\n"), decoder.ended
    (b'ab', b'c', True)
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.ended = False
        # What is left of the current chunk, and whether its end has not been read yet.
        self.remaining_bytes = 0
        self.is_in_chunk = False

    def feed(self, data: bytes) -> bytes:
        """Return the content in ``data``. Raises ValueError if framing is malformed."""
        buffer = self.buffer + data if self.buffer else data
        parts = []
        position = 0
        while not self.ended:
            if self.remaining_bytes:
                part = buffer[position : position + self.remaining_bytes]
                parts.append(part)
                position += len(part)
                self.remaining_bytes -= len(part)
            line_end = buffer.find(CRLF, position)
            if self.remaining_bytes or line_end < 0:
                break
            self._read_line(buffer[position:line_end])
            position = line_end + len(CRLF)
        self.buffer = buffer[position:]
        self._check_partial_line()
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _read_line(self, line: bytes) -> None:
        """Handle the line at the end of a chunk, or the one before the next chunk."""
        if self.is_in_chunk:
            if line:
                raise ValueError("a chunk is longer than its size")
            self.is_in_chunk = False
            return
        self.remaining_bytes = parse_chunk_size(line)
        self.is_in_chunk = True
        self.ended = self.remaining_bytes == 0

    def _check_partial_line(self) -> None:
        """Raise ValueError if a line that is not complete is too long already."""
        is_break = CRLF.startswith(self.buffer)
        if self.is_in_chunk and not self.remaining_bytes and not self.ended:
            if not is_break:
                raise ValueError("a chunk is longer than its size")
        elif len(self.buffer) > LINE_MAX_BYTES and not self.ended:
            raise ValueError("the line before a chunk is too long")
