"""Tests of connections to endpoints through a peer, on loopback."""

import os
import socket
import threading
import time

import pytest
from tests.lib.platform_standin import EndpointStandIn
from tests.lib.tunnel_nodes import (
    DROP_ALL,
    DROP_CLOSING_RESETS,
    CutFinder,
    RawEndpoint,
    TunnelNode,
    TunnelPair,
    UnreadEndpoint,
    drop_segments,
)
from tests.lib.waits import wait_until

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.tunnel_messages import (
    OpenTunnel,
    TunnelOutcome,
    pack,
)
from poplarfold._internal.exceptions import EndpointStalledError
from poplarfold._internal.gateway import tunnel_server
from poplarfold._internal.http.answer_socket import is_received
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle, Target
from poplarfold._internal.http.tunnel_socket import TunnelSocket

HEADERS = {"Poplarfold-Request-Id": "9c41"}
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nwhole"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@pytest.fixture
def pair():
    found = TunnelPair()
    yield found
    found.stop()


@pytest.fixture
def endpoint():
    opened = []

    def make(*arguments, **keywords):
        opened.append(RawEndpoint(*arguments, **keywords))
        return opened[-1]

    yield make
    for row in opened:
        row.stop()


@pytest.fixture
def refused_address():
    """An address at which connections are refused.

    The open socket reserves the port: that of a closed one may be given to a server of
    another test.
    """
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def unread_endpoint():
    """An endpoint that accepts one connection and does not read from it."""
    found = UnreadEndpoint()
    yield found
    found.stop()


def exchange(client, address, timeout_s=2.0, **options):
    target = Target(address, "POST", "/filing/1")
    return client.exchange(
        target, b"body", HEADERS, timeout_s, use_new_connection=True, **options
    )


ANSWERS = {
    "length": (WHOLE, False),
    "unframed": (UNFRAMED, False),
    "chunked": (CHUNKED, False),
    "interim": (INTERIM + WHOLE, False),
    "unframed-reset": (UNFRAMED, True),
    "length-reset": (WHOLE, True),
    "short-length": (WHOLE[:-2], False),
    "short-chunks": (CHUNKED[:-5], False),
    "short-head": (WHOLE[:20], False),
    "nothing": (b"", False),
    "no-answer": (b"\x00\x01\x02\x03\r\n\r\n", False),
    "parts": ([WHOLE[:10], WHOLE[10:30], WHOLE[30:]], False),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_answers_through_a_peer_are_those_of_the_endpoint(pair, endpoint, name):
    """Guards against an answer that looks whole, or broken, since a peer forwards it
    (MIXED)."""
    data, is_reset = ANSWERS[name]
    server = endpoint(data, is_reset, pause_s=0.02)
    direct = exchange(EndpointClient(0.3), server.address)
    pair.announce("i-1", server.address)
    tunnelled = exchange(pair.node.client, server.address)
    assert len(server.requests) == 2
    assert server.requests[0] == server.requests[1]
    assert direct.is_ok() == tunnelled.is_ok()
    if direct.is_ok():
        assert tunnelled.unwrap().body == direct.unwrap().body == b"whole"
    else:
        assert tunnelled.unwrap_err().sent is direct.unwrap_err().sent is True


def test_answer_without_a_length_is_not_complete_if_the_peer_dies(pair, endpoint):
    """Guards against an end of the connection to the peer that passes for the end of
    the answer."""
    server = endpoint(UNFRAMED, keeps_open=True)
    pair.announce("i-1", server.address)
    results = []
    thread = threading.Thread(
        target=lambda: results.append(exchange(pair.node.client, server.address, 5.0))
    )
    thread.start()
    wait_until(lambda: server.requests, 2.0)
    time.sleep(0.1)
    # The kernel closes the sockets of a process that dies, without a reset.
    loop = pair.peer.server.loop
    loop.call_soon_threadsafe(close_sockets, loop)
    thread.join(5.0)
    assert results[0].is_err() and results[0].unwrap_err().sent


def close_sockets(loop):
    """Close all connections of an event loop, as the end of its process does."""
    for key in list(loop._selector.get_map().values()):
        if key.data and key.fd != loop._ssock.fileno():
            # A descriptor of its own: the loop closes the other one.
            with socket.socket(fileno=os.dup(key.fd)) as sock:
                sock.shutdown(socket.SHUT_WR)


def test_leaving_caller_reaches_the_endpoint_through_the_peer(pair, endpoint):
    """Guards against work for a caller who has left (GONE)."""
    server = endpoint(keeps_open=True)
    pair.announce("i-1", server.address)
    handle = AbortHandle()
    thread = threading.Thread(
        target=exchange,
        args=(pair.node.client, server.address, 5.0),
        kwargs={"handle": handle},
    )
    thread.start()
    wait_until(lambda: server.requests, 2.0)
    left_at = time.monotonic()
    handle.abort()
    wait_until(lambda: server.closed_at, 0.5)
    assert server.closed_at - left_at < 0.5
    thread.join(2.0)
    wait_until(lambda: pair.peer.server.count == 0, 1.0)


def large_exchange(client, address, timeout_s, **options):
    """Make a request that fills all buffers on its way to an endpoint."""
    target = Target(address, "POST", "/filing/1")
    return client.exchange(
        target, bytes(30_000_000), HEADERS, timeout_s, use_new_connection=True,
        **options,
    )  # fmt: skip


def wait_until_stuck(raw):
    """Wait until an endpoint that does not read gets no more bytes."""
    queued = -1
    while raw.queued_bytes() != queued or queued <= 0:
        queued = raw.queued_bytes()
        time.sleep(0.3)


def test_caller_who_leaves_while_the_request_is_written_ends_the_tunnel(
    pair, unread_endpoint
):
    """Guards against tunnels and connections to endpoints that stay open, since the end
    of the connection stands behind bytes that the endpoint does not read (GONE)."""
    pair.announce("i-1", unread_endpoint.address)
    handle = AbortHandle()
    results = []
    thread = threading.Thread(
        target=lambda: results.append(
            large_exchange(
                pair.node.client, unread_endpoint.address, 20.0, handle=handle
            )
        )
    )
    thread.start()
    wait_until(lambda: unread_endpoint.sock, 5.0)
    wait_until_stuck(unread_endpoint)
    assert pair.peer.server.count == 1
    left_at = time.monotonic()
    handle.abort()
    wait_until(lambda: pair.peer.server.count == 0, 1.0)
    wait_until(unread_endpoint.is_closed, 1.0 - (time.monotonic() - left_at))
    thread.join(1.0)
    assert results[0].unwrap_err().sent


def test_request_that_is_not_read_ends_at_the_deadline(pair, unread_endpoint):
    """Guards against tunnels that outlive the time of their requests, also if that is
    over while the request is written."""
    pair.announce("i-1", unread_endpoint.address)
    result = large_exchange(pair.node.client, unread_endpoint.address, 2.0)
    assert result.unwrap_err().sent
    wait_until(lambda: pair.peer.server.count == 0, 1.0)
    wait_until(unread_endpoint.is_closed, 1.0)


def test_tunnel_of_a_frozen_node_ends_with_the_time_of_its_request(
    pair, unread_endpoint, connect
):
    """Guards against tunnels of a host that froze or lost its links, which are open for
    good, as nothing of an answer is left for it."""
    pair.announce("i-1", unread_endpoint.address)
    question = OpenTunnel(pair.node.name, pair.peer.name, "i-1", 1, 0.5)
    sock = connect(pair.peer.server.address)
    asked_at = time.monotonic()
    sock.sendall(pack(question))
    assert b"open" in sock.recv(1000)
    wait_until(lambda: pair.peer.server.count == 0, 2.0)
    assert time.monotonic() - asked_at >= 0.5
    wait_until(unread_endpoint.is_closed, 1.0)


def test_peer_learns_the_time_of_each_request(pair, endpoint):
    """Guards against tunnels without a limit, as nobody tells the peer of one."""
    server = endpoint(WHOLE)
    pair.announce("i-1", server.address)
    asked, admit = [], pair.peer.server._admit
    pair.peer.server._admit = lambda hello: asked.append(hello) or admit(hello)
    assert exchange(pair.node.client, server.address, 2.0).is_ok()
    target = Target(server.address, "POST", "/filing/1")
    opened = pair.node.client.open_stream(
        target, b"body", HEADERS, 0.5, time_left_s=4.0
    )
    opened.unwrap().close()
    assert 2.0 <= asked[0].time_left_s < 3.0
    assert 4.0 <= asked[1].time_left_s < 5.0


def test_endpoint_that_reads_late_gets_the_whole_request(pair, unread_endpoint):
    """Guards against requests that break off as their endpoint reads nothing for a
    while: a call waits for it until its deadline."""
    pair.announce("i-1", unread_endpoint.address)
    results = []
    thread = threading.Thread(
        target=lambda: results.append(
            large_exchange(pair.node.client, unread_endpoint.address, 20.0)
        )
    )
    thread.start()
    wait_until(lambda: unread_endpoint.sock, 5.0)
    wait_until_stuck(unread_endpoint)
    time.sleep(2.0)
    sock, received = unread_endpoint.sock, 0
    while received < 30_000_000:
        received += len(sock.recv(1_000_000))
    sock.sendall(WHOLE)
    thread.join(5.0)
    assert results[0].unwrap().body == b"whole"


def test_silent_endpoint_ends_at_the_deadline(pair, endpoint):
    """Guards against calls that wait for longer than their time, and tunnels that stay
    open."""
    server = endpoint(keeps_open=True)
    pair.announce("i-1", server.address)
    started_at = time.monotonic()
    result = exchange(pair.node.client, server.address, 0.5)
    assert isinstance(result.unwrap_err().error, EndpointStalledError)
    assert time.monotonic() - started_at < 1.0
    wait_until(lambda: pair.peer.server.count == 0, 1.0)


def test_peer_passes_nothing_on_to_an_endpoint_that_leaves(pair, endpoint):
    """Guards against requests to an endpoint that leaves, by the older of two views
    (DRAIN)."""
    server = endpoint(WHOLE)
    pair.announce("i-1", server.address, is_leaving=True)
    result = exchange(pair.node.client, server.address)
    assert not result.unwrap_err().sent
    assert server.requests == []


def test_peer_heeds_what_an_endpoint_said_to_it_through_a_tunnel(pair):
    """Guards against requests of the peer to an endpoint that said that it leaves in an
    answer which the peer passed on (DRAIN)."""
    server = EndpointStandIn("i-1")
    server.answer_headers = {"Server-Leaving": "1"}
    row = pair.announce("i-1", server.address)
    try:
        assert exchange(pair.node.client, server.address).is_ok()
        wait_until(lambda: pair.peer.signals, 1.0)
        assert not pair.peer.fleet.is_usable(row)
        assert not exchange(pair.node.client, server.address).unwrap_err().sent
        assert len(server.runs) == 1
    finally:
        server.stop()


def test_peer_that_may_not_call_an_endpoint_says_nothing_of_its_path(pair, endpoint):
    """Guards against calls that ask nobody for an endpoint for up to 8 s, since a peer
    has no share of its limit left. The endpoint is up, and others may have one."""
    server = endpoint(WHOLE)
    row = pair.announce("i-1", server.address, is_leaving=True)
    opened = pair.node.paths.tunnels.open(row)
    assert opened.outcome is TunnelOutcome.AWAY
    assert not opened.is_unreached


def test_calls_for_peers_count_towards_the_limit_of_an_endpoint(pair):
    """Guards against a limit that is exceeded through peers (LIMIT)."""
    server = EndpointStandIn("i-1")
    server.answer_headers = {"Server-Limit": "0.5"}
    pair.announce("i-1", server.address)
    try:
        results = [exchange(pair.node.client, server.address) for _ in range(20)]
        assert results[0].is_ok() and results[-1].is_err()
        assert len(server.runs) < 10
    finally:
        server.stop()


def ask(pair, message):
    """Send a question to the peer; return what it answers."""
    host, _, port = pair.peer.server.address.rpartition(":")
    with socket.create_connection((host, int(port)), 2.0) as sock:
        sock.sendall(message)
        try:
            return sock.recv(1000)
        except ConnectionResetError:
            return b""


def test_only_members_are_connected_and_only_to_endpoints(pair, endpoint):
    """Guards against a node that forwards bytes for anybody, or to anywhere."""
    server = endpoint(WHOLE)
    pair.announce("i-1", server.address)
    me, peer = pair.node.name, pair.peer.name
    assert b"open" in ask(pair, pack(OpenTunnel(me, peer, "i-1", 1)))
    assert ask(pair, pack(OpenTunnel("stranger", peer, "i-1", 1))) == b""
    assert ask(pair, pack(OpenTunnel(me, "other", "i-1", 1))) == b""
    assert b"unknown" in ask(pair, pack(OpenTunnel(me, peer, "i-2", 1)))
    assert b"unknown" in ask(pair, pack(OpenTunnel(me, peer, "i-1", 2)))
    assert ask(pair, b"\xff\xff\xff\xff") == b""
    assert ask(pair, b"\x00\x00\x00\x03abc") == b""
    pair.members[me] = pair.members[me]._replace(tunnel_address="10.0.0.9:7")
    assert ask(pair, pack(OpenTunnel(me, peer, "i-1", 1))) == b""


def test_peer_that_stops_or_is_cut_off_says_so_at_once(pair, endpoint):
    """Guards against calls that wait for a peer which cannot help."""
    server = endpoint(WHOLE)
    pair.announce("i-1", server.address)
    question = pack(OpenTunnel(pair.node.name, pair.peer.name, "i-1", 1))
    pair.peer.is_stopping = True
    assert b"busy" in ask(pair, question)
    pair.peer.is_stopping = False
    paths = pair.peer.paths.paths
    paths.record_cut(server.address, False, pair.peer.fleet.clock())
    assert b"cut_off" in ask(pair, question)


def test_number_of_tunnels_is_bounded(endpoint):
    """Guards against a host whose memory and descriptors others use up."""
    pair = TunnelPair(tunnels=2)
    server = endpoint(keeps_open=True)
    pair.announce("i-1", server.address)
    question = pack(OpenTunnel(pair.node.name, pair.peer.name, "i-1", 1))
    host, _, port = pair.peer.server.address.rpartition(":")
    opened = []
    try:
        for _ in range(2):
            sock = socket.create_connection((host, int(port)), 2.0)
            sock.sendall(question)
            assert b"open" in sock.recv(1000)
            opened.append(sock)
        assert b"busy" in ask(pair, question)
        opened.pop().close()
        wait_until(lambda: pair.peer.server.count == 1, 1.0)
        assert b"open" in ask(pair, question)
    finally:
        for sock in opened:
            sock.close()
        pair.stop()


@pytest.fixture
def connect():
    """Connects to the address of a server, and closes the connections at the end."""
    opened = []

    def make(address):
        host, _, port = address.rpartition(":")
        opened.append(socket.create_connection((host, int(port)), 5.0))
        return opened[-1]

    yield make
    for sock in opened:
        sock.close()


def test_connections_that_ask_nothing_take_no_tunnels(endpoint, connect):
    """Guards against sound questions that are answered with "busy", and a planned stop
    that is delayed, since silent connections count as tunnels."""
    pair = TunnelPair(tunnels=2)
    server = endpoint(keeps_open=True)
    pair.announce("i-1", server.address)
    question = pack(OpenTunnel(pair.node.name, pair.peer.name, "i-1", 1))
    address = pair.peer.server.address
    try:
        for _ in range(3):
            connect(address)
        for number in range(2):
            sock = connect(address)
            sock.sendall(question)
            assert b"open" in sock.recv(1000)
            assert pair.peer.server.count == number + 1
    finally:
        pair.stop()


def test_number_of_connections_that_ask_nothing_is_bounded(pair, connect, monkeypatch):
    """Guards against a host whose descriptors are used up by connections that do not
    count as tunnels, and against a question that is refused because of them."""
    monkeypatch.setattr(tunnel_server, "HANDSHAKES_MAX", 2)
    monkeypatch.setattr(tunnel_server, "HELLO_TIMEOUT_S", 60.0)
    address = pair.peer.server.address
    silent = [connect(address) for _ in range(4)]
    for sock in silent[:2]:
        with pytest.raises(ConnectionResetError):
            sock.recv(1000)
    question = pack(OpenTunnel(pair.node.name, pair.peer.name, "i-1", 1))
    assert b"unknown" in ask(pair, question)
    with pytest.raises(ConnectionResetError):
        silent[2].recv(1000)
    silent[3].sendall(question)
    assert b"unknown" in silent[3].recv(1000)


LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + bytes(30_000_000)
# A peer that takes nothing of an answer for twice as long is given up.
CALLER_IDLE_S = 0.25


def open_tunnel(pair, connect):
    """Open a tunnel to the endpoint i-1 and send a request; return the connection."""
    sock = connect(pair.peer.server.address)
    sock.sendall(pack(OpenTunnel(pair.node.name, pair.peer.name, "i-1", 1)))
    reply = sock.recv(4)
    assert b"open" in sock.recv(int.from_bytes(reply, "big"))
    sock.sendall(b"POST /filing/1 HTTP/1.1\r\n\r\nbody")
    return sock


def test_peer_that_reads_no_more_keeps_no_tunnel_open(endpoint, connect):
    """Guards against connections of endpoints, places of tunnels and planned stops that
    wait for a host which froze or lost its links during a large answer."""
    pair = TunnelPair(caller_idle_s=CALLER_IDLE_S)
    server = endpoint(LARGE, keeps_open=True)
    pair.announce("i-1", server.address)
    try:
        open_tunnel(pair, connect)
        wait_until(lambda: pair.peer.server.count == 0, 15.0)
        assert pair.peer.logged[-1][1]["is_whole"] is False
    finally:
        pair.stop()


def test_peer_that_reads_slowly_gets_the_whole_answer(endpoint, connect):
    """Guards against answers that break off since their reader takes longer for them
    than a peer may read nothing."""
    pair = TunnelPair(caller_idle_s=CALLER_IDLE_S)
    server = endpoint(LARGE)
    pair.announce("i-1", server.address)
    received = 0
    try:
        sock = open_tunnel(pair, connect)
        for _ in range(100):
            time.sleep(0.02)
            part = sock.recv(10_000)
            assert part
            received += len(part)
        assert pair.peer.server.count == 1
        while part := sock.recv(1_000_000):
            received += len(part)
        assert received > len(LARGE)
    finally:
        pair.stop()


@pytest.mark.parametrize(
    ("lost", "caller_idle_s"), [(DROP_CLOSING_RESETS, 60.0), (DROP_ALL, CALLER_IDLE_S)]
)
def test_tunnel_ends_although_its_reset_is_lost(endpoint, lost, caller_idle_s):
    """Guards against endpoints that work for a call which was given up, up to the end
    of its time, since the only segment that tells the peer so was lost (GONE)."""
    pair = TunnelPair(caller_idle_s=caller_idle_s, connect_s=5.0)
    node = pair.node.fleet
    node.settings = node.settings._replace(connect_s=5.0)
    server = endpoint(WHOLE[:-2], keeps_open=True)
    pair.announce("i-1", server.address)
    socks = pair.note_tunnels()
    target = Target(server.address, "POST", "/filing/1")
    try:
        opened = pair.node.client.open_stream(
            target, b"body", HEADERS, 30.0, time_left_s=60.0
        )
        # Otherwise the peer would end the tunnel for an answer that is not taken.
        wait_until(lambda: is_received(socks[0]), 5.0)
        drop_segments(socks[0], lost)
        opened.unwrap().close()
        wait_until(lambda: pair.peer.server.count == 0, 15.0)
        wait_until(lambda: server.closed_at, 5.0)
    finally:
        pair.stop()


def test_endpoint_learns_of_the_end_although_a_reset_is_lost(
    pair, unread_endpoint, connect
):
    """Guards against endpoints that work for a call which was given up, up to the end
    of its time, since the reset of the peer's connection to them was lost (GONE)."""
    pair.announce("i-1", unread_endpoint.address)
    sock = open_tunnel(pair, connect)
    wait_until(lambda: unread_endpoint.sock and unread_endpoint.queued_bytes(), 5.0)
    drop_segments(unread_endpoint.sock, DROP_CLOSING_RESETS)
    sock.close()
    wait_until(unread_endpoint.is_closed, 5.0)
    wait_until(lambda: pair.peer.server.count == 0, 5.0)


def test_stop_with_an_open_tunnel_logs_no_error(unread_endpoint, connect, caplog):
    """Guards against a traceback for each open tunnel in the output of a stop."""
    pair = TunnelPair()
    pair.announce("i-1", unread_endpoint.address)
    open_tunnel(pair, connect)
    wait_until(lambda: unread_endpoint.sock, 5.0)
    pair.stop()
    wait_until(pair.peer.server.loop.is_closed, 5.0)
    assert [row for row in caplog.records if row.name == "asyncio"] == []


def test_answer_that_pauses_is_no_silence_of_the_peer(endpoint, connect):
    """Guards against streams that break off while an engine is silent for longer than a
    peer may read nothing."""
    pair = TunnelPair(caller_idle_s=CALLER_IDLE_S)
    server = endpoint([WHOLE[:-2], WHOLE[-2:]], pause_s=1.5)
    pair.announce("i-1", server.address)
    try:
        sock = open_tunnel(pair, connect)
        received = b""
        while part := sock.recv(1000):
            received += part
        assert received.endswith(b"\0\0\0\2le\0\0\0\0")
    finally:
        pair.stop()


def test_server_without_a_port_can_be_stopped():
    """Guards against a stop that fails with "Event loop is closed", as all ports were
    taken."""
    node = TunnelNode("front-lhr-a-1", {})
    taken = int(node.server.address.rpartition(":")[2])
    node.fleet.host = node.fleet.host._replace(peer_ports=(taken,))
    try:
        server = node.make_server()
        assert server.start() is None
        server.stop()
        assert [number for number, _ in node.logged] == ["PF6505"]
    finally:
        node.server.stop()


def test_path_is_direct_again_once_the_cut_has_healed(pair):
    """Guards against a host that goes on using peers, and never reaches endpoints over
    its own links again."""
    server = EndpointStandIn("i-1")
    pair.announce("i-1", server.address)
    try:
        assert exchange(pair.node.client, server.address).is_ok()
        pair.node.paths.is_cut_off = False
        pair.node.paths.paths.due_probes(float("inf"))
        pair.node.paths._probe([server.address])
        assert not pair.node.paths.is_cut(server.address)
        tunnels = sum(number == "PF6503" for number, _ in pair.node.logged)
        assert exchange(pair.node.client, server.address).is_ok()
        assert tunnels == sum(number == "PF6503" for number, _ in pair.node.logged)
    finally:
        server.stop()


def test_dead_endpoint_is_not_asked_of_peers_again_and_again(pair, refused_address):
    """Guards against questions that grow with the calls while a service is down."""
    address = refused_address
    pair.node.announce("i-1", address)
    pair.peer.announce("i-1", address)
    for _ in range(30):
        assert not exchange(pair.node.client, address).unwrap_err().sent
        pair.node.paths.verify_suspects()
    assert sum(number == "PF6503" for number, _ in pair.node.logged) <= 2


def test_endpoint_is_asked_for_again_soon_if_not_all_peers_could_say(
    endpoint, refused_address
):
    """Guards against calls that fail for 8 s after the only peer that reaches an
    endpoint is back: another one that is cut off as well says that it does not reach
    it."""
    raw = endpoint(WHOLE)
    members = {}
    node = TunnelNode("front-lhr-a-1", members, CutFinder)
    other = TunnelNode("front-lhr-b-1", members)
    # It is asked last, so its answer is the last one.
    members[other.name] = members[other.name]._replace(failure_domain="lhr-b")
    name = "front-lhr-a-2"
    members[name] = Member(name, 1, "lahore", None, 0.0, "lhr-a", refused_address)
    node.announce("i-1", raw.address)
    # Connections are refused there, as if it were cut off.
    other.announce("i-1", refused_address)

    def is_served():
        node.paths.verify_suspects()
        return exchange(node.client, raw.address).is_ok()

    back = None
    try:
        until = time.monotonic() + 3.5
        while time.monotonic() < until:
            assert not is_served()
            time.sleep(0.1)
        back = TunnelNode(name, members)
        members[name] = members[name]._replace(incarnation=2)
        back.announce("i-1", raw.address)
        wait_until(is_served, 1.5)
    finally:
        for row in (node, other, back):
            if row is not None:
                row.server.stop()


@pytest.fixture
def nodes():
    """A node, a near peer, and a far one that is asked last, for one service."""
    members = {}
    names = ("front-lhr-a-1", "front-lhr-b-1", "front-khi-a-1")
    found = [TunnelNode(name, members) for name in names]
    members[names[1]] = members[names[1]]._replace(failure_domain="lhr-b")
    far = {"region": "karachi", "failure_domain": "khi-a"}
    members[names[2]] = members[names[2]]._replace(**far)
    yield found
    for row in found:
        row.server.stop()


def ask_peers(node, endpoint):
    """Ask the peers of a node for an endpoint; return what the last one answered."""
    opened = node.paths.tunnels.open(endpoint)
    if opened.sock is not None:
        opened.sock.close()
    return opened


def test_dead_endpoint_leaves_the_peers_for_the_others_of_its_service(
    nodes, endpoint, refused_address
):
    """Guards against calls that fail on a host without links although sound peers reach
    the service, since one endpoint of it is down."""
    node, near, far = nodes
    raw = endpoint(WHOLE)
    for row in nodes:
        dead = row.announce("i-1", refused_address)
        live = row.announce("i-2", raw.address)
    opened = ask_peers(node, dead)
    assert opened.outcome is TunnelOutcome.UNREACHABLE and opened.is_unreached
    assert ask_peers(node, live).peer == near.name
    # One that the peers do not know yet, or of which no connection is made any more.
    unknown = ask_peers(node, live._replace(endpoint_id="i-3"))
    assert unknown.outcome is TunnelOutcome.UNKNOWN and not unknown.is_unreached
    assert ask_peers(node, live).peer == near.name


def test_peer_that_misses_what_another_one_reaches_is_not_asked_on(
    nodes, endpoint, refused_address
):
    """Guards against calls that ask a peer again and again which has lost its links and
    has not noticed it."""
    node, near, far = nodes
    raw = endpoint(WHOLE)
    node.announce("i-1", raw.address)
    # Connections are refused there, as if it were cut off.
    near.announce("i-1", refused_address)
    lost = far.announce("i-1", raw.address)
    other = node.announce("i-2", raw.address)
    far.announce("i-2", raw.address)
    for row in (lost, lost, other):
        assert ask_peers(node, row).peer == far.name
    asked = [fields["peer"] for number, fields in node.logged if number == "PF6503"]
    assert asked == [near.name, far.name, far.name, far.name]


def test_frames_that_arrive_in_pieces_are_put_together():
    """Guards against bytes of the framing in an answer, wherever a read ends."""
    left, right = socket.socketpair()
    sock = TunnelSocket(left.family, left.type, left.proto, left.detach())
    data = b"\x00\x00\x00\x05whole\x00\x00\x00\x01!\x00\x00\x00\x00"
    sock.settimeout(0)
    received = b""
    for number in range(len(data)):
        right.sendall(data[number : number + 1])
        for _ in range(2):
            try:
                received += sock.recv(100)
            except BlockingIOError:
                continue
    assert received == b"whole!"
    assert sock.recv(100) == b""
    right.close()
    sock.close()


@pytest.mark.parametrize("is_reached", [True, False])
def test_silent_peers_delay_a_call_by_less_than_their_timeouts(endpoint, is_reached):
    """Guards against calls that wait for each silent peer in turn: a call that nobody
    can serve is to be rejected at once, and one that a further peer can serve is not
    to wait for the others."""
    raw = endpoint(WHOLE)
    members = {}
    node = TunnelNode("front-lhr-a-1", members, CutFinder)
    other = TunnelNode("front-khi-a-1", members)
    # It is asked last, since it is far.
    far = {"region": "karachi", "failure_domain": "khi-a"}
    members[other.name] = members[other.name]._replace(**far)
    node.announce("i-1", raw.address)
    if is_reached:
        other.announce("i-1", raw.address)
    node.paths.paths.record_cut(raw.address, True, node.fleet.clock())
    # Connections to these succeed, and nothing answers.
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    silent = ["front-lhr-b-1", "front-lhr-c-1"]
    for name, listener in zip(silent, listeners, strict=True):
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        zone = name.removeprefix("front-").removesuffix("-1")
        members[name] = Member(name, 1, "lahore", None, 0.0, zone, address)
    try:
        started_at = time.monotonic()
        result = exchange(node.client, raw.address)
        took_s = time.monotonic() - started_at
        assert result.is_ok() is is_reached
        assert is_reached or not result.unwrap_err().sent
        assert took_s < 0.5
        # A peer that was given up may be the only able one a moment later.
        paused = node.paths.tunnels.peers.unavailable
        assert is_reached is not any((name, "") in paused for name in silent)
    finally:
        for row in (node, other):
            row.server.stop()
        for listener in listeners:
            listener.close()
