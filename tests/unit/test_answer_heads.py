"""Tests of answers whose heads end early, are malformed or follow interim ones."""

import contextlib
import socket
import threading

import pytest
from tests.lib.listeners import end_listener
from tests.unit.test_repeated_refusals import engine

from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle, Target
from poplarfold._internal.platform import EngineClient, decode_call
from poplarfold._internal.platform.calls import CallTarget
from poplarfold._internal.platform.store import StoreClient, StoreTopic

# For a stand-in whose threads are held up on a busy machine. No test waits so long for
# an answer, or takes it for the time of a call.
TIMEOUT_S = 10.0
BODY = b'{"hold":"h1","handle":"k1","items":[],"end":0,"offset":0}'
INTERIM = b"HTTP/1.1 %d Interim\r\nLink: </a>\r\n\r\n"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nPoplarfold-Request-Id: 9c41\r\n"
    b"Poplarfold-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n" % len(BODY),
    "interim": INTERIM % 100 + INTERIM % 103 + b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    "bare": b"HTTP/1.1 200\r\n\r\n",
}
CALLS = {
    "plain": lambda client, server: client.exchange(
        Target(server.address, "GET", "/"), None, {}, TIMEOUT_S
    ),
    "stream": lambda client, server: client.open_stream(
        Target(server.address, "POST", "/"), b"", {}, TIMEOUT_S
    ),
    "lease": lambda client, server: EngineClient(client, print).take_lease(
        engine(server), 1, 1.0, TIMEOUT_S, AbortHandle()
    ),
    "prefill": lambda client, server: EngineClient(client, print).prefill(
        engine(server),
        decode_call("POST", "/", {"Poplarfold-Request-Id": "9c41"}),
        b"",
        CallTarget("i-1", TIMEOUT_S),
        TIMEOUT_S,
        AbortHandle(),
    ),
    "store": lambda client, server: StoreClient(client, server.address).read_newest(
        StoreTopic.ROUTES, TIMEOUT_S
    ),
}


class Server:
    """Sends ``answer`` to each request, and then closes the connection or keeps it."""

    def __init__(self):
        self.answer, self.closes = b"", True
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=[connection], daemon=True
                ).start()

    def serve(self, connection):
        with connection, contextlib.suppress(OSError):
            while connection.recv(65536):
                self.requests += 1
                connection.sendall(self.answer)
                if self.closes:
                    connection.shutdown(socket.SHUT_WR)
                    connection.recv(65536)
                    return


@pytest.fixture
def server():
    found = Server()
    yield found
    end_listener(found.listener)


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_head_that_ends_early_is_a_failure(server, call, head):
    """Guards against an answer that lost its length with a part of its head, and then
    looks complete without its body."""
    client = EndpointClient(TIMEOUT_S)
    for length in range(len(head)):
        server.answer = head[:length]
        assert call(client, server).is_err(), server.answer
    server.answer = head + BODY
    assert call(client, server).is_ok()


@pytest.mark.parametrize(
    "line", [b"Content-Le\r\n", b"ContHTTP/1.1 500 Failed\r\n", b"A: b\r\r\r\n"]
)
def test_head_with_a_line_that_is_no_header_is_a_failure(server, line):
    """Guards against a length that is ignored since it follows a malformed line."""
    server.answer = HEADS["length"].replace(b"Content-L", line + b"Content-L") + b"ha"
    for call in CALLS.values():
        assert call(EndpointClient(TIMEOUT_S), server).is_err()


@pytest.mark.parametrize("status", [102, 103, 199])
def test_interim_answer_is_not_the_answer(server, status):
    """Guards against a call that gets an interim answer, and the next call on the
    connection that gets its real one."""
    server.closes = False
    server.answer = INTERIM % status * 2 + HEADS["length"] + BODY
    client = EndpointClient(TIMEOUT_S)
    for _ in range(2):
        assert CALLS["plain"](client, server).unwrap().body == BODY
    assert len(client.pool.idle[server.address]) == 1
    client.close()


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize(
    "status",
    [b"000", b"0", b"20", b"99", b"600", b"999", b"1000", b"-200", b"+200", b"0200"]
    + [b"2_00", b"2e2", b"0xc8", b"\xb2\xb0\xb0", b"OK", b""],
)
def test_answer_without_a_valid_status_is_a_failure(server, call, status):
    """Guards against bytes that are forwarded as an answer though their status is no
    three-digit number from 100 to 599."""
    server.answer = HEADS["length"].replace(b"200", status) + BODY
    result = call(EndpointClient(TIMEOUT_S), server)
    assert result.is_err()
    assert getattr(result.unwrap_err(), "sent", True)


@pytest.mark.parametrize("version", [b"HTTP/0.9", b"HTTP/1.x", b"HTTP/1.", b"HTTP/11"])
def test_answer_without_a_valid_version_is_a_failure(server, version):
    """Guards against bytes of another protocol that are forwarded as an answer."""
    server.answer = HEADS["length"].replace(b"HTTP/1.1", version) + BODY
    assert CALLS["plain"](EndpointClient(TIMEOUT_S), server).is_err()


@pytest.mark.parametrize(
    "line", [b"HTTP/1.0 200 OK", b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.1 200 a b"]
)
def test_answer_with_a_valid_status_line_is_accepted(server, line):
    """Guards against a check that rejects answers whose reason is unusual."""
    server.answer = HEADS["length"].replace(b"HTTP/1.1 200 OK", line) + BODY
    for name in ("plain", "stream"):
        assert CALLS[name](EndpointClient(TIMEOUT_S), server).is_ok()


def test_switched_protocol_is_a_failure(server):
    """Guards against bytes of another protocol that are read as an answer."""
    server.answer = INTERIM % 101 + HEADS["length"] + BODY
    assert CALLS["plain"](EndpointClient(TIMEOUT_S), server).is_err()


@pytest.mark.parametrize("length", [b"5x", b"-5", b"", b"5, 5"])
def test_malformed_length_is_a_failure(server, length):
    """Guards against a short body that looks complete since its length is ignored."""
    server.answer = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\nha"
    for name in ("plain", "stream"):
        assert CALLS[name](EndpointClient(TIMEOUT_S), server).is_err()


@pytest.mark.parametrize(
    "rows",
    [
        b"Content-Length: 2\r\nContent-Length: 20\r\n",
        b"Content-Length: 20\r\nContent-Length: 2\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
        b"Transfer-Encoding:\r\n",
    ],
)
def test_answer_with_other_framing_is_a_failure(server, rows):
    """Guards against a body that ends at the wrong byte, or holds the lines between its
    chunks, since its framing is contradictory or unknown."""
    server.answer = b"HTTP/1.1 200 OK\r\n" + rows + b"\r\n2\r\nha\r\n0\r\n\r\n"
    for name in ("plain", "stream"):
        result = CALLS[name](EndpointClient(TIMEOUT_S), server)
        assert result.is_err(), name


@pytest.mark.parametrize("value", [b"chunked", b"Chunked", b" chunked \t"])
def test_answer_in_chunks_is_accepted(server, value):
    """Guards against chunks that are read as a part of the body, or rejected, since
    there are blanks around the header's value."""
    row = b"Transfer-Encoding:" + value + b"\r\n"
    server.answer = b"HTTP/1.1 200 OK\r\n" + row + b"\r\n2\r\nha\r\n0\r\n\r\n"
    client = EndpointClient(TIMEOUT_S)
    assert CALLS["plain"](client, server).unwrap().body == b"ha"
    stream = CALLS["stream"](client, server).unwrap()
    assert stream.read().unwrap() == b"ha"
    stream.close()


def test_repeated_length_is_accepted(server):
    """Guards against a check that rejects a length that is sent twice."""
    row = b"Content-Length: 2\r\n"
    server.answer = b"HTTP/1.1 200 OK\r\n" + row + row + b"\r\nha"
    client = EndpointClient(TIMEOUT_S)
    assert CALLS["plain"](client, server).unwrap().body == b"ha"
