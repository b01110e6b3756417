"""Tests of requests to a daemon whose request threads serve long streams."""

import contextlib
import http.client
import json
import socket
import time

import pytest
from tests.lib.http_calls import CREDENTIAL, caller_address, completion, request_head
from tests.lib.waits import wait_until

from poplarfold._internal.bench.local_fleet import GLASSCAIRN, LocalFleet

THREADS = 8
STREAMS = 12
# 15% of the threads, rounded up, serve no streams.
SERVED = 6
# Far below the duration of a stream, and far above that of a call.
ANSWER_S = 2.0
OUTPUTS = 4000


@pytest.fixture
def fleet():
    with LocalFleet(GLASSCAIRN, request_threads=THREADS) as fleet:
        fleet.start()
        fleet.publish_entries()
        yield fleet


@contextlib.contextmanager
def open_streams(fleet, count):
    """Send requests for long streams, and yield their sockets."""
    socks = []
    try:
        for number in range(count):
            body = completion(f"a long transcript {number} " * 20, OUTPUTS, stream=True)
            data = json.dumps(body).encode()
            socks.append(socket.create_connection(caller_address(fleet), 5))
            socks[-1].sendall(request_head(len(data)) + data)
        yield socks
    finally:
        for sock in socks:
            sock.close()


def open_calls(fleet):
    """Return the number of calls that the daemon serves."""
    status, fields = fleet.operator_request("galway-a", "GET", "status")
    assert status == 200
    return fields["open_calls"]


def request_status(fleet, method, path, body=None):
    """Send a request that must be answered soon, and return the status."""
    connection = http.client.HTTPConnection(*caller_address(fleet), timeout=ANSWER_S)
    data = None if body is None else json.dumps(body).encode()
    connection.request(method, path, data, CREDENTIAL)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status


def status_of(sock):
    """Return the status of the answer that has begun to arrive, or None."""
    sock.settimeout(0.2)
    try:
        return int(sock.recv(65536, socket.MSG_PEEK).split()[1])
    except TimeoutError:
        return None


def test_requests_are_answered_while_there_are_more_streams_than_threads(fleet):
    """Guards against services and readiness that wait for a thread until some stream
    ends."""
    with open_streams(fleet, STREAMS) as socks:
        wait_until(lambda: open_calls(fleet) >= SERVED)
        time.sleep(0.5)
        for _ in range(THREADS):
            assert request_status(fleet, "GET", "/readyz") == 200
            assert request_status(fleet, "POST", "/v1/services/lookup", {}) == 200
        statuses = [status_of(sock) for sock in socks]
        assert statuses.count(503) == STREAMS - SERVED
        assert set(statuses) <= {200, 503, None}
        rejected = socks[statuses.index(503)].recv(65536)
        assert b"streams_full" in rejected
        assert b"Retry-After" in rejected


@pytest.mark.parametrize("is_read", [True, False])
def test_places_of_ended_streams_are_free_again(fleet, is_read):
    """Guards against places that are lost when a stream is refused, or is left by its
    caller before or after its answer begins."""
    refused = completion("", 0)
    for _ in range(4 * THREADS):
        with open_streams(fleet, 1) as (sock,):
            if is_read:
                sock.settimeout(ANSWER_S)
                assert sock.recv(100).startswith(b"HTTP/1.1 200")
        # The place of a call whose caller has left is free a moment later.
        wait_until(
            lambda: request_status(fleet, "POST", "/v1/completions", refused) == 400
        )
    wait_until(lambda: open_calls(fleet) == 0)
    time.sleep(0.5)
    with open_streams(fleet, SERVED) as socks:
        wait_until(lambda: [status_of(sock) for sock in socks] == [200] * SERVED)
