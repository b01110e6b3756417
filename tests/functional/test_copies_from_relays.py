"""Tests of who reads the copy from which a store comes back after an outage.

The relays of a region read it for all, also if that takes them long or if they notice
the return last.
"""

import time

import pytest
from result import Err
from tests.lib.platform_standin import EndpointStandIn
from tests.lib.relay_nodes import (
    START_LIMIT_S,
    configured_store,
    has_read_again,
    settled_nodes,
)
from tests.lib.waits import wait_until

from poplarfold._internal.core.fleet.directory import EXPIRY_GRACE_S
from poplarfold._internal.exceptions import StoreUnavailableError
from poplarfold._internal.platform.boot import Bounds

NODES = 8
# The bounds on the platform's pages.
BOUNDS = Bounds(apply_s=2.5, leaving_s=2.5)
AWAY_S = 4.0


@pytest.fixture
def store():
    with configured_store("i-1", "i-2") as found:
        yield found


@pytest.fixture
def region(store):
    """Nodes of one region that have known the store for a while, the relays first."""
    with settled_nodes(store, NODES, known_s=EXPIRY_GRACE_S, bounds=BOUNDS) as found:
        order = found[0].link.choice.order
        yield sorted(found, key=lambda node: order.index(node.name))


def readers_of_a_copy(store, region):
    """Let the store come back older after an outage; return who reads all records."""
    copy = store.copy()
    for node in region:
        node.store_calls.clear()
    store.mode = "busy"
    time.sleep(AWAY_S)
    store.return_to(copy)
    store.mode = "up"
    wait_until(lambda: all(has_read_again(store, n) for n in region), START_LIMIT_S)
    time.sleep(1.0)
    return [node.name for node in region if "newest" in node.store_calls]


def test_nodes_wait_for_relays_that_read_a_copy_slowly(store, region):
    """Guards against snapshots that all nodes read at once because the relays get
    theirs slowly, as from a store that many ask when it is back."""
    relays = region[:2]
    for node in relays:
        read = node.reader.read

        def read_slowly(topic, offset, wait_s, read=read):
            if offset is None:
                time.sleep(1.0)
            return read(topic, offset, wait_s)

        node.reader.read = read_slowly
    found = readers_of_a_copy(store, region)
    assert len(found) <= 3


def test_relays_learn_of_a_return_from_their_subscribers(store, region):
    """Guards against snapshots that all nodes read at once because the relays still
    pause after failed calls."""
    for node in region[:2]:
        node.reader.retry_pause_s = lambda: 3.0
    found = readers_of_a_copy(store, region)
    assert len(found) <= 3


def test_nodes_wait_for_relays_whose_calls_hang(store, region):
    """Guards against snapshots that all nodes read at once because calls of the relays
    hang when the store is back, as after a silent outage."""
    for node in region[:2]:
        read = node.reader.read

        def read_or_hang(topic, offset, wait_s, read=read):
            if store.mode == "up":
                return read(topic, offset, wait_s)
            wait_until(lambda: store.mode == "up", START_LIMIT_S)
            time.sleep(0.9)
            return Err(StoreUnavailableError("the call hung"))

        node.reader.read = read_or_hang
    found = readers_of_a_copy(store, region)
    assert len(found) <= 3


def test_copy_is_read_in_time_if_relays_only_say_that_they_read_it(store, region):
    """Guards against a leaving that takes effect too late: the relays read on and on,
    and nothing comes of it (DRAIN)."""
    for node in region[:2]:
        read = node.reader.read

        def read_without_end(topic, offset, wait_s, read=read):
            if offset is None:
                time.sleep(BOUNDS.leaving_s + 1.0)
            return read(topic, offset, wait_s)

        node.reader.read = read_without_end
    store.mode = "busy"
    time.sleep(AWAY_S)
    store.return_to(store.copy())
    store.mode = "up"
    leaving = EndpointStandIn("i-1")
    leaving.stop()
    entry = leaving.entry("registry", state="draining", seq=40)
    store.put("keyed.servers", "i-1", entry)
    wait_until(
        lambda: all(
            node.fleet.directory.endpoints["i-1"].is_leaving for node in region[2:]
        ),
        BOUNDS.leaving_s,
    )
