"""Tests of an endpoint that repeats an earlier refusal on a kept connection."""

import contextlib
import http.client
import socket
import threading
import time
from types import SimpleNamespace

import pytest
from tests.lib.listeners import end_listener

from poplarfold._internal.core.commands import StartAttempt
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import (
    EndpointRef,
    EndpointRole,
    HostKey,
    Identity,
    Placement,
)
from poplarfold._internal.daemon.attempt import (
    AttemptIO,
    ModelAttempt,
    ServiceRequest,
    exchange_service,
)
from poplarfold._internal.gateway.plain_calls import PlainCall
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle
from poplarfold._internal.platform import EngineClient, decode_call

# For a stand-in whose threads are held up on a busy machine. No test waits so long for
# an answer, or takes it for the time of a call.
TIMEOUT_S = 10.0
IDENTITY = Identity("owner", "service", "v1")
HEADERS = "Entry-Owner: owner\r\nEntry-Service: service\r\nEntry-Version: v1\r\n"
GRANT = '{"hold":"h1","seq":2,"busy":false}'


class RepeatingServer:
    """Keeps connections. To a second request on one it sends ``repeated`` first.

    It runs that request all the same, and its own answer follows.
    """

    def __init__(self, repeated):
        self.repeated = repeated
        self.connections = self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self.serve, args=[connection], daemon=True
                ).start()

    def serve(self, connection):
        was_used = False
        reader = connection.makefile("rb")
        with connection, contextlib.suppress(OSError):
            while reader.readline():
                headers = http.client.parse_headers(reader)
                reader.read(int(headers.get("Content-Length", 0)))
                self.requests += 1
                if was_used:
                    connection.sendall(self.repeated)
                    time.sleep(0.05)
                connection.sendall(answer("200 OK", HEADERS, GRANT))
                was_used = True


def answer(status, headers="", body=""):
    """Return an answer; all of them have the same length."""
    head = f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(GRANT)}\r\n\r\n"
    return (head + body.ljust(len(GRANT))).encode()


@pytest.fixture(params=["503 Busy", "421 Other", "429 Busy"])
def server(request):
    found = RepeatingServer(answer(request.param, "Poplarfold-Not-Executed: 1\r\n"))
    yield found
    end_listener(found.listener)


@pytest.fixture
def client():
    found = EndpointClient(TIMEOUT_S)
    yield found
    found.close()


def use_connection(client, address):
    """Have the client keep one connection that has carried a request."""
    engines = EngineClient(client, lambda *signal: None)
    assert engines.release_lease(address, "h0", TIMEOUT_S)
    return engines


def engine(server):
    return FleetEndpoint(
        "i-1", 1, "llm", server.address, "a", EndpointRole.DECODE, 4, False, 0.0
    )


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_repeated_refusal_promises_nothing(server, client, is_repeatable):
    """Guards against a call that is reported as not run although its endpoint runs
    it."""
    use_connection(client, server.address)
    call = decode_call("GET", "/", {"Poplarfold-Request-Id": "9c41"})
    signals = []
    context = SimpleNamespace(
        call=call,
        body=b"",
        account_name=None,
        abort=None,
        route=SimpleNamespace(repeatable=is_repeatable),
        services=SimpleNamespace(
            client=client, record_signal=lambda *signal: signals.append(signal)
        ),
    )
    plain = PlainCall.__new__(PlainCall)
    plain.context, plain.sent_attempts, plain.held = context, 0, None
    result = plain.send(engine(server), TIMEOUT_S)
    # A call that may run only once is sent on a new connection.
    assert server.connections == (1 if is_repeatable else 2)
    assert result.is_err() and result.unwrap_err().sent and signals == []
    assert client.pool.take(server.address) is None or not is_repeatable


@pytest.mark.parametrize("path", ["service", "reserve"])
def test_repeated_refusal_of_the_daemons_calls_is_asked_again(client, path):
    """Guards against a call that the daemon reports as refused while it runs."""
    server = RepeatingServer(answer("503 Busy", body='{"code":"full"}'))
    use_connection(client, server.address)
    endpoint = EndpointRef(server.address, 1)
    placement = Placement(endpoint, None, "l", 0.0, 0)
    start = StartAttempt("c", "a", placement, IDENTITY, 0, 1, None, 0)
    io = AttemptIO(client, lambda event: None, HostKey("h", 1), TIMEOUT_S, None)
    if path == "service":
        request = ServiceRequest("c", b"{}", time.monotonic() + TIMEOUT_S)
        error = exchange_service(io, start, request, AbortHandle()).error
    else:
        attempt = ModelAttempt.__new__(ModelAttempt)
        attempt.io, attempt.handle = io, AbortHandle()
        error = attempt._exchange(endpoint, "/reserve", {}, TIMEOUT_S).err()
    end_listener(server.listener)
    assert error is None
    assert len(client.pool.idle[server.address]) == 1
