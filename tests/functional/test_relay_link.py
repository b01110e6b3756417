"""Tests of nodes that follow a store over relays, on loopback."""

import asyncio
import collections
import time

import pytest
from tests.lib.platform_standin import EndpointStandIn, configuration
from tests.lib.relay_nodes import (
    BOUNDS,
    START_LIMIT_S,
    RelayNode,
    configured_store,
    followers,
    relays,
    settled_nodes,
)
from tests.lib.waits import wait_until
from websockets.asyncio.client import connect

from poplarfold._internal.core.fleet.directory import EXPIRY_GRACE_S
from poplarfold._internal.core.fleet.prompt_suspects import EngineKey, PartState
from poplarfold._internal.gateway import relay_link, store_reader
from poplarfold._internal.gateway.part_records import encode_part_state
from poplarfold._internal.platform import StoreTopic

NODES = 8


@pytest.fixture
def store():
    with configured_store("i-1") as found:
        yield found


@pytest.fixture
def nodes(store):
    with settled_nodes(store, NODES) as found:
        yield found


def test_nodes_that_start_together_learn_routes_without_periodic_checks(
    store, monkeypatch
):
    """Guards against a start that waits for the next check of who reads the store."""
    monkeypatch.setattr(relay_link, "CHOICE_PERIOD_S", 30.0)
    monkeypatch.setattr(store_reader, "CHECK_PERIOD_S", 30.0)
    found = [RelayNode(f"node-{n}", store).start() for n in range(NODES)]
    try:
        wait_until(
            lambda: all(
                node.routes_version() == 7 and node.endpoint_ids() for node in found
            ),
            START_LIMIT_S,
        )
    finally:
        for node in found:
            node.stop()


def test_followers_make_no_calls_to_the_store(store, nodes):
    """Guards against store calls of each node, which are priced and limited.

    Changes reach the followers in less than half of the time allowed.
    """
    # Deletions shortly after a node's start may be entries that expired in an outage.
    # A node that took itself for a relay at first may still wait for an answer.
    time.sleep(max(EXPIRY_GRACE_S, store_reader.PART_WAIT_S + 0.5))
    before = {node.name: len(node.store_calls) for node in nodes}
    store.put("keyed.op", "config", configuration(version=8))
    took_s = wait_until(lambda: all(n.routes_version() == 8 for n in nodes), 5.0)
    assert took_s < BOUNDS.apply_s / 2
    endpoint = EndpointStandIn("i-2")
    endpoint.stop()
    store.put("keyed.servers", "i-2", endpoint.entry("registry"))
    store.put("keyed.servers", "i-1", None)
    wait_until(
        lambda: all(n.endpoint_ids() == {"i-2"} for n in nodes), BOUNDS.leaving_s
    )
    time.sleep(2 * BOUNDS.leaving_s)
    for node in followers(nodes):
        assert len(node.store_calls) == before[node.name]


def test_changes_arrive_after_a_relay_has_died(store, nodes):
    """Guards against followers that depend on a single relay."""
    relays(nodes)[0].stop()
    store.put("keyed.op", "config", configuration(version=8))
    living = [node for node in nodes if not node.reader.stopping.is_set()]
    wait_until(lambda: all(n.routes_version() == 8 for n in living), BOUNDS.apply_s)


def test_changes_arrive_after_both_relays_have_died(store, nodes):
    """Guards against followers that wait for relays which are gone."""
    for node in relays(nodes):
        node.stop()
    store.put("keyed.op", "config", configuration(version=8))
    living = [node for node in nodes if not node.reader.stopping.is_set()]
    wait_until(lambda: all(n.routes_version() == 8 for n in living), BOUNDS.apply_s)
    wait_until(lambda: len(relays(living)) == 2, START_LIMIT_S)


def test_changes_arrive_although_both_relays_are_frozen(store, nodes):
    """Guards against followers of relays whose connections are open but silent."""
    for node in relays(nodes):
        node.reader.stopping.set()
        node.link.publish = lambda topic, batch, read_at: None
    store.put("keyed.op", "config", configuration(version=8))
    living = [node for node in nodes if not node.reader.stopping.is_set()]
    wait_until(
        lambda: all(n.routes_version() == 8 for n in living), BOUNDS.apply_s + 0.5
    )


def test_relay_never_sends_an_older_configuration(store, nodes):
    """Guards against a late relay that reverts a configuration."""
    follower = followers(nodes)[0]
    store.put("keyed.op", "config", configuration(version=9))
    wait_until(lambda: follower.routes_version() == 9, BOUNDS.apply_s)
    relay = relays(nodes)[0]
    snapshot = relay.state.views[StoreTopic.ROUTES].snapshot()
    value = configuration(version=8)
    old = tuple(row._replace(value=value) for row in snapshot.records)
    read_at = relay.state.current_at[StoreTopic.ROUTES]
    relay.link.publish(StoreTopic.ROUTES, snapshot._replace(records=old), read_at)
    time.sleep(0.3)
    assert follower.routes_version() == 9


@pytest.mark.parametrize("mode", ["busy", "silent"])
def test_outage_of_the_store_keeps_calls_few_and_ends(store, nodes, mode):
    """Guards against nodes that all fall upon a store which has trouble.

    Each node tries for itself, since the store may refuse only some nodes.
    """
    store.mode = mode
    time.sleep(2 * BOUNDS.apply_s)
    before = sum(len(node.store_calls) for node in nodes)
    time.sleep(2.0)
    calls_per_s = (sum(len(node.store_calls) for node in nodes) - before) / 2.0
    assert calls_per_s <= 8 * NODES
    assert all(node.endpoint_ids() == {"i-1"} for node in nodes)
    store.mode = "up"
    store.put("keyed.op", "config", configuration(version=8))
    wait_until(lambda: all(n.routes_version() == 8 for n in nodes), 2 * BOUNDS.apply_s)
    wait_until(lambda: len(relays(nodes)) == 2, 60.0)


@pytest.mark.parametrize("mode", ["busy", "reset"])
def test_relays_read_little_else_during_an_outage(store, nodes, mode, monkeypatch):
    """Guards against an outage in which many nodes become relays in turn, and each of
    them asks for all topics at once, so that only chance bounds their calls."""
    reads = []
    read = store_reader.StoreReader.read

    def record_read(self, topic, *given):
        reads.append((self, topic))
        return read(self, topic, *given)

    monkeypatch.setattr(store_reader.StoreReader, "read", record_read)
    store.mode = mode
    time.sleep(2 * BOUNDS.apply_s)
    reads.clear()
    window_s = 4.0
    time.sleep(window_s)
    counts = collections.Counter(reads)
    pause_s = {
        topic: 0.75 * store_reader.RELAY_TOPIC_RETRY_S
        if topic in store_reader.RELAY_TOPICS
        else 0.75 * store_reader.READ_RETRY_S
        for topic in StoreTopic
    }
    for (_, topic), count in counts.items():
        # A node that becomes a relay begins with one read, and repeats it at once.
        assert count <= window_s / pause_s[topic] + 2, topic
    store.mode = "up"
    state = PartState("bad", 0, 0, 0, 1, (EngineKey("i-1", 7),))
    store.put("keyed.poplarfold.parts", "bad", encode_part_state(state))
    wait_until(
        lambda: all(state in node.guard.states() for node in nodes),
        2 * BOUNDS.apply_s,
    )


def test_nodes_do_not_read_all_records_again_after_an_outage(store, nodes):
    """Guards against a burst of snapshots from all nodes at the end of an outage: what
    their relays had sent is known, and only later records are missing."""
    found = followers(nodes)
    assert found
    for node in found:
        node.store_calls.clear()
    store.mode = "busy"
    time.sleep(3.0)
    store.mode = "up"
    time.sleep(3.0)
    calls = [kind for node in found for kind in node.store_calls]
    assert "read" in calls
    assert "newest" not in calls


def test_old_records_of_a_relay_do_not_end_an_outage(store, nodes):
    """Guards against a store that counts as reachable because a relay without access
    to it has sent its last known records to a new subscriber."""
    node = followers(nodes)[0]
    store.mode = "busy"
    wait_until(lambda: not node.fleet.directory.is_store_up, 3 * BOUNDS.leaving_s)
    topic = StoreTopic.ENDPOINTS
    message = node.state.message_for(topic, None)
    read_at = node.fleet.clock() - BOUNDS.leaving_s
    assert node.state.apply(topic, message.batch(), read_at, "relay")
    assert not node.fleet.directory.is_store_up
    assert node.state.apply(topic, message.batch(), read_at + BOUNDS.leaving_s, "relay")
    assert node.fleet.directory.is_store_up


@pytest.mark.parametrize("payload", [b"", b"\xff" * 1000, "text", b"\xa1atiSubscribe"])
def test_malformed_subscriber_is_disconnected(nodes, payload):
    """Guards against a peer whose bytes end the link, and with it all followers."""
    relay = relays(nodes)[0]

    async def send():
        async with connect(f"ws://{relay.link.me.address}/", proxy=None) as connection:
            await connection.send(payload)
            await connection.wait_closed()

    asyncio.run(asyncio.wait_for(send(), 5.0))
    before = relay.state.current_at[next(iter(relay.state.views))]
    wait_until(
        lambda: relay.state.current_at[next(iter(relay.state.views))] > before, 3.0
    )


def test_unexpected_error_leaves_the_link_running(store, nodes):
    """Guards against a node that follows nothing any more after one error, or that
    connects to the same relay again and again."""
    follower = followers(nodes)[0]
    failing = [follower.state, "drop_expired"], [follower.guard, "merge"]
    usual = [getattr(*row) for row in failing]

    def fail(*arguments):
        raise RuntimeError("unexpected")

    for row in failing:
        setattr(*row, fail)
    for row in follower.link.choice.order:
        # Ends the subscriptions, so that new ones begin with the states of parts.
        follower.link.choice.record_failure(row, follower.fleet.clock())
    wait_until(lambda: count_logged(follower, "PF9002") >= 2, 5.0)
    time.sleep(2.0)
    lost = count_logged(follower, "PF6402")
    for row, method in zip(failing, usual, strict=True):
        setattr(*row, method)
    assert lost < 8
    store.put("keyed.op", "config", configuration(version=8))
    wait_until(lambda: follower.routes_version() == 8, BOUNDS.apply_s)


def count_logged(node, number):
    return [row[0] for row in node.logged].count(number)


def test_nodes_learn_the_cost_of_streams_from_each_other(nodes):
    """Guards against large fleets in which no node sees enough streams to learn."""
    for node in nodes:
        for _ in range(3):
            node.fleet.record_prefill_time(
                node_endpoint(node), seconds=0.1, tokens=5000
            )
            node.fleet.record_stream(3.0, 9000, 70, 70, 100)
    wait_until(lambda: all(is_learned(node) for node in nodes), 5.0)


def node_endpoint(node):
    return next(iter(node.fleet.directory.endpoints.values()))


def is_learned(node):
    with node.fleet.lock:
        return node.fleet.cost.is_learned
