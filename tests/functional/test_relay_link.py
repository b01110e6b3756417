"""Tests of nodes that follow a store over relays, on loopback."""

import asyncio
import time

import pytest
from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.relay_nodes import BOUNDS, RelayNode, wait_for
from websockets.asyncio.client import connect

from poplarfold._internal.core.fleet.directory import EXPIRY_GRACE_S
from poplarfold._internal.platform import StoreTopic

NODES = 8
START_LIMIT_S = 10.0


@pytest.fixture
def store():
    found = StoreStandIn()
    found.put("keyed.op", "config", configuration(version=7))
    endpoint = EndpointStandIn("i-1")
    found.put("keyed.servers", "i-1", endpoint.entry("registry"))
    yield found
    found.stop()


@pytest.fixture
def nodes(store):
    """Nodes of one region that have settled on two relays."""
    found = [RelayNode(f"node-{n}", store).start() for n in range(NODES)]
    wait_for(lambda: all(node.routes_version() == 7 for node in found), START_LIMIT_S)
    wait_for(lambda: len(readers(found)) == 2, START_LIMIT_S)
    yield found
    for node in found:
        node.stop()


def readers(nodes):
    return [node for node in nodes if node.link.is_relay()]


def followers(nodes):
    return [node for node in nodes if not node.link.is_relay()]


def test_followers_make_no_calls_to_the_store(store, nodes):
    """Guards against store calls of each node, which are priced and limited.

    Changes reach the followers in less than half of the time allowed.
    """
    # Deletions shortly after a node's start may be entries that expired in an outage.
    time.sleep(EXPIRY_GRACE_S)
    before = {node.name: len(node.store_calls) for node in nodes}
    store.put("keyed.op", "config", configuration(version=8))
    took_s = wait_for(lambda: all(n.routes_version() == 8 for n in nodes), 5.0)
    assert took_s < BOUNDS.apply_s / 2
    store.put("keyed.servers", "i-2", EndpointStandIn("i-2").entry("registry"))
    store.put("keyed.servers", "i-1", None)
    wait_for(lambda: all(n.endpoint_ids() == {"i-2"} for n in nodes), BOUNDS.leaving_s)
    time.sleep(2 * BOUNDS.leaving_s)
    for node in followers(nodes):
        assert len(node.store_calls) == before[node.name]


def test_changes_arrive_after_a_relay_has_died(store, nodes):
    """Guards against followers that depend on a single relay."""
    readers(nodes)[0].stop()
    store.put("keyed.op", "config", configuration(version=8))
    living = [node for node in nodes if not node.reader.stopping.is_set()]
    wait_for(lambda: all(n.routes_version() == 8 for n in living), BOUNDS.apply_s)


def test_changes_arrive_after_both_relays_have_died(store, nodes):
    """Guards against followers that wait for relays which are gone."""
    for node in readers(nodes):
        node.stop()
    store.put("keyed.op", "config", configuration(version=8))
    living = [node for node in nodes if not node.reader.stopping.is_set()]
    wait_for(lambda: all(n.routes_version() == 8 for n in living), BOUNDS.apply_s)
    wait_for(lambda: len(readers(living)) == 2, START_LIMIT_S)


def test_changes_arrive_although_both_relays_are_frozen(store, nodes):
    """Guards against followers of relays whose connections are open but silent."""
    for node in readers(nodes):
        node.reader.stopping.set()
        node.link.publish = lambda topic, batch, read_at: None
    store.put("keyed.op", "config", configuration(version=8))
    living = [node for node in nodes if not node.reader.stopping.is_set()]
    wait_for(lambda: all(n.routes_version() == 8 for n in living), BOUNDS.apply_s + 0.5)


def test_relay_never_sends_an_older_configuration(store, nodes):
    """Guards against a late relay that reverts a configuration."""
    follower = followers(nodes)[0]
    store.put("keyed.op", "config", configuration(version=9))
    wait_for(lambda: follower.routes_version() == 9, BOUNDS.apply_s)
    relay = readers(nodes)[0]
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
    wait_for(lambda: all(n.routes_version() == 8 for n in nodes), 2 * BOUNDS.apply_s)
    wait_for(lambda: len(readers(nodes)) == 2, 60.0)


def test_old_records_of_a_relay_do_not_end_an_outage(store, nodes):
    """Guards against a store that counts as reachable because a relay without access
    to it has sent its last known records to a new subscriber."""
    node = followers(nodes)[0]
    store.mode = "busy"
    wait_for(lambda: not node.fleet.directory.is_store_up, 3 * BOUNDS.leaving_s)
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
    relay = readers(nodes)[0]

    async def send():
        async with connect(f"ws://{relay.link.me.address}/", proxy=None) as connection:
            await connection.send(payload)
            await connection.wait_closed()

    asyncio.run(asyncio.wait_for(send(), 5.0))
    before = relay.state.current_at[next(iter(relay.state.views))]
    wait_for(
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
    wait_for(lambda: count_logged(follower, "PF9002") >= 2, 5.0)
    time.sleep(2.0)
    lost = count_logged(follower, "PF6402")
    for row, method in zip(failing, usual, strict=True):
        setattr(*row, method)
    assert lost < 8
    store.put("keyed.op", "config", configuration(version=8))
    wait_for(lambda: follower.routes_version() == 8, BOUNDS.apply_s)


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
    wait_for(lambda: all(is_learned(node) for node in nodes), 5.0)


def node_endpoint(node):
    return next(iter(node.fleet.directory.endpoints.values()))


def is_learned(node):
    with node.fleet.lock:
        return node.fleet.cost.is_learned
