"""Tests of how a node finds out which endpoints it does not reach, with stand-ins."""

import errno
import socket

import pytest
from tests.lib.path_standins import (
    PollStandIn,
    ProbedFinder,
    WorkStandIn,
    endpoint_at,
)

from poplarfold._internal.core.fleet.tunnel_messages import TunnelOutcome
from poplarfold._internal.core.state import Table
from poplarfold._internal.gateway import path_finder
from poplarfold._internal.gateway.path_probe import probe_endpoints
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.platform.engines import EngineClient

ADDRESSES = [f"10.0.0.{number}:80" for number in range(20)]
NEVER = float("inf")


def refuse():
    raise ConnectionRefusedError("refused")


def wait_for_answer(monkeypatch, finder, wait_s, cut_at=NEVER):
    """Wait for an answer that does not come; return whether it was waited for to the
    end, and for how long."""
    monkeypatch.setattr(path_finder, "boot_time", finder.fleet.clock)
    monkeypatch.setattr(path_finder.select, "poll", lambda: PollStandIn(finder, cut_at))
    sent_at = finder.fleet.now
    is_waited = finder.await_answer(None, ADDRESSES[0], sent_at + wait_s)
    return is_waited, finder.fleet.now - sent_at


def test_silent_endpoints_are_found_cut_together():
    """Guards against calls that wait on kept connections for 7 s after a silent cut,
    since the endpoints at which calls stall are tried one after the other."""
    finder = ProbedFinder(ADDRESSES)
    began_at = finder.fleet.now
    for address in ADDRESSES:
        finder.note_stall(address)
    while finder.suspects:
        finder.verify_suspects()
    assert finder.fleet.now - began_at < 1.0
    assert not any(finder.may_use_kept(address) for address in ADDRESSES)


def test_stalled_endpoints_that_are_reached_are_not_asked_of_peers():
    """Guards against sound endpoints that count as cut off since they were tried
    together with silent ones."""
    finder = ProbedFinder(ADDRESSES)
    finder.errors = dict.fromkeys(ADDRESSES[5:], 0)
    for address in ADDRESSES:
        finder.note_stall(address)
    while finder.suspects:
        finder.verify_suspects()
    assert finder.tunnels.asked == ADDRESSES[:5]
    assert set(finder.paths.cut) == set(ADDRESSES[:5])


def test_refused_path_that_falls_silent_is_found_silent():
    """Guards against a hung call for each kept connection to an endpoint whose new
    connections were refused first, and whose kept ones are silent now."""
    finder = ProbedFinder(ADDRESSES)
    finder.paths.record_cut(ADDRESSES[0], True, finder.fleet.now)
    finder.note_stall(ADDRESSES[0])
    finder.verify_suspects()
    assert not finder.may_use_kept(ADDRESSES[0])
    # That is known now, and not tried again with each call that stalls.
    finder.fleet.now += 10.0
    finder.note_stall(ADDRESSES[0])
    assert finder.suspects == {}


def test_kept_connections_to_a_slow_endpoint_are_used_while_new_ones_are_refused():
    """Guards against calls that are given up on connections that work, since the
    endpoint is slow and a new connection is refused at once."""
    finder = ProbedFinder(ADDRESSES)
    finder.errors = dict.fromkeys(ADDRESSES, errno.ECONNREFUSED)
    finder.paths.record_cut(ADDRESSES[0], True, finder.fleet.now)
    for address in ADDRESSES[:2]:
        finder.note_stall(address)
    finder.verify_suspects()
    assert set(finder.paths.cut) == set(ADDRESSES[:2])
    assert all(finder.may_use_kept(address) for address in ADDRESSES[:2])
    # It was known of the first one that peers reach it.
    assert finder.tunnels.asked == ADDRESSES[1:2]


def test_call_notices_a_cut_just_after_its_path_was_tried_for_another(monkeypatch):
    """Guards against a call that waits its whole time on a silent path, since the
    endpoint was only slow when another call looked at the path within a second."""
    finder = ProbedFinder(ADDRESSES)
    finder.errors = dict.fromkeys(ADDRESSES, 0)
    finder.note_stall(ADDRESSES[0])
    finder.verify_suspects()
    finder.fleet.now += 0.3
    cut_at = finder.fleet.now
    is_waited, took_s = wait_for_answer(monkeypatch, finder, 20.0, cut_at)
    assert not is_waited and took_s < 2.0


def test_call_notices_a_cut_after_it_has_had_its_path_tried(monkeypatch):
    """Guards against a call that looks at its path once, before the cut begins, and
    waits its whole time."""
    finder = ProbedFinder(ADDRESSES)
    finder.errors = dict.fromkeys(ADDRESSES, 0)
    cut_at = finder.fleet.now + 3.0
    is_waited, took_s = wait_for_answer(monkeypatch, finder, 20.0, cut_at)
    assert not is_waited and 3.0 <= took_s < 6.0


def test_call_notices_a_cut_that_was_found_as_it_was_sent(monkeypatch):
    """Guards against a call that waits its whole time, since its path was found to be
    silent after its kept connection was chosen, and before it was sent."""
    finder = ProbedFinder(ADDRESSES)
    assert finder.may_use_kept(ADDRESSES[0])
    finder.paths.record_cut(ADDRESSES[0], False, finder.fleet.now)
    finder.fleet.now += 0.01
    is_waited, took_s = wait_for_answer(monkeypatch, finder, 20.0)
    assert not is_waited and took_s < 1.0


def test_slow_endpoint_is_tried_less_and_less_by_one_call(monkeypatch):
    """Guards against a connection a second to each endpoint that takes long to answer,
    and against a call to it that is given up."""
    finder = ProbedFinder(ADDRESSES)
    finder.errors = dict.fromkeys(ADDRESSES, 0)
    is_waited, _ = wait_for_answer(monkeypatch, finder, 20.0)
    assert is_waited and len(finder.probed) <= 5
    assert not finder.paths.cut and finder.tunnels.asked == []


@pytest.mark.parametrize(
    ("outcome", "is_unreached", "peers", "expected"),
    [
        (TunnelOutcome.UNREACHABLE, True, 3, False),
        (None, False, 0, False),
        (TunnelOutcome.OPEN, False, 3, True),
        (TunnelOutcome.UNREACHABLE, False, 3, None),
        (TunnelOutcome.AWAY, True, 3, None),
        (TunnelOutcome.AWAY, False, 3, None),
        (TunnelOutcome.CUT_OFF, False, 3, None),
        (TunnelOutcome.BUSY, False, 3, None),
        (TunnelOutcome.UNKNOWN, False, 3, None),
        (None, False, 3, None),
    ],
)
def test_engine_has_ended_only_if_peers_are_sure(
    outcome, is_unreached, peers, expected
):
    """Guards against a sound prompt that counts as the cause of a crash, since this
    node does not reach its engine and no peer could say whether it runs."""
    finder = ProbedFinder(ADDRESSES)
    finder.tunnels.outcome = outcome
    finder.tunnels.is_unreached = is_unreached
    finder.tunnels.count = peers
    assert finder.is_reached_elsewhere(ADDRESSES[0]) is expected
    with socket.socket() as refusing:
        refusing.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{refusing.getsockname()[1]}"
        finder.fleet.endpoints[address] = endpoint_at(address)
        client = EndpointClient(0.3, paths=finder)
        engines = EngineClient(client, lambda *signal: None)
        assert engines.has_ended(address, 30.0) is (expected is False)


def test_engine_that_is_no_longer_announced_may_not_have_ended():
    """Guards against a sound prompt that counts as the cause of a crash, since its
    engine has left."""
    finder = ProbedFinder(ADDRESSES)
    assert finder.is_reached_elsewhere("10.0.0.99:80") is None


def test_endpoints_that_are_gone_are_forgotten_without_a_cut():
    """Guards against rows that pile up on a host that is never cut off, and against an
    endpoint that is not asked for since its address had a dead one before."""
    finder = ProbedFinder(ADDRESSES[:1])
    finder.errors = dict.fromkeys(ADDRESSES, 0)
    finder.tunnels.outcome, finder.tunnels.is_unreached = None, True
    for address in ADDRESSES:
        finder.note_stall(address)
        finder.verify_suspects()
    for address in ADDRESSES:
        with pytest.raises(ConnectionRefusedError):
            finder.connect(address, refuse)
    finder.has_work = WorkStandIn(finder, waits=3)
    finder.run()
    paths = finder.paths
    tables = [row for row in vars(paths).values() if isinstance(row, Table)]
    assert set().union(*tables) == {ADDRESSES[0]}
    assert paths.failed == paths.stalled == {}


def test_failed_connection_costs_later_ones_no_look_at_the_fleet():
    """Guards against each new connection taking the lock of the fleet, since one
    endpoint has refused a connection at some time."""
    finder = ProbedFinder(ADDRESSES)
    finder.tunnels.outcome = None
    with pytest.raises(ConnectionRefusedError):
        finder.connect(ADDRESSES[0], refuse)
    finder.fleet.service_addresses = None
    assert finder.connect(ADDRESSES[1], lambda: "connection") == "connection"


@pytest.mark.parametrize("outcome", [TunnelOutcome.OPEN, None])
@pytest.mark.parametrize("is_gone", [True, False])
@pytest.mark.parametrize("is_known_cut", [True, False])
def test_endpoint_that_leaves_while_peers_are_asked_is_not_called(
    outcome, is_gone, is_known_cut
):
    """Guards against a request that reaches a leaving endpoint after the bound, since
    the call has waited for peers after the endpoint was chosen (DRAIN)."""
    finder = ProbedFinder(ADDRESSES)
    fleet, tunnels, address = finder.fleet, finder.tunnels, ADDRESSES[0]
    for row in ADDRESSES[1:3]:
        finder.paths.record_failure(row, fleet.now)
    if is_known_cut:
        finder.paths.record_cut(address, False, fleet.now)

    def leave():
        row = fleet.endpoints.pop(address)
        if not is_gone:
            fleet.endpoints[address] = row._replace(is_leaving=True)

    tunnels.outcome, tunnels.on_open = outcome, leave
    direct = []

    def connect_directly():
        direct.append(address)
        raise ConnectionRefusedError("refused")

    with pytest.raises(OSError):
        finder.connect(address, connect_directly)
    assert tunnels.asked == [address]
    assert tunnels.closed == ([address] if outcome else [])
    # A connection that was tried first has failed, and nothing was sent.
    assert len(direct) == (0 if is_known_cut else 1)


def test_endpoint_that_stays_is_called_through_a_peer_or_directly():
    """Guards against calls that fail since an endpoint is asked of peers first."""
    finder = ProbedFinder(ADDRESSES)
    for address in ADDRESSES[:2]:
        finder.paths.record_cut(address, False, finder.fleet.now)
    found = finder.connect(ADDRESSES[0], refuse)
    assert finder.tunnels.asked == ADDRESSES[:1] and finder.tunnels.closed == []
    found.close()
    finder.tunnels.outcome = None
    assert finder.connect(ADDRESSES[1], lambda: "connection") == "connection"


def test_probe_tells_reached_endpoints_from_refusing_ones():
    """Guards against a probe of several endpoints that mixes up their outcomes."""
    with socket.socket() as refusing, socket.create_server(("127.0.0.1", 0)) as server:
        refusing.bind(("127.0.0.1", 0))
        refused, open_one = (
            f"127.0.0.1:{sock.getsockname()[1]}" for sock in (refusing, server)
        )
        reached = []
        found = probe_endpoints([refused, open_one], 30.0, reached.append)
    assert found == {refused: errno.ECONNREFUSED, open_one: 0}
    assert reached == [open_one]
