"""Requests of callers: strict heads, bodies that arrive, and typed errors."""

import contextlib
import http
import io
import json
import re
from typing import Any

from cheroot import server as cheroot_server

from poplarfold._internal.exceptions import (
    PoplarfoldError,
    PromptTooLargeError,
    RequestError,
    RequestTimeoutError,
)
from poplarfold._internal.http.incoming_body import (
    ChunkedBody,
    IncomingBody,
    LengthBody,
)

__all__ = ["CallerRequest"]

FORBIDDEN_IN_HEADER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# When a request may be repeated that there was no memory for, in seconds.
RETRY_AFTER_S = 1
LAST_CHUNK = b"0\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Rejects ambiguous heads, which two programs could parse differently."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read the head of a request. Raises ValueError if it is malformed."""
        headers: dict[bytes, bytes] = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            if not line.endswith(b"\r\n"):
                raise ValueError("a header line does not end in CRLF")
            name, colon, value = line[:-2].partition(b":")
            value = value.strip(b" \t")
            if not colon or not TOKEN.fullmatch(name):
                raise ValueError("a header line is malformed")
            if FORBIDDEN_IN_HEADER.search(value):
                raise ValueError("a header value has control characters")
            key = name.title()
            if key in headers:
                if key in {b"Content-Length", b"Transfer-Encoding", b"Host"}:
                    raise ValueError(f"the header {key.decode()} is repeated")
                value = headers[key] + b", " + value
            headers[key] = value
        length = headers.get(b"Content-Length")
        if length is not None:
            if b"Transfer-Encoding" in headers:
                raise ValueError("both Content-Length and Transfer-Encoding are set")
            if not CONTENT_LENGTH.fullmatch(length):
                raise ValueError("Content-Length is not a number")
        return headers


ERROR_TYPES: dict[str, type[PoplarfoldError]] = {
    "408": RequestTimeoutError,
    "413": PromptTooLargeError,
    "500": PoplarfoldError,
}


class CallerRequest(cheroot_server.HTTPRequest):
    """A request whose HTTP protocol errors produce typed JSON responses."""

    header_reader = StrictHeaderReader()

    def __init__(self, server: Any, conn: Any, *options: Any) -> None:
        super().__init__(server, conn, *options)
        conn.request = self

    def simple_response(self, status: str, msg: str = "") -> None:
        """Send the response to an HTTP protocol error and close the connection."""
        code, _, reason = str(status).partition(" ")
        kind = ERROR_TYPES.get(code, RequestError)
        self.send_error(status, kind(msg or reason))

    def send_error(self, status: str, error: PoplarfoldError) -> None:
        """Send an error and close the connection."""
        body = json.dumps(error.as_body()).encode()
        self.close_connection = True
        head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        if error.status == 503:
            head += f"Retry-After: {RETRY_AFTER_S}\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        # The caller may have disconnected.
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("latin-1") + body)

    def parse_request(self) -> None:
        """Read the head, if it has not been read before the body arrived."""
        if not self.ready:
            super().parse_request()

    def respond(self) -> None:
        """Handle the request once its body has arrived, trailer included."""
        transfer = self.conn.begin_transfer(self.expected_body())
        if not transfer.is_done:
            return
        if transfer.error is not None:
            status = transfer.error.status
            self.server.resources.count_rejected(transfer.error)
            self.send_error(f"{status} {reason_phrase(status)}", transfer.error)
            return
        self.rfile = io.BytesIO(transfer.take_content())
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(LAST_CHUNK)

    def expected_body(self) -> IncomingBody:
        """Return the decoder of the body that the head announces."""
        if self.chunked_read:
            return ChunkedBody(self.server.max_request_body_size)
        return LengthBody(int(self.inheaders.get(b"Content-Length", 0)))


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status code."""
    return http.HTTPStatus(status).phrase
