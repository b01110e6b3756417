"""Who may give orders: one record in the store's log for each batch of orders.

A node that wants to order appends a record at the end of the log that it has
read. The store accepts one record at each offset, so of several nodes one gets
it, and its offset is the fencing number. Every other node waits until the
record is old, counted from the moment at which it has read it.
"""

from typing import NamedTuple

__all__ = ["FIRST_FENCE", "OrderLease"]

# Fencing numbers of engines start at 1.
FIRST_FENCE = 1


class OrderLease(NamedTuple):
    """What one node knows of the log of orders. Times are monotonic seconds.

    ``quiet_s`` is how long after a record no other node may order, and
    ``use_s`` how long its own writer may use it.
    """

    quiet_s: float
    use_s: float
    end: int = 0
    seen_at: float | None = None

    def note_end(self, end: int, now: float) -> "OrderLease":
        """Take the end of the log as just read."""
        if end == self.end:
            return self
        return self._replace(end=end, seen_at=now)

    def may_claim(self, now: float) -> bool:
        """Return whether the last record is old enough for another claim."""
        return self.seen_at is None or now - self.seen_at >= self.quiet_s

    def may_order(self, claimed_at: float, now: float) -> bool:
        """Return whether a claim made at ``claimed_at`` may still be used."""
        return now - claimed_at < self.use_s
