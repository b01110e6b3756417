"""Tests of a store that comes back from an older copy, on loopback.

What was written since the copy is lost, offsets are given out again, and the header
``Store-Era`` rises. Operator and endpoints write again what they wrote.
"""

import json
import time
import urllib.request

import pytest
from result import Err
from tests.lib.platform_standin import (
    EndpointStandIn,
    Handler,
    configuration,
)
from tests.lib.relay_nodes import (
    BOUNDS,
    START_LIMIT_S,
    RelayNode,
    configured_store,
    has_read_again,
    settled_nodes,
)
from tests.lib.waits import wait_until

from poplarfold._internal.core.fleet.directory import EXPIRY_GRACE_S
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import StoreUnavailableError
from poplarfold._internal.gateway import store_reader
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.platform import StoreTopic
from poplarfold._internal.utils.rendezvous import rank_hosts

NODES = 4
REGION_NODES = 8
# How long the store is away before it comes back.
AWAY_S = 0.4
# Records of each endpoint that are lost with a return, and a later one's number.
LOST_RECORDS = 12
LATER_SEQ = 40
SERVERS = "keyed.servers"


def entry(endpoint_id, **changes):
    """Return the entry of an endpoint that nobody calls and that has ended."""
    endpoint = EndpointStandIn(endpoint_id)
    endpoint.stop()
    return endpoint.entry("registry", **changes)


@pytest.fixture
def store():
    with configured_store("i-1", "i-2") as found:
        yield found


@pytest.fixture
def nodes(store):
    with settled_nodes(store, NODES) as found:
        yield found


def write_more(store):
    """Write records that a return to an earlier copy loses."""
    for seq in range(2, 2 + LOST_RECORDS):
        for endpoint_id in ("i-1", "i-2"):
            changes = {"seq": seq, "cold_left_ms": seq}
            store.put(SERVERS, endpoint_id, entry(endpoint_id, **changes))


def return_to(store, copy):
    """Be away for a moment, and come back from a copy."""
    store.mode = "busy"
    time.sleep(AWAY_S)
    store.return_to(copy)
    store.mode = "up"


def is_leaving(node, endpoint_id):
    row = node.fleet.directory.endpoints.get(endpoint_id)
    return row is None or row.is_leaving


def stays(condition, duration_s):
    """Return whether a condition holds all the time."""
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        if not condition():
            return False
        time.sleep(0.02)
    return True


def settle(store, nodes):
    """Wait until all nodes have read all endpoints."""
    end = len(store.logs[SERVERS])
    wait_until(
        lambda: all(node.fleet.knowledge["endpoints"].end >= end for node in nodes),
        START_LIMIT_S,
    )


def test_leaving_written_after_a_return_takes_effect_on_all_nodes(store, nodes):
    """Guards against requests to an endpoint that has left, until the topic has grown
    past its end before the return (DRAIN)."""
    copy = store.copy()
    write_more(store)
    settle(store, nodes)
    return_to(store, copy)
    time.sleep(0.3)
    store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=LATER_SEQ))
    wait_until(lambda: all(is_leaving(n, "i-1") for n in nodes), BOUNDS.leaving_s)


def test_removal_written_after_a_return_takes_effect_on_all_nodes(store, nodes):
    """Guards against requests to an endpoint whose entry was removed after a return."""
    copy = store.copy()
    write_more(store)
    settle(store, nodes)
    return_to(store, copy)
    time.sleep(0.3)
    store.put(SERVERS, "i-1", None)
    limit_s = BOUNDS.leaving_s + EXPIRY_GRACE_S
    wait_until(lambda: all("i-1" not in n.endpoint_ids() for n in nodes), limit_s)


def test_configuration_written_after_a_return_takes_effect_on_all_nodes(store, nodes):
    """Guards against a configuration that never comes into force (CONFIG)."""
    copy = store.copy()
    for version in range(8, 12):
        store.put("keyed.op", "config", configuration(version=version))
    wait_until(lambda: all(n.routes_version() == 11 for n in nodes), BOUNDS.apply_s)
    return_to(store, copy)
    store.put("keyed.op", "config", configuration(version=11))
    store.put("keyed.op", "config", configuration(version=12))
    wait_until(lambda: all(n.routes_version() == 12 for n in nodes), BOUNDS.apply_s)


def test_leaving_after_two_returns_in_a_row_takes_effect(store, nodes):
    """Guards against a node that takes records of the first return for the second."""
    copy = store.copy()
    write_more(store)
    settle(store, nodes)
    return_to(store, copy)
    for seq in range(20, 24):
        store.put(SERVERS, "i-2", entry("i-2", seq=seq, cold_left_ms=seq))
    time.sleep(0.2)
    return_to(store, copy)
    store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=LATER_SEQ))
    wait_until(lambda: all(is_leaving(n, "i-1") for n in nodes), BOUNDS.leaving_s)


@pytest.mark.parametrize("mode", ["silent", "reset"])
@pytest.mark.parametrize("away_s", [0.4, 4.0])
def test_leaving_takes_effect_whatever_the_store_does_around_its_return(
    store, nodes, mode, away_s
):
    """Guards against reads that hang or break at the moment of the return, and leave a
    node in the era before."""
    copy = store.copy()
    write_more(store)
    settle(store, nodes)
    store.mode = mode
    time.sleep(away_s)
    store.return_to(copy)
    store.mode = "up"
    time.sleep(0.3)
    store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=LATER_SEQ))
    # Calls that hang end after 0.8 s, and nodes retry within 0.5 s.
    limit_s = BOUNDS.leaving_s + 1.3
    wait_until(lambda: all(is_leaving(n, "i-1") for n in nodes), limit_s)


def test_relay_learns_of_a_return_after_an_outage_in_time(store):
    """Guards against a relay whose first read after an outage waits for records, and
    only then tells that the store has come back from a copy."""
    settings = GatewaySettings(route_wait_share=2.0)
    node = RelayNode("node-0", store, settings).start()
    try:
        wait_until(lambda: node.routes_version() == 7, START_LIMIT_S)
        view = node.state.views[StoreTopic.ROUTES]
        copy = store.copy()
        store.mode = "busy"
        time.sleep(2.0)
        store.return_to(copy)
        store.mode = "up"
        wait_until(lambda: view.era == store.era, BOUNDS.apply_s)
    finally:
        node.stop()


@pytest.fixture
def region(store):
    """Eight nodes of one region that have known the store for a while."""
    with settled_nodes(store, REGION_NODES, known_s=EXPIRY_GRACE_S) as found:
        yield found


@pytest.mark.parametrize("mode", ["busy", "reset"])
@pytest.mark.parametrize("away_s", [4.0, 5.0, 6.0])
def test_few_nodes_read_a_copy_after_an_outage(store, region, mode, away_s):
    """Guards against snapshots that all nodes read at once when the store returns after
    an outage in which all relays fell silent: more bytes than the store can send."""
    copy = store.copy()
    write_more(store)
    settle(store, region)
    for node in region:
        node.store_calls.clear()
    store.mode = mode
    time.sleep(away_s)
    store.return_to(copy)
    store.mode = "up"
    # No change is due here, so no bound applies; those of changes are tested above.
    wait_until(lambda: all(has_read_again(store, n) for n in region), START_LIMIT_S)
    time.sleep(2.0)
    readers = [node.name for node in region if "newest" in node.store_calls]
    # Both relays, and one other node.
    assert len(readers) <= 3


def test_relays_of_a_large_fleet_retry_as_often_as_those_of_a_small_one(
    nodes, monkeypatch
):
    """Guards against relays that learn of a return seconds later than the nodes that
    wait for them: the pauses of those grow with the fleet."""
    monkeypatch.setattr(store_reader, "NODES_PER_RETRY_PAUSE", NODES / 8)
    wait_until(lambda: all(node.knows_all(NODES) for node in nodes), START_LIMIT_S)
    order = nodes[0].link.choice.order
    for node in nodes:
        pauses = [node.reader.retry_pause_s() for _ in range(100)]
        if order.index(node.name) < 2:
            assert max(pauses) <= 0.5
        else:
            assert min(pauses) >= 2.4


@pytest.mark.parametrize("failure", ["killed", "frozen"])
def test_leaving_takes_effect_after_a_return_without_relays(store, region, failure):
    """Guards against nodes that wait too long for the copy from relays which have died
    or fallen silent during the outage."""
    copy = store.copy()
    write_more(store)
    settle(store, region)
    store.mode = "busy"
    time.sleep(2.0)
    order = region[0].link.choice.order
    relays = [node for node in region if order.index(node.name) < 2]
    for node in relays:
        if failure == "killed":
            node.stop()
        else:
            node.reader.stopping.set()
            node.link.publish = lambda topic, batch, read_at: None
    time.sleep(2.0)
    store.return_to(copy)
    store.mode = "up"
    store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=LATER_SEQ))
    living = [node for node in region if node not in relays]
    wait_until(lambda: all(is_leaving(n, "i-1") for n in living), BOUNDS.leaving_s)


def test_leaving_takes_effect_beside_a_relay_of_the_era_before(store, nodes):
    """Guards against subscribers that keep to a relay which has not seen the return, or
    that go back to its era."""
    copy = store.copy()
    write_more(store)
    settle(store, nodes)
    behind = next(node for node in nodes if node.link.is_relay())
    others = [node for node in nodes if node is not behind]
    read, behind.reader.read = (
        behind.reader.read,
        lambda *args: Err(StoreUnavailableError("this node is cut off from the store")),
    )
    return_to(store, copy)
    store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=LATER_SEQ))
    wait_until(lambda: all(is_leaving(n, "i-1") for n in others), BOUNDS.leaving_s)
    assert stays(lambda: all(is_leaving(n, "i-1") for n in others), 3.0)
    behind.reader.read = read
    wait_until(lambda: is_leaving(behind, "i-1"), BOUNDS.leaving_s)


def test_leaving_that_was_acted_upon_is_not_undone_by_the_copy(store, nodes):
    """Guards against requests to an endpoint that has left, by the entry of the copy.

    Its leaving, and the removal of another one, are written again later.
    """
    store.put(SERVERS, "i-3", entry("i-3", seq=4))
    settle(store, nodes)
    copy = store.copy()
    store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=2))
    store.put(SERVERS, "i-3", None)
    wait_until(lambda: all(is_leaving(n, "i-1") for n in nodes), BOUNDS.leaving_s)
    wait_until(lambda: all("i-3" not in n.endpoint_ids() for n in nodes), 5.0)
    return_to(store, copy)
    for number in range(4):
        store.put(SERVERS, "i-2", entry("i-2", seq=5 + number, cold_left_ms=number))
        assert stays(
            lambda: all(
                is_leaving(n, "i-1") and "i-3" not in n.endpoint_ids() for n in nodes
            ),
            0.8,
        )
    # A server that announces itself again is back in use.
    store.put(SERVERS, "i-3", entry("i-3", seq=9))
    wait_until(lambda: all("i-3" in n.endpoint_ids() for n in nodes), BOUNDS.leaving_s)


def test_endpoints_that_the_copy_lacks_stay_until_they_write_again(store, nodes):
    """Guards against a service that loses endpoints which are sound, and against
    endpoints that stay although they are gone."""
    copy = store.copy()
    store.put(SERVERS, "i-3", entry("i-3"))
    store.put(SERVERS, "i-4", entry("i-4"))
    wait_until(
        lambda: all({"i-3", "i-4"} <= n.endpoint_ids() for n in nodes), START_LIMIT_S
    )
    return_to(store, copy)
    assert stays(lambda: all("i-3" in n.endpoint_ids() for n in nodes), 1.0)
    store.put(SERVERS, "i-3", entry("i-3", seq=3))
    limit_s = BOUNDS.leaving_s + EXPIRY_GRACE_S
    wait_until(lambda: all("i-4" not in n.endpoint_ids() for n in nodes), limit_s)
    assert all({"i-1", "i-2", "i-3"} <= n.endpoint_ids() for n in nodes)


def test_nodes_announce_themselves_again_if_the_copy_lacks_them(store, nodes):
    """Guards against a node that starts after a return and knows too few others: it
    would take too large a share of what all nodes have together."""
    copy = store.copy()
    late = [RelayNode(f"node-late-{n}", store).start() for n in range(2)]
    try:
        everyone = {node.name for node in [*nodes, *late]}
        topic = "keyed.poplarfold.nodes"
        wait_until(lambda: set(store.newest[topic]) == everyone, START_LIMIT_S)
        wait_until(
            lambda: all(set(n.fleet.presence.rows) == everyone for n in nodes), 10.0
        )
        return_to(store, copy)
        # Nodes write to the store again at once, so that the copy is looked at.
        assert set(copy.newest[topic]) != everyone
        writes = len(copy.logs[topic])
        wait_until(lambda: set(store.newest[topic]) == everyone, 8.0)
        time.sleep(1.0)
        # Nobody writes what the copy has.
        assert len(store.logs[topic]) == writes + len(late)
        assert all(set(n.fleet.presence.rows) == everyone for n in nodes)
    finally:
        for node in late:
            node.stop()


def test_node_that_has_restarted_replaces_its_earlier_record_in_the_copy(store, nodes):
    """Guards against a relay that nobody reaches: the copy has the address and the
    incarnation of the process before."""
    topic, name = "keyed.poplarfold.nodes", nodes[-1].name
    before = store.newest[topic][name]
    copy = store.copy()
    nodes.pop().stop()
    nodes.append(RelayNode(name, store).start())
    wait_until(lambda: store.newest[topic][name] != before, START_LIMIT_S)
    after = store.newest[topic][name]
    wait_until(lambda: all(n.link.choice.members for n in nodes), START_LIMIT_S)
    return_to(store, copy)
    assert copy.newest[topic][name] == before != after
    wait_until(lambda: store.newest[topic][name] == after, 8.0)
    known = nodes[-1].link.me
    wait_until(lambda: all(n.link.choice.members[name] == known for n in nodes), 8.0)


@pytest.mark.parametrize("rejects_missing", [False, True])
def test_suspected_part_that_the_store_has_lost_is_written_again(
    store, nodes, rejects_missing
):
    """Guards against a host that starts after a return and sends a prompt that crashes
    engines (BUDGET)."""
    store.rejects_missing = rejects_missing
    topic = "keyed.poplarfold.parts"
    copy = store.copy()
    for number in range(3):
        engine = FleetEndpoint(
            f"i-{number}", 1, "llm", "x:1", "lhr-a", EndpointRole.DECODE, 4, False, 0.0
        )
        nodes[0].guard.record_crash(("deadly",), engine, nodes[0].fleet.clock())
        time.sleep(0.1)
    wait_until(lambda: "deadly" in store.newest.get(topic, {}), 8.0)
    wait_until(lambda: all("deadly" in n.guard.stored for n in nodes), 8.0)
    return_to(store, copy)
    assert "deadly" not in copy.newest.get(topic, {})
    wait_until(lambda: "deadly" in store.newest.get(topic, {}), 8.0)


def test_store_that_names_no_era_is_still_read(store, nodes):
    """Guards against a host that takes all answers for those of an earlier era, once
    one has named an era and others do not."""
    store.names_era = False
    store.put("keyed.op", "config", configuration(version=8))
    wait_until(lambda: all(n.routes_version() == 8 for n in nodes), BOUNDS.apply_s)


def test_node_that_starts_after_a_return_agrees_with_the_others(store, nodes):
    """Guards against a new node that takes records of relays of another era."""
    copy = store.copy()
    write_more(store)
    settle(store, nodes)
    return_to(store, copy)
    late = RelayNode("node-late", store).start()
    try:
        wait_until(lambda: late.routes_version() == 7, START_LIMIT_S)
        store.put(SERVERS, "i-1", entry("i-1", state="draining", seq=LATER_SEQ))
        everyone = [*nodes, late]
        wait_until(
            lambda: all(is_leaving(n, "i-1") for n in everyone), BOUNDS.leaving_s
        )
    finally:
        late.stop()


def test_node_whose_first_record_is_lost_while_it_starts_announces_itself_again(store):
    """Guards against a relay that no other node knows for a minute: the store returns
    between the record of a new node and its first read of the nodes."""
    node = RelayNode("node-new", store)
    copy = store.copy()
    read_members = node.announcer.read_members
    node.announcer.read_members = lambda: store.return_to(copy) or read_members()
    node.start()
    try:
        topic = "keyed.poplarfold.nodes"
        wait_until(lambda: store.era > 1, START_LIMIT_S)
        node.announcer.read_members = read_members
        wait_until(lambda: "node-new" in store.newest.get(topic, {}), 8.0)
    finally:
        node.stop()


def test_node_that_starts_while_lost_configurations_are_written_gets_the_newest(
    store, nodes
):
    """Guards against a key that was removed seconds ago and is valid again at a node
    that starts while the operator writes lost configurations one by one (CONFIG)."""
    copy = store.copy()
    for version in range(8, 12):
        store.put("keyed.op", "config", configuration(version=version))
    wait_until(lambda: all(n.routes_version() == 11 for n in nodes), BOUNDS.apply_s)
    return_to(store, copy)
    views = [node.state.views[StoreTopic.ROUTES] for node in nodes]
    wait_until(lambda: all(view.era == store.era for view in views), START_LIMIT_S)
    store.put("keyed.op", "config", configuration(version=8))
    end = len(store.logs["keyed.op"])
    wait_until(lambda: all(view.end == end for view in views), START_LIMIT_S)
    late = RelayNode("node-late", store).start()
    try:
        wait_until(lambda: late.routes_version() == 11, START_LIMIT_S)
        store.put("keyed.op", "config", configuration(version=12))
        everyone = [*nodes, late]
        wait_until(lambda: all(n.routes_version() == 12 for n in everyone), 3.0)
    finally:
        late.stop()


@pytest.mark.parametrize("is_relay", [False, True])
def test_node_that_starts_after_a_return_gets_the_configuration_in_force(
    store, nodes, is_relay
):
    """Guards against a key that was removed seconds ago and is valid again at a node
    that has just started, while all others know the removal (CONFIG)."""
    copy = store.copy()
    for version in range(8, 12):
        store.put("keyed.op", "config", configuration(version=version))
    wait_until(lambda: all(n.routes_version() == 11 for n in nodes), BOUNDS.apply_s)
    return_to(store, copy)
    wait_until(
        lambda: all(n.state.views[StoreTopic.ROUTES].era == store.era for n in nodes),
        START_LIMIT_S,
    )
    names = [node.name for node in nodes]
    late_name = next(
        name
        for name in (f"node-late-{n}" for n in range(100))
        if (name in rank_hosts("lahore", [*names, name])[:2]) == is_relay
    )
    late = RelayNode(late_name, store).start()
    try:
        wait_until(lambda: late.routes_version() == 11, START_LIMIT_S)
        assert late.link.is_relay() == is_relay
        # What the operator writes again takes effect.
        store.put("keyed.op", "config", configuration(version=12))
        everyone = [*nodes, late]
        wait_until(lambda: all(n.routes_version() == 12 for n in everyone), 3.0)
    finally:
        late.stop()


def test_answer_names_the_era_of_its_records(store, monkeypatch):
    """Guards against a stand-in that gives records of one era as those of the next, if
    it returns while it answers: nodes would hold what was lost for current."""
    copy = store.copy()
    store.put("keyed.op", "config", configuration(version=8))
    send_response = Handler.send_response

    def send_after_return(self, *given):
        store.return_to(copy)
        send_response(self, *given)

    monkeypatch.setattr(Handler, "send_response", send_after_return)
    url = f"http://{store.address}/v1/log-newest?topic=keyed.op&part=0"
    with urllib.request.urlopen(url) as answer:
        assert (json.load(answer)["end"], answer.headers["Store-Era"]) == (2, "1")
    assert store.era == 2
