"""Threads that read the store's topics, or wait while relays send the records."""

import threading
from functools import partial
from typing import Any, NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.fallback import (
    CHECK_PERIOD_S,
    fallback_spread_s,
    notice_wait_s,
    return_wait_s,
)
from poplarfold._internal.core.fleet.keyed_view import TopicBatch, ViewRecord
from poplarfold._internal.exceptions import (
    PoplarfoldError,
    StoreGapError,
    StoreTopicMissingError,
)
from poplarfold._internal.gateway.relay_link import RelayLink
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import RecordBatch, StoreClient, StoreTopic

__all__ = ["StoreReader", "as_topic_batch"]

# The pause between failed calls, so that few calls are made during an outage. It
# grows with the number of nodes, of which each may be cut off from its relays. That of
# the first relays does not grow: the others wait for them when the store returns.
READ_RETRY_S = 0.4
NODES_PER_RETRY_PAUSE = 50
# A node that has just started waits this long for records from relays.
START_WAIT_S = 1.0
MEMBER_POLL_S = 3.0
# How often a node that waits for a relay's snapshot looks whether it has come.
RETURN_CHECK_S = 0.05
PART_WAIT_S = 3.0
# What only relays read is read again this long after it has failed more than once, but
# for jitter, or once another topic was read. For its topics and its own record, a node
# thus makes at most eight calls a second in an outage: 6.7 for the other two topics.
RELAY_TOPICS = frozenset({StoreTopic.NODES, StoreTopic.PARTS})
RELAY_TOPIC_RETRY_S = 3.0
# The part of the longest wait for a relay over which the waits of nodes differ.
NOTICE_SPREAD_SHARE = 0.25


class FollowedTopic(NamedTuple):
    """A topic, how long a read waits for records, and the pause after a read."""

    topic: StoreTopic
    read_wait_s: float
    pause_s: float


class StoreReader:
    """Follows the topics of routes, endpoints, nodes and parts, each in its own thread.

    A failed read is retried from the same offset. If records after the offset
    have been deleted, the newest record of each key is read instead. After a return
    of the store to an older copy, the relays read that, and the other nodes only if no
    relay sends it in time.
    """

    def __init__(
        self,
        state: TopicState,
        store: StoreClient,
        relay_link: RelayLink,
        write_log: WriteLog,
    ) -> None:
        self.state = state
        self.fleet = state.fleet
        self.store = store
        self.relay_link = relay_link
        self.write_log = write_log
        settings = self.fleet.settings
        bounds = self.fleet.host.bounds
        self.call_timeout_s = settings.store_call_s
        self.bound_s = min(bounds.apply_s, bounds.leaving_s)
        self.return_wait_s = return_wait_s(self.bound_s)
        self.started_at = self.fleet.clock()
        # When the store has last answered a read.
        self.answered_at = self.started_at
        self.stopping = threading.Event()
        self.topics = (
            FollowedTopic(
                StoreTopic.ROUTES, settings.route_wait_share * bounds.apply_s, 0.0
            ),
            FollowedTopic(
                StoreTopic.ENDPOINTS,
                0.0,
                settings.endpoint_poll_share * bounds.leaving_s,
            ),
            FollowedTopic(StoreTopic.NODES, 0.0, MEMBER_POLL_S),
            FollowedTopic(StoreTopic.PARTS, PART_WAIT_S, 0.0),
        )

    def start(self) -> None:
        """Start the threads."""
        for topic in self.topics:
            name = f"follow-{topic.topic.name.lower()}"
            start_thread(name, partial(self.follow, topic), self.write_log)

    def follow(self, followed: FollowedTopic) -> None:
        """Keep a topic current until stopped."""
        topic = followed.topic
        is_reading = True
        needs_snapshot = self.state.views[topic].end is None
        may_wait = True
        failures = 0
        while not self.stopping.is_set():
            if not self.must_read(topic):
                if is_reading:
                    self.write_log("PF7110", None, self.reading_fields(topic))
                is_reading = False
                # What relays have sent need not be read again.
                needs_snapshot = self.state.views[topic].end is None
                self.wait_for_check()
                continue
            if not is_reading:
                is_reading = True
                # A kept connection may be dead, which a waiting read notices late.
                may_wait = False
                self.write_log("PF7109", None, self.reading_fields(topic))
                self.stopping.wait(self.fallback_delay_s())
                continue
            era = self.state.views[topic].era
            offset = None if needs_snapshot else self.state.views[topic].end
            wait_s = followed.read_wait_s if may_wait else 0.0
            seen_era = self.relay_link.notices.seen_era
            self.relay_link.begin_read(topic)
            started_at = self.fleet.clock()
            result = self.read(topic, offset, wait_s)
            if result.is_ok() or isinstance(result.unwrap_err(), StoreGapError):
                self.answered_at = self.fleet.clock()
            if result.is_ok():
                batch = as_topic_batch(result.unwrap(), offset)
                read_at = self.known_at(batch, started_at, wait_s)
                is_applied = self.state.apply(topic, batch, read_at)
                self.relay_link.notices.end(topic)
                if not is_applied:
                    # The store has come back from an older copy.
                    needs_snapshot = self.must_read_newest(topic, era)
                    continue
                # It is unknown how long a read with records has waited for them. The
                # next one does not wait, and tells that the topic is current.
                may_wait = not batch.records
                needs_snapshot = False
                failures = 0
                self.stopping.wait(self.pause_after(followed, batch, started_at))
                continue
            self.relay_link.notices.end(topic)
            error = result.unwrap_err()
            if isinstance(error, StoreGapError):
                self.write_log("PF7101", None, {"topic": topic.value})
                needs_snapshot = self.must_read_newest(topic, era)
                continue
            self.state.record_failure(topic, error)
            # The first failure is retried at once, so that an unresponsive connection
            # is replaced. Later ones wait, so that an outage causes few calls. None of
            # them waits for records: the first answer may name a new era.
            failures += 1
            may_wait = False
            if failures > 1:
                self.wait_for_retry(topic, seen_era)

    def must_read(self, topic: StoreTopic) -> bool:
        """Return whether this node has to read a topic from the store itself."""
        if self.relay_link.is_relay():
            return True
        if topic in RELAY_TOPICS:
            return False
        if self.state.views[topic].end is None:
            return self.fleet.clock() - self.started_at > START_WAIT_S
        return not self.state.is_current(topic)

    def must_read_newest(self, topic: StoreTopic, era: int) -> bool:
        """Return whether to read the newest records, after a read in an era failed.

        If the store has come back from an older copy, relays have time to send them
        first: a large fleet would ask the store for more than it can send at once.
        """
        view = self.state.views[topic]
        store_era = self.store.last_era
        if view.end is not None and self.state.is_behind(topic, store_era):
            self.wait_for_relays(topic, store_era)
        # A snapshot of a later era has come otherwise.
        return view.era == era

    def wait_for_relays(self, topic: StoreTopic, era: int) -> None:
        """Wait until a relay has sent an era of a topic, or this node must read it.

        The wait is longer while a relay says that it reads.
        """
        clock, link = self.fleet.clock, self.relay_link
        link.note_return(era)
        started_at = clock()
        until = started_at + self.return_wait_s + self.spread_s()
        latest = started_at + self.notice_wait_s()
        # Random, as relays that fall silent do so for all their subscribers at once.
        heard_wait_s = self.return_wait_s * (0.75 + 0.5 * self.fleet.rng.random())
        while clock() < until and not self.stopping.is_set():
            if not self.state.is_behind(topic, era) or link.must_read_return(era):
                return
            heard_at = link.notices.heard_at(era)
            if heard_at is not None:
                until = max(until, min(latest, heard_at + heard_wait_s))
            self.stopping.wait(RETURN_CHECK_S)

    def notice_wait_s(self) -> float:
        """Return a random wait, up to the longest one for a relay that reads."""
        nodes, connect_s = self.fleet.node_count(), self.fleet.settings.connect_s
        longest_s = notice_wait_s(self.bound_s, nodes, connect_s) + self.spread_s()
        range_s = NOTICE_SPREAD_SHARE * (longest_s - self.return_wait_s)
        return longest_s - range_s * self.fleet.rng.random()

    def wait_for_check(self) -> None:
        """Wait until it is due to check whether this node must read.

        The first list of nodes ends the wait, since this node may be a relay.
        """
        members_known = self.relay_link.members_known
        waits_for = self.stopping if members_known.is_set() else members_known
        waits_for.wait(CHECK_PERIOD_S)

    def reading_fields(self, topic: StoreTopic) -> dict[str, Any]:
        """Return the fields of the events on beginning and ending to read a topic."""
        name = topic.name.lower()
        return {
            "topic": name,
            "is_relay": self.relay_link.is_relay(),
            "known": self.fleet.describe_knowledge(name),
        }

    def fallback_delay_s(self) -> float:
        """Return a random delay before a node without current relays reads."""
        if self.relay_link.is_relay():
            return 0.0
        return self.spread_s()

    def spread_s(self) -> float:
        """Return a random part of the time within which nodes begin to read."""
        return fallback_spread_s(self.fleet.node_count()) * self.fleet.rng.random()

    def wait_for_retry(self, topic: StoreTopic, seen_era: int) -> None:
        """Wait before a read is repeated that has failed more than once.

        A return of the store to a later era that a subscriber has seen ends the wait.
        """
        clock, notices = self.fleet.clock, self.relay_link.notices
        failed_at = clock()
        notices.wait_for_return(seen_era, self.retry_pause_s())
        if topic not in RELAY_TOPICS:
            return
        until = failed_at + RELAY_TOPIC_RETRY_S * self.jitter()
        while clock() < until and self.answered_at < failed_at:
            if notices.seen_era > seen_era or self.stopping.wait(CHECK_PERIOD_S):
                return

    def jitter(self) -> float:
        """Return a random factor that spreads the calls to the store."""
        return 0.75 + 0.5 * self.fleet.rng.random()

    def retry_pause_s(self) -> float:
        """Return the pause after a failed read."""
        factor = 1.0
        if not self.relay_link.choice.is_first():
            factor = max(1.0, self.fleet.node_count() / NODES_PER_RETRY_PAUSE)
        return READ_RETRY_S * factor * self.jitter()

    def pause_after(
        self, followed: FollowedTopic, batch: TopicBatch, started_at: float
    ) -> float:
        """Return the pause after a read.

        A topic without any record does not exist yet, so that a read does not wait.
        """
        if batch.end > 0:
            return followed.pause_s
        took_s = self.fleet.clock() - started_at
        return max(followed.pause_s, followed.read_wait_s - took_s)

    def known_at(self, batch: TopicBatch, started_at: float, wait_s: float) -> float:
        """Return a time at which the topic had no records after those of a read.

        That is when the call began, or when the store stopped waiting for a record.
        """
        took_s = self.fleet.clock() - started_at
        has_waited = not batch.is_snapshot and not batch.records and took_s >= wait_s
        return started_at + wait_s if has_waited else started_at

    def read(
        self, topic: StoreTopic, offset: int | None, wait_s: float
    ) -> Result[RecordBatch, PoplarfoldError]:
        """Read the records from an offset on, or the newest per key if it is None.

        ``wait_s`` is how long the store waits for a record.
        """
        result: Result[RecordBatch, Any]
        if offset is None:
            result = self.store.read_newest(topic, self.call_timeout_s)
        else:
            result = self.store.read_from(topic, offset, wait_s, self.call_timeout_s)
        is_err = result.is_err()
        if is_err and topic is StoreTopic.PARTS and is_missing(result.unwrap_err()):
            if offset:
                # The store has come back from a copy of before the first record.
                return Err(StoreGapError(f"{topic}: the topic does not exist any more"))
            return Ok(RecordBatch((), 0, era=self.store.last_era))
        return result


def is_missing(error: PoplarfoldError) -> bool:
    """Return whether a read failed because nothing was written to the topic yet."""
    return isinstance(error, StoreTopicMissingError)


def as_topic_batch(read: RecordBatch, offset: int | None) -> TopicBatch:
    """Return what was read from an offset on, or a snapshot if it is None."""
    records = tuple(ViewRecord(*record) for record in read.records)
    return TopicBatch(
        records, offset or 0, read.end, is_snapshot=offset is None, era=read.era
    )
