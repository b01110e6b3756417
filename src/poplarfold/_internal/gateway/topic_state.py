"""Applies the records of the store's topics, whether read here or sent by a relay."""

import threading
from collections.abc import Callable

from poplarfold._internal.core.fleet.directory import EndpointChange
from poplarfold._internal.core.fleet.fallback import reliance_s
from poplarfold._internal.core.fleet.keyed_view import KeyedView, TopicBatch, ViewRecord
from poplarfold._internal.core.fleet.relay_messages import KnownTopic, TopicRecords
from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.exceptions import PlatformFormatError, PoplarfoldError
from poplarfold._internal.gateway.fleet import Fleet, KnowledgeFields, TopicKnowledge
from poplarfold._internal.gateway.member_records import decode_member
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import (
    StoreTopic,
    decode_endpoint,
    decode_routes,
)

__all__ = ["TopicState"]

ROUTES_KEY = "config"
# The source of records that this node has read from the store itself.
STORE_SOURCE = "store"

Publish = Callable[[StoreTopic, TopicBatch, float], None]
UpdateParts = Callable[[list[ViewRecord]], None]
UpdateMembers = Callable[[dict[str, Member]], None]


class TopicState:
    """The topics as this node knows them. Thread-safe.

    ``publish`` passes the records of the store to the subscribers of this node,
    ``update_members`` takes the members of the fleet, and ``update_parts`` the records
    of suspected parts of prompts. Records are passed on at once, also those that have
    no effect on this node yet: each node decides by its own knowledge of the store how
    long it holds back the deletion of an endpoint.
    """

    def __init__(self, fleet: Fleet, write_log: WriteLog) -> None:
        self.fleet = fleet
        self.write_log = write_log
        self.publish: Publish = lambda topic, batch, read_at: None
        self.update_members: UpdateMembers = lambda members: None
        self.update_parts: UpdateParts = lambda records: None
        # Serializes updates, so that an older record cannot be applied last.
        self.lock = threading.Lock()
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
        force then, but the topic does not count as known up to its end.
        """
        with self.lock:
            view = self.views[topic]
            before = view.end
            newer = view.merge(batch)
            if not view.continues(batch):
                self._apply_newer(topic, view, newer)
                return False
            self.current_at[topic] = max(read_at, self.current_at.get(topic, read_at))
            with self.fleet.lock:
                self.fleet.knowledge[topic.name.lower()] = TopicKnowledge(
                    self.current_at[topic], view.end or 0, source
                )
            self._apply_newer(topic, view, newer)
            if topic is StoreTopic.ENDPOINTS and self.is_current(topic):
                # Old records, from a relay that cannot read the store, are no sign
                # that the store answers.
                self._record_store_state(None)
            if newer or view.end != before or source == STORE_SOURCE:
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

    def drop_expired(self) -> None:
        """Remove the endpoints that have not announced themselves again in time.

        To be called periodically, since no record tells that the time is over.
        """
        with self.fleet.lock:
            dropped = self.fleet.directory.remove_expired(self.fleet.clock())
            if not dropped:
                return
            self.fleet.remove_endpoint_stats(
                [EndpointChange(row, None) for row in dropped]
            )
        for row in dropped:
            self.write_log("PF7104", None, {"endpoint": row.endpoint_id})

    def known_topics(self) -> tuple[KnownTopic, ...]:
        """Return the topics that this node knows, each with its end offset."""
        with self.lock:
            return tuple(
                KnownTopic(topic.value, view.end)
                for topic, view in self.views.items()
                if view.end is not None
            )

    def message_for(
        self, topic: StoreTopic, known_end: int | None
    ) -> TopicRecords | None:
        """Return what a new subscriber needs, which knows a topic up to an offset.

        Returns None if this node has not read the topic yet.
        """
        with self.lock:
            view = self.views[topic]
            if view.end is None:
                return None
            changes = view.changes_since(-1 if known_end is None else known_end)
            return TopicRecords.of_batch(topic.value, changes, self.current_at[topic])

    def _apply_newer(
        self, topic: StoreTopic, view: KeyedView, records: list[ViewRecord]
    ) -> None:
        """Put the records into force that are newer than those known before."""
        if topic is StoreTopic.ROUTES:
            self._apply_routes(records)
        elif topic is StoreTopic.ENDPOINTS:
            self._apply_endpoints(records)
        elif topic is StoreTopic.NODES:
            self._apply_members(view, records)
        else:
            self.update_parts(records)

    def _apply_routes(self, records: list[ViewRecord]) -> None:
        """Apply the newest configuration among the records."""
        for record in records:
            if record.key != ROUTES_KEY or record.value is None:
                continue
            try:
                table = decode_routes(record.value)
            except PlatformFormatError as error:
                self.write_log("PF7105", None, {"problem": str(error)})
                continue
            with self.fleet.lock:
                is_new = self.fleet.directory.apply_routes(table)
                self.fleet.changed.notify_all()
            if not is_new:
                continue
            self.write_log(
                "PF7106",
                None,
                {
                    "version": table.version,
                    "routes": len(table.routes),
                    "offset": record.offset,
                    "known": self._known(StoreTopic.ROUTES),
                },
            )

    def _apply_endpoints(self, records: list[ViewRecord]) -> None:
        """Apply the newest entry of each endpoint."""
        rows = [(record, self._decode_entry(record)) for record in records]
        changes = []
        with self.fleet.lock:
            now = self.fleet.clock()
            directory = self.fleet.directory
            for record, row in rows:
                change = directory.apply_endpoint(record.key, row, now)
                changes.append((record, change))
            self.fleet.remove_endpoint_stats([change for _, change in changes])
        for record, change in changes:
            if is_effective(change):
                self._log_change(record, change)
            if record.value is None and change.after is not None:
                self.write_log(
                    "PF7108",
                    None,
                    {
                        "endpoint": record.key,
                        "offset": record.offset,
                        "known": self._known(StoreTopic.ENDPOINTS),
                    },
                )

    def _apply_members(self, view: KeyedView, records: list[ViewRecord]) -> None:
        """Apply the presence records of nodes."""
        with self.fleet.lock:
            now = self.fleet.clock()
            presence = self.fleet.presence
            before = presence.node_count()
            presence.update({record.key: record.offset for record in records}, now)
            nodes = presence.node_count()
            present = [key for key in presence.rows if key in view.values]
        if nodes != before:
            self.write_log("PF6301", None, {"nodes": nodes})
        members = {key: decode_member(key, view.values[key]) for key in present}
        self.update_members(members)

    def _record_store_state(self, error: PoplarfoldError | None) -> None:
        """Record whether the store answers, and log when that changes."""
        with self.fleet.lock:
            now = self.fleet.clock()
            has_changed = self.fleet.directory.set_store_status(error is None, now)
        if has_changed:
            number = "PF7102" if error is not None else "PF7103"
            self.write_log(number, None, {"problem": str(error) if error else ""})

    def _decode_entry(self, record: ViewRecord) -> FleetEndpoint | None:
        """Decode one entry; return None if it is deleted or malformed."""
        if record.value is None:
            return None
        try:
            return decode_endpoint(record.key, record.value)
        except PlatformFormatError as error:
            self.write_log("PF7105", None, {"problem": str(error)})
            return None

    def _known(self, topic: StoreTopic) -> KnowledgeFields | None:
        """Return what this node knows of a topic, for the log."""
        return self.fleet.describe_knowledge(topic.name.lower())

    def _log_change(self, record: ViewRecord, change: EndpointChange) -> None:
        """Log a change of an endpoint."""
        row = change.after or change.before
        if row is None:
            return
        state = "leaving" if row.is_leaving else "ready"
        self.write_log(
            "PF7107",
            None,
            {
                "endpoint": row.endpoint_id,
                "service": row.service,
                "address": row.address,
                "role": row.role.value,
                "born": row.incarnation,
                "state": "gone" if change.after is None else state,
                "offset": record.offset,
                "known": self._known(StoreTopic.ENDPOINTS),
            },
        )


def is_effective(change: EndpointChange) -> bool:
    """Return whether a change is more than the progress of a cold start."""
    before, after = change
    if before is None or after is None:
        return before is not after
    return before._replace(cold_start_left_s=0.0) != after._replace(
        cold_start_left_s=0.0
    )
