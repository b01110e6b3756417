"""Tests of a planned stop under load: each call that was taken gets a whole answer."""

import http.client
import signal
import socket
import threading
import time

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.platform_standin import configuration, route
from tests.lib.waits import wait_until

GRACE_S = 6.0
ROUTE_TIMEOUT_S = 3.0
# An endpoint that is sound, and slow enough for late calls to last beyond the grace.
WORK_S = 2.8
CALL_PERIOD_S = 0.1
# How long an endpoint holds its answers at most, within the timeout of the route.
HELD_MAX_S = 2.5


@pytest.fixture
def fleet(tmp_path):
    timeout_ms = int(ROUTE_TIMEOUT_S * 1000)
    routes = [
        route(
            "filing", "/filing/", "non_idempotent", "registry", timeout_ms=timeout_ms
        ),
        route("lookup", "/lookup/", "idempotent", "registry", timeout_ms=timeout_ms),
        route("long", "/long/", "idempotent", "registry", timeout_ms=20_000),
    ]
    with ready_fleet(
        tmp_path, {"grace_s": GRACE_S}, configuration(routes=routes)
    ) as found:
        yield found


class Caller:
    """Makes one call on a connection that was opened before."""

    def __init__(self, fleet, path, method="POST"):
        self.path, self.method = path, method
        address = ("127.0.0.1", fleet.ports["front"])
        self.connection = http.client.HTTPConnection(*address, timeout=20)
        self.connection.connect()
        self.thread = threading.Thread(target=self.run)
        self.status = None
        self.problem = ""

    def run(self):
        headers = {"Host": "entry.example", "Poplarfold-Request-Id": f"{id(self):x}"}
        try:
            self.connection.request(self.method, self.path, b"x", headers)
            answer = self.connection.getresponse()
            answer.read()
            self.status = answer.status
        except (OSError, http.client.HTTPException) as error:
            self.problem = repr(error)

    def start(self):
        self.thread.start()

    def finish(self):
        self.thread.join(30)
        self.connection.close()


def hold_answers(fleet):
    """Let the endpoints answer only once the returned event has happened."""
    may_answer = threading.Event()

    def body(request_id):
        may_answer.wait(HELD_MAX_S)
        return b"whole answer"

    for endpoint in fleet.plain:
        endpoint.whole_body = body
    return may_answer


def begin_stop(fleet):
    """Send SIGTERM, and wait until the process has noticed it."""
    fleet.process.send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.ready_status() == 503, 2.0)


def test_calls_that_come_during_the_whole_stop_get_whole_answers(fleet):
    """Guards against calls that are taken late in the grace and cut at its end, among
    them filings that may have run."""
    for endpoint in fleet.plain:
        endpoint.work_s = WORK_S
    paths = ("/filing/1", "/lookup/1", "/long/1")
    callers = [Caller(fleet, paths[n % 3]) for n in range(int(GRACE_S / CALL_PERIOD_S))]
    fleet.process.send_signal(signal.SIGTERM)
    for caller in callers:
        if fleet.process.poll() is not None:
            break
        caller.start()
        time.sleep(CALL_PERIOD_S)
    started = [caller for caller in callers if caller.thread.ident]
    for caller in started:
        caller.finish()
    assert fleet.process.wait(GRACE_S) == 0
    sent = {
        headers["Poplarfold-Request-Id"]
        for e in fleet.plain
        for *_, headers, _ in e.runs
    }
    cut = [
        (caller.path, caller.problem)
        for caller in started
        if caller.status is None and f"{id(caller):x}" in sent
    ]
    assert cut == []
    assert {caller.status for caller in started} <= {200, 503, 504, None}
    assert [caller.status for caller in started].count(200) >= 5


def test_call_that_outlasts_the_stop_gets_a_whole_answer(fleet):
    """Guards against a call without any answer, since its process has ended."""
    for endpoint in fleet.plain:
        endpoint.work_s = 2 * GRACE_S
    caller = Caller(fleet, "/long/1")
    caller.start()
    wait_until(lambda: any(endpoint.runs for endpoint in fleet.plain), 2.0)
    fleet.process.send_signal(signal.SIGTERM)
    caller.finish()
    assert caller.status == 504
    assert fleet.process.wait(GRACE_S) == 0


def test_stop_answers_a_request_that_was_read_with_the_one_before(fleet):
    """Guards against a request that is dropped with its connection, since the answer to
    the one before it closes it."""
    may_answer = hold_answers(fleet)
    address = ("127.0.0.1", fleet.ports["front"])
    with socket.create_connection(address, 5) as sock:
        head = "GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n"
        ids = ("first", "second", "third")
        requests = [f"{head}Poplarfold-Request-Id: {name}\r\n\r\n" for name in ids]
        sock.sendall("".join(requests).encode())
        wait_until(lambda: any(endpoint.runs for endpoint in fleet.plain), 2.0)
        begin_stop(fleet)
        may_answer.set()
        with sock.makefile("rb") as answers:
            received = answers.read()
    assert received.count(b"HTTP/1.1 200 OK") == len(ids)
    assert received.count(b"Connection: close") == 1


def test_stop_answers_requests_that_arrive_while_the_one_before_is_served(fleet):
    """Guards against a request that is dropped with its connection, since it came after
    the one before it had been read."""
    may_answer = hold_answers(fleet)
    address = ("127.0.0.1", fleet.ports["front"])
    with socket.create_connection(address, 5) as sock:
        head = "GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n"
        ids = ("first", "second", "third")
        begin_stop(fleet)
        for name in ids:
            sock.sendall(f"{head}Poplarfold-Request-Id: {name}\r\n\r\n".encode())
            time.sleep(0.1)
        may_answer.set()
        with sock.makefile("rb") as answers:
            received = answers.read()
    assert received.count(b"HTTP/1.1 200 OK") == len(ids)
    assert received.count(b"Connection: close") == 1


def test_stop_that_is_asked_for_during_a_pause_begins_after_it(fleet):
    """Guards against a stop that never begins: after a pause, another thread than the
    main one may take the signal."""
    fleet.pause()
    fleet.process.send_signal(signal.SIGTERM)
    fleet.process.send_signal(signal.SIGCONT)
    wait_until(lambda: fleet.ready_status() == 503, 2.0)
    assert fleet.process.wait(GRACE_S) == 0
