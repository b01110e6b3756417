"""Tests of what one node does with the older copy from which the store comes back."""

import json

import pytest
from tests.lib.platform_standin import configuration
from tests.lib.relay_nodes import host_settings
from tests.lib.virtual_time import VirtualClock, VirtualEvent

from poplarfold._internal.core.fleet.directory import EXPIRY_GRACE_S
from poplarfold._internal.core.fleet.keyed_view import TopicBatch, ViewRecord
from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.gateway import announcer
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.member_records import encode_member
from poplarfold._internal.gateway.return_notices import ReturnNotices
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.store_reader import StoreReader
from poplarfold._internal.gateway.topic_state import TopicState, record_store_era
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
STEP_S = 0.1
# For so long a copy's entry of an endpoint that has gone is withheld.
WITHHELD_S = 4.0


def entry(seq, **changes):
    return json.dumps({**ENTRY, "seq": seq, **changes}).encode()


class Node:
    """A node that reads the endpoints of a store, which answers unless ``is_away``."""

    def __init__(self, silence_s=3.6, **entries):
        self.now = 100.0
        host = host_settings("node-1", "127.0.0.1:9")
        host = host._replace(endpoint_silence_s=silence_s)
        self.fleet = Fleet(host, GatewaySettings(), 1, lambda: self.now)
        self.state = TopicState(self.fleet, lambda *row: None)
        self.era = 1
        self.log = []
        self.is_away = False
        self.needs_snapshot = True
        for key, value in entries.items():
            self.write(key, value)
        self.wait(EXPIRY_GRACE_S + 1.0)

    @property
    def endpoints(self):
        return self.fleet.directory.endpoints

    def write(self, key, value):
        """Let an endpoint write or remove its entry."""
        self.log.append(ViewRecord(key, value, len(self.log)))

    def return_to(self, end):
        """Let the store come back from the copy that ends at an offset."""
        del self.log[end:]
        self.era += 1
        self.needs_snapshot = True

    def read(self):
        view = self.state.views[StoreTopic.ENDPOINTS]
        end = len(self.log)
        if self.needs_snapshot:
            newest = {row.key: row for row in self.log}
            rows = tuple(row for row in newest.values() if row.value is not None)
            batch = TopicBatch(rows, 0, end, True, self.era)
        else:
            rows = tuple(self.log[view.end :])
            batch = TopicBatch(rows, view.end, end, era=self.era)
        self.needs_snapshot = False
        assert self.state.apply(StoreTopic.ENDPOINTS, batch, self.now)

    def wait(self, duration_s):
        """Do what the threads do for a while."""
        until = self.now + duration_s
        while self.now < until:
            if self.is_away:
                with self.fleet.lock:
                    self.fleet.directory.set_store_status(False, self.now)
            else:
                self.read()
            self.state.drop_expired()
            self.now += STEP_S


def node_after_removal_is_undone(**changes):
    """Return a node to which the store has just come back from a copy with an endpoint
    that was removed since, and the end of that copy."""
    node = Node(a=entry(1), **changes)
    copy = len(node.log)
    node.write("a", None)
    node.wait(1.0)
    node.return_to(copy)
    return node, copy


def test_lost_entries_that_are_written_again_in_order_do_not_undo_a_leaving():
    """Guards against requests to an endpoint that leaves or has gone (DRAIN): what was
    lost is written again from the start, after the copy was read."""
    node = Node(a=entry(1), b=entry(1))
    copy = len(node.log)
    lost = [
        ("a", entry(2, cold_left_ms=5)),
        ("b", entry(2, cold_left_ms=5)),
        ("a", entry(3, state="draining")),
        ("b", None),
    ]
    for row in lost:
        node.write(*row)
    node.wait(1.0)
    assert node.endpoints["a"].is_leaving and "b" not in node.endpoints
    node.return_to(copy)
    node.wait(0.5)
    for row in lost:
        node.write(*row)
        node.wait(0.5)
        assert node.endpoints["a"].is_leaving and "b" not in node.endpoints
    # A restarted endpoint is taken over at once.
    node.write("b", entry(1, born=ENTRY["born"] + 9000))
    node.wait(STEP_S)
    assert "b" in node.endpoints


def test_endpoint_whose_removal_was_held_back_stays_if_the_copy_lists_it():
    """Guards against an endpoint that is never used again: its entry expired during an
    outage, and the copy from before lists it, so that it writes no other one."""
    node = Node(a=entry(1))
    copy = len(node.log)
    node.is_away = True
    node.wait(3.0)
    node.write("a", None)
    node.is_away = False
    node.wait(0.5)
    assert "a" in node.endpoints
    node.return_to(copy)
    node.wait(20.0)
    assert "a" in node.endpoints


def test_endpoint_that_has_gone_is_withheld_until_the_store_could_remove_it():
    """Guards against requests to an endpoint that has gone (DRAIN): the store is away
    after its return, and cannot remove the entry again."""
    node, _ = node_after_removal_is_undone()
    node.wait(1.0)
    node.is_away = True
    node.wait(2.0 * WITHHELD_S)
    assert "a" not in node.endpoints
    node.is_away = False
    node.wait(1.0)
    assert "a" not in node.endpoints
    node.wait(2.0 * WITHHELD_S)
    assert "a" in node.endpoints


def test_endpoint_that_has_gone_is_withheld_anew_after_a_second_return():
    """Guards against requests to an endpoint that has gone (DRAIN): the second return
    undoes its removal again, and the time that was waited after the first one."""
    node, copy = node_after_removal_is_undone()
    node.wait(WITHHELD_S - 1.0)
    node.return_to(copy)
    node.wait(WITHHELD_S - 1.0)
    assert "a" not in node.endpoints


def test_endpoint_that_has_gone_is_withheld_for_the_heartbeats_of_the_platform():
    """Guards against requests to an endpoint that has gone (DRAIN), where the store
    takes longer than elsewhere to remove entries."""
    node, _ = node_after_removal_is_undone(silence_s=7.5)
    node.wait(7.4)
    assert "a" not in node.endpoints
    node.wait(1.0)
    assert "a" in node.endpoints


def test_endpoint_that_has_gone_is_withheld_while_no_read_shows_that_it_is_listed():
    """Guards against requests to an endpoint that has gone (DRAIN): the store has
    removed it again, and is away for a moment before anyone has read that."""
    node, _ = node_after_removal_is_undone()
    node.wait(WITHHELD_S - 1.0)
    node.write("a", None)
    for _ in range(12):
        node.now += STEP_S
        node.state.drop_expired()
        assert "a" not in node.endpoints
    node.wait(WITHHELD_S)
    assert "a" not in node.endpoints


def test_malformed_entry_of_the_copy_takes_no_endpoint_out_of_use_at_once():
    """Guards against an endpoint that is lost by an older entry of another writer,
    after which it had written its own; it writes that again."""
    node = Node(a=entry(1))
    node.write("a", b"{")
    node.wait(0.5)
    copy = len(node.log)
    node.write("a", entry(2))
    node.wait(0.5)
    assert "a" in node.endpoints
    node.return_to(copy)
    node.wait(EXPIRY_GRACE_S - 0.5)
    assert "a" in node.endpoints
    node.wait(1.0)
    assert "a" not in node.endpoints
    node.write("a", entry(3))
    node.wait(STEP_S)
    assert "a" in node.endpoints


def test_copy_does_not_undo_the_addresses_of_a_host_that_has_restarted():
    """Guards against peers and relays that nobody reaches until they have written their
    records again and these are read: the copy has the addresses of the process before.
    """
    members = {}
    node = Node()
    node.state.updates.update_members = members.update
    old, new, newest = (
        Member("host-2", n, "west", f"127.0.0.1:{n}", 0.0, "a", f"127.0.0.2:{n}")
        for n in (1001, 1002, 1003)
    )

    def read(member, era, end):
        records = (ViewRecord("host-2", encode_member(member), end - 1),)
        batch = TopicBatch(records, 0, end, is_snapshot=True, era=era)
        assert node.state.apply(StoreTopic.NODES, batch, node.now)

    read(old, era=1, end=1)
    read(new, era=1, end=2)
    read(old, era=2, end=1)
    assert members["host-2"] == new
    # Its record in the store is the old one, so that it is known to be lost.
    known = node.state.find_record(StoreTopic.NODES, "host-2").value
    assert known == encode_member(old)
    # A copy may also have the record of a process that has started meanwhile.
    read(newest, era=3, end=2)
    assert members["host-2"] == newest


def test_announcement_that_fails_is_not_repeated_at_each_look(monkeypatch):
    """Guards against a store that is busy after its return and gets three times as many
    calls from all nodes whose records it has lost."""
    monkeypatch.setattr(announcer, "RETURN_SPREAD_S", 0.01)
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", 0.4)
    node = announcer.Announcer(Node().state, None, None, lambda *row: None)
    clock = VirtualClock(0.005, lambda: clock.now < until or node.stop())
    until = clock.now + 1.0
    node.fleet.clock = clock
    node.stopping = VirtualEvent(clock)
    node.state.nodes_returned = VirtualEvent(clock)
    node.state.store_answered = VirtualEvent(clock)
    node.announced_era = 1
    calls = []

    def announce():
        calls.append(clock.now)
        # A node without any pause would never end the test.
        assert len(calls) < 1000
        return len(calls) == 1

    node.announce = announce
    node.read_members = lambda: True
    node.is_lost = lambda: True
    node.state.nodes_returned.set()
    node.run()
    # The first call registers the node, and the others are 0.3 to 0.5 s apart.
    assert 3 <= len(calls) <= 5


def test_earlier_configuration_of_a_batch_is_not_passed_on_after_a_later_one():
    """Guards against a host that starts with a configuration that was replaced: the
    operator may write again, one after the other, what the store has lost."""
    state = Node().state
    versions = {version: configuration(version) for version in (4, 5, 6)}
    rows = [ViewRecord("config", versions[5], 4)]
    assert state.apply(StoreTopic.ROUTES, TopicBatch(rows, 0, 5, True, 1), 100.0)
    rows = [ViewRecord("config", versions[n], at) for n, at in ((6, 5), (4, 6))]
    assert state.apply(StoreTopic.ROUTES, TopicBatch(rows, 5, 7, era=1), 100.0)
    assert state.routes_version() == 6
    (passed_on,) = state.message_for(StoreTopic.ROUTES, None).records
    assert passed_on.value == versions[6]


def test_return_that_a_relay_tells_first_is_logged_once():
    """Guards against a return without its log event, on hosts that hear of it before
    they call the store."""
    node = Node(a=entry(1))
    logged = []
    node.state.write_log = lambda number, *row: logged.append(number)
    record_store_era(node.fleet, node.state.write_log, 1)
    row = ViewRecord("a", entry(2), 0)
    batch = TopicBatch((row,), 0, 1, True, 2)
    assert node.state.apply(StoreTopic.ENDPOINTS, batch, node.now, "node-2")
    record_store_era(node.fleet, node.state.write_log, 2)
    assert logged.count("PF7118") == 1


class Link:
    """A relay link whose relays say that they read, until ``silent_from``."""

    def __init__(self, node, silent_from):
        self.node = node
        self.silent_from = silent_from
        self.notices = ReturnNotices(node.state)

    def note_return(self, era):
        self.notices.see(era)

    def must_read_return(self, era):
        return False

    def is_set(self):
        return False

    def wait(self, duration_s):
        """Let the relays speak while the node pauses."""
        if self.node.now < self.silent_from:
            self.notices.hear(2)
        self.node.now += duration_s


@pytest.mark.parametrize(
    "heard_s, shortest_s, longest_s",
    # The bound is 2 s; 0.5 s for a retry, 0.25 s for an answer and 0.3 s for
    # connecting are left of it, and 0.002 s for the spread of one node.
    [(-1.0, 0.59, 0.7), (0.01, 0.59, 0.9), (0.3, 0.65, 1.0), (9.0, 0.8, 1.0)],
)
def test_wait_for_relays_that_read_a_copy_is_bounded(heard_s, shortest_s, longest_s):
    """Guards against a node that waits too long for relays which only say that they
    read, or which have fallen silent."""
    for seed in range(20):
        node = Node()
        link = Link(node, node.now + heard_s)
        reader = StoreReader(node.state, None, link, lambda *row: None)
        reader.stopping = link
        node.fleet.rng.seed(seed)
        started_at = node.now
        reader.wait_for_relays(StoreTopic.ENDPOINTS, 2)
        assert shortest_s <= node.now - started_at <= longest_s
