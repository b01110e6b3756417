"""Tests of what endpoints that peers do not reach say of these peers."""

import random

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.tunnel_peers import TunnelPeers
from poplarfold._internal.core.model import EndpointRole

ENDPOINT = FleetEndpoint(
    "i-1", 1, "registry", "10.0.1.1:80", "a", EndpointRole.SERVICE, 4, False, 0.0
)
OTHER = ENDPOINT._replace(endpoint_id="i-2", address="10.0.1.2:80")
MEMBERS = {
    f"{domain}-{number}": Member(
        f"{domain}-{number}", 1, region, None, 0.0, domain, f"10.0.0.{number}:7"
    )
    for domain, region in (("a", "west"), ("b", "west"), ("c", "west"), ("d", "east"))
    for number in range(3)
}


def order(peers, endpoint=ENDPOINT, now=1.0, members=MEMBERS):
    """Return the hosts in the order in which they are asked for an endpoint."""
    return [
        row.host for row in peers.candidates(members, endpoint, now, random.Random(1))
    ]


def test_far_peers_are_asked_once_no_near_one_has_reached_an_endpoint():
    """Guards against a region whose hosts have all lost their links, and ask only each
    other, since nobody has told them so and each failed question is forgotten."""
    peers = TunnelPeers("a-0", "a", "west")
    for host in ("a-1", "b-1", "c-1"):
        peers.record_missed(MEMBERS[host], ENDPOINT, 0.0)
    found = order(peers, now=9.0)
    assert {host[0] for host in found[:3]} == {"d"}
    assert set(found[-3:]) == {"a-1", "b-1", "c-1"}
    assert order(peers, now=11.0)[0].startswith("a")


def test_peers_that_miss_one_endpoint_are_asked_for_others_as_before():
    """Guards against peers of another region, or none, for a whole service since one of
    its endpoints is down."""
    peers = TunnelPeers("a-0", "a", "west")
    for member in MEMBERS.values():
        peers.record_missed(member, ENDPOINT, 0.0)
    assert len(order(peers)) == len(MEMBERS) - 1
    domains = [host[0] for host in order(peers, OTHER)]
    assert domains[:2] == ["a"] * 2 and domains[-3:] == ["d"] * 3


def test_what_peers_missed_is_forgotten_with_a_success_or_a_new_process():
    """Guards against peers that are asked last for an endpoint which is back."""
    peers = TunnelPeers("a-0", "a", "west")
    first, second = MEMBERS["a-1"], MEMBERS["a-2"]
    for member in (first, second):
        peers.record_missed(member, ENDPOINT, 0.0)
    near = {"a-1": first, "a-2": second}
    peers.record_success(second, ENDPOINT)
    assert order(peers, members=near) == ["a-2", "a-1"]
    peers.record_missed(second, ENDPOINT, 0.0)
    near["a-1"] = first._replace(incarnation=2)
    assert order(peers, members=near) == ["a-1", "a-2"]
    restarted = ENDPOINT._replace(incarnation=2)
    assert order(peers, restarted, members=near) == order(peers, OTHER, members=near)


def test_what_peers_missed_is_kept_for_a_while_only():
    """Guards against memory that grows with all endpoints that were ever down."""
    peers = TunnelPeers("a-0", "a", "west")
    for number in range(1000):
        endpoint = ENDPOINT._replace(endpoint_id=f"i-{number}")
        peers.record_missed(MEMBERS["a-1"], endpoint, float(number))
        order(peers, now=float(number))
    assert len(peers.missed) <= 10
