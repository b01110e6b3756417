"""Counts the nodes of the fleet by the records that each keeps in the store.

Limits that all nodes share are divided by this count. The count is unknown until the
store has answered. After nodes have stopped, it stays too high for a while, which is
safe: each node then uses a smaller share.
"""

from collections.abc import Mapping
from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = ["Presence"]

# A node whose record has not changed for this long counts as stopped. Running nodes
# write a new record about every 60 s.
PRESENCE_TIMEOUT_S = 200.0


class PresenceRow(NamedTuple):
    """The offset of a node's newest record, and when this node first read it."""

    offset: int
    changed_at: float


class Presence:
    """The nodes that have announced themselves.

    Times are seconds of the runtime's clock.
    ``assumed_count`` stands for the number of nodes while it is unknown.
    """

    def __init__(self, assumed_count: int) -> None:
        self.assumed_count = assumed_count
        self.rows: Table[str, PresenceRow] = Table()
        # The names of the nodes, made anew when they change.
        self._names: frozenset[str] = frozenset()

    def update(self, offsets: Mapping[str, int], now: float) -> bool:
        """Record the newest offset of each node; return whether the count changed."""
        before = self.node_count()
        for node, offset in offsets.items():
            row = self.rows.get(node)
            if row is None or row.offset != offset:
                self.rows.put(node, PresenceRow(offset, now))
        for node, row in self.rows.rows():
            if now - row.changed_at > PRESENCE_TIMEOUT_S:
                del self.rows[node]
        return self.node_count() != before

    def names(self) -> frozenset[str]:
        """Return the names of the nodes; none while they are unknown."""
        if self._names != self.rows.keys():
            self._names = frozenset(self.rows)
        return self._names

    def node_count(self) -> int:
        """Return the number of nodes, or the assumed count while it is unknown."""
        return len(self.rows) or self.assumed_count
