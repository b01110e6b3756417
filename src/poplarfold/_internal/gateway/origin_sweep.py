"""Deletes the records of streams that their hosts have left in the store."""

import random
from collections.abc import Callable
from typing import Any

from result import Ok, Result

from poplarfold._internal.exceptions import StoreTopicMissingError
from poplarfold._internal.logs.writer import WriteLog
from poplarfold._internal.platform import (
    ORIGINS_TOPIC,
    Record,
    RecordBatch,
    StoreClient,
)

__all__ = ["OriginSweep"]

# A host reads one partition in this time, or in up to a quarter more.
VISIT_PERIOD_S = 600.0
VISIT_JITTER = 0.25
# So many lives of a stream after a record was first seen, no host writes it any more:
# a record is written within one life after the beginning of its attempt, and the ids of
# attempts are not used again.
LIVES_MIN = 3.0
# A visit deletes at most so many records.
DELETIONS_MAX = 200


class OriginSweep:
    """Looks for old records, whichever host wrote them, one partition after the other.

    A host deletes its own records while it runs; those of a host that has ended stay.
    Each partition that has records is visited twice. Those that are the same both times
    are deleted, if nothing was written to the partition since the second visit began: a
    record that is newer than the deletion must not be lost, since its stream would then
    count as one of the base version.

    Hosts begin with different partitions at different times. For use by one thread.
    """

    def __init__(
        self,
        store: StoreClient,
        partitions: int,
        timeout_s: float,
        clock: Callable[[], float],
        rng: random.Random,
        write_log: WriteLog,
    ) -> None:
        self.store = store
        self.partitions = partitions
        self.timeout_s = timeout_s
        self.clock = clock
        self.rng = rng
        self.write_log = write_log
        self.part = rng.randrange(partitions)
        self.due_at = clock() + VISIT_PERIOD_S * (0.5 + rng.random())
        # What the first visit of the partition has found, in an era of the store.
        self.seen: dict[str, Record] = {}
        self.seen_at = 0.0
        self.era = 0

    def step(self, life_s: float) -> None:
        """Visit a partition if it is time; streams live for ``life_s`` at most."""
        now = self.clock()
        if now < self.due_at:
            return
        if self.seen and now < self.seen_at + LIVES_MIN * life_s:
            return
        self.due_at = now + VISIT_PERIOD_S * (1.0 + VISIT_JITTER * self.rng.random())
        result = self._read()
        if result.is_err():
            self.write_log("PF7117", None, {"problem": str(result.unwrap_err())})
            return
        batch = result.unwrap()
        if self.seen and batch.era == self.era:
            self._delete_old(batch)
            self.seen = {}
        else:
            rows = [row for row in batch.records if row.value]
            rows = self.rng.sample(rows, min(DELETIONS_MAX, len(rows)))
            self.seen = {row.key: row for row in rows}
            self.seen_at, self.era = self.clock(), batch.era
        if not self.seen:
            self.part = (self.part + 1) % self.partitions

    def _read(self) -> Result[RecordBatch, Any]:
        """Read the newest record of each key of the partition."""
        result = self.store.read_newest(ORIGINS_TOPIC, self.timeout_s, self.part)
        if isinstance(result.err(), StoreTopicMissingError):
            # No stream has been recorded yet.
            return Ok(RecordBatch((), 0))
        return result

    def _delete_old(self, batch: RecordBatch) -> None:
        """Delete the records that are the same as at the first visit."""
        old = [row.key for row in batch.records if self.seen.get(row.key) == row]
        if not old:
            return
        result = self.store.delete_keys_at(
            ORIGINS_TOPIC, self.part, old, batch.end, self.timeout_s
        )
        problem = str(result.unwrap_err()) if result.is_err() else ""
        fields = {"part": self.part, "count": len(old), "problem": problem}
        self.write_log("PF7121", None, fields)
