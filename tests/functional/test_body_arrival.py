"""Tests of request bodies that arrive apart from their heads."""

import signal
import socket
import time

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.platform_standin import configuration
from tests.lib.waits import wait_until

HEAD = (
    b"POST /filing/1 HTTP/1.1\r\nHost: entry.example\r\n"
    b"Poplarfold-Request-Id: 9c41d07be2a35f68\r\n"
)
LOOKUP = b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n\r\n"
LIMIT_BYTES = 100_000


@pytest.fixture
def fleet(tmp_path):
    config = configuration(limits={"max_body_bytes": LIMIT_BYTES})
    with ready_fleet(tmp_path, config=config) as found:
        yield found


def connect(fleet):
    return socket.create_connection(("127.0.0.1", fleet.ports["front"]), 10)


def read_until(sock, count, end=b"whole answer"):
    """Read until as many answers have arrived."""
    data = b""
    while data.count(end) < count:
        part = sock.recv(65_536)
        assert part, data
        data += part
    return data


@pytest.mark.parametrize(
    "parts",
    [
        [b"Content-Length: 10\r\n\r\n", b"01234", b"56789" + LOOKUP + LOOKUP],
        [b"Transfer-Encoding: chunked\r\n\r\na\r\n012", b"3456789\r", b"\n0\r\nA: "]
        + [b"b\r\n\r\n" + LOOKUP + LOOKUP[:20], LOOKUP[20:]],
    ],
    ids=["length", "chunked"],
)
def test_requests_behind_a_body_are_served(fleet, parts):
    """Guards against requests that are lost, or read as a part of the body, when they
    arrive together with its end."""
    with connect(fleet) as sock:
        sock.sendall(HEAD)
        for part in parts:
            sock.sendall(part)
            time.sleep(0.1)
        assert read_until(sock, 3).count(b"HTTP/1.1 200") == 3
    runs = [run for endpoint in fleet.plain for run in endpoint.runs]
    assert sorted(run[1] for run in runs) == ["/filing/1", "/lookup/1", "/lookup/1"]
    assert [run[3] for run in runs if run[1] == "/filing/1"] == [b"0123456789"]


def test_caller_that_asks_before_it_sends_its_body_is_told_to(fleet):
    """Guards against callers that wait for the interim answer before a body."""
    with connect(fleet) as sock:
        sock.sendall(HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assert sock.recv(100).startswith(b"HTTP/1.1 100")
        sock.sendall(b"ab")
        assert b"HTTP/1.1 200" in read_until(sock, 1)


@pytest.mark.parametrize("is_chunked", [True, False])
def test_size_limit_of_the_configuration_is_kept(fleet, is_chunked):
    """Guards against bodies beyond the configuration's limit, or refused within it."""
    for size, status in ((LIMIT_BYTES, 200), (LIMIT_BYTES + 1, 413)):
        body = iter([b"x" * size]) if is_chunked else b"x" * size
        assert fleet.call("POST", "/filing/1", body=body).status == status


def test_body_without_room_is_rejected_and_runs_later(fleet):
    """Guards against a body that is dropped without an answer, or runs although its
    caller was told that it has not."""
    fleet.restart(limits={"memory_mb": 0.1})
    answer = fleet.call("POST", "/filing/1", body=b"x" * LIMIT_BYTES)
    assert answer.status == 503 and float(answer.getheader("Retry-After")) > 0
    assert answer.getheader("Connection") == "close"
    assert all(not endpoint.runs for endpoint in fleet.plain)
    assert b"poplarfold_rejected_bodies_total{" in metrics(fleet)
    assert fleet.call("POST", "/filing/1", body=b"x").status == 200
    wait_until(lambda: b"caller_memory_bytes 0" in metrics(fleet), 5.0)


def metrics(fleet):
    return fleet.get("metrics", "/metrics").data


def test_body_that_has_not_arrived_at_the_end_of_a_stop_is_rejected(fleet):
    """Guards against callers whose connections are closed without an answer."""
    with connect(fleet) as sock:
        sock.sendall(HEAD + b"Content-Length: 20000\r\n\r\n" + b"x" * 10_000)
        assert fleet.call("GET", "/lookup/1").status == 200
        fleet.process.send_signal(signal.SIGTERM)
        assert read_until(sock, 1, b"\r\n\r\n").startswith(b"HTTP/1.1 503")
    assert fleet.process.wait(10) == 0
