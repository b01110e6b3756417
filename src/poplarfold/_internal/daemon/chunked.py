"""An incremental decoder for chunked HTTP bodies; does no I/O."""

__all__ = ["ChunkDecoder"]

BUFFER_LIMIT_BYTES = 1_000_000


class ChunkDecoder:
    """Decodes a chunked body that arrives in parts of any size.

    >>> decoder = ChunkDecoder()
    >>> decoder.feed(b"3\\r\\nab"), decoder.feed(b"c\\r\\n0\\r\\n"), decoder.ended
    (b'', b'abc', True)
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the content of the chunks that ``data`` completes.

        Raises ValueError if the framing is malformed or a chunk is too long.
        """
        buffer = self.buffer + data if self.buffer else data
        parts = []
        position = 0
        while not self.ended:
            line_end = buffer.find(b"\r\n", position)
            if line_end < 0:
                break
            size = int(buffer[position:line_end].partition(b";")[0], 16)
            if size < 0 or size > BUFFER_LIMIT_BYTES:
                raise ValueError(f"invalid chunk size: {size} bytes")
            if size == 0:
                self.ended = True
                break
            chunk_end = line_end + 2 + size
            if len(buffer) < chunk_end + 2:
                break
            parts.append(buffer[line_end + 2 : chunk_end])
            position = chunk_end + 2
        self.buffer = buffer[position:]
        if len(self.buffer) > BUFFER_LIMIT_BYTES + 64:
            raise ValueError("chunk is not terminated")
        return parts[0] if len(parts) == 1 else b"".join(parts)
