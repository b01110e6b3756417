"""Tests of a listener whose process has no descriptor left."""

import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time

import pytest

from poplarfold._internal.gateway.server import GatewayServer
from poplarfold._internal.http.caller_resources import (
    FREED_TOGETHER,
    CallerLimits,
    CallerResources,
)
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target
from poplarfold._internal.http.memory_account import MemoryAccount

# How many descriptors the server may open once it listens, and how many callers come.
FREE = 25
CALLERS = 60
REQUEST = b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n\r\n"
PART = REQUEST[:20]
# How long a call to an endpoint may take.
CALL_S = 5.0
# Without a descriptor, nobody was answered for as long as callers were connected.
ANSWER_S = 8.0
SHORTAGE_S = 1.0
# A listener that tried again at once used a whole core, and logged each of some
# 250,000 errors in a second.
CPU_SHARE_MAX = 0.5
PROBLEMS_MAX = 5


def serve():
    """Serve in a process with few descriptors; do what stdin says, a line each."""
    may_answer = threading.Event()
    may_answer.set()
    problems = []

    client = EndpointClient(CALL_S)
    resources = CallerResources(MemoryAccount(), 10 * CALLERS, request_threads=FREE)
    resources.add_client(client)

    def answer(exchange):
        may_answer.wait()
        _, kind, address = exchange.target.split("/")
        if kind == "call":
            target = Target(address, "GET", "/")
            result = client.exchange(target, None, {}, CALL_S, use_new_connection=True)
            if result.is_err():
                exchange.send_whole(502, [], str(result.unwrap_err()).encode())
                return
        exchange.send_whole(200, [], b"ok")

    server = GatewayServer(
        ("127.0.0.1", 0),
        answer,
        lambda: False,
        FREE,
        lambda: CallerLimits(1000, 5.0),
        30.0,
        resources,
        problems.append,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    limit = len(os.listdir("/proc/self/fd")) + FREE
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    print(server.socket.getsockname()[1], flush=True)
    for line in sys.stdin:
        if line == "hold\n":
            may_answer.clear()
        elif line == "answer\n":
            may_answer.set()
        report = {"problems": problems[:PROBLEMS_MAX], "count": len(problems)}
        print(json.dumps({**report, "cpu_s": time.process_time()}), flush=True)
    os._exit(0)


class Server:
    """A server's process, with few descriptors."""

    def __init__(self, process):
        self.process = process
        self.pid = process.pid
        self.address = ("127.0.0.1", int(process.stdout.readline()))

    def has_free_descriptors(self):
        """Return whether the process may open another descriptor."""
        opened = len(os.listdir(f"/proc/{self.pid}/fd"))
        return opened < resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[0]

    def ask(self, command="report"):
        """Send the process a command; return what it reports."""
        self.process.stdin.write(f"{command}\n")
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())


@pytest.fixture
def server():
    command = [sys.executable, "-c", f"from {__name__} import serve; serve()"]
    process = subprocess.Popen(
        command,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    try:
        yield Server(process)
    finally:
        process.kill()
        process.communicate()


class Endpoint:
    """Answers each request, and closes the connection after it."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.requests = 0
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                with sock:
                    self.requests += bool(sock.recv(1000))
                    sock.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        b"Connection: close\r\n\r\n"
                    )


@pytest.fixture
def endpoint():
    found = Endpoint()
    yield found
    found.listener.close()


@contextlib.contextmanager
def callers(server, count, data=b""):
    """Connect callers that send some bytes each."""
    with contextlib.ExitStack() as stack:
        socks = []
        for _ in range(count):
            sock = socket.create_connection(server.address, ANSWER_S)
            socks.append(stack.enter_context(sock))
            sock.sendall(data)
        yield socks


def is_answered(sock):
    """Return whether a connection gets an answer."""
    return sock.recv(1000).startswith(b"HTTP/1.1 200")


def test_callers_are_served_though_idle_ones_take_all_descriptors(server):
    """Guards against a listener that serves nobody any more, not even on connections
    that are open, once an accept has failed for lack of a descriptor."""
    with callers(server, 1, REQUEST) as (kept,):
        assert is_answered(kept)
        with callers(server, CALLERS):
            for _ in range(3):
                kept.sendall(REQUEST)
                assert is_answered(kept)
                with callers(server, 1, REQUEST) as (new,):
                    assert is_answered(new)
        report = server.ask()
    assert 1 <= report["count"] <= PROBLEMS_MAX, report
    assert "Too many open files" in report["problems"][0]


def test_parts_of_heads_make_room_before_idle_callers(server):
    """Guards against useful connections that are closed because those of no use, which
    are closed first, keep their descriptors until the end of their read timeout."""
    with callers(server, 1, REQUEST) as (kept,):
        assert is_answered(kept)
        with callers(server, CALLERS, PART):
            with callers(server, 1, REQUEST) as (new,):
                assert is_answered(new)
            kept.sendall(REQUEST)
            assert is_answered(kept)


def test_listener_waits_if_all_descriptors_are_of_use(server):
    """Guards against a listener that tries to accept without a pause and logs each
    error, as long as requests are being served on all connections."""
    server.ask("hold")
    with callers(server, CALLERS, REQUEST) as socks:
        time.sleep(SHORTAGE_S)
        before, started_at = server.ask(), time.monotonic()
        time.sleep(SHORTAGE_S)
        after, waited_s = server.ask(), time.monotonic() - started_at
        assert 1 <= after["count"] <= PROBLEMS_MAX
        assert after["cpu_s"] - before["cpu_s"] < CPU_SHARE_MAX * waited_s
        # Callers that are busy keep their connections, and the others get theirs later.
        server.ask("answer")
        assert [is_answered(sock) for sock in socks] == [True] * CALLERS


def is_closed(sock):
    """Return whether the server has closed a connection on which nothing is due."""
    sock.setblocking(False)
    try:
        return not sock.recv(1000)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True


def test_calls_to_endpoints_are_made_though_idle_callers_take_all_descriptors(
    server, endpoint
):
    """Guards against calls that fail while connections without a request hold the
    descriptors that connections to endpoints need."""
    call = REQUEST.replace(b"/lookup/1", f"/call/{endpoint.address}".encode())
    with contextlib.ExitStack() as stack:
        (kept,) = stack.enter_context(callers(server, 1, call))
        assert is_answered(kept)
        idle = []
        while server.has_free_descriptors():
            idle += stack.enter_context(callers(server, 1, REQUEST))
            assert is_answered(idle[-1])
        for count in range(2, 5):
            kept.sendall(call)
            answer = kept.recv(1000)
            assert answer.startswith(b"HTTP/1.1 200"), answer
            assert endpoint.requests == count
        # The descriptors that are freed for the first call serve the others, too.
        assert 1 <= sum(is_closed(sock) for sock in idle) <= FREED_TOGETHER
