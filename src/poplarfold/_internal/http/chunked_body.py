"""Reads a caller's request body in the chunked transfer coding, to its very end."""

from typing import BinaryIO

from poplarfold._internal.exceptions import PromptTooLargeError, RequestError
from poplarfold._internal.http.chunked import parse_chunk_size

__all__ = ["read_chunked_body"]

CRLF = b"\r\n"
LINE_MAX_BYTES = 8192
TRAILER_MAX_LINES = 64


def read_chunked_body(reader: BinaryIO, limit_bytes: int) -> bytes:
    """Return the content of all chunks, and read the trailer after them.

    Behind it the next request begins. Raises RequestError if the framing is malformed
    or truncated, and PromptTooLargeError for more than ``limit_bytes``.

        read_chunked_body(io.BytesIO(b"2\\r\\nhi\\r\\n0\\r\\n\\r\\n"), 1000)
    """
    parts = []
    remaining = limit_bytes
    while True:
        size = read_chunk_size(reader)
        if size == 0:
            break
        remaining -= size
        if remaining < 0:
            raise PromptTooLargeError(f"the body exceeds {limit_bytes} bytes")
        part = reader.read(size + len(CRLF))
        if part[size:] != CRLF:
            raise RequestError("a chunk of the body is truncated or has a wrong size")
        parts.append(part[:size])
    read_trailer(reader)
    return b"".join(parts)


def read_chunk_size(reader: BinaryIO) -> int:
    """Read the line before a chunk and return the chunk's size in bytes."""
    try:
        return parse_chunk_size(read_line(reader))
    except ValueError as error:
        raise RequestError(str(error)) from None


def read_trailer(reader: BinaryIO) -> None:
    """Read the header lines after the last chunk, which are ignored."""
    for _ in range(TRAILER_MAX_LINES):
        line = read_line(reader)
        if not line:
            return
        if b":" not in line:
            raise RequestError("a line of the trailer is no header")
    raise RequestError(f"the trailer has more than {TRAILER_MAX_LINES} lines")


def read_line(reader: BinaryIO) -> bytes:
    """Read a line and return it without its line break."""
    line = reader.readline(LINE_MAX_BYTES)
    if not line.endswith(CRLF):
        raise RequestError("the body is truncated, or a line does not end in CRLF")
    return line[: -len(CRLF)]
