"""Tests of suspected parts of prompts that nodes share over relays and the store."""

import pytest
from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.relay_nodes import RelayNode, wait_for

from poplarfold._internal.core.fleet.prompt_suspects import BLOCKING_INCIDENTS
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole

NODES = 5
PARTS = "keyed.poplarfold.parts"
START_LIMIT_S = 10.0
# A part must be blocked everywhere within the 4 s in which the platform settles.
SHARE_LIMIT_S = 4.0


@pytest.fixture
def store():
    found = StoreStandIn()
    found.put("keyed.op", "config", configuration(version=7))
    entry = EndpointStandIn("i-1").entry("registry")
    found.put("keyed.servers", "i-1", entry)
    yield found
    found.stop()


@pytest.fixture
def nodes(store):
    found = [RelayNode(f"node-{n}", store).start() for n in range(NODES)]
    wait_for(lambda: all(node.routes_version() == 7 for node in found), START_LIMIT_S)
    wait_for(lambda: sum(node.link.is_relay() for node in found) == 2, START_LIMIT_S)
    yield found
    for node in found:
        node.stop()


def engine(number):
    return FleetEndpoint(
        f"i-{number}", 7, "llm", "127.0.0.1:1", "lhr-a",
        EndpointRole.DECODE, 4, False, 0.0,
    )  # fmt: skip


def crash_engines(node, part, count):
    """Let engines crash under a part, as the node's calls would find."""
    for number in range(count):
        node.guard.record_crash((part,), engine(number), node.fleet.clock())


def is_blocked(node, part):
    return node.guard.blocked_part((part,)) is not None


def crashes_at(node):
    states = [state for state in node.guard.states() if state.part == "bad0"]
    return states[0].crashes if states else ()


def test_crashes_that_different_nodes_see_add_up(nodes):
    """Guards against a part that no single node sees often enough to block it."""
    for number, node in enumerate(nodes[:BLOCKING_INCIDENTS]):
        node.guard.record_crash(("bad0",), engine(number), node.fleet.clock())
        following = nodes[number + 1]
        wait_for(
            lambda other=following, seen=number + 1: len(crashes_at(other)) == seen,
            SHARE_LIMIT_S,
        )
    wait_for(lambda: all(is_blocked(node, "bad0") for node in nodes), SHARE_LIMIT_S)
    sound_at = nodes[0].fleet.clock()
    nodes[0].guard.record_sound(("bad0",), sound_at)
    wait_for(lambda: not any(is_blocked(n, "bad0") for n in nodes), SHARE_LIMIT_S)


def test_blocked_part_outlives_all_nodes_that_know_it(store, nodes):
    """Guards against a part that crashes engines again after all nodes were killed."""
    crash_engines(nodes[0], "bad0", BLOCKING_INCIDENTS)
    wait_for(lambda: "bad0" in store.newest.get(PARTS, {}), SHARE_LIMIT_S)
    for node in nodes:
        node.stop()
    later = RelayNode("node-later", store).start()
    try:
        wait_for(lambda: is_blocked(later, "bad0"), START_LIMIT_S)
    finally:
        later.stop()


def test_part_that_is_cleared_at_once_is_not_stored(store, nodes):
    """Guards against calls to the store for parts that many sound prompts share."""
    crash_engines(nodes[0], "first", 1)
    nodes[0].guard.record_sound(("first",), nodes[0].fleet.clock())
    crash_engines(nodes[0], "bad0", BLOCKING_INCIDENTS)
    wait_for(lambda: "bad0" in store.newest.get(PARTS, {}), SHARE_LIMIT_S)
    assert "first" not in store.newest[PARTS]
