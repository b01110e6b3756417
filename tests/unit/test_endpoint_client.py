"""The connection pool of the endpoint client."""

import socket

import pytest
from urllib3.connection import HTTPConnection

from poplarfold._internal.daemon import endpoint_client
from poplarfold._internal.daemon.endpoint_client import IDLE_TIMEOUT_S, EndpointClient


class Clock:
    """A monotonic clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(endpoint_client, "time", clock)
    return clock


@pytest.fixture
def connect():
    """Return a function that creates a connection with an open socket."""
    others = []

    def open_connection():
        connection = HTTPConnection("127.0.0.1", 1)
        connection.sock, other = socket.socketpair()
        others.append(other)
        return connection

    yield open_connection
    for other in others:
        other.close()


def test_idle_connections_of_a_burst_are_closed_while_one_is_in_use(clock, connect):
    """Guards against file descriptors that leak with each burst of calls."""
    client = EndpointClient(1.0)
    burst = [connect() for _ in range(8)]
    for connection in burst:
        client.release("a:1", connection)
    for _ in range(12):
        clock.now += 1.0
        used = client.take_idle("a:1")
        client.release("a:1", used)
    assert [connection.sock is None for connection in burst] == [True] * 7 + [False]
    client.close()


def test_connections_to_a_removed_address_are_closed(clock, connect):
    """Guards against file descriptors that leak with each replaced endpoint."""
    client = EndpointClient(1.0)
    gone, present = connect(), connect()
    client.release("gone:1", gone)
    clock.now += 1.5 * IDLE_TIMEOUT_S
    client.release("present:1", present)
    assert gone.sock is None
    assert set(client.idle) == {"present:1"}
    assert present.sock is not None
    client.close()


def test_requests_on_new_connections_do_not_fill_the_pool(clock, connect):
    """Guards against a leaked file descriptor for each append to the log."""
    client = EndpointClient(1.0)
    connections = [connect() for _ in range(8)]
    for connection in connections:
        client.release("log:1", connection, replaces_oldest=True)
    assert [connection.sock is None for connection in connections] == [True] * 7 + [
        False
    ]
    client.close()
