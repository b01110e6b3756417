"""Tests of the pauses between failed announcements of a node."""

import threading
import time

import pytest
from tests.lib.relay_nodes import host_settings
from tests.lib.virtual_time import VirtualClock, VirtualEvent

from poplarfold._internal.core.fleet.keyed_view import TopicBatch
from poplarfold._internal.gateway import announcer
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.platform import StoreTopic

RETRY_S = 0.4
# Ends a test whose node makes calls without any pause.
CALLS_MAX = 1000


class Node:
    """A node whose announcements are counted, and fail unless ``accepts``."""

    def __init__(self, unknown_nodes=0):
        settings = GatewaySettings(unknown_nodes=unknown_nodes)
        fleet = Fleet(host_settings("node-1", "127.0.0.1:9"), settings, 1)
        self.state = TopicState(fleet, lambda *row: None)
        self.announcer = announcer.Announcer(self.state, self, None, lambda *row: None)
        self.announcer.read_members = lambda: True
        self.announcer.is_lost = lambda: False
        self.announcer.announce = self.announce
        self.accepts = False
        self.calls = []
        self.thread = threading.Thread(target=self.announcer.run, daemon=True)

    def announce(self):
        self.state.await_answer()
        self.calls.append(self.state.fleet.clock())
        assert len(self.calls) < CALLS_MAX
        return self.accepts

    def run_virtually(self, duration_s, on_step=lambda: None):
        """Run the announcer for some seconds of a virtual clock.

        ``on_step`` is called every 5 ms of its waits.
        """

        def step():
            on_step()
            if clock.now >= until:
                self.announcer.stop()

        clock = VirtualClock(0.005, step)
        until = clock.now + duration_s
        self.state.fleet.clock = clock
        self.announcer.stopping = VirtualEvent(clock)
        self.state.nodes_returned = VirtualEvent(clock)
        self.state.store_answered = VirtualEvent(clock)
        self.announcer.run()

    def stop(self):
        """Stop the announcer; return how long its thread went on."""
        started_at = time.monotonic()
        self.announcer.stop()
        self.thread.join(5.0)
        assert not self.thread.is_alive()
        return time.monotonic() - started_at


def test_store_that_only_answers_reads_gets_few_announcements(monkeypatch):
    """Guards against a call for each read of a store that refuses all writes."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", RETRY_S)
    node = Node()
    node.run_virtually(3.0, lambda: node.state.store_answered.set())
    # The pauses are 0.3 to 0.5 s, and one retry is early: 10 without answers to reads,
    # 11 with them.
    assert 4 <= len(node.calls) <= 12


def test_failed_announcements_are_not_repeated_sooner_without_an_answer(monkeypatch):
    """Guards against an outage that causes more calls than one for each pause."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", RETRY_S)
    node = Node()
    node.run_virtually(2.0)
    pauses = [
        later - call for call, later in zip(node.calls, node.calls[1:], strict=False)
    ]
    assert len(pauses) >= 2
    assert min(pauses) >= 0.75 * RETRY_S


def test_answer_during_a_failing_call_ends_the_pause_after_it(monkeypatch):
    """Guards against a node that misses the end of an outage since its own call was
    still waiting for an answer when the store answered a read."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", 40.0)
    node = Node()
    announce = node.announce

    def announce_beside_read():
        is_accepted = announce()
        node.state.store_answered.set()
        return is_accepted or len(node.calls) > 1

    node.announcer.announce = announce_beside_read
    node.run_virtually(1.0)
    assert len(node.calls) == 2


def test_spread_makes_no_announcement_later_than_its_pause(monkeypatch):
    """Guards against a large fleet whose nodes write later than without the answer."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", RETRY_S)
    node = Node(unknown_nodes=1_000_000)
    started_at = time.monotonic()
    node.state.store_answered.set()
    node.announcer.wait_for_retry()
    assert time.monotonic() - started_at < 10 * RETRY_S


@pytest.mark.parametrize("source", ["store", "relay"])
def test_only_reads_that_began_after_the_call_tell_that_the_store_answers(source):
    """Guards against a retry that is spent at the beginning of an outage, on a read
    that was answered before it, and against followers that miss its end: they get the
    records of their relays before they read themselves."""
    state = Node().state
    empty = TopicBatch((), 0, 0, is_snapshot=True, era=1)
    before = state.fleet.clock()
    time.sleep(0.01)
    state.await_answer()
    assert state.apply(StoreTopic.ENDPOINTS, empty, before, source)
    assert not state.store_answered.is_set()
    assert state.apply(StoreTopic.ENDPOINTS, empty, state.fleet.clock(), source)
    assert state.store_answered.is_set()
    state.await_answer()
    assert not state.store_answered.is_set()


@pytest.mark.parametrize("was_accepted", [False, True])
@pytest.mark.parametrize("is_answered", [False, True])
def test_thread_ends_during_the_pause_after_a_failure(
    was_accepted, is_answered, monkeypatch
):
    """Guards against a thread that outlives its node for the rest of a pause, whether
    the first announcement or a renewal has failed."""
    monkeypatch.setattr(announcer, "ANNOUNCE_RETRY_S", 40.0)
    monkeypatch.setattr(announcer, "ANNOUNCE_PERIOD_S", 0.1)
    # The spread is an hour, so that the pause after an answer is long as well.
    node = Node(unknown_nodes=1_000_000)
    node.accepts = was_accepted
    node.thread.start()
    time.sleep(0.3)
    node.accepts = False
    time.sleep(0.3)
    if is_answered:
        node.state.store_answered.set()
        time.sleep(0.1)
    assert node.stop() < 2.0
