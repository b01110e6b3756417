"""The connections to endpoints that are not in use."""

import socket

import pytest
from urllib3.connection import HTTPConnection

from poplarfold._internal.http import connection_pool
from poplarfold._internal.http.caller_resources import FREED_TOGETHER, CallerResources
from poplarfold._internal.http.connection_pool import IDLE_TIMEOUT_S, ConnectionPool
from poplarfold._internal.http.memory_account import MemoryAccount


class Clock:
    """A monotonic clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(connection_pool, "time", clock)
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
    pool = ConnectionPool()
    burst = [connect() for _ in range(8)]
    for connection in burst:
        pool.release("a:1", connection)
    for _ in range(12):
        clock.now += 1.0
        used = pool.take("a:1")
        pool.release("a:1", used)
    assert [connection.sock is None for connection in burst] == [True] * 7 + [False]
    pool.close()


def test_connections_to_a_removed_address_are_closed(clock, connect):
    """Guards against file descriptors that leak with each replaced endpoint."""
    pool = ConnectionPool()
    gone, present = connect(), connect()
    pool.release("gone:1", gone)
    clock.now += 1.5 * IDLE_TIMEOUT_S
    pool.release("present:1", present)
    assert gone.sock is None
    assert set(pool.idle) == {"present:1"}
    assert present.sock is not None
    pool.close()


def test_requests_on_new_connections_do_not_fill_the_pool(clock, connect):
    """Guards against a leaked file descriptor for each append to the log."""
    pool = ConnectionPool()
    connections = [connect() for _ in range(8)]
    for connection in connections:
        pool.release("log:1", connection, replaces_oldest=True)
    assert [connection.sock is None for connection in connections] == [True] * 7 + [
        False
    ]
    pool.close()


class Caller:
    """An idle connection of a caller."""

    requests_served, idle_since, is_busy, is_evicted = 1, 0.0, False, False

    def evict(self):
        pass


@pytest.mark.parametrize("pooled", [FREED_TOGETHER, 1])
def test_idle_connections_to_endpoints_are_closed_before_callers(connect, pooled):
    """Guards against callers that lose their connections while the process holds
    descriptors of no use, and against too few of these being all that is freed."""
    resources = CallerResources(MemoryAccount(), 100)
    resources.pools = [ConnectionPool(), ConnectionPool()]
    callers = [Caller() for _ in range(20)]
    for caller in callers:
        resources.connections.add(caller)
    connections = [connect() for _ in range(pooled)]
    for number, connection in enumerate(connections):
        resources.pools[number % 2].release("a:1", connection)
    resources.free_descriptors()
    assert all(connection.sock is None for connection in connections)
    evicted = sum(caller.is_evicted for caller in callers)
    assert evicted == FREED_TOGETHER - pooled
