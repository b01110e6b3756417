"""The lease that lets one node at a time give role orders to engines.

Before each batch of orders, a node claims the lease: it appends a record to a log
in the store, at the end offset that it read last. The store accepts only one record
at each offset, so only one of several competing nodes succeeds. The fencing number
follows from the offset of the record. A node claims the lease again only after it has
known that record for ``claim_interval_s``.

The store may come back from an older copy, without the newest claims, and give their
offsets out again. That begins a new era. A claim of the era before may still be in
force then, so that a node that sees a new era waits as if the lease had just been
claimed, and so does one that has just started. Fencing numbers of a later era are
higher than all those of an earlier one.

    lease = OrderLease(claim_interval_s=9.0, claim_valid_s=1.0)
    lease = lease.with_end(LogEnd(end=4, era=2), now=100.0)
    lease.may_claim(now=109.0)
"""

from typing import NamedTuple

__all__ = ["LogEnd", "OrderLease", "fencing_number"]

# Engines count fencing numbers from 1, the log counts offsets from 0.
FIRST_FENCING_NUMBER = 1
# More than the records of a log. The adapter of the store bounds the eras, so that the
# numbers are exact in JSON (2**53).
FENCING_NUMBERS_PER_ERA = 2**32


class LogEnd(NamedTuple):
    """The offset after the newest record of a log, in an era of the store."""

    end: int
    era: int = 0


def fencing_number(offset: int, era: int) -> int:
    """Return the fencing number of a claim, by the offset and era of its record."""
    return era * FENCING_NUMBERS_PER_ERA + offset + FIRST_FENCING_NUMBER


class OrderLease(NamedTuple):
    """One node's view of the log of claims.

    Times are seconds of the runtime's clock. ``claim_interval_s`` is the shortest time
    between a claim and the next one. ``claim_valid_s`` is how long a node may give
    orders under its own claim. ``log`` is the end of the log as it was read last. It
    was first seen at ``end_seen_at``, which is None before the first read.
    """

    claim_interval_s: float
    claim_valid_s: float
    log: LogEnd = LogEnd(0)
    end_seen_at: float | None = None

    def with_end(self, log: LogEnd, now: float) -> "OrderLease":
        """Return the state after the end of the log was read."""
        if self.end_seen_at is not None and log == self.log:
            return self
        return self._replace(log=log, end_seen_at=now)

    def is_outdated(self, log: LogEnd) -> bool:
        """Return whether an answer is of an earlier era than what is known."""
        return self.end_seen_at is not None and log.era < self.log.era

    def may_claim(self, now: float) -> bool:
        """Return whether the newest claim is old enough for another one."""
        return (
            self.end_seen_at is not None
            and now - self.end_seen_at >= self.claim_interval_s
        )

    def may_order(self, claimed_at: float, now: float) -> bool:
        """Return whether a claim made at ``claimed_at`` is still valid."""
        return now - claimed_at < self.claim_valid_s
