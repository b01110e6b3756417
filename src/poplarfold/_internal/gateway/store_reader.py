"""Threads that follow the store's topics of the configuration and the endpoints."""

import threading
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.directory import EndpointChange
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.exceptions import (
    PlatformFormatError,
    PoplarfoldError,
    StoreGapError,
)
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.threads import start_thread
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import (
    Record,
    RecordBatch,
    StoreClient,
    StoreTopic,
    decode_endpoint,
    decode_routes,
)

__all__ = ["StoreReader"]

# The pause between failed calls, so that few calls are made during an outage.
READ_RETRY_S = 0.4
ROUTES_KEY = "config"


class FollowedTopic(NamedTuple):
    """A topic, how long a read waits for records, and the pause after a read."""

    topic: StoreTopic
    read_wait_s: float
    pause_s: float
    apply: Callable[[tuple[Record, ...], bool], None]


class StoreReader:
    """Follows the topics of routes and of endpoints, each in its own thread.

    A failed read is retried from the same offset. If records after the offset
    have been deleted, the newest record of each key is read instead.
    """

    def __init__(self, fleet: Fleet, store: StoreClient, write_log: WriteLog) -> None:
        self.fleet = fleet
        self.store = store
        self.write_log = write_log
        self.call_timeout_s = fleet.settings.store_call_s
        self.stopping = threading.Event()
        settings = fleet.settings
        bounds = fleet.host.bounds
        self.topics = (
            FollowedTopic(
                StoreTopic.ROUTES,
                settings.route_wait_share * bounds.apply_s,
                0.0,
                self.apply_routes,
            ),
            FollowedTopic(
                StoreTopic.ENDPOINTS,
                0.0,
                settings.endpoint_poll_share * bounds.leaving_s,
                self.apply_endpoints,
            ),
        )

    def start(self) -> None:
        """Start the threads."""
        for topic in self.topics:
            name = f"follow-{topic.topic.name.lower()}"
            start_thread(name, partial(self.follow, topic), self.write_log)

    def follow(self, topic: FollowedTopic) -> None:
        """Read a topic and apply its records, until stopped."""
        offset: int | None = None
        failures = 0
        while not self.stopping.is_set():
            result = self.read(topic, offset)
            if result.is_ok():
                read = result.unwrap()
                topic.apply(read.records, offset is None)
                offset = read.end
                self.record_store_state(topic, None)
                failures = 0
                self.stopping.wait(topic.pause_s)
                continue
            error = result.unwrap_err()
            if isinstance(error, StoreGapError):
                self.write_log("PF7101", None, {"topic": topic.topic.value})
                offset = None
                continue
            self.record_store_state(topic, error)
            # The first failure is retried at once, so that an unresponsive connection
            # is replaced. Later ones wait, so that an outage causes few calls.
            failures += 1
            self.stopping.wait(READ_RETRY_S if failures > 1 else 0.0)

    def read(
        self, topic: FollowedTopic, offset: int | None
    ) -> Result[RecordBatch, PoplarfoldError]:
        """Read the records from an offset on, or the newest per key if it is None."""
        if offset is None:
            newest = self.store.read_newest(topic.topic, self.call_timeout_s)
            return Ok(newest.unwrap()) if newest.is_ok() else Err(newest.unwrap_err())
        read = self.store.read_from(
            topic.topic, offset, topic.read_wait_s, self.call_timeout_s
        )
        return Ok(read.unwrap()) if read.is_ok() else Err(read.unwrap_err())

    def record_store_state(
        self, topic: FollowedTopic, error: PoplarfoldError | None
    ) -> None:
        """Record whether the store answered, and drop expired endpoints.

        Logs when the store becomes unreachable and when it is reachable again.
        """
        if error is None:
            with self.fleet.lock:
                name = topic.topic.name.lower()
                self.fleet.topic_read_at[name] = self.fleet.clock()
        if topic.topic is not StoreTopic.ENDPOINTS:
            return
        with self.fleet.lock:
            now = self.fleet.clock()
            has_changed = self.fleet.directory.set_store_status(error is None, now)
            dropped = self.fleet.directory.remove_expired(now)
            self.fleet.remove_endpoint_stats(
                [EndpointChange(row, None) for row in dropped]
            )
        for row in dropped:
            self.write_log("PF7104", None, {"endpoint": row.endpoint_id})
        if has_changed:
            number = "PF7102" if error is not None else "PF7103"
            self.write_log(number, None, {"problem": str(error) if error else ""})

    def apply_routes(self, records: tuple[Record, ...], is_snapshot: bool) -> None:
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
            if is_new:
                count = len(table.routes)
                self.write_log(
                    "PF7106", None, {"version": table.version, "routes": count}
                )

    def apply_endpoints(self, records: tuple[Record, ...], is_snapshot: bool) -> None:
        """Apply the newest entry of each endpoint among the records.

        A snapshot replaces all endpoints.
        """
        found: dict[str, FleetEndpoint | None] = {}
        for record in records:
            found[record.key] = self.decode_entry(record)
        with self.fleet.lock:
            now = self.fleet.clock()
            directory = self.fleet.directory
            if is_snapshot:
                rows = {key: row for key, row in found.items() if row is not None}
                changes = directory.replace_endpoints(rows, now)
            else:
                changes = [
                    directory.apply_endpoint(key, row, now)
                    for key, row in found.items()
                ]
            self.fleet.remove_endpoint_stats(changes)
        for change in changes:
            self.log_change(change)

    def decode_entry(self, record: Record) -> FleetEndpoint | None:
        """Decode one entry; return None if it is deleted or malformed."""
        if record.value is None:
            return None
        try:
            return decode_endpoint(record.key, record.value)
        except PlatformFormatError as error:
            self.write_log("PF7105", None, {"problem": str(error)})
            return None

    def log_change(self, change: EndpointChange) -> None:
        """Log a change of an endpoint, except for heartbeats that change nothing."""
        before, after = change
        if before == after or (before is None and after is None):
            return
        row = after or before
        if row is None:
            return
        if before is not None and after is not None:
            same = before._replace(cold_start_left_s=0.0) == after._replace(
                cold_start_left_s=0.0
            )
            if same:
                return
        self.write_log(
            "PF7107",
            None,
            {
                "endpoint": row.endpoint_id,
                "service": row.service,
                "address": row.address,
                "role": row.role.value,
                "born": row.incarnation,
                "state": "gone"
                if after is None
                else "leaving"
                if after.is_leaving
                else "ready",
            },
        )
