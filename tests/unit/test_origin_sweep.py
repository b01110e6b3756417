"""Tests of the deletion of records of streams whose hosts have ended."""

import random
import threading
import time

import pytest
from tests.lib.origin_hosts import PARTITIONS, SERVICE, Host, MemoryStore, endpoint
from tests.lib.platform_standin import StoreStandIn

from poplarfold._internal.core.fleet.stream_origins import Origin
from poplarfold._internal.gateway import base_versions, stream_versions
from poplarfold._internal.gateway.origin_log import WrittenOrigin
from poplarfold._internal.gateway.origin_records import encode_origin, partition_of
from poplarfold._internal.gateway.origin_sweep import OriginSweep
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.platform import ORIGINS_TOPIC, StoreClient

LIFE_S = 38.0
HOUR_S = 3600.0
# For a stand-in of the store whose threads are held up on a busy machine.
CALL_S = 10.0
ENDED = [f"ended-{n}" for n in range(200)]


@pytest.fixture
def standin():
    found = StoreStandIn()
    yield found
    found.stop()


class Hosts:
    """Hosts that sweep one store, under a clock of the test."""

    def __init__(self, count):
        self.now = 0.0
        self.store = MemoryStore()
        self.sweeps = [
            OriginSweep(
                self.store.of(f"front-{n}"),
                PARTITIONS,
                1.0,
                lambda: self.now,
                random.Random(n),
                lambda *row: None,
            )
            for n in range(count)
        ]

    def write(self, key, attempt=1):
        part = partition_of(key, PARTITIONS)
        value = encode_origin(Origin("llm", "v2", attempt))
        self.store.of("").put_records(ORIGINS_TOPIC, part, [(key, value)], 1.0)
        self.store.calls = 0

    def advance(self, seconds, step_s=5.0, life_s=LIFE_S):
        """Let time pass; return how many calls came in each step."""
        calls = []
        for _ in range(round(seconds / step_s)):
            before = self.store.calls
            self.now += step_s
            for sweep in self.sweeps:
                sweep.step(life_s)
            calls.append(self.store.calls - before)
        return calls

    def keys(self):
        return {
            key for log in self.store.logs for key, value in dict(log).items() if value
        }


def test_records_of_ended_hosts_are_deleted_in_time():
    """Guards against a store that fills up with records of streams whose hosts have
    ended: 200 of 200 were left after 10 min, and for good."""
    hosts = Hosts(3)
    for key in ENDED:
        hosts.write(key)
    hosts.advance(2.0 * HOUR_S)
    assert not hosts.keys()


@pytest.mark.parametrize("records", [0, 200])
def test_sweeps_cost_few_calls_and_no_bursts(records):
    """Guards against a price of the store's calls that grows with the hosts, and
    against hosts that visit it at the same time: each makes six reads an hour."""
    hosts = Hosts(400)
    for key in ENDED[:records]:
        hosts.write(key)
    calls = hosts.advance(2.0 * HOUR_S)
    assert sum(calls) <= 400 * 2.0 * 6.5
    assert max(calls) <= 20
    assert hosts.store.deletions <= 40
    assert not hosts.keys()


def test_records_that_are_not_old_are_kept():
    """Guards against streams that are joined from two versions (ORDER), since the
    record of one that may still be taken up was deleted."""
    hosts = Hosts(50)
    hosts.advance(100.0)
    written_at = {}
    for number in range(600):
        key = f"new-{number}"
        hosts.write(key)
        written_at[key] = hosts.now
        hosts.advance(5.0)
        kept = {key for key, at in written_at.items() if hosts.now - at <= 3 * LIFE_S}
        assert kept <= hosts.keys()
    hosts.advance(HOUR_S)
    assert not hosts.keys()


def test_streams_that_live_longer_than_the_period_are_kept():
    """Guards against a life of streams that a new configuration has made longer than
    the time between two visits."""
    hosts = Hosts(50)
    hosts.write("long")
    hosts.advance(3.0 * HOUR_S, life_s=HOUR_S)
    assert hosts.keys() == {"long"}
    hosts.advance(2.0 * HOUR_S, life_s=HOUR_S)
    assert not hosts.keys()


@pytest.mark.parametrize("when", ["between visits", "before the deletion"])
@pytest.mark.parametrize("attempt", [1, 2])
def test_record_that_is_written_again_is_kept(when, attempt):
    """Guards against the deletion of a newer record than the one that was read: its
    stream would count as one of the base version (ORDER)."""
    hosts = Hosts(1)
    (sweep,) = hosts.sweeps
    hosts.write("call")
    sweep.part = partition_of("call", PARTITIONS)
    while not sweep.seen:
        hosts.advance(5.0)
    if when == "between visits":
        hosts.write("call", attempt)
    else:
        delete = sweep.store.delete_keys_at

        def write_first(*call):
            hosts.write("call", attempt)
            return delete(*call)

        sweep.store.delete_keys_at = write_first
    while sweep.seen:
        hosts.advance(5.0)
    assert hosts.keys() == {"call"}


def test_return_of_the_store_starts_a_partition_anew():
    """Guards against records that are compared by offsets of two eras."""
    hosts = Hosts(1)
    (sweep,) = hosts.sweeps
    sweep.part = partition_of("call", PARTITIONS)
    hosts.write("other")
    copy = hosts.store.copy()
    hosts.write("call")
    while "call" not in sweep.seen:
        hosts.advance(5.0)
    hosts.store.return_to(copy)
    hosts.write("call")
    hosts.advance(900.0)
    assert "call" in hosts.keys()
    hosts.advance(900.0)
    assert "call" not in hosts.keys()


def test_sweep_goes_on_after_an_outage():
    """Guards against calls at each step while the store is away, and against a sweep
    that forgets what it was about."""
    hosts = Hosts(3)
    for key in ENDED:
        hosts.write(key)
    hosts.store.is_up = False
    assert sum(hosts.advance(HOUR_S)) <= 3 * 7
    hosts.store.is_up = True
    hosts.advance(2.0 * HOUR_S)
    assert not hosts.keys()


def test_hosts_delete_the_records_of_a_host_that_has_ended():
    """Guards against hosts that never sweep: 200 of 200 records were left."""
    now, store = [1000.0], MemoryStore()
    engines = {name: endpoint(name, name) for name in ("v1", "v2")}
    hosts = [Host(f"front-{n}", lambda: now[0], store) for n in range(3)]

    def advance(seconds):
        until = now[0] + seconds
        while now[0] < until:
            now[0] += 5.0
            for host in hosts:
                host.learn(engines)
                host.step()

    advance(10.0)
    base = hosts[0].versions.bases.last_read(SERVICE).version
    (other,) = set(engines) - {base}
    for key in ENDED:
        assert hosts[0].begin(key, engines[other]) == (True, True)
    del hosts[0]
    advance(2.0 * HOUR_S)
    newest = [value for log in store.logs for value in dict(log).values()]
    assert len(newest) == len(ENDED)
    assert sum(map(bool, newest)) == 0


@pytest.mark.parametrize("writes_between", [False, True])
def test_store_deletes_keys_of_a_partition_unless_it_has_grown(standin, writes_between):
    """Guards against a deletion without the condition that keeps newer records."""
    store = StoreClient(EndpointClient(CALL_S), standin.address)
    rows = [("a", b"1"), ("b", b"2")]
    assert store.put_records(ORIGINS_TOPIC, 3, rows, CALL_S).is_ok()
    end = store.read_newest(ORIGINS_TOPIC, CALL_S, 3).unwrap().end
    if writes_between:
        store.put_records(ORIGINS_TOPIC, 3, [("b", b"3")], CALL_S)
    result = store.delete_keys_at(ORIGINS_TOPIC, 3, ["a", "b"], end, CALL_S)
    assert result.is_ok() is not writes_between
    batch = store.read_newest(ORIGINS_TOPIC, CALL_S, 3).unwrap()
    kept = {row.key: row.value for row in batch.records if row.value}
    assert kept == ({"a": b"1", "b": b"3"} if writes_between else {})


class HangingStore:
    """A store whose calls of one kind for origins hang until ``may_answer`` is set."""

    def __init__(self, store, kind):
        self.store = store
        self.kind = kind
        self.hangs = threading.Event()
        self.may_answer = threading.Event()
        self.base_reads = 0

    def __getattr__(self, name):
        call = getattr(self.store, name)

        def pass_on(topic, *arguments):
            if topic != ORIGINS_TOPIC:
                self.base_reads += name == "read_newest"
            elif name == self.kind:
                self.hangs.set()
                self.may_answer.wait(20.0)
            return call(topic, *arguments)

        return pass_on


@pytest.mark.parametrize("kind", ["read_newest", "delete_keys_at", "put_records"])
def test_slow_deletion_of_records_delays_no_base_version(kind, monkeypatch):
    """Guards against base versions that are not read while a call of the sweep hangs,
    or one that deletes this host's own old records."""
    monkeypatch.setattr(base_versions, "READ_REFRESH_S", 0.05)
    monkeypatch.setattr(stream_versions, "CHECK_PERIOD_S", 0.02)
    skipped_s = [0.0]
    memory = MemoryStore()
    host = Host("front-1", lambda: time.monotonic() + skipped_s[0], memory)
    host.learn({"i-1": endpoint("i-1", "v1")})
    skipped_s[0] = HOUR_S
    versions, sweep = host.versions, host.versions.sweep
    store = HangingStore(memory.of("front-1"), kind)
    versions.bases.store = versions.origins.store = sweep.store = store
    # One record of a host that has ended, which was seen before, and one of this host.
    part = partition_of("ended", PARTITIONS)
    row = ("ended", encode_origin(Origin(SERVICE, "v2", 1)))
    memory.append(part, [row], None)
    batch = memory.of("front-1").read_newest(ORIGINS_TOPIC, 1.0, part).unwrap()
    sweep.part, sweep.era, sweep.seen_at = part, 1, 0.0
    sweep.seen = {record.key: record for record in batch.records}
    versions.origins.written["own"] = WrittenOrigin(0.0, 1)
    # Not all new threads of the process: those of earlier tests may start some.
    threads, start_thread = [], stream_versions.start_thread
    monkeypatch.setattr(
        stream_versions, "start_thread", lambda *row: threads.append(start_thread(*row))
    )
    versions.start()
    assert threads
    try:
        assert store.hangs.wait(5.0)
        reads, until = store.base_reads, time.monotonic() + 5.0
        while store.base_reads < reads + 5 and time.monotonic() < until:
            time.sleep(0.01)
        assert store.base_reads >= reads + 5
    finally:
        versions.stopping.set()
        store.may_answer.set()
        for thread in threads:
            thread.join(5.0)
    assert not any(thread.is_alive() for thread in threads)
