"""Tests of when and in which order a host writes the origins of its streams."""

import threading
import time

import pytest
from result import Err, Ok
from tests.lib.platform_standin import StoreStandIn

from poplarfold._internal.core.fleet.stream_origins import Origin
from poplarfold._internal.exceptions import StoreUnavailableError
from poplarfold._internal.gateway.origin_log import OriginLog
from poplarfold._internal.gateway.origin_records import OriginRecord, decode_origin
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.platform import (
    ORIGINS_TOPIC,
    Appended,
    AppendPlace,
    StoreClient,
)

PARTITIONS = 4
# For a stand-in of the store whose threads are held up on a busy machine.
CALL_S = 10.0


class Clock:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FailingStore:
    """Fails the first write, while ``on_failure`` is called; keeps later ones."""

    def __init__(self):
        self.on_failure = None
        self.rows = []

    def put_records(self, topic, part, rows, timeout_s, place=None):
        if self.on_failure is not None:
            callback, self.on_failure = self.on_failure, None
            callback()
            return Err(StoreUnavailableError("no answer"))
        self.rows.extend(rows)
        return Ok(Appended(len(self.rows) - len(rows), 1))


def test_record_of_the_last_attempt_is_written_last():
    """Guards against a stream that is taken up at the version of an earlier attempt
    (ORDER), since that one's record was written again after the last one's."""
    store, clock = FailingStore(), Clock()
    log = OriginLog(store, 1, 1.0, 60.0, clock, lambda *row: None)
    first = OriginRecord("call", Origin("llm", "v2", 1))
    last = OriginRecord("call", Origin("llm", "v1", 2))
    log.note(first, must_write=True)
    store.on_failure = lambda: log.note(last, must_write=True)
    assert not log.write_pending()
    clock.now += 0.3
    assert log.write_pending()
    versions = [decode_origin(value).version for _, value in store.rows]
    assert versions == ["v2", "v1"]


def test_failed_records_do_not_delay_those_of_other_partitions():
    """Guards against streams that wait for a partition which they do not need."""
    store, clock = FailingStore(), Clock()
    log = OriginLog(store, 8, 1.0, 60.0, clock, lambda *row: None)
    log.note(OriginRecord("a", Origin("llm", "v2", 1)), must_write=True)
    others = [OriginRecord(f"b-{n}", Origin("llm", "v2", 1)) for n in range(20)]
    store.on_failure = lambda: [log.note(row, must_write=True) for row in others]
    assert not log.write_pending()
    clock.now += 0.3
    assert log.write_pending()
    same = log._part_of(log.note(OriginRecord("a", Origin("llm", "v2", 2)), True))
    parts = [log._by_part([name], str).popitem()[0] for name, _ in store.rows]
    assert parts.index(same) == len(parts) - parts.count(same)


class RefusingStore:
    """Refuses the writes to the partitions in ``sick``, and counts all calls."""

    def __init__(self, clock, sick=range(PARTITIONS)):
        self.clock = clock
        self.sick = set(sick)
        self.calls = []

    def put_records(self, topic, part, rows, timeout_s, place=None):
        self.calls.append((self.clock(), part))
        if part in self.sick:
            return Err(StoreUnavailableError("refused"))
        return Ok(Appended(0, 1))


class Writer:
    """A host that writes records whenever it may, under a clock of the test."""

    def __init__(self, sick=range(PARTITIONS)):
        self.clock = Clock()
        self.store = RefusingStore(self.clock, sick)
        self.answered_at = 0.0
        self.log = OriginLog(
            self.store,
            PARTITIONS,
            1.0,
            600.0,
            self.clock,
            lambda *row: None,
            lambda: self.answered_at,
        )

    def note(self, part, number=0):
        """Begin a stream whose record belongs to a partition."""
        names = (f"{number}-{n}" for n in range(1000))
        name = next(n for n in names if self.log._by_part([n], str).get(part))
        return self.log.note(OriginRecord(name, Origin("llm", "v2", 1)), True)

    def run(self, seconds, step_s=0.05):
        """Do what the thread does, each ``step_s``; return the calls."""
        before = len(self.store.calls)
        for _ in range(round(seconds / step_s)):
            self.clock.now += step_s
            self.log.write_pending()
        return self.store.calls[before:]


def test_store_that_refuses_writes_gets_few_whatever_the_number_of_partitions():
    """Guards against hosts that call the store for each partition every 0.3 s while it
    is away: 400 of them make 5,300 calls a second at 4 partitions."""
    writer = Writer()
    for part in range(PARTITIONS):
        writer.note(part)
    assert len(writer.run(3.0)) <= PARTITIONS + 6
    # The pauses are 0.9 to 1.2 s by then.
    assert 16 <= len(writer.run(20.0)) <= 23


def test_records_are_written_at_once_when_the_store_answers_reads_again():
    """Guards against streams that wait for a pause although the outage is over."""
    writer = Writer()
    recordings = [writer.note(part) for part in range(PARTITIONS)]
    calls = writer.run(20.0)
    writer.store.sick.clear()
    writer.clock.now = calls[-1][0] + 0.1
    writer.answered_at = writer.clock.now
    writer.log.write_pending()
    assert all(row.is_written.is_set() for row in recordings)


def test_store_that_only_answers_reads_gets_no_more_writes_than_pauses():
    """Guards against a write for each read of a store that refuses all writes."""
    writer = Writer()
    for part in range(PARTITIONS):
        writer.note(part)
    writer.run(10.0)
    calls = 0
    for _ in range(400):
        writer.answered_at = writer.clock.now
        calls += len(writer.run(0.05))
    assert 16 <= calls <= 24


@pytest.mark.parametrize("sick", [(1,), (1, 2)])
def test_partitions_that_refuse_writes_delay_no_other_ones(sick):
    """Guards against streams that wait for the pauses of partitions which they do not
    need, and against many calls to these."""
    writer = Writer(sick)
    for part in sick:
        writer.note(part)
    writer.run(10.0)
    before = len(writer.store.calls)
    for number in range(100):
        recording = writer.note(3, number)
        # After two failures the store may be away; the third partition tells.
        writer.run(0.0 if number else 0.35)
        writer.log.write_pending()
        assert recording.is_written.is_set(), number
        writer.run(0.2)
    calls = [part for _, part in writer.store.calls[before:] if part in sick]
    assert 16 * len(sick) <= len(calls) <= 25 * len(sick)


def test_first_retry_comes_in_time_for_a_stream_that_waits():
    """Guards against streams that are rejected since one answer was lost: they wait
    1.5 s, of which an answer may take 0.8 s."""
    for _ in range(20):
        writer = Writer([1])
        writer.note(1)
        calls = writer.run(0.05) + writer.run(0.35, step_s=0.01)
        assert len(calls) == 2


def test_old_records_are_deleted_with_few_calls_while_the_store_refuses_them():
    """Guards against a call for each partition and second of an outage, for records
    that nobody needs any more."""
    writer = Writer(sick=())
    for part in range(PARTITIONS):
        writer.note(part)
    writer.run(0.05)
    writer.clock.now += 1300.0
    writer.store.sick = set(range(PARTITIONS))
    before = len(writer.store.calls)
    for _ in range(300):
        writer.clock.now += 1.0
        writer.log.delete_old()
    assert PARTITIONS <= len(writer.store.calls) - before <= 16
    writer.store.sick.clear()
    writer.clock.now += 120.0
    for _ in range(2):
        writer.log.delete_old()
    assert not writer.log.written


def test_waiting_thread_is_woken_by_a_record_and_by_the_end_of_an_outage():
    """Guards against a thread that sleeps through either for its longest wait."""
    writer = Writer()
    log = writer.log
    log.clock = time.monotonic
    for wake_up in ("record", "answer"):
        log.retries.draw = lambda: 1.0
        thread = threading.Thread(target=log.wait_pending, args=(20.0,), daemon=True)
        thread.start()
        time.sleep(0.2)
        assert thread.is_alive()
        if wake_up == "record":
            writer.note(1)
        else:
            writer.answered_at = time.monotonic()
        thread.join(2.0)
        assert not thread.is_alive()
        log.write_pending()
        log.retries.parts[1].due_at += 1000.0


@pytest.fixture
def standin():
    found = StoreStandIn()
    yield found
    found.stop()


def test_places_of_writes_reach_the_store(standin):
    """Guards against a write whose place the store does not see, or rejects."""
    client = StoreClient(EndpointClient(CALL_S), standin.address)

    def put(epoch, seq):
        rows, place = [("call", b"value")], AppendPlace("host", epoch, seq)
        result = client.put_records(ORIGINS_TOPIC, 2, rows, CALL_S, place)
        return result.unwrap().offset if result.is_ok() else None

    places = [(1, 0), (1, 1), (1, 1), (1, 3), (3, 0), (1, 2), (3, 1)]
    assert [put(*place) for place in places] == [0, 1, 1, None, 2, None, 3]


def test_host_keeps_its_place_over_failures_and_returns_of_the_store():
    """Guards against writes that the store rejects by their numbers, so that streams
    wait for a further one."""
    writer = Writer(sick=())
    places = []
    put = writer.store.put_records

    def note_place(topic, part, rows, timeout_s, place=None):
        if place is not None:
            places.append(place[1:])
        return put(topic, part, rows, timeout_s)

    writer.store.put_records = note_place
    for number in range(6):
        writer.store.sick = {1} if number == 2 else set()
        writer.note(1, number)
        if number == 4:
            writer.log.write_lost(2)
        writer.run(0.05)
        writer.clock.now += 0.3
    writer.log.delete_old()
    assert places == [(1, 0), (1, 1), (1, 2), (2, 0), (3, 0), (3, 1)]
