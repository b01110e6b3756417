"""Tests of the ends of requests and of connections at the gateway's listener."""

import http.client
import json
import signal
import socket
import struct
import time

import pytest
from tests.lib.gateway_process import ready_fleet
from tests.lib.waits import wait_until


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path) as found:
        yield found


def send_chunked(sock, pause_s, request_id="9c41"):
    """Send a request whose last line break comes later, and read its answer."""
    head = "POST /filing/1 HTTP/1.1\r\nHost: entry.example\r\n"
    head += f"Poplarfold-Request-Id: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    sock.sendall(head.encode() + b"4\r\nbody\r\n0\r\n")
    time.sleep(pause_s)
    sock.sendall(b"\r\n")
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    return answer.status, answer.headers, answer.read()


def test_connection_of_a_chunked_request_is_kept(fleet):
    """Guards against a connection that is closed while the end of a request is still on
    its way, so that a reset overtakes the answer."""
    with socket.create_connection(("127.0.0.1", fleet.ports["front"]), 5) as sock:
        for number in range(3):
            status, headers, _ = send_chunked(sock, 0.3, f"9c4{number}")
            assert (status, headers["Connection"]) == (200, None)
    assert [run[3] for e in fleet.plain for run in e.runs] == [b"body"] * 3


@pytest.mark.parametrize(
    "tail", [b"0\r\nX-A: b\r\n\r\n", b"0;ext=1\r\n\r\n", b"000\r\n\r\n"]
)
def test_trailers_and_extensions_are_read(fleet, tail):
    """Guards against the rest of a request that is taken for the next one."""
    with socket.create_connection(("127.0.0.1", fleet.ports["front"]), 5) as sock:
        head = b"POST /filing/1 HTTP/1.1\r\nHost: entry.example\r\n"
        head += b"Poplarfold-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head + b"4\r\nbody\r\n" + tail)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert (answer.status, answer.read()) == (200, b"whole answer")
        assert send_chunked(sock, 0.0)[0] == 200


@pytest.mark.parametrize(
    "body",
    [
        b"-1\r\n\r\n",
        b"0x4\r\nbody\r\n0\r\n\r\n",
        b"4\r\nbodyxx0\r\n\r\n",
        b"4\r\nbody\r\n0\r\nbad\r\n\r\n",
    ],
)
def test_malformed_chunks_are_rejected(fleet, body):
    """Guards against a request that two programs would end at different places."""
    with socket.create_connection(("127.0.0.1", fleet.ports["front"]), 5) as sock:
        head = b"POST /filing/1 HTTP/1.1\r\nHost: entry.example\r\n"
        sock.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n" + body)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert (answer.status, answer.headers["Connection"]) == (400, "close")
        assert json.loads(answer.read())["error"]["code"]
    assert not any(endpoint.runs for endpoint in fleet.plain)


def test_answer_before_a_close_is_not_reset(fleet):
    """Guards against a reset that overtakes an answer, if more bytes of the caller are
    on their way when the connection is closed."""
    fleet.process.send_signal(signal.SIGTERM)
    # Until the process has noticed the signal, its answers close no connection.
    wait_until(lambda: fleet.ready_status() == 503, 2)
    with socket.create_connection(("127.0.0.1", fleet.ports["front"]), 5) as sock:
        sock.sendall(b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n\r\n")
        # As late as on a slow link: the answer and the close have come, unread.
        time.sleep(0.5)
        for _ in range(3):
            sock.sendall(b"GET /lookup/2 HTTP/1.1\r\nHost: entry.example\r\n\r\n")
            time.sleep(0.1)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert error == 0
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert (answer.status, answer.read()) == (200, b"whole answer")
        assert sock.recv(1) == b""


def test_connection_whose_caller_never_closes_is_closed(fleet):
    """Guards against descriptors that leak to callers who do not close."""
    with socket.create_connection(("127.0.0.1", fleet.ports["front"]), 5) as sock:
        head = b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n"
        sock.sendall(head + b"Connection: close\r\n\r\n")
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        assert (answer.read(), answer.headers["Connection"]) == (
            b"whole answer",
            "close",
        )
        wait_until(lambda: is_closed(sock), 2.5)


def is_closed(sock):
    """Return whether the peer has closed its socket: it answers bytes with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))
    try:
        sock.sendall(b"x")
    except OSError:
        return True
    return False
