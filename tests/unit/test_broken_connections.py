"""Tests of answers without length and chunks whose connection does not end cleanly."""

import contextlib
import socket
import struct
import threading
import time

import pytest
from tests.lib.listeners import end_listener

from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle, Target

TIMEOUT_S = 3.0
# The router waits for a reset that follows the end of an answer at once. On a busy
# machine, the server may be held up between the two: such an answer looks complete, and
# the call is made again.
RESET_WITHIN_S = 0.01
RESETS_MAX = 20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ANSWER = b"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: piece 1\n\n"
BODY = ANSWER.partition(b"\r\n\r\n")[2]
# The first upload fits into the socket's buffers, so that no write fails.
UPLOADS = {"short": b"x", "buffered": b"x" * 2_000_000, "long": b"x" * 30_000_000}


class Server:
    """Sends ``ANSWER`` after ``reads`` bytes of a body, and then calls ``end``.

    Before that, it waits until the client has written what the buffers take.
    """

    def __init__(self, reads, end, wait_s=0.0):
        self.reads, self.end, self.wait_s = reads, end, wait_s
        self.is_over = threading.Event()
        # How long after the end of its answer the reset came.
        self.reset_took_s = 0.0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        with contextlib.suppress(OSError):
            connection, _ = self.listener.accept()
            with connection:
                head = b""
                while b"\r\n\r\n" not in head:
                    head += connection.recv(65536)
                count = len(head.partition(b"\r\n\r\n")[2])
                while count < self.reads:
                    count += len(connection.recv(65536))
                time.sleep(self.wait_s)
                connection.sendall(ANSWER)
                self.end(self, connection)


def reset(server, connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def close(server, connection):
    pass


def shut_down(server, connection):
    connection.shutdown(socket.SHUT_WR)


def shut_down_and_reset(server, connection):
    reset(server, connection)
    began_at = time.monotonic()
    connection.shutdown(socket.SHUT_WR)
    connection.close()
    server.reset_took_s = time.monotonic() - began_at


def stop_reading(server, connection):
    connection.shutdown(socket.SHUT_WR)
    server.is_over.wait(TIMEOUT_S)


def read_on(server, connection):
    connection.shutdown(socket.SHUT_WR)
    connection.recv(65536)


def stay_open(server, connection):
    server.is_over.wait(TIMEOUT_S)


@pytest.fixture
def start():
    """Return a function that starts a server."""
    servers = []

    def start_server(*options):
        servers.append(Server(*options))
        return servers[-1]

    yield start_server
    for server in servers:
        server.is_over.set()
        end_listener(server.listener)


def call_plain(server, upload, handle=None):
    """Return the body of an answer, or None if the call has failed."""
    target = Target(server.address, "POST", "/")
    result = EndpointClient(TIMEOUT_S).exchange(
        target, upload, {}, TIMEOUT_S, handle=handle
    )
    return result.unwrap().body if result.is_ok() else None


def call_stream(server, upload, handle=None):
    """Return the body of a stream, or None if the call has failed."""
    target = Target(server.address, "POST", "/")
    opened = EndpointClient(TIMEOUT_S).open_stream(
        target, upload, {}, TIMEOUT_S, handle
    )
    if opened.is_err():
        return None
    stream, body = opened.unwrap(), b""
    while not stream.ended:
        result = stream.read()
        if result.is_err():
            stream.close()
            return None
        body += result.unwrap()
    stream.close()
    return None if stream.is_truncated else body


CALLS = pytest.mark.parametrize("call", [call_plain, call_stream])


@CALLS
@pytest.mark.parametrize("end", [reset, close, shut_down, stop_reading])
@pytest.mark.parametrize("wait_s", [0.0, 0.1])
@pytest.mark.parametrize("upload", ["buffered", "long"])
def test_answer_that_ends_during_the_upload_fails(start, call, end, wait_s, upload):
    """Guards against a part of an answer that looks complete, if the server ends the
    connection before it has received the whole request."""
    assert call(start(0, end, wait_s), UPLOADS[upload]) is None


@CALLS
@pytest.mark.parametrize("end", [reset, shut_down_and_reset])
@pytest.mark.parametrize("upload", UPLOADS)
def test_answer_whose_connection_is_reset_is_a_failure(start, call, end, upload):
    """Guards against a part of an answer that looks complete, if the server resets the
    connection after it has received the whole request."""
    for _ in range(RESETS_MAX):
        server = start(len(UPLOADS[upload]), end)
        body = call(server, UPLOADS[upload])
        if body is None:
            break
        server.thread.join(TIMEOUT_S)
        assert server.reset_took_s >= RESET_WITHIN_S
    assert body is None


@CALLS
@pytest.mark.parametrize("end", [close, shut_down, stop_reading])
@pytest.mark.parametrize("upload", UPLOADS)
def test_answer_that_ends_after_the_upload_is_complete(start, call, end, upload):
    """Guards against a check that rejects complete answers."""
    assert call(start(len(UPLOADS[upload]), end), UPLOADS[upload]) == BODY


@CALLS
def test_answer_that_overtakes_the_upload_is_complete(start, call):
    """Guards against a complete answer that is rejected since the kernel acknowledges
    the end of the request some ms later."""
    for _ in range(100):
        assert call(start(0, read_on), UPLOADS["short"]) == BODY


@CALLS
def test_answer_to_an_aborted_call_is_a_failure(start, call):
    """Guards against a part of an answer that looks complete, if the router itself
    ends the connection, as at the end of a planned stop."""
    handle = AbortHandle()
    threading.Timer(0.3, handle.abort).start()
    began_at = time.monotonic()
    assert call(start(0, stay_open), b"x", handle) is None
    assert time.monotonic() - began_at < TIMEOUT_S
