"""Tests of requests to endpoints that fail with an error that is no network error."""

import contextlib
import json
import socket
import threading

import pytest
from result import Ok
from tests.lib.listeners import end_listener

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import (
    EndpointUnreachableError,
    RequestNotSendableError,
)
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle, Answer, Target
from poplarfold._internal.platform import CallTarget, decode_call
from poplarfold._internal.platform.engines import EngineClient

TIMEOUT_S = 3.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers each head that it receives, and keeps all bytes."""

    def __init__(self):
        self.received = b""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(connection,), daemon=True
                ).start()

    def serve(self, connection):
        with contextlib.suppress(OSError), connection:
            while data := connection.recv(65536):
                self.received += data
                if data.endswith(b"\r\n\r\n"):
                    connection.sendall(ANSWER)


@pytest.fixture
def server():
    found = Server()
    yield found
    end_listener(found.listener)


@pytest.fixture
def client():
    found = EndpointClient(TIMEOUT_S)
    yield found
    found.close()


def exchange(client, target, headers, body=None):
    return client.exchange(target, body, headers, TIMEOUT_S)


def open_stream(client, target, headers, body=b""):
    return client.open_stream(target, body, headers, TIMEOUT_S)


UNSENDABLE = {
    "beyond Latin-1": {"X-A": "i-\ufffd"},
    "line break": {"X-A": "i\r\nX-B: 1"},
    "no text": {"X-A": object()},
    "name": {"X\u0100": "1"},
}


@pytest.mark.parametrize("headers", UNSENDABLE.values(), ids=UNSENDABLE)
@pytest.mark.parametrize("send", [exchange, open_stream])
def test_unsendable_header_is_a_failure_before_anything_was_sent(
    client, server, send, headers
):
    """Guards against an entry whose id no header can have, and with which each call to
    its endpoint ends with an error of the router."""
    failure = send(client, Target(server.address, "GET", "/"), headers).unwrap_err()
    assert isinstance(failure.error, RequestNotSendableError)
    assert (failure.sent, failure.refused) == (False, False)
    assert server.received == b""


def test_unsendable_header_on_a_kept_connection_is_not_sent(client, server):
    """Guards against a kept connection whose earlier request counts as sent bytes of
    one that cannot be sent, and against its use after that."""
    target = Target(server.address, "GET", "/first")
    assert exchange(client, target, {}).is_ok()
    before = server.received
    (kept,) = [row[0] for row in client.pool.idle[server.address]]
    failure = exchange(client, target, {"X-A": "\u0100"}).unwrap_err()
    assert not failure.sent and server.received == before
    assert kept.sock is None
    assert exchange(client, target, {}).is_ok()


@pytest.mark.parametrize("send", [exchange, open_stream])
@pytest.mark.parametrize(
    "address",
    ["", "127.0.0.1", "127.0.0.1:port", "127.0.0.1:-1", "127.0.0.1:65536",
     "127.0.0.1:\u0661\u0662x", "\u0100" * 70 + ":80", "a..b:80", "\x00:80"],
)  # fmt: skip
def test_address_that_cannot_be_connected_to_is_a_failure(client, send, address):
    """Guards against an entry whose address ends calls with an error of the router."""
    failure = send(client, Target(address, "GET", "/"), {}).unwrap_err()
    assert isinstance(failure.error, EndpointUnreachableError)
    assert not failure.sent


@pytest.mark.parametrize("send", [exchange, open_stream])
def test_error_after_the_first_byte_counts_as_sent(client, server, send):
    """Guards against a call that must not be repeated and is, after an unexpected
    error in the middle of its request."""

    def body():
        yield b"begun"
        raise RuntimeError("the body cannot be read")

    target = Target(server.address, "POST", "/")
    failure = send(client, target, {"Content-Length": "10"}, body()).unwrap_err()
    assert failure.sent


@pytest.mark.parametrize("send", [exchange, open_stream])
def test_unexpected_error_in_an_answer_is_a_failure(client, server, send, monkeypatch):
    """Guards against an answer that ends a call with an error of the router, where
    another endpoint might have served it."""

    def fail(*_):
        raise ValueError("unexpected")

    monkeypatch.setattr("http.client.parse_headers", fail)
    failure = send(client, Target(server.address, "GET", "/"), {}).unwrap_err()
    assert failure.sent


class AnsweringClient:
    """Answers each request with the same JSON document."""

    def __init__(self, **fields):
        self.body = json.dumps(fields).encode()

    def exchange(self, *_, **__):
        return Ok(Answer(200, {}, self.body))


@pytest.mark.parametrize("text", ["h\u0100", "h\r\nX-A: 1", " h", "\ud800", "", 7])
def test_engine_cannot_make_requests_to_other_engines_fail(text):
    """Guards against an engine that returns a handle which no header can have, so that
    the requests to sound engines fail and count against these."""
    engine = FleetEndpoint(
        "i-1", 1, "llm", "127.0.0.1:9", "lhr-a", EndpointRole.PREFILL, 4, False, 0.0
    )
    client = EngineClient(AnsweringClient(hold=text, handle=text), lambda *_: None)
    assert client.take_lease(engine, 10, 1.0, 1.0, AbortHandle()).is_err()
    call = decode_call("POST", "/", {})
    target = CallTarget("i-1", 1.0, EndpointRole.PREFILL)
    assert client.prefill(engine, call, b"", target, 1.0, AbortHandle()).is_err()
