"""Applies the records of the store's topics, whether read here or sent by a relay."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from poplarfold._internal.core.fleet.directory import EndpointChange
from poplarfold._internal.core.fleet.fallback import reliance_s
from poplarfold._internal.core.fleet.keyed_view import KeyedView, TopicBatch
from poplarfold._internal.core.fleet.relay_messages import KnownTopic, TopicRecords
from poplarfold._internal.exceptions import PoplarfoldError
from poplarfold._internal.gateway.fleet import Fleet, TopicKnowledge
from poplarfold._internal.gateway.topic_records import decode_record
from poplarfold._internal.gateway.topic_updates import Effect, TopicUpdates
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import StoreTopic

__all__ = ["TopicPosition", "TopicState", "record_store_era"]

# The source of records that this node has read from the store itself.
STORE_SOURCE = "store"
# The events on records that also tell what the node knew of the topic.
EVENTS_WITH_KNOWLEDGE = frozenset({"PF7106", "PF7107", "PF7108"})

Publish = Callable[[StoreTopic, TopicBatch, float], None]


class TopicPosition(NamedTuple):
    """An offset of a topic in an era of the store."""

    era: int
    end: int


class KnownRecord(NamedTuple):
    """The value of a key, or None, in an era of the store."""

    value: bytes | None
    era: int


class TopicState:
    """The topics as this node knows them. Thread-safe.

    ``publish`` passes the records of the store to the subscribers of this node, and
    ``updates`` puts them into force here. Records are passed on at once, also those
    that have no effect on this node yet: each node decides by its own knowledge of the
    store how long it holds back the deletion of an endpoint.
    """

    def __init__(self, fleet: Fleet, write_log: WriteLog) -> None:
        self.fleet = fleet
        self.write_log = write_log
        self.publish: Publish = lambda topic, batch, read_at: None
        self.updates = TopicUpdates(fleet)
        # Serializes updates, so that an older record cannot be applied last.
        self.lock = threading.Lock()
        # Set when the nodes have been read from an older copy of the store.
        self.nodes_returned = threading.Event()
        # Set when the store has answered a read, of this node or of a relay, that began
        # after the last call of ``await_answer``.
        self.store_answered = threading.Event()
        self.answer_awaited_at = 0.0
        self.views = {topic: KeyedView() for topic in StoreTopic}
        # When each topic was last known to be current.
        self.current_at: dict[StoreTopic, float] = {}
        bounds = fleet.host.bounds
        # The time within which a change of a topic must be in force.
        self.bounds_s = {
            StoreTopic.ROUTES: bounds.apply_s,
            StoreTopic.ENDPOINTS: bounds.leaving_s,
        }

    def is_current(self, topic: StoreTopic) -> bool:
        """Return whether the topic was read recently, here or by a relay."""
        at = self.current_at.get(topic)
        return at is not None and self.is_recent(topic, at)

    def is_recent(self, topic: StoreTopic, read_at: float) -> bool:
        """Return whether records that were read at a time may still be relied on."""
        bound_s = self.bounds_s.get(topic)
        if bound_s is None:
            return True
        connect_s = self.fleet.settings.connect_s
        limit_s = reliance_s(bound_s, self.fleet.node_count(), connect_s)
        return self.fleet.clock() - read_at < limit_s

    def is_outdated(self, topic: StoreTopic, era: int) -> bool:
        """Return whether a later era of the store is known for a topic."""
        with self.lock:
            view = self.views[topic]
            return view.end is not None and era < view.era

    def is_behind(self, topic: StoreTopic, era: int) -> bool:
        """Return whether a topic is known in an earlier era of the store only."""
        with self.lock:
            return self.views[topic].era < era

    def apply(
        self,
        topic: StoreTopic,
        batch: TopicBatch,
        read_at: float,
        source: str = STORE_SOURCE,
    ) -> bool:
        """Apply records from a relay or from the store, and publish what has changed.

        All of them were known at ``read_at``. Only this node's own reads are published
        without a change: two relays that subscribe to each other would otherwise send
        messages forever.

        Returns False if records are missing before the batch. What it contains is in
        force then, but the topic does not count as known up to its end. The records of
        an earlier era of the store are ignored, and those of a later one need a
        snapshot first.
        """
        with self.lock:
            view = self.views[topic]
            if view.is_outdated(batch):
                return True
            before = view.end
            has_returned = view.is_return(batch) and batch.is_snapshot
            if has_returned:
                self._begin_return(topic, view, batch, source)
            if topic is StoreTopic.ROUTES:
                batch = keep_newer_routes(view, batch, has_returned)
            continues = view.continues(batch)
            has_newer, effects = self._apply_newer(topic, view, batch, source)
            if has_returned and topic is StoreTopic.NODES:
                self.nodes_returned.set()
            if not continues:
                self._log_effects(topic, effects)
                return False
            self.current_at[topic] = max(read_at, self.current_at.get(topic, read_at))
            if read_at >= self.answer_awaited_at:
                self.store_answered.set()
            with self.fleet.lock:
                self.fleet.knowledge[topic.name.lower()] = TopicKnowledge(
                    self.current_at[topic], view.end or 0, source
                )
            self._log_effects(topic, effects)
            if topic is StoreTopic.ENDPOINTS and self.is_current(topic):
                # Old records, from a relay that cannot read the store, are no sign
                # that the store answers.
                self._record_store_state(None)
            if has_newer or view.end != before or source == STORE_SOURCE:
                # After a snapshot it is unknown which keys were deleted before it, so
                # the subscribers need all of it.
                start = before if before is not None and not batch.is_snapshot else -1
                changes = view.changes_since(start)
                self.publish(topic, changes, self.current_at[topic])
            return True

    def record_failure(self, topic: StoreTopic, error: PoplarfoldError) -> None:
        """Record that this node could not read a topic, and that no relay could."""
        if topic is not StoreTopic.ENDPOINTS or self.is_current(topic):
            return
        with self.lock:
            self._record_store_state(error)

    def await_answer(self) -> None:
        """Let ``store_answered`` tell of reads that begin from now on."""
        with self.lock:
            self.answer_awaited_at = self.fleet.clock()
            self.store_answered.clear()

    def drop_expired(self) -> None:
        """Remove the endpoints that have not announced themselves again in time.

        Those that were removed before the store came back from an older copy, which
        still lists them, are taken over once a process that has ended would have been
        removed again. To be called periodically, since no record tells that the time is
        over.
        """
        with self.lock:
            read_at = self.current_at.get(StoreTopic.ENDPOINTS)
            if read_at is not None:
                effects = self.updates.take_over_withheld(read_at)
                self._log_effects(StoreTopic.ENDPOINTS, effects)
        with self.fleet.lock:
            dropped = self.fleet.directory.remove_expired(self.fleet.clock())
            if not dropped:
                return
            self.fleet.remove_endpoint_stats(
                [EndpointChange(row, None) for row in dropped]
            )
        for row in dropped:
            self.write_log("PF7104", None, {"endpoint": row.endpoint_id})

    def find_record(self, topic: StoreTopic, key: str) -> KnownRecord:
        """Return the value of a key as it is known."""
        with self.lock:
            view = self.views[topic]
            return KnownRecord(view.values.get(key), view.era)

    def known_topics(self) -> tuple[tuple[KnownTopic, ...], tuple[int, ...]]:
        """Return the topics that this node knows up to an offset, and their eras."""
        with self.lock:
            known = [
                (KnownTopic(topic.value, view.end), view.era)
                for topic, view in self.views.items()
                if view.end is not None
            ]
        return tuple(row for row, _ in known), tuple(era for _, era in known)

    def routes_version(self) -> int:
        """Return the version of the configuration in force, or -1 without one."""
        with self.fleet.lock:
            table = self.fleet.directory.route_table
            return -1 if table is None else table.version

    def message_for(
        self, topic: StoreTopic, known: TopicPosition | None
    ) -> TopicRecords | None:
        """Return what a new subscriber needs, which knows a topic up to an offset.

        Returns None if this node has not read the topic yet.
        """
        with self.lock:
            view = self.views[topic]
            if view.end is None:
                return None
            is_same_era = known is not None and known.era == view.era
            changes = view.changes_since(known.end if known and is_same_era else -1)
            return TopicRecords.of_batch(topic.value, changes, self.current_at[topic])

    def _apply_newer(
        self, topic: StoreTopic, view: KeyedView, batch: TopicBatch, source: str
    ) -> tuple[bool, list[Effect]]:
        """Put the records of a batch into force that are newer than those known.

        They are decoded first, and taken over into the view last. If anything fails
        in between, the next read begins at the same offset. Returns whether there were
        any, and their effects.
        """
        newer = view.newer(batch)
        decoded = [decode_record(topic, record) for record in newer]
        effects = self.updates.apply(topic, decoded, view.is_return(batch))
        if topic is StoreTopic.ROUTES and batch.is_snapshot:
            # A relay may know a later configuration than the copy that was read here.
            others = [record for record in batch.records if record not in newer]
            decoded_others = [decode_record(topic, record) for record in others]
            effects += self.updates.apply(topic, decoded_others)
        view.merge(batch)
        malformed = [found for found in decoded if found.error is not None]
        for found in malformed:
            fields = {
                "topic": topic.value,
                "key": found.record.key,
                "offset": found.record.offset,
                "problem": str(found.error),
            }
            effects.append(Effect("PF7105", fields))
        if newer:
            fields = {
                "topic": topic.value,
                "start": batch.start,
                "end": batch.end,
                "source": source,
                "records": len(batch.records),
                "newer": len(newer),
                "malformed": len(malformed),
                "held": sum(effect.number == "PF7108" for effect in effects),
            }
            effects.append(Effect("PF7111", fields))
        return bool(newer), effects

    def _begin_return(
        self, topic: StoreTopic, view: KeyedView, batch: TopicBatch, source: str
    ) -> None:
        """Note that the store has come back from an older copy.

        Endpoints that the copy lacks have time to announce themselves again, as after
        an outage.
        """
        changed = view.newer(batch)
        fields: dict[str, object] = {
            "topic": topic.value,
            "era": batch.era,
            "previous": view.era,
            "end_before": view.end,
            "end": batch.end,
            "source": source,
            "records": len(batch.records),
            "changed": sum(record.value is not None for record in changed),
            "missing": sum(record.value is None for record in changed),
        }
        # A relay may tell of the return before this node has called the store itself.
        record_store_era(self.fleet, self.write_log, batch.era)
        if topic is StoreTopic.ENDPOINTS:
            with self.fleet.lock:
                self.fleet.directory.note_store_return(self.fleet.clock())
        self.write_log("PF7119", None, fields)

    def _log_effects(self, topic: StoreTopic, effects: list[Effect]) -> None:
        """Log what records have changed, with what this node knows of their topic."""
        known = self.fleet.describe_knowledge(topic.name.lower())
        for number, fields in effects:
            if number in EVENTS_WITH_KNOWLEDGE:
                fields = {**fields, "known": known}
            self.write_log(number, None, fields)

    def _record_store_state(self, error: PoplarfoldError | None) -> None:
        """Record whether the store answers, and log when that changes."""
        with self.fleet.lock:
            now = self.fleet.clock()
            has_changed = self.fleet.directory.set_store_status(error is None, now)
        if has_changed:
            number = "PF7102" if error is not None else "PF7103"
            self.write_log(number, None, {"problem": str(error) if error else ""})


def record_store_era(fleet: Fleet, write_log: WriteLog, era: int) -> None:
    """Record an era of the store, and log that it has risen."""
    previous = fleet.observe_era(era)
    if previous is None:
        return
    ends = {topic: row.end for topic, row in fleet.knowledge.items()}
    write_log("PF7118", None, {"era": era, "previous": previous, "ends": ends})


def keep_newer_routes(
    view: KeyedView, batch: TopicBatch, is_return: bool
) -> TopicBatch:
    """Return a batch with the known configuration in place of earlier ones.

    After a return of the store to an older copy, the operator writes what it has lost
    again, perhaps one by one. Until then, nodes that start get the newest configuration
    from this node; by the copy, they would accept keys that were removed since.
    """
    records = []
    # The newest configurations, of this batch too: it may hold several records.
    newest = dict(view.values)
    for record in batch.records:
        known = record._replace(value=newest.get(record.key))
        if known.value is None and record.value is not None:
            newest[record.key] = record.value
        elif known.value not in (None, record.value):
            table, known_table = (
                decode_record(StoreTopic.ROUTES, row).row for row in (record, known)
            )
            if known_table is not None and (
                # A malformed record of the copy may have been replaced.
                is_return if table is None else table.version < known_table.version
            ):
                record = known
            elif table is not None and record.value is not None:
                newest[record.key] = record.value
        records.append(record)
    return batch._replace(records=tuple(records))
