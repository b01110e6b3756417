"""Tests of streams while engines of two software versions serve side by side."""

import signal
import threading
import time

import pytest
from tests.lib.version_fleet import StreamCaller, VersionFleet
from tests.lib.waits import wait_until

from poplarfold._internal.core.fleet.stream_origins import VERSION_SETTLED_S

STREAMS = 16
ENGINES = 6
# Streams that are to be taken up must not be whole before that, also on a slow machine:
# a take-up behind the last event gets no event, and 502. They run for 12 s at this
# pace, while their callers wait for 14 s; what is left of them is sent faster.
LONG_EVENTS = 120
PERIOD_S = 0.1
REST_PERIOD_S = 0.02
# A record fails after 0.8 s, and a host must have read the base version 10 s ago at
# most when other streams begin without one. More rounds would not leave that time.
NOTICE_ROUNDS = 3
TAKE_UPS_MAX = 5


@pytest.fixture
def fleet(tmp_path):
    found = VersionFleet(tmp_path)
    try:
        yield found
    finally:
        found.stop()


def begin_streams(fleet, count=STREAMS, first_number=0):
    """Begin streams at all hosts in turn, and wait until each has some events."""
    nodes = list(fleet.nodes.values())
    callers = [StreamCaller(first_number + number) for number in range(count)]
    for number, caller in enumerate(callers):
        caller.begin(nodes[number % len(nodes)])
    wait_until(lambda: all(c.count_events() >= 3 for c in callers), 10.0)
    return callers


def begin_until_noticed(fleet):
    """Begin streams until the store has accepted no record of any host.

    On a busy machine, an engine may not grant a lease in time, so that no record is
    written and a host has to be asked again.
    """
    callers = []
    for _ in range(NOTICE_ROUNDS):
        nodes = [node for node in fleet.nodes.values() if not node.logged("PF7116")]
        if not nodes:
            return callers
        begun = [StreamCaller(len(callers) + number) for number in range(len(nodes))]
        for caller, node in zip(begun, nodes, strict=True):
            caller.begin(node)
        for caller in begun:
            wait_until(lambda c=caller: c.answered_after_s is not None, 10.0)
        callers += begun
    raise AssertionError("a host has not noticed that the store is silent")


def take_up(callers, nodes):
    """Let all callers take up their streams at once; return those that went on."""
    outcomes = {}

    def run(number, caller):
        outcomes[number] = caller.take_up(nodes[(number + 1) % len(nodes)])

    threads = [
        threading.Thread(target=run, args=row, daemon=True)
        for row in enumerate(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    return [caller for number, caller in enumerate(callers) if outcomes[number]]


def take_up_partial(callers, fleet):
    """Let callers take up streams of which each lacks some events.

    A host that cannot read the store rejects a take-up, which may be repeated then. On
    a busy machine that happens with the store's stand-in, too; the host's log tells it.
    """
    for caller in callers:
        caller.thread.join(20)
    assert max(caller.count_events() for caller in callers) < LONG_EVENTS
    nodes = list(fleet.nodes.values())
    going_on, rejected = [], callers
    for _ in range(TAKE_UPS_MAX):
        going_on += take_up(rejected, nodes)
        rejected = [caller for caller in callers if caller not in going_on]
        if not rejected:
            break
        assert {caller.error_code for caller in rejected} == {"stream_version_unknown"}
        assert fleet.has_missed_store()
        time.sleep(1.0)
    return going_on


def joined(fleet, callers):
    """Return the streams that have run at two versions."""
    return [
        caller.first_id
        for caller in callers
        if len(fleet.versions_of(caller.first_id, caller.second_id)) > 1
    ]


def test_stream_that_breaks_off_goes_on_at_its_version(fleet):
    """Guards against an answer that goes on at an engine of another version."""
    fleet.announce("v1")
    broken, other = fleet.engines["i-v1-a"], fleet.engines["i-v1-b"]
    other.faults.add("no_room")
    fleet.start_hosts()
    callers = begin_streams(fleet)
    fleet.announce("v2")
    fleet.wait_announced(ENGINES)
    other.faults.clear()
    broken.faults.add("cut_streams")
    for caller in callers:
        caller.thread.join(20)
    assert joined(fleet, callers) == []
    whole = [c for c in callers if c.count_events() == other.events]
    assert len(whole) >= STREAMS / 2


def test_stream_that_is_taken_up_after_all_hosts_were_killed_goes_on_at_its_version(
    fleet,
):
    """Guards against a take-up that is joined from two versions, since no host knows
    any more which one began the stream."""
    fleet.set_streams(LONG_EVENTS, PERIOD_S)
    # Each host prefers engines of its own zone, so that both versions begin streams.
    # Of engines in one zone, a host may use a single one as long as it answers fast.
    fleet.announce("v1", zones=("lhr-a",))
    fleet.start_hosts()
    fleet.wait_base_version()
    fleet.announce("v2", zones=("khi-a",))
    fleet.wait_announced(ENGINES)
    # Until then streams begin at v1 only, however long they wait for a slot.
    time.sleep(VERSION_SETTLED_S)
    callers = begin_streams(fleet)
    begun = {next(iter(fleet.versions_of(caller.first_id))) for caller in callers}
    assert begun == {"v1", "v2"}
    fleet.kill_hosts()
    fleet.set_streams(LONG_EVENTS, REST_PERIOD_S)
    fleet.start_hosts()
    going_on = take_up_partial(callers, fleet)
    assert joined(fleet, callers) == []
    assert len(going_on) == STREAMS
    assert {caller.count_events() for caller in callers} == {LONG_EVENTS}


def test_stream_is_not_taken_up_once_its_version_has_left(fleet):
    """Guards against a host that has just started and takes the one version that it
    sees for the one that began the stream."""
    fleet.announce("v1")
    fleet.start_hosts()
    callers = begin_streams(fleet)
    fleet.kill_hosts()
    fleet.withdraw("v1")
    fleet.announce("v2")
    fleet.start_hosts()
    started_at = time.monotonic()
    assert take_up(callers, list(fleet.nodes.values())) == []
    assert joined(fleet, callers) == []
    assert {caller.status for caller in callers} == {503}
    assert max(caller.answered_after_s for caller in callers) < 1.0
    assert time.monotonic() - started_at < 5.0
    # New streams begin at once.
    begin_streams(fleet, 4)


def test_streams_that_begin_while_the_store_is_silent_are_not_joined(fleet):
    """Guards against a stream without a record that the base version is taken to have
    begun, since the store was away when another version began it."""
    fleet.set_streams(LONG_EVENTS, PERIOD_S)
    # Hosts prefer v2, which each of them has in its own zone; v1 is far from both.
    fleet.announce("v1", zones=("isb-a",))
    fleet.start_hosts()
    fleet.wait_base_version()
    fleet.announce("v2", zones=("lhr-a", "khi-a"))
    fleet.wait_announced(ENGINES)
    # Until then streams begin at v1 only.
    time.sleep(VERSION_SETTLED_S)
    # A host needs records for streams of the base version, too, if it has read that
    # more than 10 s ago.
    fleet.wait_base_reads(fleet.count_base_reads() + len(fleet.nodes))
    fleet.store.mode = "silent"
    fleet.set_room("v1", False)
    # What a host begins before it notices may be rejected, but must not be joined.
    first = begin_until_noticed(fleet)
    assert fleet.versions_of(*(caller.first_id for caller in first)) == {"v2"}
    fleet.set_room("v1", True)
    # Only streams of the base version need no record.
    callers = begin_streams(fleet, 8, first_number=100)
    assert fleet.versions_of(*(caller.first_id for caller in callers)) == {"v1"}
    fleet.kill_hosts()
    fleet.set_streams(LONG_EVENTS, REST_PERIOD_S)
    fleet.store.mode = "up"
    fleet.start_hosts()
    callers += [caller for caller in first if caller.count_events()]
    going_on = take_up_partial(callers, fleet)
    assert joined(fleet, callers) == []
    assert len(going_on) == len(callers)
    assert {caller.count_events() for caller in callers} == {LONG_EVENTS}


def test_take_up_during_a_stop_is_answered_although_the_store_is_silent(fleet):
    """Guards against a stream without an answer at the end of a stop, since its host
    waits for the store."""
    fleet.announce("v1")
    fleet.start_hosts()
    fleet.store.mode = "silent"
    node = fleet.nodes["front-lhr-a-1"]
    node.process.send_signal(signal.SIGTERM)
    # The time counts from when the process has noticed the signal.
    wait_until(lambda: node.request("ready", "/v1/readyz").status == 503, 2.0)
    time.sleep(1.0)
    caller = StreamCaller(1)
    caller.read(node, {"Last-Event-Id": "3", "Resumes": "unknown"})
    assert caller.status == 503
    assert caller.answered_after_s < 0.3
