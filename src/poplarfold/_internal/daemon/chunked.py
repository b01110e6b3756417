"""Decodes chunked bodies from bytes as they arrive, without blocking."""

__all__ = ["ChunkDecoder"]

BUFFER_LIMIT_BYTES = 1_000_000


class ChunkDecoder:
    """Takes the bytes of a chunked body in any portions.

    >>> decoder = ChunkDecoder()
    >>> decoder.feed(b"3\\r\\nab"), decoder.feed(b"c\\r\\n0\\r\\n"), decoder.ended
    (b'', b'abc', True)
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the content of the chunks that are complete now.

        Raises ValueError if the framing is malformed or a chunk is too long.
        """
        buffer = self.buffer + data if self.buffer else data
        parts = []
        at = 0
        while not self.ended:
            end = buffer.find(b"\r\n", at)
            if end < 0:
                break
            size = int(buffer[at:end].partition(b";")[0], 16)
            if size < 0 or size > BUFFER_LIMIT_BYTES:
                raise ValueError(f"a chunk of {size} bytes")
            if size == 0:
                self.ended = True
                break
            stop = end + 2 + size
            if len(buffer) < stop + 2:
                break
            parts.append(buffer[end + 2 : stop])
            at = stop + 2
        self.buffer = buffer[at:]
        if len(self.buffer) > BUFFER_LIMIT_BYTES + 64:
            raise ValueError("a chunk without an end")
        return parts[0] if len(parts) == 1 else b"".join(parts)
