"""The body of an endpoint's answer, read as it arrives."""

import http.client
import socket
import time
from typing import Any

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from poplarfold._internal.http.chunked import ChunkDecoder
from poplarfold._internal.http.failures import Failure, failure_of

__all__ = ["READ_BYTES", "EndpointStream"]

READ_BYTES = 65_536


class EndpointStream:
    """The body of a response, read as it arrives.

    The body is read directly from the socket, so that the stream pump can read it
    without blocking. ``ended`` is true when the whole body has been read.
    ``idle_timeout_s`` bounds each wait for bytes.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        sock: socket.socket,
        response: http.client.HTTPResponse,
        address: str,
        idle_timeout_s: float,
    ) -> None:
        self.connection = connection
        self.sock = sock
        self.response = response
        self.address = address
        self.idle_timeout_s = idle_timeout_s
        self.status = response.status
        self.headers: Any = response.headers
        self.decoder = ChunkDecoder() if response.chunked else None
        self.remaining_bytes = response.length
        # Without a length and chunks, the body ends with the connection.
        self.is_unframed = self.decoder is None and self.remaining_bytes is None
        # Set if the connection ended before the body was complete.
        self.is_truncated = False
        # An empty body is complete with the head.
        self.ended = self.remaining_bytes == 0
        # The response has buffered the body bytes that arrived together with the
        # head. They are read without waiting for more.
        sock.settimeout(0)
        self.buffered = response.fp.read1(READ_BYTES) or b""

    def read(self) -> Result[bytes, Failure]:
        """Wait for bytes and return them; empty at the end of the body.

        The framing of chunks counts as no bytes.
        """
        deadline = time.monotonic() + self.idle_timeout_s
        while not self.ended:
            try:
                self.sock.settimeout(max(0.001, deadline - time.monotonic()))
                data = self._decode_body(self.buffered or self.sock.recv(READ_BYTES))
            except (OSError, ValueError) as error:
                return Err(failure_of(error, self.address, sent=True))
            if data:
                return Ok(data)
        return Ok(b"")

    def read_now(self) -> Result[bytes | None, Failure]:
        """Return the bytes that have arrived, or None if there are none yet.

        The socket must be non-blocking. An empty result means an incomplete chunk
        or the end of the body.
        """
        try:
            return Ok(self._decode_body(self.buffered or self.sock.recv(READ_BYTES)))
        except BlockingIOError:
            return Ok(None)
        except (OSError, ValueError) as error:
            return Err(failure_of(error, self.address, sent=True))

    def close(self) -> None:
        """Close the connection, which tells the endpoint that nobody reads any more."""
        self.response.close()
        self.connection.close()
        self.sock.close()

    def _decode_body(self, data: bytes) -> bytes:
        """Return the body bytes of data from the socket, and detect the body's end."""
        self.buffered = b""
        if not data:
            self.ended = True
            self.is_truncated = (
                self.decoder is not None or self.remaining_bytes is not None
            )
        elif self.decoder is not None:
            data = self.decoder.feed(data)
            self.ended = self.decoder.ended
        elif self.remaining_bytes is not None:
            # Bytes after the body belong to no request.
            data = data[: self.remaining_bytes]
            self.remaining_bytes -= len(data)
            self.ended = self.remaining_bytes == 0
        return data
