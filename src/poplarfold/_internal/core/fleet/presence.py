"""How many nodes there are, from records that each keeps in the store.

The number divides what all nodes share. It may be too high for a while after
nodes have ended, which is safe, and is unknown until the store has answered.
"""

from collections.abc import Mapping
from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = ["Presence"]

# A node whose record has not changed for so long has ended.
PRESENCE_LIFE_S = 100.0


class PresenceRow(NamedTuple):
    """The offset of a node's newest record, and since when it is known."""

    offset: int
    changed_at: float


class Presence:
    """The nodes that have announced themselves. Times are monotonic seconds."""

    def __init__(self, unknown: int) -> None:
        self.unknown = unknown
        self.rows: Table[str, PresenceRow] = Table()

    def note_records(self, offsets: Mapping[str, int], now: float) -> bool:
        """Take the newest offset of each node; return whether the count changed."""
        before = self.count()
        for node, offset in offsets.items():
            row = self.rows.get(node)
            if row is None or row.offset != offset:
                self.rows.put(node, PresenceRow(offset, now))
        for node, row in self.rows.rows():
            if now - row.changed_at > PRESENCE_LIFE_S:
                del self.rows[node]
        return self.count() != before

    def count(self) -> int:
        """Return the number of nodes, or the assumed one while it is unknown."""
        return len(self.rows) or self.unknown
