"""Tests of suspected parts of prompts that nodes share over relays and the store."""

import itertools
import time

import pytest
from tests.lib.relay_nodes import (
    START_LIMIT_S,
    RelayNode,
    configured_store,
    settled_nodes,
)
from tests.lib.waits import wait_until

from poplarfold._internal.core.fleet.prompt_suspects import (
    BLOCKING_INCIDENTS,
    TEST_PERIOD_S,
)
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import PromptBlockedError

NODES = 5
PARTS = "keyed.poplarfold.parts"
# A part must be blocked everywhere within the 4 s in which the platform settles.
SHARE_LIMIT_S = 4.0
# A wrong block ends within twice that time.
WRONG_BLOCK_S = 8.0


@pytest.fixture
def store():
    with configured_store("i-1") as found:
        yield found


@pytest.fixture
def nodes(store):
    with settled_nodes(store, NODES) as found:
        yield found


def engine(number):
    return FleetEndpoint(
        f"i-{number}", 7, "llm", "127.0.0.1:1", "lhr-a",
        EndpointRole.DECODE, 4, False, 0.0,
    )  # fmt: skip


def crash_engines(node, *parts, count=BLOCKING_INCIDENTS):
    """Let engines crash under some parts, as the node's calls would find."""
    for number in range(count):
        node.guard.record_crash(parts, engine(number), node.fleet.clock())


def begins_test(node, *parts):
    """Return whether a request at a node is let through to test a blocked part."""
    try:
        return node.guard.check(parts)
    except PromptBlockedError:
        return False


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
        wait_until(
            lambda other=following, seen=number + 1: len(crashes_at(other)) == seen,
            SHARE_LIMIT_S,
        )
    wait_until(lambda: all(is_blocked(node, "bad0") for node in nodes), SHARE_LIMIT_S)
    sound_at = nodes[0].fleet.clock()
    nodes[0].guard.record_sound(("bad0",), sound_at)
    wait_until(lambda: not any(is_blocked(n, "bad0") for n in nodes), SHARE_LIMIT_S)


def test_blocked_part_outlives_all_nodes_that_know_it(store, nodes):
    """Guards against a part that crashes engines again after all nodes were killed."""
    crash_engines(nodes[0], "bad0")
    wait_until(lambda: "bad0" in store.newest.get(PARTS, {}), SHARE_LIMIT_S)
    for node in nodes:
        node.stop()
    later = RelayNode("node-later", store).start()
    try:
        wait_until(lambda: is_blocked(later, "bad0"), START_LIMIT_S)
    finally:
        later.stop()


def test_part_that_is_cleared_at_once_is_not_stored(store, nodes):
    """Guards against calls to the store for parts that many sound prompts share."""
    crash_engines(nodes[0], "first", count=1)
    nodes[0].guard.record_sound(("first",), nodes[0].fleet.clock())
    crash_engines(nodes[0], "bad0")
    wait_until(lambda: "bad0" in store.newest.get(PARTS, {}), SHARE_LIMIT_S)
    assert "first" not in store.newest[PARTS]


@pytest.mark.parametrize("number", range(NODES))
def test_wrong_block_is_tested_at_any_node(nodes, number):
    """Guards against a block that never ends since the only node which may test it gets
    no sound requests: a caller's connection stays with its node."""
    crash_engines(nodes[0], "bad0", "tools")
    wait_until(lambda: all(is_blocked(node, "tools") for node in nodes), SHARE_LIMIT_S)
    node = nodes[number]
    wait_until(lambda: begins_test(node, "usual", "tools"), WRONG_BLOCK_S)
    node.guard.record_sound(("usual", "tools"), node.fleet.clock())
    wait_until(lambda: not any(is_blocked(n, "tools") for n in nodes), SHARE_LIMIT_S)
    assert all(is_blocked(node, "bad0") for node in nodes)


def test_nodes_test_a_block_one_after_the_other(nodes):
    """Guards against tests of a right block that each cost an engine at all nodes."""
    crash_engines(nodes[0], "bad0", "tools")
    wait_until(lambda: all(is_blocked(node, "tools") for node in nodes), SHARE_LIMIT_S)
    began_at = []
    ends_at = nodes[0].fleet.clock() + WRONG_BLOCK_S
    while nodes[0].fleet.clock() < ends_at:
        for node in nodes:
            if begins_test(node, "usual", "tools"):
                began_at.append(node.fleet.clock())
        time.sleep(0.01)
    assert len(began_at) >= 2
    pauses = [later - at for at, later in itertools.pairwise(began_at)]
    # The clock is read again after the decision.
    assert min(pauses) >= TEST_PERIOD_S - 0.05
