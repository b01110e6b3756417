"""Tests of bytes that an endpoint sends after a complete answer."""

import contextlib
import socket
import struct
import threading

import pytest
from tests.lib.listeners import end_listener

from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target

# For a stand-in whose threads are held up on a busy machine. No test waits so long for
# an answer, or takes it for the time of a call.
TIMEOUT_S = 10.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(EVENTS), EVENTS)
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


class Server:
    """Answers each request with the given parts, and counts the connections.

    Each part waits for a release of ``next_part``, the first one of all excepted.
    """

    def __init__(self, *parts):
        self.parts = parts
        self.connections = 0
        # Whether the connection is reset after the parts.
        self.resets = False
        self.next_part = threading.Semaphore(1)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self.serve, args=[connection], daemon=True).start()

    def serve(self, connection):
        # The client may reset the connection while it is sending.
        with connection, contextlib.suppress(OSError):
            while connection.recv(65536):
                for part in self.parts:
                    self.next_part.acquire()
                    connection.sendall(part)
                if self.resets:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                    return

    def stop(self):
        end_listener(self.listener)


@pytest.fixture
def start():
    servers = []

    def start_server(*parts):
        servers.append(Server(*parts))
        return servers[-1]

    yield start_server
    for server in servers:
        server.stop()


def open_stream(server):
    target = Target(server.address, "POST", "/")
    return EndpointClient(TIMEOUT_S).open_stream(target, b"", {}, TIMEOUT_S).unwrap()


def read_all(server, stream):
    """Return the body of a stream, and let the server send each part after a read."""
    body = b""
    while not stream.ended:
        body += stream.read().unwrap()
        server.next_part.release()
    stream.close()
    return body


@pytest.mark.parametrize(
    "parts",
    [
        [STREAM + OTHER_ANSWER],
        [STREAM[:-1], STREAM[-1:] + OTHER_ANSWER],
        [STREAM[: -len(EVENTS)], EVENTS + b"x"],
    ],
    ids=["with the head", "with the last byte", "with the body"],
)
def test_bytes_after_a_stream_with_a_length_are_dropped(start, parts):
    """Guards against callers that get another answer as events of their stream."""
    server = start(*parts)
    server.next_part.release()
    assert read_all(server, open_stream(server)) == EVENTS


def test_bytes_after_a_stream_are_dropped_without_waiting(start):
    """Guards against the same fault in reads of the stream pump."""
    stream = open_stream(start(STREAM + OTHER_ANSWER))
    stream.sock.settimeout(0)
    assert stream.read_now().unwrap() == EVENTS
    assert stream.ended and not stream.is_truncated
    stream.close()


ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n"
    b"0\r\n\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\n\r\n",
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
@pytest.mark.parametrize("extra", [b"x", OTHER_ANSWER, b"x" * 100_000])
def test_connection_with_bytes_after_an_answer_is_not_reused(start, answer, extra):
    """Guards against the rest of one answer that is read as the next one.

    The extra bytes lie in the buffer of the first answer's reader, where a check of
    the socket does not see them.
    """
    server = start(answer + extra)
    client = EndpointClient(TIMEOUT_S)
    for _ in range(2):
        server.next_part.release()
        target = Target(server.address, "GET", "/")
        result = client.exchange(target, None, {}, TIMEOUT_S)
        assert result.unwrap().body in (b"mine", b"")
    assert server.connections == 2
    client.close()


def test_connection_without_extra_bytes_is_reused(start):
    """Guards against a check that closes each connection."""
    server = start(ANSWERS["chunks"])
    client = EndpointClient(TIMEOUT_S)
    for _ in range(3):
        server.next_part.release()
        target = Target(server.address, "GET", "/")
        assert client.exchange(target, None, {}, TIMEOUT_S).unwrap().body == b"mine"
    assert server.connections == 1
    client.close()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
    ],
)
def test_stream_with_an_empty_body_ends_at_once(start, answer):
    """Guards against a wait for bytes after an answer that has none."""
    stream = open_stream(start(answer))
    assert stream.ended and not stream.is_truncated
    stream.close()


def test_reset_after_the_head_of_a_stream_is_a_failure_of_the_endpoint(start):
    """Guards against a caller whose connection is closed because an engine reset its
    own, although another engine could serve the stream."""
    server = start(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    server.resets = True
    target = Target(server.address, "POST", "/")
    for _ in range(20):
        opened = EndpointClient(TIMEOUT_S).open_stream(target, b"", {}, TIMEOUT_S)
        server.next_part.release()
        if opened.is_ok():
            assert opened.unwrap().read().is_err()
