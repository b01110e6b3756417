"""Tests of when nodes write their records after an outage of the store, on loopback."""

import time

import pytest
from tests.lib.relay_nodes import START_LIMIT_S, RelayNode, configured_store
from tests.lib.waits import wait_until

from poplarfold._internal.gateway import announcer
from poplarfold._internal.gateway.settings import GatewaySettings

NODES = 4
AWAY_S = 2.5
TOPIC = "keyed.poplarfold.nodes"
# A failed announcement is not repeated within the tests unless something ends the
# pause after it.
LONG_RETRY_S = 40.0
# Reads that hang end after 1.6 s at most and are retried within 0.5 s, and the spread
# is 1.6 s for nodes that know no others. The rest is for a busy machine.
ANNOUNCED_LIMIT_S = 6.0
MODES = ["busy", "reset", "silent"]


@pytest.fixture
def store():
    with configured_store("i-1") as found:
        yield found


@pytest.fixture
def nodes(store):
    found = []
    yield found
    for node in found:
        node.stop()


def start(store, nodes, names, settings=None):
    """Start nodes that are ended with the test."""
    started = [RelayNode(name, store, settings) for name in names]
    nodes += started
    for node in started:
        node.start()
    return started


def has_failed(node):
    return any(number == "PF6302" for number, _ in node.logged)


@pytest.mark.parametrize("mode", MODES)
def test_nodes_that_start_in_an_outage_are_known_to_others_soon_after_it(
    store, nodes, mode, monkeypatch
):
    """Guards against a host that is unknown to its peers for seconds after an outage,
    while hosts without links to endpoints need it as a peer."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", LONG_RETRY_S)
    settled = start(store, nodes, ["node-0", "node-1"])
    wait_until(lambda: len(store.newest.get(TOPIC, {})) == 2, START_LIMIT_S)
    store.mode = mode
    late = start(store, nodes, [f"late-{n}" for n in range(NODES)])
    time.sleep(AWAY_S)
    wait_until(lambda: all(has_failed(node) for node in late), START_LIMIT_S)
    store.mode = "up"
    everyone = {node.name for node in nodes}
    wait_until(lambda: set(store.newest[TOPIC]) == everyone, ANNOUNCED_LIMIT_S)
    # Relays read the nodes every three seconds.
    wait_until(
        lambda: all(set(n.link.choice.members) == everyone for n in settled), 6.0
    )


@pytest.mark.parametrize("mode", MODES)
def test_node_whose_renewal_failed_is_announced_soon_after_the_outage(
    store, nodes, mode, monkeypatch
):
    """Guards against a renewal that waits for its pause although the store answers."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", LONG_RETRY_S)
    monkeypatch.setattr(announcer, "ANNOUNCE_PERIOD_S", 1.0)
    started = start(store, nodes, [f"node-{n}" for n in range(NODES)])
    wait_until(lambda: len(store.newest.get(TOPIC, {})) == NODES, START_LIMIT_S)
    store.mode = mode
    wait_until(lambda: all(has_failed(node) for node in started), START_LIMIT_S)
    writes = {node.name: node.store_calls.count("append") for node in started}
    time.sleep(AWAY_S)
    monkeypatch.setattr(announcer, "ANNOUNCE_PERIOD_S", LONG_RETRY_S)
    assert writes == {n.name: n.store_calls.count("append") for n in started}
    store.mode = "up"
    wait_until(
        lambda: all(n.store_calls.count("append") > writes[n.name] for n in started),
        ANNOUNCED_LIMIT_S,
    )


def test_nodes_that_start_in_an_outage_do_not_write_at_one_moment(
    store, nodes, monkeypatch
):
    """Guards against hundreds of writes at the moment of the store's return: nodes that
    have just started know no others, and assume a large fleet."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", LONG_RETRY_S)
    store.mode = "busy"
    names = [f"late-{n}" for n in range(12)]
    settings = GatewaySettings(unknown_nodes=1000)
    started = start(store, nodes, names, settings)
    wait_until(lambda: all(has_failed(node) for node in started), START_LIMIT_S)
    store.mode = "up"
    seen = []

    def has_seen_all():
        known = set(store.newest.get(TOPIC, {}))
        seen.extend(time.monotonic() for _ in range(len(known) - len(seen)))
        return len(seen) == len(names)

    wait_until(has_seen_all, START_LIMIT_S)
    # Four seconds for 1,000 nodes; twelve are within 1 s once in 100,000 runs.
    assert seen[-1] - seen[0] > 1.0
