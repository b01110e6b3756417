"""The origins of the streams of this host, written to the store in batches."""

import math
import random
import threading
import uuid
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypeVar

from result import Result

from poplarfold._internal.core.fleet.stream_origins import OriginTable
from poplarfold._internal.core.fleet.write_retries import WriteRetries
from poplarfold._internal.gateway.origin_records import (
    OriginRecord,
    encode_origin,
    partition_of,
)
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import (
    ORIGINS_TOPIC,
    Appended,
    AppendPlace,
    StoreClient,
)

__all__ = ["OriginLog", "Recording"]

Row = TypeVar("Row")

# A write that takes longer shows that the store is slow or away.
WRITE_SLOW_S = 0.4
# The longest pauses after the first failed write and after many. A stream that waits
# for its record sees at least one more write, see ``RECORD_WAIT_S``.
RETRY_FIRST_S = 0.3
RETRY_LONGEST_S = 1.2
# The same for deletions, for which nobody waits.
DELETE_RETRY_FIRST_S = 5.0
DELETE_RETRY_LONGEST_S = 60.0
# During a pause, a host looks this often whether the store answers again.
ANSWER_CHECK_S = 0.1


class Recording(NamedTuple):
    """The record of a stream's origin, and whether the store has accepted it."""

    record: OriginRecord
    is_written: threading.Event


class WrittenOrigin(NamedTuple):
    """When a record was written, and the era of the store that accepted it."""

    at: float
    era: int


class OriginLog:
    """The origins of this host's streams, and those that it has yet to write.

    Each caller's attempt has its partition, so that a host that looks for one origin
    reads one partition. The store keeps the newest record of each key for good, so that
    no origin is lost with the history of the topic; the host that has written one
    deletes it after the life of the stream. Thread-safe.

    ``answered_at`` returns when the last call began that the store has answered, as far
    as is known, and ``draw`` random numbers from 0 to 1.
    """

    def __init__(
        self,
        store: StoreClient,
        partitions: int,
        timeout_s: float,
        life_s: float,
        clock: Callable[[], float],
        write_log: WriteLog,
        answered_at: Callable[[], float] = lambda: -math.inf,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.store = store
        self.timeout_s = timeout_s
        self.clock = clock
        self.write_log = write_log
        self.lock = threading.Lock()
        self.has_pending = threading.Condition(self.lock)
        self.own = OriginTable(life_s)
        self.pending: list[Recording] = []
        # The records that the store has accepted, by the id of the caller's attempt.
        self.written: dict[str, WrittenOrigin] = {}
        self.writing_since: float | None = None
        self.has_failed = False
        self.partitions = partitions
        # The places of the next writes. Each process is a producer of its own.
        producer = f"poplarfold-{uuid.uuid4().hex}"
        self.places = [AppendPlace(producer, 1, 0) for _ in range(partitions)]
        self.places_era = 0
        self.answered_at = answered_at
        self.retries = WriteRetries(RETRY_FIRST_S, RETRY_LONGEST_S, draw)
        self.delete_retries = WriteRetries(
            DELETE_RETRY_FIRST_S, DELETE_RETRY_LONGEST_S, draw
        )

    @property
    def life_s(self) -> float:
        """How long origins are kept."""
        return self.own.life_s

    def set_life(self, life_s: float) -> None:
        """Set how long origins are kept."""
        with self.lock:
            self.own.life_s = life_s

    def set_spread(self, spread_s: float) -> None:
        """Set the time within which all hosts write again after an outage."""
        with self.lock:
            self.retries.spread_s = self.delete_retries.spread_s = spread_s

    def find(self, request_id: str) -> str | None:
        """Return the version that began a stream of this host, or None."""
        with self.lock:
            return self.own.find(request_id, self.clock())

    def versions(self, service: str) -> set[str]:
        """Return the versions that have begun this host's streams of a service."""
        with self.lock:
            return self.own.versions(service, self.clock())

    def is_healthy(self) -> bool:
        """Return whether the store accepts records at once, as far as is known."""
        with self.lock:
            since = self.writing_since
            is_slow = since is not None and self.clock() - since > WRITE_SLOW_S
            return not self.has_failed and not is_slow

    def note(self, record: OriginRecord, must_write: bool) -> Recording | None:
        """Keep the origin of a stream of this host.

        Returns its recording if it has to be written: also if another version was noted
        for an earlier attempt at the stream.
        """
        request_id, origin = record
        with self.lock:
            now = self.clock()
            before = self.own.find(request_id, now)
            self.own.put(request_id, origin, now)
            if not must_write and before in (None, origin.version):
                return None
            recording = Recording(record, threading.Event())
            self.pending.append(recording)
            self.has_pending.notify()
        return recording

    def wait_pending(self, timeout_s: float) -> None:
        """Wait for a record to write, or until the pause after a failure is over."""
        with self.lock:
            until = self.clock() + timeout_s
            while (left_s := min(until - self.clock(), self._pause_s())) > 0.0:
                wait_s = min(left_s, ANSWER_CHECK_S) if self.pending else left_s
                if self.has_pending.wait(wait_s):
                    return

    def _pause_s(self) -> float:
        """Return for how long no record may be written. The lock must be held."""
        now, answered_at = self.clock(), self.answered_at()
        parts = {self._part_of(row) for row in self.pending}
        pauses = (self.retries.left_s(part, now, answered_at) for part in parts)
        return min(pauses, default=math.inf)

    def write_pending(self) -> bool:
        """Write the records that wait; return whether the store has accepted them all.

        The partitions that are in a pause after a failure are left out.
        """
        with self.lock:
            oldest = self.clock() - self.life_s
            recordings, self.pending = self.pending, []
            by_part = self._by_part(recordings, lambda row: row.record.request_id)
            parts = self.retries.in_order(by_part)
        failed: list[Recording] = []
        for part in parts:
            if not self._write(part, by_part[part]):
                failed.extend(by_part[part])
        with self.lock:
            # The last record of a stream counts, so that those that failed come before
            # newer ones of their partitions, but must not delay those of others.
            failed_parts = {self._part_of(row) for row in failed}
            newer = [row for row in self.pending if self._part_of(row) in failed_parts]
            others = [row for row in self.pending if row not in newer]
            again = [row for row in failed if self._is_alive(row, oldest)]
            self.pending = [*others, *again, *newer]
            self.has_failed = bool(failed) and bool(self.pending)
        return not failed

    def _by_part(
        self, rows: Iterable[Row], request_id: Callable[[Row], str]
    ) -> dict[int, list[Row]]:
        """Group rows by the partition of the caller's attempt."""
        found: dict[int, list[Row]] = {}
        for row in rows:
            part = partition_of(request_id(row), self.partitions)
            found.setdefault(part, []).append(row)
        return found

    def _part_of(self, row: Recording) -> int:
        return partition_of(row.record.request_id, self.partitions)

    def _is_alive(self, row: Recording, oldest: float) -> bool:
        """Return whether a stream that began after ``oldest`` is known."""
        found = self.own.rows.get(row.record.request_id)
        return found is not None and found[1] >= oldest

    def _write(self, part: int, rows: list[Recording]) -> bool:
        """Write records of one partition; return whether the store accepted them.

        Nothing is written during the pause after a failure. A write without an answer
        may be carried out late, but not after the next one, which has a later epoch:
        the newest record of a stream is that of its last attempt.
        """
        values = [
            (row.record.request_id, encode_origin(row.record.origin)) for row in rows
        ]
        with self.lock:
            now = self.clock()
            if self.retries.left_s(part, now, self.answered_at()) > 0.0:
                return False
            self.writing_since = now
            place = self.places[part]
        try:
            result = self._put(part, values, self.retries, place)
        finally:
            with self.lock:
                self.writing_since = None
                place = self.places[part]
                self.places[part] = place._replace(seq=place.seq + 1)
        if result.is_err():
            self._begin_epoch(part)
            fields = {"count": len(rows), "problem": str(result.unwrap_err())}
            self.write_log("PF7116", None, fields)
            return False
        with self.lock:
            written = WrittenOrigin(self.clock(), result.unwrap().era)
            for row in rows:
                self.written[row.record.request_id] = written
        for row in rows:
            row.is_written.set()
        return True

    def _put(
        self,
        part: int,
        values: list[tuple[str, bytes]],
        retries: WriteRetries,
        place: AppendPlace | None = None,
    ) -> Result[Appended, Any]:
        """Write or delete records of one partition."""
        began_at = self.clock()
        result = self.store.put_records(
            ORIGINS_TOPIC, part, values, self.timeout_s, place
        )
        with self.lock:
            if result.is_ok():
                retries.note_success(part, self.clock())
            else:
                retries.note_failure(part, began_at, self.clock())
        return result

    def _begin_epoch(self, part: int) -> None:
        """Let the next write to a partition rule out those before it."""
        with self.lock:
            place = self.places[part]
            self.places[part] = place._replace(epoch=place.epoch + 1, seq=0)

    def delete_old(self) -> None:
        """Delete the records of this host whose streams have ended long ago."""
        retries = self.delete_retries
        with self.lock:
            until = self.clock() - 2.0 * self.life_s
            old = [name for name, row in self.written.items() if row.at <= until]
            by_part = self._by_part(old, str)
            parts = retries.in_order(by_part)
        for part in parts:
            with self.lock:
                if retries.left_s(part, self.clock(), self.answered_at()) > 0.0:
                    continue
            values = [(name, b"") for name in by_part[part]]
            if self._put(part, values, retries).is_ok():
                with self.lock:
                    for name in by_part[part]:
                        del self.written[name]

    def write_lost(self, era: int) -> None:
        """Write the records of this host again that an era of the store may lack.

        It came back from an older copy, which has only those from before the copy, and
        knows earlier places of this host's writes.
        """
        if self.places_era < era:
            self.places_era = era
            for part in range(self.partitions):
                self._begin_epoch(part)
        with self.lock:
            oldest = self.clock() - self.life_s
            lost = [name for name, row in self.written.items() if row.era < era]
            for name in lost:
                # The copy may have the record, so that it has still to be deleted.
                self.written[name] = self.written[name]._replace(era=era)
            rows = [(name, self.own.rows.get(name)) for name in lost]
            again = [
                Recording(OriginRecord(name, row[0]), threading.Event())
                for name, row in rows
                if row is not None and row[1] >= oldest
            ]
            self.pending += again
            self.has_pending.notify()
        if again:
            self.write_log("PF7120", None, {"era": era, "count": len(again)})
