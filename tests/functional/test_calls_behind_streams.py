"""Tests of calls that reach a host whose request threads serve long streams."""

import signal
import socket
import threading
import time

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.waits import wait_until

GRACE_S = 6.0
THREADS = 8
STREAMS = 12
STREAM_S = 3 * GRACE_S
CALLS = 6
# More than two threads serve within the timeout of the route, one after the other.
QUEUED_CALLS = 24
# Far below the timeout of the routes, and far above the time of a call.
PROMPT_S = 1.0
STREAM_HEADERS = "Poplarfold-Token-Count: 1000,200\r\nPoplarfold-Deadline-Ms: 14000\r\n"


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path, {"grace_s": GRACE_S}) as found:
        found.settings.write_text(
            found.settings.read_text() + f"request_threads = {THREADS}\n"
        )
        found.decode.slots = 2 * STREAMS
        found.decode.events = 100
        found.decode.event_period_s = STREAM_S / found.decode.events
        found.announce(found.decode, "llm", seq=2)
        found.restart()
        found.wait_counted()
        yield found


class Caller:
    """Sends one request, and notes the status of its answer and when it came."""

    def __init__(self, fleet, path, headers=""):
        self.sock = socket.create_connection(("127.0.0.1", fleet.ports["front"]), 5)
        self.sock.settimeout(2 * STREAM_S)
        head = f"POST {path} HTTP/1.1\r\nHost: entry.example\r\n{headers}"
        head += f"Poplarfold-Request-Id: {id(self):x}\r\nContent-Length: 6\r\n\r\n"
        self.sent_at = time.monotonic()
        self.sock.sendall(head.encode() + b"prompt")
        self.status = None
        self.answered_after_s = float("inf")
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        try:
            data = self.sock.recv(65536)
        except OSError:
            return
        if data.startswith(b"HTTP/1.1 "):
            self.answered_after_s = time.monotonic() - self.sent_at
            self.status = int(data.split()[1])


def start_streams(fleet):
    """Send more streams than there are threads, and wait until each has begun or is
    refused, so that all places are occupied."""
    callers = [Caller(fleet, "/caption/1", STREAM_HEADERS) for _ in range(STREAMS)]
    wait_until(lambda: all(caller.status for caller in callers), 10.0)
    return callers


def test_calls_are_answered_while_a_host_has_more_streams_than_threads(fleet):
    """Guards against calls that wait for a thread until some stream ends."""
    streams = start_streams(fleet)
    calls = [Caller(fleet, "/lookup/1") for _ in range(CALLS)]
    for call in calls:
        call.thread.join(PROMPT_S)
    assert [call.status for call in calls] == [200] * CALLS
    assert max(call.answered_after_s for call in calls) < PROMPT_S
    assert {stream.status for stream in streams} == {200, 503}


def test_stop_answers_calls_that_came_behind_long_streams(fleet):
    """Guards against calls that wait for a thread when a stop begins, and are reset
    at its end."""
    open_streams = start_streams(fleet)
    calls = [Caller(fleet, "/lookup/1") for _ in range(CALLS)]
    fleet.process.send_signal(signal.SIGTERM)
    late = [Caller(fleet, path) for path in ("/filing/1", "/lookup/1")]
    streams = [Caller(fleet, "/caption/1", STREAM_HEADERS) for _ in range(2)]
    assert fleet.process.wait(GRACE_S) == 0
    for caller in (*calls, *late, *streams):
        caller.thread.join(PROMPT_S)
    assert len(open_streams) == STREAMS
    statuses = {caller.status for caller in (*calls, *late)}
    assert statuses <= {200, 503, 504}
    assert {caller.status for caller in streams} == {503}


def test_time_in_the_queue_of_the_threads_counts_towards_the_deadline(fleet):
    """Guards against an endpoint that is given time which the caller has not, since the
    request had waited for a thread."""
    for endpoint in fleet.plain:
        endpoint.work_s = 0.2
    open_streams = start_streams(fleet)
    calls = [Caller(fleet, "/lookup/1") for _ in range(QUEUED_CALLS)]
    for call in calls:
        call.thread.join(GRACE_S)
    assert len(open_streams) == STREAMS
    given_ms = [
        int(headers["Poplarfold-Deadline-Ms"])
        for endpoint in fleet.plain
        for _, _, headers, _ in endpoint.runs
    ]
    # Two threads serve the calls, which have a timeout of 1.5 s: sixteen at most.
    assert min(given_ms) < 400
    assert 504 in {call.status for call in calls} or len(given_ms) < QUEUED_CALLS
