"""What one relay was told of this host's use of quotas, and what has reached it."""

from collections import deque

__all__ = ["SentReports", "UseCursor"]

# A relay's level includes the reports that were sent this long before it. That is more
# than a message takes between hosts whose connection is sound.
ARRIVAL_S = 0.1
# Reports whose arrival no level has confirmed yet, at most. Older ones count as lost.
REPORTS_MAX = 32

# By account: how much had been admitted and wanted in all.
UseCursor = dict[int, tuple[int, int]]


class SentReports:
    """The reports to one relay. Times are seconds of the runtime's clock.

    A report is lost if its connection has broken or is silent. Use that it told must be
    told again then: once more than needed takes a little room from an account, but use
    that is never told lets the account exceed its quota.
    """

    def __init__(self, cursor: UseCursor) -> None:
        # Up to where reports were sent, and up to where they have arrived.
        self.cursor = cursor
        self.arrived = dict(cursor)
        self.sent: deque[tuple[float, UseCursor]] = deque(maxlen=REPORTS_MAX)

    def record_sent(self, now: float) -> None:
        """Record that a report has moved the cursor."""
        self.sent.append((now, dict(self.cursor)))

    def record_level(self, sent_at: float) -> None:
        """Record a level that the relay sent at a time."""
        while self.sent and self.sent[0][0] + ARRIVAL_S <= sent_at:
            self.arrived = self.sent.popleft()[1]

    def restart(self) -> None:
        """Begin again behind what has arrived, on a new connection."""
        self.cursor = dict(self.arrived)
        self.sent.clear()
