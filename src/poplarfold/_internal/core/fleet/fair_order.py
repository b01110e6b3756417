"""The order in which accounts get decode slots: start-time fair queueing.

Each account has a virtual time at which the work that it was given so far ends. The
streams of the account with the earliest one go first, so that an account that sends
much waits for itself and not for others.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from poplarfold._internal.core.fleet.accounts import PRIORITY_DEFAULT, PRIORITY_MAX
from poplarfold._internal.core.state import Table

__all__ = ["FairOrder", "StreamClass", "WaitingWork", "account_weight"]

# The weight of the lowest priority: no account may get less than 0.8 of the share of
# another one.
WEIGHT_MIN = 0.8
# One account may take this share of the places of a full queue, if others wait too.
ACCOUNT_SHARE_MAX = 0.5


class StreamClass(NamedTuple):
    """What decides the place of a stream among others.

    ``work`` is the number of tokens that the stream reads and writes. Without accounts
    ``account`` is None; it is empty for public routes.
    """

    account: str | None = None
    route: str = ""
    priority: int = PRIORITY_DEFAULT
    work: float = 0.0


class WaitingWork(NamedTuple):
    """A waiting stream: ``rank`` orders the streams of one account."""

    ticket: int
    kind: StreamClass
    urgency: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Urgent streams first, then by priority and arrival."""
        return (self.urgency, self.kind.priority, self.ticket)


def account_weight(priority: int) -> float:
    """Return the weight of an account's share, from 1 (priority 0) to 0.8 (9)."""
    clamped = min(max(priority, 0), PRIORITY_MAX)
    return 1.0 - (1.0 - WEIGHT_MIN) * clamped / PRIORITY_MAX


def weighted_work(kind: StreamClass) -> float:
    """Return the virtual time that a stream takes of its account."""
    return max(1.0, kind.work) / account_weight(kind.priority)


class FairOrder:
    """The virtual times of the accounts of one service."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.finishes: Table[str, float] = Table()

    def start_of(self, account: str) -> float:
        """Return the virtual start of an account's next stream."""
        return max(self.virtual_time, self.finishes.get(account, 0.0))

    def sorted(self, rows: Iterable[WaitingWork]) -> list[WaitingWork]:
        """Return the streams in the order in which they get slots.

        Streams that can be on time go before retries, whatever their accounts.
        """
        starts: dict[str, float] = {}
        keys = {}
        for row in sorted(rows, key=lambda row: row.rank):
            account = row.kind.account or ""
            start = starts.setdefault(account, self.start_of(account))
            starts[account] = start + weighted_work(row.kind)
            keys[row] = (row.urgency, start, row.kind.priority, row.ticket)
        return sorted(keys, key=keys.__getitem__)

    def record_placed(self, kind: StreamClass) -> None:
        """Charge a stream that got a slot to its account."""
        account = kind.account or ""
        start = self.start_of(account)
        self.virtual_time = start
        self.finishes.put(account, start + weighted_work(kind))
        for other, finish in self.finishes.rows():
            if finish <= self.virtual_time:
                del self.finishes[other]

    def overflow(
        self, rows: Collection[WaitingWork], rows_max: int
    ) -> WaitingWork | None:
        """Return the stream to remove if more than ``rows_max`` wait, or None.

        It is the last one of the account that is furthest above its share. An account
        is also bounded on its own while others wait.
        """
        by_account: dict[str, list[WaitingWork]] = {}
        for row in rows:
            by_account.setdefault(row.kind.account or "", []).append(row)
        if not by_account:
            return None
        own_max = rows_max if len(by_account) == 1 else ACCOUNT_SHARE_MAX * rows_max
        above = [found for found in by_account.values() if len(found) > own_max]
        if not above and len(rows) <= rows_max:
            return None
        largest = max(above or by_account.values(), key=self._backlog)
        return max(largest, key=lambda row: row.rank)

    def _backlog(self, rows: list[WaitingWork]) -> float:
        waiting = sum(weighted_work(row.kind) for row in rows)
        return waiting + self.start_of(rows[0].kind.account or "")
