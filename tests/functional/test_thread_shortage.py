"""Tests of a listener whose process cannot start threads for a while."""

import gc
import os
import socket
import threading

import pytest
from tests.lib.waits import wait_until

from poplarfold._internal.gateway.server import GatewayServer
from poplarfold._internal.http.caller_resources import CallerLimits, CallerResources
from poplarfold._internal.http.memory_account import MemoryAccount

REQUEST_THREADS = 4
# Below the timeouts of heads and bodies, so that they end no connection here.
CLOSE_S = 5.0
TIMEOUT_S = 60.0
HEAD = b"POST /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n"
CLOSING = HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
KEPT = HEAD + b"Content-Length: 0\r\n\r\n"
# Per thread: the part of a request for which it is started, and the rest.
UNFINISHED = {
    "heads": (HEAD, b"Content-Length: 0\r\n\r\n"),
    "bodies": (HEAD + b"Content-Length: 5\r\n\r\nab", b"cde"),
}
THREADS = [*UNFINISHED, "closing"]


class Starts:
    """Refuses to start threads with certain names, as the system does at a limit."""

    def __init__(self, start):
        self.start = start
        self.refused_names = set()
        # The names of the threads that were refused.
        self.refusals = []

    def start_or_refuse(self, thread):
        if thread.name in self.refused_names:
            self.refusals.append(thread.name)
            raise RuntimeError("can't start new thread")
        self.start(thread)


@pytest.fixture
def starts(monkeypatch):
    starts = Starts(threading.Thread.start)
    # A function is bound to the thread like the method that it replaces.
    monkeypatch.setattr(
        threading.Thread, "start", lambda thread: starts.start_or_refuse(thread)
    )
    return starts


@pytest.fixture
def server(starts):
    problems = []

    def answer(exchange):
        exchange.send_whole(200, [], exchange.read_body())

    found = GatewayServer(
        ("127.0.0.1", 0),
        answer,
        lambda: False,
        REQUEST_THREADS,
        lambda: CallerLimits(1000, TIMEOUT_S),
        TIMEOUT_S,
        CallerResources(MemoryAccount(), 100, request_threads=REQUEST_THREADS),
        problems.append,
    )
    found.problems = problems
    found.prepare()
    thread = threading.Thread(target=found.serve, daemon=True)
    thread.start()
    yield found
    found.stop()
    thread.join(CLOSE_S)


def connect(server):
    return socket.create_connection(server.socket.getsockname()[:2], CLOSE_S)


def receive_all(sock):
    """Return what a connection receives up to its end, be it a reset."""
    data = b""
    try:
        while part := sock.recv(1000):
            data += part
    except ConnectionResetError:
        pass
    return data


def count_descriptors():
    return len(os.listdir("/proc/self/fd"))


def assert_nothing_is_held(server):
    """Check that no connection and no memory of callers is counted any more."""
    resources = server.resources
    wait_until(lambda: not resources.connections.connections, CLOSE_S)
    wait_until(lambda: not resources.closing_sockets.count(), CLOSE_S)
    assert not server.head_waiter.connections
    assert not resources.body_reader.transfers
    wait_until(lambda: not resources.account.used_bytes, CLOSE_S)


def assert_serves(server):
    """Check that a caller with a whole request is answered."""
    with connect(server) as sock:
        sock.sendall(CLOSING)
        assert receive_all(sock).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("name", UNFINISHED)
def test_unfinished_request_is_closed_if_nobody_can_wait_for_it(server, starts, name):
    """Guards against connections that nobody waits for or closes once a thread could
    not be started, also after threads can be started again, and against a listener
    that ends because of it."""
    part, rest = UNFINISHED[name]
    starts.refused_names = {name}
    for _ in range(3):
        with connect(server) as sock:
            sock.sendall(part)
            assert not receive_all(sock)
        assert_serves(server)
    assert starts.refusals == [name] * 3
    assert sum("cannot be waited for" in text for text in server.problems) == 3
    assert_nothing_is_held(server)
    starts.refused_names = set()
    for _ in range(2):
        with connect(server) as sock:
            sock.sendall(part)
            if name == "heads":
                wait_until(lambda: server.head_waiter.connections, CLOSE_S)
            else:
                wait_until(lambda: server.resources.body_reader.transfers, CLOSE_S)
            sock.sendall(rest)
            assert sock.recv(1000).startswith(b"HTTP/1.1 200")
    assert_nothing_is_held(server)


def test_connection_is_closed_at_once_if_nobody_can_wait_for_its_end(server, starts):
    """Guards against a request thread and a listener that end, and connections that
    are never closed, if the thread for sockets that close could not be started."""
    starts.refused_names = {"closing"}
    for count in range(1, REQUEST_THREADS + 2):
        with connect(server) as sock:
            sock.sendall(CLOSING)
            assert receive_all(sock).startswith(b"HTTP/1.1 200")
            # The server waits for the end of a connection only while this one is open.
            wait_until(lambda count=count: len(starts.refusals) == count, CLOSE_S)
    assert_nothing_is_held(server)
    starts.refused_names = set()
    with connect(server) as sock:
        sock.sendall(CLOSING)
        assert sock.recv(1000).startswith(b"HTTP/1.1 200")
        # The server has closed its side, and still reads what comes.
        assert not sock.recv(1000)
        wait_until(lambda: server.resources.closing_sockets.count() == 1, CLOSE_S)
        sock.sendall(KEPT)
    assert_nothing_is_held(server)


@pytest.mark.parametrize("name", THREADS)
def test_refused_threads_leave_no_descriptors_open(server, starts, name):
    """Guards against descriptors that are lost with each thread that is refused."""
    data = CLOSING if name == "closing" else UNFINISHED[name][0]
    starts.refused_names = set(THREADS)
    gc.collect()
    before = count_descriptors()
    for count in range(1, 6):
        with connect(server) as sock:
            sock.sendall(data)
            receive_all(sock)
            # Whoever closes a connection tries to wait for its end, too.
            wait_until(
                lambda count=count: starts.refusals.count("closing") == count, CLOSE_S
            )
    assert starts.refusals.count(name) == 5
    wait_until(lambda: count_descriptors() <= before, CLOSE_S)
    assert_nothing_is_held(server)
