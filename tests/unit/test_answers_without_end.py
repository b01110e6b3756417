"""Tests of answers that are bytes without end, or that arrive a byte at a time."""

import socket
import threading
import time

import pytest

from poplarfold._internal.exceptions import EndpointError, EventTooLongError
from poplarfold._internal.gateway.events import EVENT_MAX_BYTES, EventSplitter
from poplarfold._internal.http import answer_socket, endpoint_client, endpoint_stream
from poplarfold._internal.http.answer_socket import DeadlineSocket
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target

TIMEOUT_S = 0.6
# How long each receipt of bytes takes on the clock of the client.
RECEIPT_S = 0.05
# For the real time in which a late sender begins.
START_LIMIT_S = 10.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Clock:
    """The client's clock, which only receipts move."""

    now = 100.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    """Let a client run on a clock that does not depend on the load of the machine."""
    clock = Clock()
    for module in (answer_socket, endpoint_client, endpoint_stream):
        monkeypatch.setattr(module, "time", clock)
    for name in ("recv", "receive_into"):
        receive = getattr(DeadlineSocket, name)

        def count_receipt(*arguments, receive=receive):
            clock.now += RECEIPT_S
            return receive(*arguments)

        monkeypatch.setattr(DeadlineSocket, name, count_receipt)
    return clock


class Sender:
    """Accepts connections and sends a start and then the same bytes without end."""

    def __init__(self, start, part, pause_s):
        self.start, self.part, self.pause_s = start, part, pause_s
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        connection, _ = self.listener.accept()
        ends_at = time.monotonic() + 10.0
        try:
            connection.recv(65536)
            connection.sendall(self.start)
            while time.monotonic() < ends_at:
                connection.sendall(self.part)
                time.sleep(self.pause_s)
        except OSError:
            return
        finally:
            connection.close()


CASES = {
    "slow status line": (b"HTTP/1.1 2", b"0", 0.05),
    "slow header": (HEAD + b"X-A: ", b"x", 0.05),
    "many headers": (HEAD, b"X-A: b\r\n", 0.02),
    "continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", 0.01),
    "slow body": (HEAD + b"Content-Length: 9999999\r\n\r\n", b"x", 0.05),
    "no length": (HEAD + b"\r\n", b"x" * 100, 0.05),
    "chunk extension": (CHUNKED + b"1;", b"a", 0.05),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n", 0.02),
    "flood": (HEAD + b"\r\n", b"x" * 65536, 0.0),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_answer_without_end_fails_by_the_timeout_of_the_call(case, clock):
    """Guards against calls that an endpoint holds for as long as it sends a byte now
    and then. A timeout of a socket starts anew with each byte."""
    sender = Sender(*case)
    started_at = clock.now
    result = EndpointClient(0.3).exchange(
        Target(sender.address, "GET", "/"), None, {}, TIMEOUT_S
    )
    assert clock.now - started_at < TIMEOUT_S + 1.5 * RECEIPT_S
    assert result.is_err() and result.unwrap_err().sent
    assert isinstance(result.unwrap_err().error, EndpointError)


@pytest.mark.parametrize(
    "case", ["slow status line", "slow header", "many headers", "continue"]
)
def test_stream_head_without_end_fails_by_the_timeout(case, clock):
    """Guards against streams that wait for a head which never ends."""
    sender = Sender(*CASES[case])
    started_at = clock.now
    result = EndpointClient(0.3).open_stream(
        Target(sender.address, "GET", "/"), b"", {}, TIMEOUT_S
    )
    assert clock.now - started_at < TIMEOUT_S + 1.5 * RECEIPT_S
    assert result.is_err()


def test_chunk_framing_is_no_progress_of_a_stream(clock):
    """Guards against a stream that waits for data while only framing arrives."""
    sender = Sender(CHUNKED + b"1;", b"a", 0.05)
    stream = (
        EndpointClient(0.3)
        .open_stream(Target(sender.address, "GET", "/"), b"", {}, START_LIMIT_S)
        .unwrap()
    )
    stream.idle_timeout_s = TIMEOUT_S
    started_at = clock.now
    assert stream.read().is_err()
    assert clock.now - started_at < TIMEOUT_S + 1.5 * RECEIPT_S
    stream.close()


def test_slow_answer_within_the_timeout_is_complete(clock):
    """Guards against slow but sound answers that are cut."""
    left, right = socket.socketpair()
    sock = DeadlineSocket(left.family, left.type, left.proto, left.detach())
    sock.deadline = clock.now + 2.0
    with sock, right, sock.makefile("rb") as reader:
        for _ in range(5):
            right.sendall(b"x")
            clock.now += 0.05
        right.shutdown(socket.SHUT_WR)
        assert reader.read() == b"xxxxx"


def test_bytes_without_events_are_bounded_and_cheap():
    """Guards against a stream whose bytes, which are no events, fill the memory."""
    splitter = EventSplitter(None)
    started_at = time.monotonic()
    with pytest.raises(EventTooLongError):
        for _ in range(EVENT_MAX_BYTES // 100 + 2):
            splitter.feed(b"x" * 100)
    assert splitter.rest == b""
    assert time.monotonic() - started_at < 5.0


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
def test_event_end_that_arrives_in_parts_is_found(end):
    """Guards against events that are held back because their end was split."""
    splitter = EventSplitter(None)
    found = b"".join(
        splitter.feed(bytes([byte])) for byte in b"id: 7\ndata: a" + end + b"id"
    )
    assert found == b"id: 7\ndata: a" + end
    assert (splitter.last_id, splitter.events) == ("7", 1)
