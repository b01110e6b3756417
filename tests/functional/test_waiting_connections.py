"""Tests of connections that have sent no request, or only a part of one."""

import contextlib
import signal
import socket
import threading
import time

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.waits import wait_until

# More than the request threads of a process.
SILENT = 300
# A call without load takes some milliseconds.
PROMPT_S = 1.0
# The time between two bytes of a head. A head of 47 bytes takes 2.3 s of the 5 s that
# are allowed, also where sending a byte to each connection takes long.
BYTE_PERIOD_S = 0.05
# How many heads are ended together, so that their calls do not wait for each other.
ENDED_TOGETHER = 10


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path) as found:
        yield found


@contextlib.contextmanager
def connections(fleet, count):
    """Open connections that send nothing."""
    address = ("127.0.0.1", fleet.ports["front"])
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(socket.create_connection(address, 5))
            for _ in range(count)
        ]


def prompt_calls(fleet, seconds):
    """Make calls on new connections; return the longest time of one."""
    longest_s = 0.0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        started_at = time.monotonic()
        assert fleet.call("GET", "/lookup/1").status == 200
        longest_s = max(longest_s, time.monotonic() - started_at)
    return longest_s


def test_silent_connections_take_no_threads(fleet):
    """Guards against callers that wait behind connections which have sent nothing."""
    with connections(fleet, SILENT) as silent:
        assert prompt_calls(fleet, 1.0) < PROMPT_S
        # A silent connection is served once it has a request.
        silent[-1].sendall(b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n\r\n")
        assert silent[-1].recv(100).startswith(b"HTTP/1.1 200")


def test_slow_heads_take_no_threads(fleet):
    """Guards against callers that wait behind heads which come a byte at a time."""
    head = b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n\r\n"
    with connections(fleet, SILENT // 2) as slow:

        def drip():
            started_at = time.monotonic()
            sent = 0
            while sent < len(head) - 2:
                # All bytes that are due by now, which is one each time unless the
                # machine is busy.
                due = 1 + int((time.monotonic() - started_at) / BYTE_PERIOD_S)
                due = min(due, len(head) - 2)
                for sock in slow:
                    sock.sendall(head[sent:due])
                sent = due
                time.sleep(BYTE_PERIOD_S)

        sender = threading.Thread(target=drip)
        sender.start()
        longest_s = prompt_calls(fleet, 1.0)
        assert sender.is_alive()
        sender.join()
        for first in range(0, len(slow), ENDED_TOGETHER):
            group = slow[first : first + ENDED_TOGETHER]
            for sock in group:
                sock.sendall(head[-2:])
            answers = [sock.recv(100) for sock in group]
            assert all(a.startswith(b"HTTP/1.1 200") for a in answers), answers
    assert longest_s < PROMPT_S


def test_incomplete_head_is_answered_after_the_read_timeout(fleet):
    """Guards against descriptors that leak to callers who never finish a head."""
    with connections(fleet, 1) as (sock,):
        sock.sendall(b"GET /lookup/1 HTTP/1.1\r\nHost: ent")
        sock.settimeout(8)
        assert sock.recv(100).startswith(b"HTTP/1.1 408")


def test_request_of_a_caller_that_has_left_is_not_sent(fleet):
    """Guards against requests that are sent though their callers left in the queue."""
    fleet.plain[0].work_s = fleet.plain[1].work_s = 0.3
    request = b"POST /filing/1 HTTP/1.1\r\nHost: entry.example\r\n"
    request += b"Poplarfold-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx"
    # A thread that has not noticed the signal would begin some of the requests.
    fleet.pause()
    with connections(fleet, 40) as left:
        for sock in left:
            sock.sendall(request)
    fleet.process.send_signal(signal.SIGCONT)
    wait_until(lambda: fleet.call("GET", "/lookup/1").status == 200, 5.0)
    filings = [run for e in fleet.plain for run in e.runs if run[1] == "/filing/1"]
    assert filings == []
