"""Tests of pauses that double with each failure in a row."""

import pytest

from poplarfold._internal.core.fleet.endpoint_paths import EndpointPaths
from poplarfold._internal.core.fleet.endpoint_stats import EndpointStatsTable
from poplarfold._internal.core.fleet.relays import Member, RelayChoice
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.tunnel_peers import TunnelPeers
from poplarfold._internal.core.model import EndpointRole

# More than the doublings that a float can hold.
FAILURES = 1100
PERIOD_S = 100.0
PEER = Member("b", 1, "lahore", "10.0.0.2:1", 0.0, "lhr-a", "10.0.0.2:2")


def relay_fails():
    choice = RelayChoice("a", "lahore")
    choice.update({"b": PEER})
    yield lambda now: choice.record_failure("b", now)
    assert choice.relays(FAILURES * PERIOD_S) == [PEER]


def peer_fails():
    peers = TunnelPeers("a", "lhr-a", "lahore")
    yield lambda now: peers.record_failure(PEER, "", asked_at=now, now=now)
    assert peers.unavailable["b", ""].pause.failures == FAILURES


def endpoint_is_unreached():
    paths = EndpointPaths()
    yield lambda now: paths.record_unreached("a:1", now, is_sure=True, now=now)
    assert paths.may_ask("a:1", FAILURES * PERIOD_S)


def endpoint_does_not_answer():
    endpoint = FleetEndpoint(
        "i-1", 1, "llm", "10.0.0.1:80", "lhr-a", EndpointRole.DECODE, 4, False, 0.0
    )
    stats = EndpointStatsTable()
    yield lambda now: stats.start_cooldown(endpoint, now)
    assert stats.get(endpoint).cooldowns == FAILURES


@pytest.mark.parametrize(
    "case",
    [relay_fails, peer_fails, endpoint_is_unreached, endpoint_does_not_answer],
)
def test_failures_are_counted_for_hours(case):
    """Guards against calls that fail with an unexpected error, as the pause after the
    1,025th failure in a row is more than a float can hold."""
    play = case()
    fail = next(play)
    for number in range(FAILURES):
        fail(PERIOD_S * number)
    assert next(play, None) is None
