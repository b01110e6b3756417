"""The newest records of one keyed topic, from sources that may lag behind each other.

A node reads a topic of the store itself or gets its records from relays. A relay that
was paused may send an old record after another relay has sent a newer one. Each
record carries its offset in the topic, and an older record never replaces a newer one.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["KeyedView", "ViewRecord"]


class ViewRecord(NamedTuple):
    """One record of a topic. ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    offset: int


class KeyedView:
    """Offsets and values by key, and the offset up to which the topic is known.

    ``end`` is None before the first complete list of records.

        view = KeyedView()
        view.newer([ViewRecord("a", b"1", 4)])
    """

    def __init__(self) -> None:
        self.offsets: dict[str, int] = {}
        self.values: dict[str, bytes] = {}
        self.end: int | None = None

    def newer(self, records: Iterable[ViewRecord]) -> list[ViewRecord]:
        """Record the offsets of the records that are newer; return these records."""
        found = []
        for record in records:
            if record.offset > self.offsets.get(record.key, -1):
                self.offsets[record.key] = record.offset
                found.append(record)
        return found

    def newer_of_snapshot(
        self, records: Iterable[ViewRecord], end: int
    ) -> list[ViewRecord]:
        """Like ``newer``, for a complete list of the records before ``end``.

        A key that the list does not contain was deleted, unless its record is newer
        than the list.
        """
        rows = list(records)
        listed = {record.key for record in rows}
        missing = [
            ViewRecord(key, None, end - 1)
            for key in self.values
            if key not in listed and self.offsets[key] < end - 1
        ]
        return self.newer([*rows, *missing])

    def advance(self, end: int) -> None:
        """Record that all records before ``end`` are known."""
        self.end = end if self.end is None else max(self.end, end)

    def put(self, key: str, value: bytes | None) -> None:
        """Keep the value in force for a key, or remove the key."""
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = value

    def snapshot(self) -> tuple[ViewRecord, ...]:
        """Return the record in force for each key."""
        return tuple(
            ViewRecord(key, value, self.offsets[key])
            for key, value in self.values.items()
        )

    def changes_since(self, offset: int) -> tuple[ViewRecord, ...]:
        """Return the records in force from an offset on, and the deletions."""
        return tuple(
            ViewRecord(key, self.values.get(key), at)
            for key, at in self.offsets.items()
            if at >= offset
        )
