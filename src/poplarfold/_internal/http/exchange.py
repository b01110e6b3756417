"""An exchange with an endpoint: its target, its answer and its interruption."""

import socket
import threading
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from urllib3.response import BaseHTTPResponse

from poplarfold._internal.http.answer_memory import HeldBytes
from poplarfold._internal.http.endpoint_stream import READ_BYTES
from poplarfold._internal.utils.json_documents import parse_json

__all__ = [
    "AbortHandle",
    "Answer",
    "AwaitAnswer",
    "OwnAnswerCheck",
    "Target",
    "is_aborted",
    "is_believed_without_id",
    "read_response_body",
    "will_close",
]

OwnAnswerCheck = Callable[[int, Mapping[str, str], bool], bool]
"""Returns whether a response belongs to the request.

It gets the status, the headers, and whether the connection was used before.
"""
AwaitAnswer = Callable[[socket.socket], bool]
"""Waits for the first bytes of a response; returns False if there will be none."""


class Target(NamedTuple):
    """A method and path at one address."""

    address: str
    method: str
    path: str


class Answer(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, or an empty dict if it is none."""
        try:
            found = parse_json(self.body)
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}


class AbortHandle:
    """Lets the core thread interrupt the blocking I/O of an attempt."""

    def __init__(self) -> None:
        self.aborted = threading.Event()
        self.lock = threading.Lock()
        self.sock: socket.socket | None = None

    def attach(self, sock: socket.socket | None) -> None:
        """Set the socket that abort() shuts down."""
        with self.lock:
            self.sock = sock
            if self.aborted.is_set():
                shut_down(sock)

    def abort(self) -> None:
        """Shut down the attached socket, which wakes the thread that reads it."""
        with self.lock:
            self.aborted.set()
            shut_down(self.sock)


def shut_down(sock: socket.socket | None) -> None:
    """Shut down a socket in both directions. It may already be closed."""
    if sock is None:
        return
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def is_aborted(handle: AbortHandle | None) -> bool:
    """Return whether the core aborted the attempt."""
    return handle is not None and handle.aborted.is_set()


def is_believed_without_id(
    status: int, headers: Mapping[str, str], was_reused: bool
) -> bool:
    """Return whether a response without the request's id may be its response.

    A faulty endpoint may repeat an earlier refusal on a connection that it keeps.
    """
    return status == 200 or not was_reused


def read_response_body(response: BaseHTTPResponse, held: HeldBytes) -> bytes:
    """Read a body to its end.

    The loop ends only with an empty read, because urllib3 reports a truncated body
    in the read that follows the last bytes. Raises HTTPError, OSError or
    AnswerTooLargeError.
    """
    parts: list[bytes] = []
    while True:
        part = response.read(READ_BYTES, decode_content=False)
        if not part:
            return b"".join(parts)
        held.resize(held.size + len(part))
        parts.append(part)


def will_close(response: BaseHTTPResponse) -> bool:
    """Return whether the endpoint closes the connection after this response."""
    return response.headers.get("Connection", "").lower() == "close"
