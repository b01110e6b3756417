"""The newest records of one keyed topic, from sources that may lag behind each other.

A node reads a topic of the store itself or gets its records from relays. A relay that
was paused may send an old record after another relay has sent a newer one. Each
record carries its offset in the topic, and an older record never replaces a newer one.

The store may come back from an older copy, which begins a new era. Offsets are given
out again then, so that records of two eras cannot be compared. A view takes a later era
over with its first snapshot of it, and nothing of an earlier one.

The view holds the records as they stand in the store, but for a configuration that the
store has lost with its return, see ``gateway/topic_state``. Whether a node acts on them
at once is decided elsewhere: what a node withholds must not be lost to the nodes that
it sends the records to.
"""

from typing import NamedTuple

__all__ = ["KeyedView", "TopicBatch", "ViewRecord"]


class ViewRecord(NamedTuple):
    """One record of a topic. ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


class TopicBatch(NamedTuple):
    """All changes of a topic from the offset ``start`` to before ``end``.

    Of several records of a key only the newest one need be there. A snapshot contains
    all keys, and starts at 0. The offsets are those of an ``era`` of the store.
    """

    records: tuple[ViewRecord, ...]
    start: int
    end: int
    is_snapshot: bool = False
    era: int = 0


class KeyedView:
    """Offsets and values by key, and the offset up to which the topic is known.

    ``end`` is None before the first snapshot. All deletions from ``changes_from`` on
    are known; a snapshot does not tell which keys were deleted before it.

        view = KeyedView()
        view.merge(TopicBatch((ViewRecord("a", b"1", 4),), 0, 5, is_snapshot=True))
        view.changes_since(5)
    """

    def __init__(self) -> None:
        self.offsets: dict[str, int] = {}
        self.values: dict[str, bytes] = {}
        self.end: int | None = None
        self.changes_from = 0
        self.era = 0

    def is_outdated(self, batch: TopicBatch) -> bool:
        """Return whether a batch is of an earlier era of the store than the view."""
        return self.end is not None and batch.era < self.era

    def is_return(self, batch: TopicBatch) -> bool:
        """Return whether a batch is of a later era of the store than the view."""
        return self.end is not None and batch.era > self.era

    def continues(self, batch: TopicBatch) -> bool:
        """Return whether no records are missing between the view and a batch."""
        if batch.is_snapshot:
            return not self.is_outdated(batch)
        is_same_era = self.end is not None and batch.era == self.era
        return is_same_era and batch.start <= (self.end or 0)

    def newer(self, batch: TopicBatch) -> list[ViewRecord]:
        """Return the records of a batch that are newer than the view, in their order.

        A snapshot also deletes the keys that it does not contain. That of a later era
        counts as a whole: all values that differ, whatever their offsets.
        """
        if self.is_return(batch):
            return self._changed_by_return(batch)
        # Before the first snapshot, the era of what is known would be open.
        if self.is_outdated(batch) or (self.end is None and not batch.is_snapshot):
            return []
        rows = list(batch.records)
        if batch.is_snapshot:
            rows += self._missing_in(batch)
        offsets: dict[str, int] = {}
        found = []
        # What the last snapshot lacked was deleted before its end.
        is_later = batch.is_snapshot and batch.end > self.changes_from
        absent_at = -1 if is_later else self.changes_from - 1
        for record in rows:
            known = offsets.get(record.key, self.offsets.get(record.key, absent_at))
            if record.offset > known:
                offsets[record.key] = record.offset
                found.append(record)
        return found

    def merge(self, batch: TopicBatch) -> list[ViewRecord]:
        """Take over the records that are newer than the view; return these.

        If records are missing before the batch, the end of the view stays.
        """
        newer = self.newer(batch)
        if self.is_return(batch) and batch.is_snapshot:
            self._replace(batch)
            return newer
        for record in newer:
            self._put(record)
        if self.continues(batch):
            self._advance(batch)
        return newer

    def snapshot(self) -> TopicBatch:
        """Return the newest record of each key."""
        records = tuple(
            ViewRecord(key, value, self.offsets[key])
            for key, value in self.values.items()
        )
        return TopicBatch(records, 0, self.end or 0, is_snapshot=True, era=self.era)

    def changes_since(self, offset: int) -> TopicBatch:
        """Return the records from an offset on, deletions among them.

        Returns a snapshot if deletions since that offset are not known.
        """
        if self.end is None or offset < self.changes_from:
            return self.snapshot()
        records = tuple(
            ViewRecord(key, self.values.get(key), at)
            for key, at in self.offsets.items()
            if at >= offset
        )
        return TopicBatch(records, offset, self.end, era=self.era)

    def _changed_by_return(self, batch: TopicBatch) -> list[ViewRecord]:
        """Return what differs in a snapshot of a later era; nothing without one."""
        if not batch.is_snapshot:
            return []
        listed = {record.key for record in batch.records}
        changed = [
            record
            for record in batch.records
            if self.values.get(record.key) != record.value
        ]
        missing = [key for key in self.values if key not in listed]
        return changed + [ViewRecord(key, None, batch.end - 1) for key in missing]

    def _replace(self, snapshot: TopicBatch) -> None:
        """Take over a snapshot of a later era in place of all that is known."""
        self.offsets.clear()
        self.values.clear()
        for record in snapshot.records:
            self._put(record)
        self.era = snapshot.era
        self.end = self.changes_from = snapshot.end

    def _missing_in(self, snapshot: TopicBatch) -> list[ViewRecord]:
        """Return deletions of the keys that a snapshot does not contain.

        A record that is newer than the snapshot is kept.
        """
        listed = {record.key for record in snapshot.records}
        last = snapshot.end - 1
        return [
            ViewRecord(key, None, last)
            for key in self.values
            if key not in listed and self.offsets[key] < last
        ]

    def _put(self, record: ViewRecord) -> None:
        self.offsets[record.key] = record.offset
        if record.value is None:
            self.values.pop(record.key, None)
        else:
            self.values[record.key] = record.value

    def _advance(self, batch: TopicBatch) -> None:
        self.era = batch.era
        end = -1 if self.end is None else self.end
        if batch.is_snapshot and batch.end > end:
            self.changes_from = batch.end
        self.end = max(end, batch.end)
