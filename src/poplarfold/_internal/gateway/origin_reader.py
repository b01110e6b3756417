"""Reads from the store which software versions have begun the streams of all hosts."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.stream_origins import OriginTable
from poplarfold._internal.exceptions import (
    PlatformFormatError,
    StoreGapError,
    StoreTopicMissingError,
)
from poplarfold._internal.gateway.origin_records import decode_origin, partition_of
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import (
    ORIGINS_TOPIC,
    Record,
    RecordBatch,
    StoreClient,
)

__all__ = ["OriginReader"]


class PartState:
    """What this host has read of one partition, up to ``offset`` in an ``era``.

    The last read that succeeded began at ``read_at``, the last one that failed at
    ``failed_at``. Its topic ``is_missing`` before the first record of any partition.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        # None before the newest records have been read.
        self.offset: int | None = None
        self.era = 0
        self.read_at = float("-inf")
        self.failed_at = float("-inf")
        self.is_missing = False


class OriginReader:
    """The origins of streams that were read from the store. Thread-safe."""

    def __init__(
        self,
        store: StoreClient,
        partitions: int,
        timeout_s: float,
        life_s: float,
        clock: Callable[[], float],
        write_log: WriteLog,
    ) -> None:
        self.store = store
        self.timeout_s = timeout_s
        self.clock = clock
        self.write_log = write_log
        self.lock = threading.Lock()
        self.rows = OriginTable(life_s)
        self.parts = [PartState() for _ in range(partitions)]

    def set_life(self, life_s: float) -> None:
        """Set how long origins are kept."""
        with self.lock:
            self.rows.life_s = life_s

    def find(self, request_id: str) -> str | None:
        """Return the version that began a stream by what was read, or None."""
        with self.lock:
            return self.rows.find(request_id, self.clock())

    def versions(self, service: str) -> set[str]:
        """Return the versions that have begun the streams of a service, as read."""
        with self.lock:
            return self.rows.versions(service, self.clock())

    def read_all(self) -> bool:
        """Read all partitions; return whether the store answered."""
        since = self.clock()
        if not self._read(0, since):
            return False
        if self.parts[0].is_missing:
            # Nothing has been written to the topic yet.
            return True
        return all(self._read(part, since) for part in range(1, len(self.parts)))

    def read_origin(self, request_id: str) -> bool:
        """Read what the store has of a stream; return whether it answered.

        Threads that look for origins of one partition at the same time share a read.
        """
        return self._read(partition_of(request_id, len(self.parts)), self.clock())

    def _read(self, part: int, since: float) -> bool:
        """Read a partition, unless another thread has begun to since a time."""
        state = self.parts[part]
        with state.lock:
            if state.read_at > since:
                return True
            if state.failed_at > since:
                return False
            started_at = self.clock()
            result = self._read_new(part, state)
            if result.is_err():
                state.failed_at = started_at
                self.write_log("PF7117", None, {"problem": str(result.unwrap_err())})
                return False
            state.read_at = started_at
            return True

    def _read_new(self, part: int, state: PartState) -> Result[None, Any]:
        """Read the records that this host does not know yet."""
        while True:
            result = self._read_batch(part, state)
            if result.is_err():
                error = result.unwrap_err()
                if isinstance(error, StoreGapError) and state.offset is not None:
                    state.offset = None
                    continue
                state.is_missing = isinstance(error, StoreTopicMissingError)
                if state.is_missing:
                    state.offset = None
                return Ok(None) if state.is_missing else Err(error)
            batch = result.unwrap()
            if state.offset is not None and batch.era != state.era:
                # Offsets of another era name other records.
                state.offset = None
                continue
            state.era = batch.era
            state.is_missing = False
            self._keep(batch.records)
            state.offset = batch.end
            if not batch.has_more:
                return Ok(None)

    def _read_batch(self, part: int, state: PartState) -> Result[RecordBatch, Any]:
        """Read the newest record of each key, or those after the known ones."""
        if state.offset is None:
            return self.store.read_newest(ORIGINS_TOPIC, self.timeout_s, part)
        return self.store.read_from(
            ORIGINS_TOPIC, state.offset, 0.0, self.timeout_s, part
        )

    def _keep(self, records: Iterable[Record]) -> None:
        """Keep the origins in records; a malformed one costs only itself."""
        with self.lock:
            now = self.clock()
            for record in records:
                if record.value is None:
                    continue
                try:
                    origin = decode_origin(record.value)
                except PlatformFormatError as error:
                    self.write_log("PF7117", None, {"problem": str(error)})
                    continue
                self.rows.put(record.key, origin, now)
