"""Tests of records in the store that other programs have written."""

import json

import pytest
from hypothesis import given, settings, strategies as st
from tests.lib.platform_standin import configuration
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.directory import EXPIRY_GRACE_S
from poplarfold._internal.core.fleet.keyed_view import TopicBatch, ViewRecord
from poplarfold._internal.core.fleet.relay_messages import (
    PartStates,
    TopicRecords,
    pack,
    unpack,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.platform import StoreTopic

ENTRY = {
    "service": "registry",
    "address": "127.0.0.1:9",
    "zone": "lhr-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1788179296174,
}
MEMBER = {"incarnation": 1, "region": "lahore", "relay": "127.0.0.1:9", "link_mbps": 1}
PART = {
    "depth": 0, "round": 1, "blocks": 0, "incidents": 1, "crashes": [["i-1", 7]],
    "order": 1,
}  # fmt: skip
GOOD = {
    StoreTopic.ROUTES: ("config", json.loads(configuration(9))),
    StoreTopic.ENDPOINTS: ("i-good", ENTRY),
    StoreTopic.NODES: ("node-good", MEMBER),
    StoreTopic.PARTS: ("5c1e", PART),
}
HUGE = int("9" * 400)
ODD_VALUES = [
    None, True, "", "text", -1, 0, 1.5, HUGE, -HUGE, 1e308, [], [[]], {}, {"a": None},
    "127.0.0.1:99999", "999.0.0.1:80", "127.0.0.1:\u0664\u0662",
    [HUGE], [["i-1", HUGE]],
]  # fmt: skip
ODD_DOCUMENTS = [
    b"",
    b"\xff\xfe[",
    b"[" * 100_000,
    b'{"a":' * 50_000,
    b"NaN",
    b"[]",
    b"9" * 5000,
    json.dumps({"items": [HUGE] * 100}).encode(),
]


class Node:
    """What a node knows of the store's topics, without any connection."""

    def __init__(self):
        self.now = 100.0
        self.logged = []
        self.members = {}
        host = host_settings("node-1", "127.0.0.1:9")
        self.fleet = Fleet(host, GatewaySettings(), 1, lambda: self.now)
        self.state = TopicState(self.fleet, lambda *row: self.logged.append(row))
        self.guard = PartGuard(lambda: self.now, lambda *row: None)
        self.state.updates.update_parts = self.guard.merge_stored
        self.state.updates.update_members = self.members.update
        for topic in StoreTopic:
            self.state.apply(topic, TopicBatch((), 0, 0, True), self.now)
        self.now += EXPIRY_GRACE_S + 1.0

    def put(self, topic, *rows):
        """Apply records of one read, each a key and a value."""
        start = self.state.views[topic].end
        records = tuple(
            ViewRecord(key, value, start + n) for n, (key, value) in enumerate(rows)
        )
        batch = TopicBatch(records, start, start + len(rows))
        self.state.apply(topic, batch, self.now)

    def knows(self, topic):
        """Return whether the good record of a topic is in force."""
        if topic is StoreTopic.ROUTES:
            table = self.fleet.directory.route_table
            return table is not None and table.version == 9
        if topic is StoreTopic.ENDPOINTS:
            return "i-good" in self.fleet.directory.endpoints
        if topic is StoreTopic.NODES:
            return self.members.get("node-good") is not None
        return "5c1e" in self.guard.suspects.states

    def check_in_use(self, topic):
        """Use what the node knows, as calls and relays do."""
        assert self.knows(topic)
        picked = self.fleet.pick("registry", EndpointRole.SERVICE, set())
        assert (picked is None) == (not self.fleet.directory.endpoints)
        states = PartStates.of_states(self.guard.states())
        assert unpack(pack(states)).unwrap() == states
        assert states.part_states() == self.guard.states()
        message = self.state.message_for(topic, None)
        assert unpack(pack(message)).unwrap() == message


def odd_values(topic):
    """Yield values for the key of an odd record of a topic."""
    _, fields = GOOD[topic]
    yield from ODD_DOCUMENTS
    for name in fields:
        for value in ODD_VALUES:
            yield json.dumps({**fields, name: value}).encode()
        yield json.dumps({key: fields[key] for key in fields if key != name}).encode()


@pytest.mark.parametrize("topic", StoreTopic)
def test_odd_record_costs_no_other_record_of_its_read(topic):
    """Guards against a removal or a configuration that is lost because of an odd
    record in the same read, and against a thread that ends."""
    key, fields = GOOD[topic]
    good = (key, json.dumps(fields).encode())
    for value in odd_values(topic):
        node = Node()
        node.put(topic, ("odd", value), good)
        node.check_in_use(topic)
        node.put(topic, ("odd", value), (key, None), ("odd", value))
        if topic is StoreTopic.ENDPOINTS:
            assert "i-good" not in node.fleet.directory.endpoints


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@settings(max_examples=300)
@given(
    topic=st.sampled_from(list(StoreTopic)),
    changes=st.dictionaries(st.integers(0, 8), JSON_VALUES, max_size=3),
    raw=st.none() | st.binary(max_size=40),
    key=st.text(max_size=8),
)
def test_generated_records_cost_no_other_record(topic, changes, raw, key):
    """Guards against the same fault for records that nobody has thought of."""
    good_key, fields = GOOD[topic]
    names = list(fields)
    odd = {**fields, **{names[n % len(names)]: v for n, v in changes.items()}}
    value = raw if raw is not None else json.dumps(odd).encode()
    good = (good_key, json.dumps(fields).encode())
    node = Node()
    node.put(topic, ("odd" + key, value), good)
    node.check_in_use(topic)


@settings(max_examples=300)
@given(st.binary(max_size=60), st.integers(-(2**80), 2**80), st.floats())
def test_odd_messages_of_relays_are_rejected(data, number, time_s):
    """Guards against a relay link that ends on a message it cannot decode."""
    unpack(data)
    records = TopicRecords("keyed.servers", 0, number, time_s, False, ())
    unpack(pack(records))
    unpack(pack(records._replace(read_at=HUGE)))


@pytest.mark.parametrize("value", ODD_DOCUMENTS[:4])
def test_malformed_entry_takes_its_endpoint_out_of_use(value):
    """Guards against calls to an endpoint whose newest entry names none, also while
    deletions are held back."""
    node = Node()
    node.put(StoreTopic.ENDPOINTS, ("i-good", json.dumps(ENTRY).encode()))
    node.fleet.directory.set_store_status(False, node.now)
    node.put(StoreTopic.ENDPOINTS, ("i-good", value))
    assert not node.fleet.directory.endpoints
    node.put(StoreTopic.ENDPOINTS, ("i-good", json.dumps(ENTRY).encode()))
    assert node.knows(StoreTopic.ENDPOINTS)


def test_malformed_record_is_logged():
    """Guards against an ignored record that nobody sees."""
    for topic in (StoreTopic.ROUTES, StoreTopic.ENDPOINTS, StoreTopic.PARTS):
        node = Node()
        node.put(topic, ("config" if topic is StoreTopic.ROUTES else "odd", b"{"))
        numbers = [number for number, _, _ in node.logged]
        assert numbers.count("PF7105") == 1
        (applied,) = [row[2] for row in node.logged if row[0] == "PF7111"]
        assert (applied["newer"], applied["malformed"]) == (1, 1)


def test_records_are_read_again_if_they_could_not_be_applied():
    """Guards against an unexpected error that makes a node skip what it has read."""
    node = Node()
    update_members = node.state.updates.update_members

    def fail(members):
        raise RuntimeError("no memory")

    node.state.updates.update_members = fail
    row = ("node-good", json.dumps(MEMBER).encode())
    with pytest.raises(RuntimeError):
        node.put(StoreTopic.NODES, row)
    node.state.updates.update_members = update_members
    node.put(StoreTopic.NODES, row)
    assert node.knows(StoreTopic.NODES)


def test_problem_of_a_large_record_is_short():
    """Guards against errors whose text quotes a record of 256 kB in a log line."""
    node = Node()
    node.put(StoreTopic.ENDPOINTS, ("odd", b'{"state": "%s"}' % (b"x" * 250_000)))
    (fields,) = [row[2] for row in node.logged if row[0] == "PF7105"]
    assert len(fields["problem"]) < 1000
