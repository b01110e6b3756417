"""Tests of the decisions on paths to endpoints, and of the choice of peers."""

import random

from poplarfold._internal.core.fleet.endpoint_paths import EndpointPaths
from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.tunnel_peers import TunnelPeers
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.member_records import decode_member, encode_member

SERVICE = ("a:1", "b:1", "c:1")
OTHER = ("x:1", "y:1")


def test_one_endpoint_without_a_path_does_not_cut_off_a_host():
    """Guards against a host that uses peers for all endpoints since one has failed."""
    paths = EndpointPaths()
    paths.record_failure("a:1", 1.0)
    assert not paths.looks_cut_off(SERVICE, 1.0)
    assert paths.record_cut("a:1", True, 1.1)
    assert not paths.record_cut("a:1", True, 1.2)
    assert paths.uses_peers("a:1", SERVICE)
    assert not paths.uses_peers("b:1", SERVICE)


def test_host_without_a_path_to_a_service_tries_no_further_ones():
    """Guards against a timeout for each endpoint of a service that is cut off, and
    against the same for services that are reached."""
    paths = EndpointPaths()
    paths.record_reached("b:1", 0.5)
    for address in ("a:1", "b:1"):
        paths.record_failure(address, 1.0)
        paths.record_cut(address, False, 1.2)
    assert paths.uses_peers("c:1", SERVICE)
    assert not paths.uses_peers("x:1", OTHER)
    # Any endpoint that is reached shows that the host is not cut off.
    paths.record_reached("c:1", 1.5)
    assert not paths.uses_peers("c:1", SERVICE)
    assert paths.uses_peers("a:1", SERVICE)
    assert paths.record_reached("a:1", 9.0).since == 1.2
    assert not paths.uses_peers("a:1", SERVICE)


def test_failures_look_like_a_cut_only_if_nothing_is_reached_meanwhile():
    """Guards against calls that wait for peers while some endpoints have crashed."""
    paths = EndpointPaths()
    paths.record_failure("a:1", 1.0)
    paths.record_reached("c:1", 1.1)
    paths.record_failure("b:1", 1.2)
    assert not paths.looks_cut_off(SERVICE, 1.2)
    paths.record_failure("a:1", 1.3)
    assert paths.looks_cut_off(SERVICE, 1.3)
    assert not paths.looks_cut_off(OTHER, 1.3)
    assert not paths.looks_cut_off(SERVICE, 5.0)


def test_kept_connections_are_used_only_if_they_may_still_work():
    """Guards against calls that wait on silent connections, and against open ones that
    are given up although they work."""
    paths = EndpointPaths()
    paths.record_cut("a:1", True, 1.0)
    paths.record_cut("b:1", False, 1.0)
    assert paths.may_use_kept("a:1") and paths.may_use_kept("c:1")
    assert not paths.may_use_kept("b:1")
    paths.record_reached("b:1", 2.0)
    assert paths.may_use_kept("b:1")


def test_refused_path_may_fall_silent():
    """Guards against kept connections that are used for the whole time of a cut, since
    new ones were refused at its begin, and against the reverse: they stay silent while
    new ones are refused again."""
    paths = EndpointPaths()
    assert paths.record_cut("a:1", True, 1.0)
    assert paths.record_cut("a:1", False, 2.0)
    assert not paths.may_use_kept("a:1")
    assert not paths.record_cut("a:1", False, 3.0)
    assert not paths.record_cut("a:1", True, 3.0)
    assert not paths.may_use_kept("a:1")


def test_peers_are_asked_less_and_less_for_an_endpoint_that_is_down():
    """Guards against questions of all hosts to all others about crashed endpoints."""
    paths = EndpointPaths()
    asked, now = 0, 0.0
    while now < 60.0:
        if paths.may_ask("a:1", now):
            asked += 1
            paths.record_unreached("a:1", asked_at=now, is_sure=True, now=now)
        now += 0.1
    assert asked <= 12
    paths.record_reached("a:1", now)
    assert paths.may_ask("a:1", now)


def test_calls_that_ask_for_an_endpoint_at_once_have_asked_once():
    """Guards against an endpoint that is reached again and not asked for during 8 s,
    since four calls asked for it in the same moment."""
    paths = EndpointPaths()
    for number in range(4):
        now = 1.0 + 0.1 * number
        paths.record_unreached("a:1", asked_at=0.9, is_sure=True, now=now)
    assert paths.may_ask("a:1", 2.0)
    paths.record_unreached("a:1", asked_at=2.0, is_sure=True, now=2.1)
    assert not paths.may_ask("a:1", 4.0)


def test_peers_that_could_not_try_say_little_of_an_endpoint():
    """Guards against calls that fail for 8 s after all peers were away for a moment."""
    paths = EndpointPaths()
    for now in (1.0, 3.0, 5.0):
        paths.record_unreached("a:1", asked_at=now, is_sure=False, now=now)
        assert not paths.may_ask("a:1", now + 0.9)
        assert paths.may_ask("a:1", now + 1.0)


def test_endpoints_that_are_gone_are_forgotten():
    """Guards against probes of addresses that no endpoint has any more."""
    paths = EndpointPaths()
    paths.record_cut("a:1", True, 1.0)
    paths.record_cut("b:1", True, 1.0)
    assert paths.due_probes(1.2) == []
    assert paths.due_probes(1.6) == ["a:1", "b:1"]
    assert paths.due_probes(1.7) == []
    paths.remove_except({"b:1"})
    assert paths.due_probes(9.0) == ["b:1"]


def endpoint(service):
    role = EndpointRole.SERVICE
    return FleetEndpoint("i-1", 1, service, "10.0.1.1:80", "a", role, 4, False, 0.0)


def test_old_failures_and_stalls_are_forgotten():
    """Guards against rows of each endpoint that has ever failed or been slow."""
    paths = EndpointPaths()
    paths.record_failure("a:1", 1.0)
    paths.record_failure("b:1", 2.0)
    assert paths.record_stall("a:1", 1.0) and not paths.record_stall("a:1", 1.9)
    assert paths.record_stall("b:1", 2.0)
    paths.remove_old(2.6)
    assert list(paths.failed) == list(paths.stalled) == ["b:1"]
    assert paths.record_stall("a:1", 2.6)


def members():
    rows = [
        Member(f"{domain}-{n}", 1, region, None, 0.0, domain, f"10.0.0.{n}:7")
        for domain, region in (("a", "west"), ("b", "west"), ("c", "east"))
        for n in range(4)
    ]
    return {row.host: row for row in rows}


def test_near_peers_are_asked_first_and_share_the_load():
    """Guards against bytes between regions while a near peer can help, and against one
    peer that gets all of it."""
    peers, rng = TunnelPeers("a-0", "a", "west"), random.Random(1)
    known = members()
    known["a-1"] = known["a-1"]._replace(tunnel_address=None)
    first = {
        peers.candidates(known, endpoint("s"), 0.0, rng)[0].host for _ in range(50)
    }
    assert first == {"a-2", "a-3"}
    domains = [
        row.failure_domain for row in peers.candidates(known, endpoint("s"), 0.0, rng)
    ]
    assert domains == ["a"] * 2 + ["b"] * 4 + ["c"] * 4


def test_domain_of_a_peer_that_cannot_help_is_asked_last():
    """Guards against calls that ask one host after the other of a domain that has lost
    the same links."""
    peers, rng = TunnelPeers("a-0", "a", "west"), random.Random(1)
    peers.record_failure(members()["a-1"], "s", asked_at=0.0, now=0.0)
    found = peers.candidates(members(), endpoint("s"), 0.5, rng)
    assert [row.failure_domain for row in found] == ["b"] * 4 + ["c"] * 4 + ["a"] * 2
    # Other services are judged apart, unless the peer did not answer at all.
    assert peers.candidates(members(), endpoint("t"), 0.5, rng)[0].failure_domain == "a"
    peers.record_failure(members()["a-2"], "", asked_at=0.5, now=0.5)
    assert peers.candidates(members(), endpoint("t"), 0.6, rng)[0].failure_domain == "b"
    peers.record_success(members()["a-1"], endpoint("s"))
    peers.record_success(members()["a-2"], endpoint("t"))
    assert peers.candidates(members(), endpoint("s"), 0.7, rng)[0].failure_domain == "a"


def test_peer_that_was_asked_several_times_at_once_has_failed_once():
    """Guards against a peer that is not asked for 8 s after it was busy for a moment,
    while four calls asked it. It may be the only one that is not cut off."""
    peers, rng = TunnelPeers("a-0", "a", "west"), random.Random(1)
    known = {"a-1": members()["a-1"]}
    for number in range(4):
        now = 0.4 + 0.01 * number
        peers.record_failure(known["a-1"], "", asked_at=0.0, now=now)
    assert peers.candidates(known, endpoint("s"), 1.3, rng) == []
    assert peers.candidates(known, endpoint("s"), 1.4, rng) == [known["a-1"]]
    peers.record_failure(known["a-1"], "", asked_at=1.4, now=1.8)
    assert peers.candidates(known, endpoint("s"), 3.7, rng) == []


def test_peer_that_has_restarted_is_asked_at_once():
    """Guards against a host that is ready again, and not asked for 8 s since its
    earlier process did not answer."""
    peers, rng = TunnelPeers("a-0", "a", "west"), random.Random(1)
    old = members()["a-1"]
    for asked_at in (0.0, 1.0, 3.0):
        peers.record_failure(old, "", asked_at=asked_at, now=asked_at)
    new = old._replace(incarnation=2, tunnel_address="10.0.0.1:8")
    assert peers.candidates({"a-1": old}, endpoint("s"), 4.0, rng) == []
    assert peers.candidates({"a-1": new}, endpoint("s"), 4.0, rng) == [new]
    peers.record_failure(new, "", asked_at=4.0, now=4.0)
    assert peers.candidates({"a-1": new}, endpoint("s"), 5.0, rng) == [new]


def test_members_of_an_earlier_release_are_no_peers():
    """Guards against a host that asks a node which serves no tunnels."""
    old = decode_member("a-1", b'{"incarnation": 1, "region": "west", "relay": "x:1"}')
    peers = TunnelPeers("a-0", "a", "west")
    assert peers.candidates({"a-1": old}, endpoint("s"), 0.0, random.Random(1)) == []
    new = members()["a-2"]
    assert decode_member("a-2", encode_member(new)) == new
