"""Tests of the choice of relays and of records from sources that lag."""

import json
import random
import zlib

import cbor2
import pytest
from hypothesis import given, settings, strategies as st
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.fallback import (
    CHECK_PERIOD_S,
    RETRY_MAX_S,
    STORE_ANSWER_S,
    fallback_spread_s,
    notice_wait_s,
    reliance_s,
    return_wait_s,
)
from poplarfold._internal.core.fleet.keyed_view import KeyedView, TopicBatch, ViewRecord
from poplarfold._internal.core.fleet.peer_clock import PeerClock
from poplarfold._internal.core.fleet.relay_messages import (
    PROTOCOL_VERSION,
    ClockProbe,
    ClockReply,
    CostReport,
    FleetCost,
    KnownTopic,
    ReturnReading,
    ReturnSeen,
    Subscribe,
    TopicRecords,
    pack,
    unpack,
)
from poplarfold._internal.core.fleet.relays import Member, RelayChoice
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.member_records import decode_member, encode_member
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.platform import StoreTopic


def members(count, region="lahore"):
    return {
        f"{region}-{n}": Member(f"{region}-{n}", 1, region, f"10.0.0.{n}:7660")
        for n in range(count)
    }


def view_of(*records, end=0):
    """A view that has read these records as a snapshot."""
    view = KeyedView()
    view.merge(TopicBatch(records, 0, end, is_snapshot=True))
    return view


def choice_of(host, known, region="lahore"):
    choice = RelayChoice(host, region)
    choice.update(known)
    return choice


def test_relays_can_be_chosen_while_the_members_are_replaced():
    """Guards against a reader thread that fails, since a relay's member is missing."""
    choice = choice_of("lahore-0", members(3))

    class ReadDuringUpdate(dict):
        def __getitem__(self, host):
            assert len(choice.relays(0.0)) == 2
            return super().__getitem__(host)

    first = choice.order[0]
    left = {host: row for host, row in members(3).items() if host != first}
    choice.update(ReadDuringUpdate(left))
    assert first not in choice.order and set(choice.order) == set(left)


@pytest.mark.parametrize("bound_s", [2.5, 4.0, 5.0])
@pytest.mark.parametrize("nodes", [1, 6, 66, 250, 400])
def test_the_steps_of_a_node_without_relays_fit_into_the_bound(bound_s, nodes):
    """Guards against a limit of age that leaves too little time to read the store."""
    settings = GatewaySettings()
    limit_s = reliance_s(bound_s, nodes, settings.connect_s)
    steps_s = CHECK_PERIOD_S + fallback_spread_s(nodes) + STORE_ANSWER_S
    assert limit_s + steps_s + settings.connect_s <= bound_s
    # Messages of a sound relay, which follow each of its reads, are no older.
    assert limit_s > settings.route_wait_share * bound_s
    assert limit_s > settings.endpoint_poll_share * bound_s


@pytest.mark.parametrize("bound_s", [2.0, 2.5, 4.0, 5.0])
@pytest.mark.parametrize("nodes", [1, 6, 50])
def test_the_wait_for_a_relay_that_reads_fits_into_the_bound(bound_s, nodes):
    """Guards against a wait for a relay that leaves too little time to read a copy."""
    connect_s = GatewaySettings().connect_s
    wait_s = notice_wait_s(bound_s, nodes, connect_s)
    steps_s = RETRY_MAX_S + fallback_spread_s(nodes) + STORE_ANSWER_S
    assert wait_s + steps_s + connect_s <= bound_s + 1e-9
    assert wait_s > return_wait_s(bound_s)


@pytest.mark.parametrize("count", [1, 2, 6, 59, 195, 300])
def test_two_nodes_of_a_region_read_the_store_at_any_size(count):
    """Guards against store calls that grow with the number of nodes."""
    known = {**members(count), **members(count, "karachi")}
    choices = {
        host: choice_of(host, known, member.region) for host, member in known.items()
    }
    readers = [host for host, choice in choices.items() if choice.is_own_relay(0.0)]
    assert len(readers) == 2 * min(2, count)
    for host, choice in choices.items():
        for member in choice.sources(0.0):
            assert member.host in readers and member.host != host
            assert member.region == known[host].region


def test_nodes_with_slow_links_are_relays_only_if_there_is_no_other():
    """Guards against a large configuration that a relay's link delays by seconds.

    A relay of a region with 30 nodes sent 1,200 routes over 5 Mbit/s; the last nodes
    had them 9 s later.
    """
    known = members(30)
    for number in range(28):
        host = f"lahore-{number}"
        known[host] = known[host]._replace(link_mbps=5.0)
    for host in ("lahore-28", "lahore-29"):
        known[host] = known[host]._replace(link_mbps=100.0)
    choice = choice_of("lahore-0", known)
    assert {member.host for member in choice.relays(0.0)} == {"lahore-28", "lahore-29"}
    choice.record_failure("lahore-28", 0.0)
    assert [member.host for member in choice.relays(0.1)][0] == "lahore-29"


def test_large_configuration_fits_slow_links():
    """Guards against a configuration that takes longer than it may on the link of a
    relay: 30 copies over 5 Mbit/s in less than 4 s."""
    rng = random.Random(1)
    routes = [
        {
            "name": f"r-{rng.getrandbits(28):x}",
            "host": f"{rng.choice(['ficu95', 'tihu9', 'wufi82'])}.example",
            "path_prefix": f"/{rng.getrandbits(28):x}/",
            "kind": "idempotent",
            "timeout_ms": 1200,
            "target_latency_ms": 200,
            "priority": 2,
            "service": "huvo11a",
            "max_attempts": 2,
        }
        for _ in range(1200)
    ]
    value = json.dumps({"version": 9, "routes": routes}).encode()
    record = ViewRecord("config", value, 3)
    message = TopicRecords("keyed.op", 3, 4, 0.0, False, (record,))
    data = pack(message)
    assert unpack(data).unwrap() == message
    assert 30 * len(data) * 8 / 5e6 < 4.0


def test_compressed_message_is_bounded():
    """Guards against a small message that fills the memory when decompressed."""
    assert unpack(zlib.compress(bytes(1) * 50_000_000)).is_err()
    assert unpack(zlib.compress(b"x" * 5000)[:20]).is_err()
    assert unpack(b"x no compression").is_err()


def test_failed_relay_is_replaced_and_comes_back():
    """Guards against a region that stays without a second relay."""
    known = members(10)
    choice = choice_of("lahore-0", known)
    first, second = choice.relays(0.0)
    choice.record_failure(first.host, 0.0)
    replaced = choice.relays(0.1)
    assert first not in replaced and replaced[0] == second
    assert choice.relays(60.0) == [first, second]
    for _ in range(10):
        choice.record_failure(first.host, 100.0)
    assert first not in choice.relays(130.0)
    choice.record_success(first.host)
    assert choice.relays(130.0) == [first, second]


def test_node_that_reaches_no_relay_reads_the_store():
    """Guards against a node that knows only unreachable relays and reads nothing."""
    known = members(4)
    alone = choice_of("karachi-1", {**known, **members(2, "karachi")}, "karachi")
    for host in alone.order:
        if host != "karachi-1":
            alone.record_failure(host, 0.0)
    assert alone.is_own_relay(0.1)
    assert choice_of("elsewhere", {}, "lahore").is_own_relay(0.0)


def test_members_without_a_listener_are_no_relays():
    """Guards against subscriptions to nodes of an earlier release."""
    known = members(4)
    known["lahore-9"] = decode_member("lahore-9", b'{"failure_domain": "lhr-a"}')
    known["lahore-8"] = decode_member("lahore-8", b"\xff not JSON")
    choice = choice_of("lahore-9", known)
    assert not {"lahore-8", "lahore-9"} & set(choice.order)
    member = known["lahore-1"]
    assert decode_member(member.host, encode_member(member)) == member


def test_one_node_is_first_to_give_orders():
    """Guards against all nodes of a fleet that claim the orders at the same time."""
    known = {**members(30), **members(29, "karachi")}
    ranks = [
        choice_of(host, known, member.region).order_rank
        for host, member in known.items()
    ]
    assert sorted(ranks) == list(range(59))


def test_paused_relay_does_not_revert_a_newer_record():
    """Guards against an endpoint that is leaving and gets work again.

    A relay that was paused sends the older record after another relay has sent the
    newer one.
    """
    view = view_of()
    leaving, ready = ViewRecord("i-1", b"leaving", 7), ViewRecord("i-1", b"ready", 5)
    assert view.merge(TopicBatch((leaving,), 0, 8)) == [leaving]
    assert view.merge(TopicBatch((ready, leaving), 0, 8)) == []
    assert view.merge(TopicBatch((ready,), 0, 6, is_snapshot=True)) == []
    assert view.values == {"i-1": b"leaving"} and view.end == 8


def test_snapshot_deletes_only_what_it_can_know():
    """Guards against an endpoint that vanishes because a relay's list is older."""
    view = view_of(ViewRecord("old", b"1", 3), ViewRecord("new", b"1", 9))
    snapshot = TopicBatch((), 0, 6, is_snapshot=True)
    assert view.merge(snapshot) == [ViewRecord("old", None, 5)]


def test_subscriber_that_knows_a_topic_gets_only_later_records():
    """Guards against relays that send all records again to each reconnected node."""
    view = view_of()
    first = (ViewRecord("a", b"1", 3), ViewRecord("b", b"1", 4))
    gone = ViewRecord("a", None, 6)
    view.merge(TopicBatch((*first, gone), 0, 7))
    assert view.changes_since(5) == TopicBatch((gone,), 5, 7)
    found = view.changes_since(4)
    assert set(found.records) == {gone, ViewRecord("b", b"1", 4)}


def test_relay_that_started_later_does_not_hide_a_deletion():
    """Guards against an endpoint that stays for good at a node whose new relay has
    read the store only after the endpoint's entry was deleted."""
    follower = view_of(ViewRecord("i-1", b"ready", 3), end=5)
    relay = view_of(ViewRecord("i-2", b"ready", 4), end=9)
    newer = follower.merge(relay.changes_since(follower.end))
    assert ViewRecord("i-1", None, 8) in newer
    assert follower.values == {"i-2": b"ready"} and follower.end == 9


def test_records_with_a_gap_before_them_do_not_move_the_end():
    """Guards against a deletion that is skipped since later records came first."""
    view = view_of(ViewRecord("i-1", b"ready", 3), end=5)
    late = TopicBatch((ViewRecord("i-2", b"ready", 8),), 7, 9)
    assert not view.continues(late)
    assert view.merge(late) == list(late.records)
    assert view.end == 5
    whole = TopicBatch((ViewRecord("i-1", None, 6), *late.records), 5, 9)
    assert view.merge(whole) == [ViewRecord("i-1", None, 6)]
    assert view.end == 9 and view.values == {"i-2": b"ready"}


@given(st.integers(0, 2**32), st.integers(1, 40))
@settings(max_examples=60, deadline=None)
def test_any_order_of_two_relays_ends_with_the_newest_records(seed, count):
    """Guards against state that depends on which relay is faster.

    Two relays send the same log in batches with snapshots in between. Their messages
    interleave at random, and some are duplicated.
    """
    rng = random.Random(seed)
    log = [
        ViewRecord(rng.choice("abcd"), rng.choice([b"x", b"y", None]), offset)
        for offset in range(count)
    ]
    newest = {record.key: record for record in log}

    def messages():
        at = 0
        while at < count:
            end = rng.randint(at + 1, count)
            if rng.random() < 0.3:
                state = {record.key: record for record in log[:end]}
                rows = [row for row in state.values() if row.value is not None]
                yield TopicBatch(tuple(rows), 0, end, is_snapshot=True)
            else:
                yield TopicBatch(tuple(log[at:end]), at, end)
            at = end

    queues = [list(messages()), list(messages())]
    view = view_of()
    while any(queues):
        queue = rng.choice([queue for queue in queues if queue])
        batch = queue[0] if rng.random() < 0.2 else queue.pop(0)
        view.merge(batch)
    expected = {key: row.value for key, row in newest.items() if row.value is not None}
    assert view.values == expected and view.end == count


class ReturningLog:
    """A keyed log that may come back from an older copy, as its store has it."""

    def __init__(self):
        self.records = []
        self.era = 1

    def write(self, key, value):
        self.records.append(ViewRecord(key, value, len(self.records)))

    def return_to(self, end):
        del self.records[end:]
        self.era += 1

    def newest(self):
        rows = {record.key: record for record in self.records}
        return {key: row for key, row in rows.items() if row.value is not None}

    def snapshot(self):
        rows = tuple(self.newest().values())
        return TopicBatch(rows, 0, len(self.records), True, self.era)

    def read(self, view):
        """Return what a relay reads next: a snapshot first, and of each new era."""
        end = len(self.records)
        if view.end is None or view.era != self.era or view.end > end:
            return self.snapshot()
        return TopicBatch(tuple(self.records[view.end :]), view.end, end, era=self.era)


@given(st.integers(0, 2**32))
@settings(max_examples=150, deadline=None)
def test_any_order_of_relays_over_returns_ends_with_the_store(seed):
    """Guards against views that join records of two eras of the store.

    Two relays read a log that comes back from older copies, each at its own time, and
    their messages to a subscriber wait for any time.
    """
    rng = random.Random(seed)
    log, relays, queues = ReturningLog(), [KeyedView(), KeyedView()], [[], []]
    view = KeyedView()
    for _ in range(60):
        action = rng.random()
        number = rng.randrange(2)
        if action < 0.4:
            log.write(rng.choice("abcd"), rng.choice([b"x", b"y", b"z", None]))
        elif action < 0.45:
            log.return_to(rng.randint(0, len(log.records)))
        elif action < 0.75:
            batch = log.read(relays[number])
            relays[number].merge(batch)
            queues[number].append(batch)
        elif queues[number]:
            view.merge(queues[number].pop(0))
    batch = log.read(relays[0])
    relays[0].merge(batch)
    for message in [*queues[1], *queues[0]]:
        view.merge(message)
    if view.end is None or not view.continues(batch):
        # The subscriber connects anew.
        batch = relays[0].changes_since(-1)
    view.merge(batch)
    expected = {key: row.value for key, row in log.newest().items()}
    assert view.values == relays[0].values == expected
    assert (view.era, view.end) == (log.era, len(log.records))


def test_late_answer_does_not_bring_back_a_key_that_a_snapshot_lacks():
    """Guards against an endpoint that has gone and is used for good (DRAIN)."""
    view = view_of(ViewRecord("a", b"x", 4), ViewRecord("b", b"x", 9), end=10)
    snapshot = TopicBatch((ViewRecord("a", b"x", 4),), 0, 15, True, era=1)
    # This node asked for the records from its end on before a relay sent the snapshot.
    late = TopicBatch((ViewRecord("b", b"y", 11),), 10, 12, era=1)
    older = TopicBatch((*snapshot.records, *late.records), 0, 12, True, era=1)
    for batch in (snapshot, late, older):
        view.merge(batch)
        assert view.values == {"a": b"x"} and view.end == 15
    view.merge(TopicBatch((ViewRecord("b", b"z", 15),), 15, 16, era=1))
    assert view.values == {"a": b"x", "b": b"z"}


@given(
    st.floats(-1e6, 1e6),
    st.lists(st.tuples(st.floats(0, 40), st.floats(0, 20), st.floats(0, 20))),
)
def test_times_of_a_relay_never_count_as_later_than_they_were(ahead_s, probes):
    """Guards against old records that count as fresh since a message was delayed.

    The relay's clock is ``ahead_s`` ahead of the node's. A question and a message each
    wait on the way for any time.
    """
    clock = PeerClock()
    assert clock.local_time(1.0) is None
    now = 1000.0
    for pause_s, question_s, message_s in probes:
        now += pause_s
        received_at = now + question_s
        clock.measure(now, received_at + ahead_s)
        read_at = received_at + message_s
        assert clock.local_time(read_at + ahead_s) <= read_at + 1e-6
        now = read_at


def test_one_quick_answer_tells_the_age_of_delayed_records():
    """Guards against records of a quick relay that count as old after one delay."""
    clock = PeerClock()
    clock.measure(sent_at=100.0, peer_at=50.001)
    clock.measure(sent_at=110.0, peer_at=63.0)
    assert clock.local_time(64.0) == pytest.approx(113.999, abs=0.01)


MESSAGES = [
    Subscribe("a", 1, "b", 7.5, (KnownTopic("keyed.op", 4),)),
    ClockProbe(8.0),
    ClockReply(8.0, 2.5),
    TopicRecords("keyed.op", 0, 4, 0.1, True, (ViewRecord("config", b"{}", 3),)),
    TopicRecords("keyed.servers", 3, 4, 0.0, False, (ViewRecord("i-1", None, 3),), 2),
    Subscribe("a", 1, "b", 7.5, (KnownTopic("keyed.op", 4),), (2,)),
    FleetCost(CostReport(1, 2, 3.0, 4.0, 5.0, 6.0)),
    ReturnSeen(2),
    ReturnReading(2),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda row: type(row).__name__)
def test_messages_are_decoded_as_sent(message):
    """Guards against fields that are lost between two nodes."""
    assert unpack(pack(message)).unwrap() == message


def test_messages_of_later_releases_are_ignored():
    """Guards against a subscription that ends at a message of a later release."""
    later = {"v": PROTOCOL_VERSION, "t": "ReturnRead", "era": 2}
    assert unpack(cbor2.dumps(later)).unwrap() is None


@given(st.sampled_from(MESSAGES), st.data())
@settings(max_examples=200, deadline=1000)
def test_damaged_messages_end_in_an_error(message, data):
    """Guards against bytes of a peer that end the link's thread."""
    encoded = bytearray(pack(message))
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(encoded) - 1))
        encoded[at] = data.draw(st.integers(0, 255))
    result = unpack(bytes(encoded[: data.draw(st.integers(0, len(encoded)))]))
    assert result.is_err() or type(result.unwrap()) in {
        type(None),
        *map(type, MESSAGES),
    }


def test_records_of_another_relay_are_passed_on_with_their_age():
    """Guards against old records that become fresh by passing through a relay."""
    host = host_settings("node-1", "127.0.0.1:1")
    fleet = Fleet(host, GatewaySettings(), 1, lambda: 100.0)
    state = TopicState(fleet, lambda number, call_id, fields: None)
    published = []
    state.publish = lambda topic, batch, read_at: published.append(read_at)
    batch = TopicBatch((ViewRecord("i-1", b"{}", 3),), 0, 4, is_snapshot=True)
    assert state.apply(StoreTopic.ENDPOINTS, batch, 95.0, "node-2")
    assert state.apply(StoreTopic.ENDPOINTS, batch, 98.0, "node-2")
    message = state.message_for(StoreTopic.ENDPOINTS, None)
    assert published == [95.0] and message.read_at == 98.0
    assert not state.is_current(StoreTopic.ENDPOINTS)
