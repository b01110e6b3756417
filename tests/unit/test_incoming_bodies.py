"""Tests of request bodies that arrive in parts, and of the memory for them."""

import errno
import io
import select
import socket
import threading
from types import SimpleNamespace

import pytest
from hypothesis import given, strategies as st

from poplarfold._internal.exceptions import (
    CallerMemoryError,
    PoplarfoldError,
    PromptTooLargeError,
    RequestError,
    RequestTimeoutError,
)
from poplarfold._internal.http import open_connections
from poplarfold._internal.http.body_reader import BodyReader, BodyTransfer
from poplarfold._internal.http.caller_server import CallerServer
from poplarfold._internal.http.chunked_body import read_chunked_body
from poplarfold._internal.http.closing_sockets import ClosingSockets
from poplarfold._internal.http.head_waiter import HeadWaiter
from poplarfold._internal.http.incoming_body import ChunkedBody, LengthBody
from poplarfold._internal.http.memory_account import Holding, MemoryAccount
from poplarfold._internal.http.open_connections import OpenConnections

LIMIT_BYTES = 120
CHUNKS = st.builds(
    lambda data, extension, zeros: (
        b"%b%x%b\r\n%b\r\n" % (b"0" * zeros, len(data), extension, data)
    ),
    st.binary(min_size=1, max_size=20),
    st.sampled_from([b"", b"", b"", b";name=value", b" "]),
    st.sampled_from([0, 0, 0, 2]),
)
RUNS = st.builds(
    lambda data, count: (b"%x\r\n%b\r\n" % (len(data), data)) * count,
    st.binary(min_size=1, max_size=16),
    st.integers(1, 12),
)
ENDS = st.sampled_from(
    [b"0\r\n\r\n", b"0\r\nA: b\r\n\r\n", b"0\r\nbad\r\n\r\n", b"0\r\n\n", b""]
    + [b"0\r\n" + b"A: b\r\n" * count + b"\r\n" for count in (63, 64, 65)]
    + [b"1;" + b"x" * length + b"\r\ny\r\n0\r\n\r\n" for length in (8187, 8188, 8189)]
)
NOISE = st.sampled_from([b"", b"", b"", b"\r\n", b"\n", b"g\r\n", b"-1\r\n", b"x"])


def decode_whole(data):
    reader = io.BytesIO(data)
    try:
        return read_chunked_body(reader, LIMIT_BYTES), reader.read()
    except PoplarfoldError as error:
        return type(error)


def decode_parts(parts):
    body, rest = ChunkedBody(LIMIT_BYTES), b""
    for part in parts:
        if body.ended:
            rest += part
            continue
        try:
            rest = part[body.feed(part) :]
        except PoplarfoldError as error:
            return type(error)
    return (bytes(body.content), rest) if body.ended else RequestError


@given(
    st.lists(st.one_of(CHUNKS, RUNS, NOISE), max_size=5),
    ENDS,
    st.sampled_from([b"", b"GET / HTTP/1.1\r\n"]),
    st.data(),
)
def test_bodies_are_decoded_alike_however_they_are_split(rows, end, rest, draw):
    """Guards against a second decoder that accepts or ends other bodies than the
    strict reader, so that a request could be hidden behind a body."""
    data = b"".join(rows) + end + rest
    cuts = draw.draw(st.lists(st.integers(0, len(data)), max_size=8).map(sorted))
    edges = [0, *cuts, len(data)]
    parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    assert decode_parts(parts) == decode_whole(data)
    if len(data) < 500:
        assert decode_parts([data[i : i + 1] for i in range(len(data))]) == (
            decode_whole(data)
        )


def test_runs_of_chunks_stay_within_the_limit():
    """Guards against a limit that chunks which are decoded together pass by."""
    body = ChunkedBody(LIMIT_BYTES)
    assert decode_parts([b"1\r\nx\r\n" * LIMIT_BYTES + b"0\r\n\r\n"])[0] == (
        b"x" * LIMIT_BYTES
    )
    try:
        body.feed(b"1\r\nx\r\n" * (LIMIT_BYTES + 1))
    except PromptTooLargeError:
        return
    raise AssertionError("the body was accepted")


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def test_slowest_caller_is_closed_first():
    """Guards against callers that proceed and are closed in place of stalled ones."""
    clock, closed = Clock(), []
    account = MemoryAccount(300, clock)
    rows = {
        name: account.open(lambda name=name: closed.append(name))
        for name in ("stalled", "slow", "fast", "sent")
    }
    for name, speed in (("stalled", 0), ("slow", 10), ("fast", 1000), ("sent", 0)):
        assert rows[name].resize(70)
        rows[name].add_progress(speed)
    assert rows["sent"].keep()
    late = account.open(lambda: closed.append("late"))
    assert not late.resize_or_evict(50) and closed == []
    clock.now_s = 1.5
    late = account.open(lambda: closed.append("late"))
    assert not late.resize_or_evict(50) and closed == ["stalled"]
    # Its memory is on its way, so that no one else is closed for it.
    assert not late.resize_or_evict(50) and closed == ["stalled"]
    assert not rows["stalled"].keep()
    rows["stalled"].release()
    assert late.resize_or_evict(50)
    clock.now_s = 4.0
    assert not late.resize_or_evict(200) and closed == ["stalled"]
    for name, speed in (("slow", 10), ("fast", 1000)):
        rows[name].add_progress(speed)
    late.add_progress(10_000)
    assert not late.resize_or_evict(200) and closed == ["stalled", "slow", "fast"]
    for row in (*rows.values(), late):
        row.release()
    assert account.used_bytes == 0 and not account.holdings


def test_waiting_answers_seldom_compare_all_callers(monkeypatch):
    """Guards against many answers that wait for memory and occupy the interpreter by
    comparing all callers every few milliseconds."""
    clock, compared = Clock(), []
    account = MemoryAccount(100, clock)
    for _ in range(100):
        account.open(lambda: None).resize(1)
    may_evict = Holding.may_evict

    def counted(row, now):
        compared.append(row)
        return may_evict(row, now)

    monkeypatch.setattr(Holding, "may_evict", counted)
    answer = account.open()
    for _ in range(50):
        assert not answer.resize_or_evict(10)
        clock.now_s += 0.01
    assert len(compared) <= 10 * 100 + 100
    clock.now_s = 2.0
    assert not answer.resize_or_evict(10)
    assert account.evicted == 10 == account.closing_bytes
    for row in list(account.holdings):
        row.release()
    assert account.closing_bytes == account.used_bytes == 0


def test_progress_is_not_recorded_while_speeds_are_compared():
    """Guards against a window that two threads advance, which gives a fast caller a
    negative speed and has it closed first."""
    account = MemoryAccount(300)
    holding = account.open()
    thread = threading.Thread(target=holding.add_progress, args=(10,))
    with account.lock:
        thread.start()
        thread.join(0.1)
        assert thread.is_alive() and holding.current_bytes == 0
    thread.join()
    assert holding.current_bytes == 10


class Connection:
    def __init__(self, served=0, idle_since=0.0, is_busy=False):
        self.requests_served, self.idle_since = served, idle_since
        self.is_busy, self.is_evicted = is_busy, False

    def evict(self):
        self.is_evicted = True


def test_connections_without_a_request_make_room_first():
    """Guards against idle callers that lose their connections to silent ones."""
    connections = OpenConnections(3, ClosingSockets())
    busy, kept, silent = Connection(is_busy=True), Connection(served=1), Connection()
    for row in (busy, kept, silent, Connection(idle_since=1.0)):
        connections.add(row)
    assert silent.is_evicted and not kept.is_evicted and not busy.is_evicted


def test_connection_beyond_the_limit_is_closed_if_all_others_are_busy():
    """Guards against accepting until the process has no descriptors left."""
    connections = OpenConnections(2, ClosingSockets(), busy_extra=1)
    busy, newest = [Connection(is_busy=True) for _ in range(3)], Connection()
    for row in (*busy, newest):
        connections.add(row)
    assert newest.is_evicted and not any(row.is_evicted for row in busy)


@pytest.mark.parametrize("limit", [10, 320])
@pytest.mark.parametrize("arrivals", [1, 40])
def test_quick_arrivals_close_no_more_connections_than_needed(limit, arrivals):
    """Guards against a burst of connections for which idle callers are closed as well,
    since those that are being closed are counted as too many with each arrival."""
    connections = OpenConnections(limit, ClosingSockets())
    rows = [Connection(served=1, idle_since=float(at)) for at in range(limit)]
    new = [Connection(idle_since=float(limit + at)) for at in range(arrivals)]
    for row in (*rows, *new):
        connections.add(row)
    closed_at_once = int(open_connections.CLOSED_SHARE * limit)
    evicted = sum(row.is_evicted for row in (*rows, *new))
    assert arrivals <= evicted <= arrivals + closed_at_once
    assert connections.evicted == evicted


def test_arrivals_close_others_if_the_first_are_never_closed(monkeypatch):
    """Guards against connections without a bound, if those that have been cut are not
    closed and still count as about to be."""
    clock = SimpleNamespace(now=50.0, monotonic=lambda: clock.now)
    monkeypatch.setattr(open_connections, "time", clock)
    connections = OpenConnections(10, ClosingSockets())
    rows = [Connection(idle_since=float(at)) for at in range(12)]
    for row in rows:
        connections.add(row)
    assert sum(row.is_evicted for row in rows) == 2
    # Evictions in the meantime do not extend the time of the earlier ones.
    clock.now += 0.6 * open_connections.CUT_S
    rows.append(Connection(idle_since=12.0))
    connections.add(rows[-1])
    assert sum(row.is_evicted for row in rows) == 3
    clock.now += 0.6 * open_connections.CUT_S
    rows.append(Connection(idle_since=13.0))
    connections.add(rows[-1])
    assert sum(row.is_evicted for row in rows) == 6
    for row in rows[:6]:
        connections.remove(row)
    connections.add(Connection(idle_since=14.0))
    assert sum(row.is_evicted for row in rows) == 6 and not connections.cut_at


def test_connections_that_are_being_closed_count_as_freed(monkeypatch):
    """Guards against all idle callers being closed while the first ones still are, and
    against nobody being closed any more if they never are."""
    clock = SimpleNamespace(now=50.0, monotonic=lambda: clock.now)
    monkeypatch.setattr(open_connections, "time", clock)
    connections = OpenConnections(10, ClosingSockets())
    rows = [Connection() for _ in range(6)]
    for row in rows:
        connections.add(row)
    connections.free(2)
    connections.free(2)
    assert sum(row.is_evicted for row in rows) == 2
    for row in rows[:2]:
        connections.remove(row)
    connections.free(2)
    assert sum(row.is_evicted for row in rows) == 4
    clock.now += open_connections.CUT_S
    connections.free(2)
    assert sum(row.is_evicted for row in rows) == 6


def test_request_is_not_begun_on_a_connection_that_is_being_closed():
    """Guards against a request that runs although its connection is cut."""
    connections = OpenConnections(2, ClosingSockets())
    rows = [Connection(idle_since=1.0) for _ in range(3)]
    begun = []
    # The whole head of the second one arrives while the first one is closed.
    rows[0].evict = lambda: begun.append(connections.begin_request(rows[1]))
    connections.limit = 10
    for row in rows:
        connections.add(row)
    connections.limit = 1
    connections.add(Connection(idle_since=2.0))
    assert rows[1].is_evicted and begun == [False] and not rows[1].is_busy
    assert connections.begin_request(Connection())


def transfer_of(body, account, idle_s=10.0):
    near, far = socket.socketpair()
    near.setblocking(False)

    class Reader:
        unread = b""

    class Owner:
        socket = near
        rfile = type("File", (), {"raw": Reader()})()

    holding = account.open(lambda: None)
    return BodyTransfer(Owner, body, holding, idle_s, float("inf")), far


def test_request_threads_live_on_without_descriptors(monkeypatch):
    """Guards against a listener that ends when a body has to be waited for, or a
    connection closed, while the process has no descriptor left."""

    def fail():
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(select, "epoll", fail)
    transfer, far = transfer_of(LengthBody(5), MemoryAccount())
    sockets, problems = ClosingSockets(), []
    server = SimpleNamespace(
        ready=True,
        resources=SimpleNamespace(body_reader=BodyReader()),
        on_error=problems.append,
    )
    connection = SimpleNamespace(
        transfer=transfer,
        waits_for_body=True,
        close=lambda: sockets.add(transfer.sock),
    )
    with far:
        CallerServer.put_conn(server, connection)
        assert transfer.sock.fileno() == -1 and len(problems) == 1
        assert sockets.count() == 0 and not server.resources.body_reader.transfers


class FailingEpoll:
    """An epoll object that fails with each registration, or when it is made."""

    def __init__(self, fails_at_once):
        if fails_at_once:
            raise OSError(errno.EMFILE, "too many open files")

    def register(self, descriptor, events):
        raise OSError(errno.ENOMEM, "cannot allocate memory")

    def poll(self, timeout):
        raise AssertionError("nothing has been registered")


@pytest.mark.parametrize("fails_at_once", [True, False], ids=["create", "register"])
def test_connection_whose_head_cannot_be_waited_for_is_closed(
    monkeypatch, fails_at_once
):
    """Guards against connections that are open for good although nobody waits for
    them, and against an event loop that ends, while no descriptor is left."""
    monkeypatch.setattr(select, "epoll", lambda: FailingEpoll(fails_at_once))
    near, far = socket.socketpair()
    problems = []
    waiter = HeadWaiter(lambda connection: None, 1000)
    server = SimpleNamespace(
        head_waiter=waiter, request_read_s=5.0, on_error=problems.append
    )
    connection = SimpleNamespace(
        is_evicted=False,
        socket=near,
        rfile=SimpleNamespace(buffered=lambda: b""),
        close=near.close,
    )
    with far:
        far.sendall(b"GET / HT")
        CallerServer.process_conn(server, connection)
        assert near.fileno() == -1 and len(problems) == 1
        assert not waiter.connections


def test_body_ends_with_the_bytes_of_the_next_request_kept():
    """Guards against requests that are lost behind a body."""
    account = MemoryAccount(100_000)
    transfer, far = transfer_of(LengthBody(5), account)
    with far, transfer.sock:
        far.sendall(b"he")
        assert transfer.receive() and not transfer.is_done
        assert transfer.receive() and account.used_bytes == 2
        far.sendall(b"lloGET /")
        assert transfer.receive() and transfer.is_done
        assert transfer.take_content() == b"hello"
        assert transfer.connection.rfile.raw.unread == b"GET /"
    transfer.holding.release()
    assert account.used_bytes == 0


def test_body_without_memory_or_progress_is_rejected():
    """Guards against bodies that are read without room, or waited for without end."""
    transfer, far = transfer_of(LengthBody(50_000), MemoryAccount(30_000))
    with far, transfer.sock:
        far.sendall(b"x" * 30_000)
        while not transfer.is_done:
            assert transfer.receive()
    assert isinstance(transfer.error, CallerMemoryError)
    assert transfer.holding.size == 0
    waiting, far = transfer_of(LengthBody(5), MemoryAccount(), idle_s=2.0)
    with far, waiting.sock:
        waiting.check(waiting.progress_at + 1.9)
        assert not waiting.is_done
        waiting.check(waiting.progress_at + 2.1)
    assert isinstance(waiting.error, RequestTimeoutError)
