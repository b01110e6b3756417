"""The lease that lets one node at a time give role orders to engines.

Before each batch of orders, a node claims the lease: it appends a record to a log
in the store, at the end offset that it read last. The store accepts only one record
at each offset, so only one of several competing nodes succeeds. The fencing number
follows from the offset of the record. A node claims the lease again only after it has
known that record for ``claim_interval_s``.
"""

from typing import NamedTuple

__all__ = ["FIRST_FENCING_NUMBER", "OrderLease"]

# Engines count fencing numbers from 1, the log counts offsets from 0.
FIRST_FENCING_NUMBER = 1


class OrderLease(NamedTuple):
    """One node's view of the log of claims.

    Times are monotonic seconds. ``claim_interval_s`` is the shortest time between a
    claim and the next one. ``claim_valid_s`` is how long a node may give orders
    under its own claim. ``end`` is the offset after the newest record, first seen at
    ``end_seen_at``.
    """

    claim_interval_s: float
    claim_valid_s: float
    end: int = 0
    end_seen_at: float | None = None

    def with_end(self, end: int, now: float) -> "OrderLease":
        """Return the state after the end of the log was read."""
        if end == self.end:
            return self
        return self._replace(end=end, end_seen_at=now)

    def may_claim(self, now: float) -> bool:
        """Return whether the newest claim is old enough for another one."""
        return (
            self.end_seen_at is None or now - self.end_seen_at >= self.claim_interval_s
        )

    def may_order(self, claimed_at: float, now: float) -> bool:
        """Return whether a claim made at ``claimed_at`` is still valid."""
        return now - claimed_at < self.claim_valid_s
