"""Tests of changes that must be in force on all nodes in time, whatever relays do."""

import asyncio
import contextlib
import json
import time

import pytest
from result import Err
from tests.lib.platform_standin import configuration, route
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
from poplarfold._internal.core.fleet.keyed_view import TopicBatch, ViewRecord
from poplarfold._internal.core.fleet.relay_messages import (
    Subscribe,
    TopicRecords,
    pack,
    unpack,
)
from poplarfold._internal.exceptions import StoreUnavailableError
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.platform import StoreTopic

NODES = 6
# How long a node may take to notice that a time has passed.
NOTICE_S = 0.5
# By how much the delay of messages grows each second.
DELAY_RISE = 0.6


@pytest.fixture
def store():
    with configured_store("i-1", "i-2") as found:
        yield found


def started_nodes(store, count=NODES, settings=None):
    """Run nodes that have known the store for longer than an outage lasts."""
    return settled_nodes(store, count, settings, EXPIRY_GRACE_S)


@pytest.fixture
def nodes(store):
    with started_nodes(store) as found:
        yield found


@pytest.fixture
def node(store):
    with started_nodes(store, 1) as (found,):
        yield found


def test_change_that_comes_during_a_subscription_is_sent(node):
    """Guards against a change between the first records and the subscription."""
    added = ViewRecord("i-9", b"{}", 900)
    message_for = node.state.message_for

    def message_before_a_change(topic, known_end):
        message = message_for(topic, known_end)
        if topic is StoreTopic.ENDPOINTS and known_end is None:
            batch = TopicBatch((added,), message.end, 901, era=message.era)
            node.state.apply(topic, batch, node.fleet.clock())
        return message

    async def received_keys():
        found = []
        async with connect(f"ws://{node.link.me.address}/", proxy=None) as connection:
            await connection.send(pack(Subscribe("node-9", 1, node.name, 0.0)))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(NOTICE_S):
                    while True:
                        message = unpack(await connection.recv()).unwrap()
                        if isinstance(message, TopicRecords):
                            found += [record.key for record in message.records]
        return found

    node.state.message_for = message_before_a_change
    assert "i-9" in asyncio.run(received_keys())


def lose_store(node):
    """Make a node believe that the store did not answer until now."""
    with node.fleet.lock:
        node.fleet.directory.set_store_status(False, node.fleet.clock())


def has_logged(node, number):
    return any(row[0] == number for row in node.logged)


def delete_while_relays_hold(store, nodes):
    """Delete i-1 while the relays take its deletion for the end of an outage."""
    for node in relays(nodes):
        lose_store(node)
    store.put("keyed.servers", "i-1", None)
    wait_until(
        lambda: all(has_logged(node, "PF7108") for node in relays(nodes)),
        BOUNDS.leaving_s,
    )


def test_deletion_that_relays_hold_back_outlives_them(store, nodes):
    """Guards against followers that skip a deletion which their relays kept back."""
    readers = relays(nodes)
    living = followers(nodes)
    delete_while_relays_hold(store, nodes)
    for node in readers:
        node.stop()
    wait_until(
        lambda: all(node.endpoint_ids() == {"i-2"} for node in living),
        BOUNDS.leaving_s,
    )


def test_node_that_joins_during_a_held_deletion_learns_it(store, nodes):
    """Guards against a snapshot that gives an old entry the offset of its deletion."""
    delete_while_relays_hold(store, nodes)
    joined = RelayNode("node-joined", store).start()
    try:
        wait_until(lambda: joined.endpoint_ids() != set(), START_LIMIT_S)
        limit_s = EXPIRY_GRACE_S + BOUNDS.leaving_s
        wait_until(lambda: joined.endpoint_ids() == {"i-2"}, limit_s)
    finally:
        joined.stop()


def test_held_deletion_takes_effect_without_further_records(store):
    """Guards against a deletion that waits for the next read after its time is over."""
    with started_nodes(store, 1, GatewaySettings(endpoint_poll_share=2.0)) as (node,):
        lose_store(node)
        store.put("keyed.servers", "i-1", None)
        wait_until(lambda: has_logged(node, "PF7108"), 4 * BOUNDS.leaving_s)
        wait_until(lambda: node.endpoint_ids() == {"i-2"}, EXPIRY_GRACE_S + NOTICE_S)


def odd_entries(entry):
    """Return entries of another writer, made from one of an endpoint."""
    fields = json.loads(entry)
    huge = int("9" * 400)
    changes = ({"cold_left_ms": huge}, {"slots": huge}, {"address": "127.0.0.1:99999"})
    changed = [json.dumps({**fields, **change}).encode() for change in changes]
    return [b"\xff{", b"[" * 100_000, *changed]


def test_odd_entries_hide_no_removal_and_end_no_thread(store, nodes):
    """Guards against nodes that lose what they have read with an entry of another
    writer, or that stop reading."""
    entry = store.newest["keyed.servers"]["i-2"]
    for number in range(3):
        for odd in odd_entries(entry):
            store.put("keyed.servers", f"odd-{number}", odd)
        store.put("keyed.servers", f"new-{number}", entry)
        store.put("keyed.servers", "i-1" if number == 0 else f"new-{number - 1}", None)
        expected = {"i-2", f"new-{number}"}
        wait_until(
            lambda: all(node.endpoint_ids() == expected for node in nodes),  # noqa: B023
            BOUNDS.leaving_s,
        )
    assert not any(has_logged(node, "PF9002") for node in nodes)


def delay_messages(node, limit_s):
    """Delay the messages of a relay, slowly rising so that they never stop."""
    link, send, began_at = node.link, node.link._broadcast, time.monotonic()

    def send_later(data):
        delay_s = DELAY_RISE * (time.monotonic() - began_at)
        link.loop.call_later(min(limit_s, delay_s), send, data)

    link._broadcast = send_later


def test_records_that_waited_on_the_way_do_not_count_as_fresh(store, nodes):
    """Guards against followers that trust a slow link instead of reading the store."""
    delay_s = 1.5 * BOUNDS.apply_s
    for node in relays(nodes):
        delay_messages(node, delay_s)
    time.sleep(delay_s / DELAY_RISE + delay_s)
    store.put("keyed.op", "config", configuration(version=8))
    wait_until(
        lambda: all(node.routes_version() == 8 for node in nodes), BOUNDS.apply_s
    )


def refuse(node):
    """Let the store refuse all reads of a node."""
    refused = Err(StoreUnavailableError("the store refuses this node"))
    node.reader.store.read_from = lambda *arguments: refused
    node.reader.store.read_newest = lambda *arguments: refused


def test_nodes_that_the_store_refuses_learn_from_others(store, nodes):
    """Guards against nodes that stay with relays which cannot read the store either.

    The store refuses both relays and the two nodes that would come next.
    """
    order = nodes[0].link.choice.order
    for node in nodes:
        if order.index(node.name) < 4:
            refuse(node)
    # Reads that wait for a record end first.
    time.sleep(GatewaySettings().route_wait_share * BOUNDS.apply_s)
    store.put("keyed.op", "config", configuration(version=8))
    served = [node for node in nodes if order.index(node.name) >= 4]
    wait_until(lambda: all(n.routes_version() == 8 for n in served), BOUNDS.apply_s)
    # An unstable store stretches the bound of configurations.
    wait_until(lambda: all(n.routes_version() == 8 for n in nodes), BOUNDS.apply_s)


def test_configuration_that_takes_long_to_read_comes_into_force(store, node):
    """Guards against a time limit of a call below the time that its answer takes."""
    routes = [route(f"r-{n}", f"/r{n}/", "idempotent", "registry") for n in range(4000)]
    value = configuration(version=8, routes=routes)
    store.bytes_per_s = len(value) / (3 * GatewaySettings().store_call_s)
    store.put("keyed.op", "config", value)
    wait_until(lambda: node.routes_version() == 8, 15.0)
