"""Tests of suspected parts that nodes keep in the store, under an advanced clock."""

import json

import pytest

from poplarfold._internal.core.fleet.keyed_view import ViewRecord
from poplarfold._internal.core.fleet.prompt_suspects import (
    BLOCK_S,
    BLOCKING_INCIDENTS,
    FORGET_S,
    PARTS_MAX,
    EngineKey,
    PromptSuspects,
)
from poplarfold._internal.core.fleet.relay_messages import PartStates, pack, unpack
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.topic_records import decode_record
from poplarfold._internal.platform import StoreTopic

STEP_S = 0.25
HOURS_S = 5 * 3600.0


class Store:
    """The records of the topic of parts, in the order of their writes."""

    def __init__(self) -> None:
        self.records: list[ViewRecord] = []

    def put(self, part, value):
        self.records.append(ViewRecord(part, value or None, len(self.records)))

    def parts(self):
        """Return the parts that have a record."""
        newest = {record.key: record.value for record in self.records}
        return {part for part, value in newest.items() if value is not None}


class Relay:
    """A relay that reads and writes the store, and hears of no other one."""

    def __init__(self, fleet, store, reads_from=0.0):
        self.store = store
        self.reads_from = reads_from
        self.end = 0
        self.guard = PartGuard(lambda: fleet.now, lambda *row: None)

    def read(self, now):
        if now < self.reads_from:
            return
        newer = self.store.records[self.end :]
        self.end += len(newer)
        self.guard.merge_stored(decode_record(StoreTopic.PARTS, row) for row in newer)

    def write(self):
        for part, value in self.guard.unstored():
            self.store.put(part, value)


class Fleet:
    """Relays of one store that check and write in turn."""

    def __init__(self):
        self.now = 0.0
        self.store = Store()
        self.relays = []

    def add(self, reads_from=0.0):
        self.relays.append(Relay(self, self.store, reads_from))
        return self.relays[-1]

    def run(self, until):
        """Advance the clock; the records of a step are read in the next one."""
        while self.now < until:
            self.now += STEP_S
            for relay in self.relays:
                relay.read(self.now)
            for relay in self.relays:
                relay.guard.expire()
                relay.write()


def crash(relay, part, count=1):
    """Let engines crash under a part, each before the next stream begins."""
    for number in range(count):
        engine = FleetEndpoint(
            f"i-{number}", 7, "llm", "127.0.0.1:1", "lhr-a",
            EndpointRole.DECODE, 4, False, 0.0,
        )  # fmt: skip
        relay.guard.record_crash((part,), engine, relay.guard.clock())


@pytest.mark.parametrize("later_s", [0.0, 0.25, 1.0, 10.0, 0.9 * FORGET_S])
@pytest.mark.parametrize("crashes", [1, BLOCKING_INCIDENTS])
def test_suspicion_ends_although_relays_forget_it_at_different_times(crashes, later_s):
    """Guards against a part that each of two relays writes again when the other one has
    just forgotten it, so that it is suspected for good."""
    fleet = Fleet()
    first, _ = fleet.add(), fleet.add(reads_from=later_s)
    crash(first, "bad", crashes)
    fleet.run(BLOCK_S)
    assert fleet.store.parts() == {"bad"}
    # The suspicion, the end of a block, that of the suspicion, and the deletion. Both
    # relays may write each of them.
    fleet.run(HOURS_S)
    assert len(fleet.store.records) <= 2 * 4
    assert not fleet.store.parts()
    assert not any(relay.guard.states() for relay in fleet.relays)
    crash(first, "bad")
    (state,) = first.guard.states()
    assert (state.blocks, state.incidents, len(state.crashes)) == (0, 1, 1)


MANY = PARTS_MAX + 20


def crash_many(fleet, relays):
    """Let engines crash under more parts than are kept, at each relay in an order of
    its own, so that each drops others."""
    names = [f"p{number:04}" for number in range(MANY)]
    for number, relay in enumerate(relays):
        start = number * MANY // len(relays)
        for part in (names[start:] + names[:start])[:: -1 if number % 2 else 1]:
            crash(relay, part)
    return fleet


@pytest.mark.parametrize("relays", [1, 2, 3])
def test_writes_end_although_relays_drop_different_parts(relays):
    """Guards against relays that each write what another one has dropped, as long as
    there are more suspected parts than are kept."""
    fleet = Fleet()
    crash_many(fleet, [fleet.add() for _ in range(relays)])
    fleet.run(5.0)
    early = len(fleet.store.records)
    # Each relay may write each part with the order that each of them gave it.
    assert early <= relays * relays * MANY
    fleet.run(20.0)
    assert len(fleet.store.records) == early
    kept = fleet.store.parts()
    assert len(kept) == PARTS_MAX
    assert all(set(row.guard.suspects.states) == kept for row in fleet.relays)


@pytest.mark.parametrize("relays", [2, 3])
def test_writes_end_after_a_new_part_and_a_cleared_one(relays):
    """Guards against relays that write for good after a change among more parts than
    are kept, and against a new part that is dropped in favour of an old one."""
    fleet = Fleet()
    crash_many(fleet, [fleet.add() for _ in range(relays)])
    fleet.run(5.0)
    crash(fleet.relays[0], "new")
    cleared = next(iter(fleet.store.parts()))
    fleet.relays[1].guard.record_sound((cleared,), fleet.now)
    fleet.add()
    fleet.run(10.0)
    early = len(fleet.store.records)
    fleet.run(20.0)
    assert len(fleet.store.records) == early
    kept = fleet.store.parts()
    assert "new" in kept
    assert len(kept) == PARTS_MAX
    assert all(set(row.guard.suspects.states) == kept for row in fleet.relays)


def test_nodes_that_send_each_other_all_states_keep_the_same_ones():
    """Guards against nodes that give each other back what the other one has dropped,
    and that send states forever."""
    fleet = Fleet()
    relays = [fleet.add(), fleet.add()]
    pending = []
    for number, relay in enumerate(relays):
        relay.guard.share = lambda states, to=1 - number: pending.append((to, states))
    crash_many(fleet, relays)
    pending = [(1, relays[0].guard.states()), (0, relays[1].guard.states())]
    sent = 0
    while pending:
        to, states = pending.pop(0)
        relays[to].guard.merge(states)
        sent += 1
        assert sent < 10
    one, other = (set(relay.guard.states()) for relay in relays)
    assert one == other


def test_record_of_an_earlier_release_is_not_replaced():
    """Guards against relays of two releases that replace each other's records in turn,
    as one of them writes no order."""
    fleet = Fleet()
    relay = fleet.add()
    crash(relay, "bad")
    fleet.run(2.0)
    (written,) = fleet.store.records
    fields = json.loads(written.value)
    assert fields.pop("order") == 1
    fleet.store.put("bad", json.dumps(fields).encode())
    fleet.run(4.0)
    assert len(fleet.store.records) == 2
    fleet.store.put("bad", json.dumps({**fields, "incidents": 0}).encode())
    fleet.run(6.0)
    assert fleet.store.records[3:] == [written._replace(offset=3)]


def test_order_of_another_node_gives_a_suspicion_no_longer_life():
    """Guards against a suspicion that lives on as nodes agree on its order."""
    suspects = PromptSuspects()
    suspects.record_crash(("bad",), EngineKey("i-0", 7), 0.0, 0.0)
    state = suspects.states["bad"]._replace(order=9)
    assert suspects.merge([state], 0.9 * FORGET_S) == [state]
    assert suspects.merge([state], 0.9 * FORGET_S) == []
    (ended,) = suspects.expire(FORGET_S)
    assert (ended.round, ended.crashes, ended.order) == (1, (), 9)
    suspects.record_crash(("new",), EngineKey("i-0", 7), FORGET_S, FORGET_S)
    assert suspects.states["new"].order == 10


def test_states_can_be_exchanged_with_earlier_releases():
    """Guards against connections of nodes that end, as the states of one release are
    malformed for another one."""
    suspects = PromptSuspects()
    (state,) = suspects.record_crash(("bad",), EngineKey("i-0", 7), 0.0, 0.0)
    message = unpack(pack(PartStates.of_states([state]))).unwrap()
    assert message.part_states() == (state,)
    # Earlier releases decode rows of exactly this form, and send no orders.
    assert message.states == (("bad", 0, 0, 0, 1, (("i-0", 7),)),)
    earlier = unpack(pack(message._replace(orders=()))).unwrap()
    assert earlier.part_states() == (state._replace(order=0),)
    assert suspects.merge(earlier.part_states(), 0.0) == []


class EarlierSuspects(PromptSuspects):
    """The suspected parts of an earlier release, which forgets suspicions."""

    def expire(self, now):
        for part, times in self.times.rows():
            if times.blocked_at is None and now >= times.changed_at + FORGET_S:
                self._forget(part)
        return super().expire(now)


@pytest.mark.parametrize("number", [0, 1])
def test_suspicion_ends_beside_a_relay_of_an_earlier_release(number):
    """Guards against a suspicion that lives on until all nodes are of this release."""
    fleet = Fleet()
    first, _ = fleet.add(), fleet.add(reads_from=1.0)
    fleet.relays[number].guard.suspects = EarlierSuspects()
    crash(first, "bad")
    fleet.run(HOURS_S)
    assert len(fleet.store.records) <= 2 * 4
    assert not fleet.store.parts()
    assert not any(relay.guard.states() for relay in fleet.relays)


def test_relay_that_starts_later_gives_a_suspicion_no_longer_life():
    """Guards against a suspicion that lives on as it is read anew by each process."""
    fleet = Fleet()
    first = fleet.add()
    crash(first, "bad")
    for started_at in (0.3 * FORGET_S, 0.6 * FORGET_S, 0.9 * FORGET_S):
        fleet.run(started_at)
        fleet.add()
    fleet.run(FORGET_S - 1.0)
    assert all(relay.guard.states()[0].crashes for relay in fleet.relays)
    fleet.run(FORGET_S + 4.0)
    assert not any(relay.guard.states()[0].crashes for relay in fleet.relays)


def test_cleared_parts_make_room_for_suspected_ones():
    """Guards against a suspicion that is lost as parts which carry none are kept."""
    suspects = PromptSuspects()
    suspects.record_crash(("bad",), EngineKey("i-0", 7), 0.0, 0.0)
    for number in range(1, PARTS_MAX + 50):
        part, now = f"p{number}", float(number)
        suspects.record_crash((part,), EngineKey(f"i-{number}", 7), now, now)
        suspects.record_sound((part,), now, now)
    assert len(suspects.states) == len(suspects.times) == PARTS_MAX
    assert suspects.states["bad"].crashes
