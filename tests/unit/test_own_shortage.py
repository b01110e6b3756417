"""Tests of connections for which this process has no descriptor left."""

import asyncio
import contextlib
import errno
import socket
import threading
import time
from functools import partial
from types import SimpleNamespace

import pytest
from result import Err
from tests.lib.origin_hosts import endpoint as engine_row
from tests.lib.path_standins import ProbedFinder
from tests.lib.tunnel_nodes import (
    BusyPeer,
    CutFinder,
    RawEndpoint,
    TunnelNode,
    TunnelPair,
)
from tests.lib.virtual_time import VirtualClock
from tests.unit.test_attempt_endings import START
from tests.unit.test_retry_charges import Stream, stream_context
from tests.unit.test_second_attempts import BROKEN, Gateway
from urllib3.util import connection as urllib3_connection

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.tunnel_messages import TunnelOutcome
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.daemon.attempt import AttemptIO, ServiceRequest, run_service
from poplarfold._internal.exceptions import (
    DescriptorShortageError,
    EndpointUnreachableError,
    NotRunError,
)
from poplarfold._internal.gateway import peer_tunnels
from poplarfold._internal.gateway.stream_setup import Reservation, StreamSetup
from poplarfold._internal.http import endpoint_client
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle, Target
from poplarfold._internal.http.failures import Failure

TIMEOUT_S = 0.5
# For a busy machine.
SLACK_S = 2.0
# For a stand-in or peer whose threads are held up there, in tests of what it answers.
ANSWER_LIMIT_S = 10.0
# Pauses double from 2 to 50 ms, so that a wait of 0.5 s takes 14 attempts.
ATTEMPTS_MAX = 20
OTHER_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH]
SHORTAGES = [errno.EMFILE, errno.ENFILE]
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole"
SHORTAGE = Err(Failure(DescriptorShortageError("no descriptor"), sent=False))
DEAD = Err(Failure(EndpointUnreachableError("refused"), sent=False, refused=True))


class Descriptors:
    """Refuses sockets with an error number, until ``free`` was called a few times."""

    def __init__(self, make_socket, number, frees_needed):
        self.make_socket = make_socket
        self.number = number
        self.frees_needed = frees_needed
        self.frees = 0

    def free(self):
        self.frees += 1

    def open(self, *arguments, **options):
        if self.frees < self.frees_needed:
            raise OSError(self.number, "refused for the test")
        return self.make_socket(*arguments, **options)


@pytest.fixture
def shortage(monkeypatch):
    """Return a function that begins a shortage for connections of clients."""

    def begin(number=errno.EMFILE, frees_needed=10**9):
        found = Descriptors(urllib3_connection.create_connection, number, frees_needed)
        monkeypatch.setattr(urllib3_connection, "create_connection", found.open)
        return found

    return begin


@pytest.fixture
def endpoint():
    found = RawEndpoint(ANSWER)
    yield found
    found.stop()


def exchange(client, address, timeout_s=TIMEOUT_S, **options):
    target = Target(address, "POST", "/filing/1")
    return client.exchange(target, b"body", {}, timeout_s, **options)


def open_stream(client, address, timeout_s=TIMEOUT_S, **options):
    target = Target(address, "POST", "/filing/1")
    return client.open_stream(target, b"body", {}, timeout_s, **options)


def wait_for_peers(pair):
    """Let the nodes wait longer, where a test is of what a peer answers."""
    for fleet in (pair.node.fleet, pair.peer.fleet):
        fleet.settings = fleet.settings._replace(connect_s=ANSWER_LIMIT_S)


REQUESTS = pytest.mark.parametrize("request_", [exchange, open_stream])


@REQUESTS
@pytest.mark.parametrize("number", SHORTAGES)
def test_request_is_sent_once_descriptors_are_freed(
    shortage, endpoint, request_, number
):
    """Guards against calls that fail while connections of no use hold descriptors."""
    descriptors = shortage(number, frees_needed=3)
    client = EndpointClient(ANSWER_LIMIT_S)
    client.free_descriptors = descriptors.free
    result = request_(client, endpoint.address, timeout_s=ANSWER_LIMIT_S)
    assert result.is_ok(), result
    assert descriptors.frees == 3
    assert len(endpoint.requests) == 1
    if request_ is open_stream:
        result.unwrap().close()


@REQUESTS
def test_lasting_shortage_ends_in_time_and_is_no_fault_of_the_endpoint(
    shortage, endpoint, request_
):
    """Guards against a call that waits for a descriptor beyond its deadline, occupies
    a core meanwhile, or counts as a failure of the endpoint."""
    descriptors = shortage()
    client = EndpointClient(TIMEOUT_S)
    client.free_descriptors = descriptors.free
    began_at = time.monotonic()
    failure = request_(client, endpoint.address).unwrap_err()
    took_s = time.monotonic() - began_at
    assert 0.5 * TIMEOUT_S <= took_s <= TIMEOUT_S + SLACK_S
    assert 1 <= descriptors.frees <= ATTEMPTS_MAX
    assert isinstance(failure.error, DescriptorShortageError)
    assert failure.is_own_shortage and not failure.sent and not failure.refused
    assert not endpoint.requests


@REQUESTS
def test_request_is_not_sent_long_after_its_endpoint_was_chosen(
    shortage, endpoint, request_, monkeypatch
):
    """Guards against requests to an endpoint that has left while a descriptor was
    waited for, and against calls that are held until their deadline for one. They count
    on a connection within the time to connect."""
    descriptors = shortage()
    client = EndpointClient(0.05)
    # Only the client's own pauses move its clock, so that none begins late.
    clock = VirtualClock(0.01, lambda: None)
    began_at = clock.now
    virtual_time = SimpleNamespace(monotonic=clock, sleep=clock.advance)
    monkeypatch.setattr(endpoint_client, "time", virtual_time)

    def free_late():
        descriptors.free()
        if clock.now - began_at > 0.1:
            descriptors.frees_needed = 0

    client.free_descriptors = free_late
    failure = request_(client, endpoint.address).unwrap_err()
    assert failure.is_own_shortage and not failure.sent
    assert not endpoint.requests


@REQUESTS
def test_aborted_request_waits_for_no_descriptor(shortage, endpoint, request_):
    """Guards against request threads that wait for callers who are gone."""
    descriptors = shortage()
    client, handle = EndpointClient(TIMEOUT_S), AbortHandle()

    def abort():
        descriptors.free()
        handle.abort()

    client.free_descriptors = abort
    assert request_(client, endpoint.address, handle=handle).is_err()
    assert descriptors.frees == 1


@pytest.mark.parametrize("number", OTHER_ERRORS)
def test_other_errors_free_no_descriptors(shortage, endpoint, number):
    """Guards against idle callers that are closed for an endpoint that is away."""
    descriptors = shortage(number)
    client = EndpointClient(TIMEOUT_S)
    client.free_descriptors = descriptors.free
    failure = exchange(client, endpoint.address).unwrap_err()
    assert not failure.is_own_shortage and not descriptors.frees
    assert isinstance(failure.error, EndpointUnreachableError)


def test_shortage_is_no_sign_of_a_cut_path(shortage):
    """Guards against endpoints that count as cut off from a node, or are asked of its
    peers, since the node had no descriptor left."""
    addresses = [f"10.0.0.{number}:80" for number in range(3)]
    finder = ProbedFinder(addresses)
    shortage()
    client = EndpointClient(TIMEOUT_S, paths=finder)
    for address in addresses:
        assert exchange(client, address).unwrap_err().is_own_shortage
    assert not finder.paths.failed and not finder.paths.cut
    assert not finder.suspects and not finder.tunnels.asked


@pytest.mark.parametrize("is_short", [True, False])
def test_plain_call_without_a_descriptor_is_not_counted_against_endpoints(is_short):
    """Guards against sound endpoints that get no calls for a second or more, since this
    node had no descriptor for connections to them."""
    gateway = Gateway()
    gateway.exchange = lambda *_, **__: SHORTAGE if is_short else DEAD
    with contextlib.suppress(NotRunError):
        gateway.call("/lookup/1")
    stats = [gateway.fleet.endpoint_stats.read(row) for row in gateway.rows.values()]
    assert all(row.cooldown_until == 0.0 for row in stats) is is_short
    assert not gateway.events("PF3602") or not is_short


def test_call_that_may_have_run_is_not_said_to_be_unexecuted_for_a_shortage():
    """Guards against status 503, which promises that a call has not run, if only its
    second attempt had no descriptor."""
    gateway = Gateway()
    script = iter([BROKEN, SHORTAGE, SHORTAGE])
    gateway.exchange = lambda *_, **__: next(script)
    assert gateway.call("/lookup/1") == 502
    script = iter([SHORTAGE] * 3)
    with pytest.raises(NotRunError):
        gateway.call("/lookup/1")


@pytest.mark.parametrize("is_short", [True, False])
def test_stream_without_a_descriptor_is_not_counted_against_engines(is_short):
    """Guards against sound engines that are avoided since this node had no descriptor
    for a lease, a prefill or a stream."""
    result = SHORTAGE if is_short else DEAD
    stream = Stream([result, "no slot"])
    fleet = stream.fleet
    recorded = []
    fleet.record_unresponsive = recorded.append
    stream.fail()
    engine = engine_row("i-d", "v1")
    setup = StreamSetup(stream_context(fleet, [result, result]))
    setup.services.engines.take_lease = lambda *row: result
    setup.context.abort, setup.context.details = AbortHandle(), None
    setup.context.log_failure = lambda *row, **options: None
    fleet.pick_prefill = lambda *row: engine
    setup.take_lease(engine)
    setup.prefill(Reservation(engine, "lease"), is_first=True)
    assert len(recorded) == (0 if is_short else 4)


@pytest.mark.parametrize("is_short", [True, False])
def test_slot_of_a_stream_without_a_descriptor_is_given_back(is_short):
    """Guards against slots of sound engines that stay taken until their leases expire,
    since this node had no descriptor for the stream. Of an engine that has failed,
    nothing is asked, as its answer would be waited for."""
    stream = Stream([SHORTAGE if is_short else DEAD, "no slot"])
    setup = stream.setup
    setup.release = partial(StreamSetup.release, setup)
    setup.context.caller_gone = threading.Event()
    stream.fail()
    released = setup.services.engines.release_lease.call_args_list
    leases = [(call.args[0], call.args[1]) for call in released]
    assert leases == ([(engine_row("i-d", "v1").address, "lease")] if is_short else [])


@pytest.mark.parametrize("is_short", [True, False])
def test_daemon_blames_no_endpoint_for_its_own_shortage(is_short):
    """Guards against endpoints that are ejected since the daemon had no descriptor."""
    posted = []
    client = SimpleNamespace(
        exchange=lambda *row, **options: SHORTAGE if is_short else DEAD
    )
    io = AttemptIO(client, posted.append, HostKey("h", 1), 1.5, None)
    run_service(io, START, ServiceRequest("c", b"{}", 1e9), AbortHandle())
    (ended,) = posted
    address = START.placement.decode.address
    assert ended.failed_endpoint == (None if is_short else address)


@pytest.mark.parametrize(
    ("number", "outcome"),
    [
        (errno.EMFILE, TunnelOutcome.BUSY),
        (errno.ECONNREFUSED, TunnelOutcome.UNREACHABLE),
    ],
)
def test_peer_without_a_descriptor_does_not_call_an_endpoint_unreachable(
    monkeypatch, endpoint, number, outcome
):
    """Guards against an endpoint that counts as ended, and a sound prompt as the cause,
    since the peers that were asked had no descriptor for a connection to it."""
    pair = TunnelPair()
    wait_for_peers(pair)

    async def refuse(*arguments, **options):
        raise OSError(number, "refused for the test")

    try:
        engine = pair.announce("i-1", endpoint.address)
        monkeypatch.setattr(asyncio, "open_connection", refuse)
        opened = pair.node.paths.tunnels.open(engine)
        assert opened.sock is None and opened.outcome is outcome
        assert opened.is_unreached is (outcome is TunnelOutcome.UNREACHABLE)
    finally:
        pair.stop()


@pytest.mark.parametrize("frees_needed", [3, 10**9])
def test_connection_to_a_peer_waits_for_a_descriptor(
    monkeypatch, endpoint, frees_needed
):
    """Guards against peers that are avoided since this node had no descriptor for a
    connection to them, and against calls that fail although some could be freed."""
    pair = TunnelPair()
    if frees_needed == 3:
        wait_for_peers(pair)
    try:
        engine = pair.announce("i-1", endpoint.address)
        tunnels = pair.node.paths.tunnels
        descriptors = Descriptors(peer_tunnels.TunnelSocket, errno.EMFILE, frees_needed)
        monkeypatch.setattr(peer_tunnels, "TunnelSocket", descriptors.open)
        tunnels.free_descriptors = descriptors.free
        failures = []
        monkeypatch.setattr(
            tunnels.peers, "record_failure", lambda *row: failures.append(row)
        )
        began_at = time.monotonic()
        opened = tunnels.open(engine)
        took_s = time.monotonic() - began_at
        assert not failures
        assert (opened.sock is not None) is (frees_needed == 3)
        assert took_s < pair.node.fleet.settings.connect_s + SLACK_S
        if opened.sock is not None:
            opened.sock.close()
            assert descriptors.frees == 3
    finally:
        pair.stop()


def test_peer_serves_while_no_descriptor_is_left_for_another_one(monkeypatch):
    """Guards against a sound peer that counts as silent, and a call that fails, since
    the question to it is not looked at while another one waits for a descriptor."""
    members, busy = {}, BusyPeer()
    node = TunnelNode("front-lhr-a-1", members, CutFinder, connect_s=10.0)
    near, far = "front-lhr-a-2", "front-khi-a-1"
    members[near] = Member(near, 1, "lahore", None, 0.0, "lhr-a", busy.address)
    # It is asked last, since it is far.
    members[far] = Member(far, 1, "karachi", None, 0.0, "khi-a", busy.address)
    engine = node.announce("i-1", "10.0.0.1:80")
    tunnels, make_socket = node.paths.tunnels, peer_tunnels.TunnelSocket
    opened_socks = []

    def open_one(*arguments):
        if opened_socks:
            raise OSError(errno.EMFILE, "refused for the test")
        opened_socks.append(make_socket(*arguments))
        return opened_socks[0]

    monkeypatch.setattr(peer_tunnels, "TunnelSocket", open_one)
    tunnels.free_descriptors = busy.accept
    try:
        opened = tunnels.open(engine)
        assert busy.may_accept.is_set()
        assert opened.peer == near and opened.outcome is TunnelOutcome.OPEN
        assert not tunnels.peers.unavailable
        opened.sock.close()
    finally:
        node.server.stop()
        busy.stop()


@pytest.mark.parametrize("frees_needed", [0, 3])
def test_peer_that_was_asked_late_for_a_descriptor_is_not_silent(
    monkeypatch, frees_needed
):
    """Guards against a sound peer that is avoided since this node had a descriptor only
    just before the time of the question was over. Without a lack of descriptors, a peer
    that does not answer is avoided."""
    # Connections to it succeed, and nothing answers.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        members, name = {}, "front-lhr-a-2"
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        node = TunnelNode("front-lhr-a-1", members, CutFinder)
        members[name] = Member(name, 1, "lahore", None, 0.0, "lhr-a", address)
        engine = node.announce("i-1", "10.0.0.1:80")
        tunnels = node.paths.tunnels
        descriptors = Descriptors(peer_tunnels.TunnelSocket, errno.EMFILE, frees_needed)
        monkeypatch.setattr(peer_tunnels, "TunnelSocket", descriptors.open)
        tunnels.free_descriptors = descriptors.free
        try:
            assert tunnels.open(engine).sock is None
            assert bool(tunnels.peers.unavailable) is (frees_needed == 0)
        finally:
            node.server.stop()
