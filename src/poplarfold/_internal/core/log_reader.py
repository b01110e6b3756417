"""Reads one log stream in order, with one long poll at a time.

A reader delivers each record exactly once, in the order of offsets. It never
skips a missing offset: a gap is an error, and the owner of the reader recovers
with a checkpoint or the state of a peer.
"""

import math

from result import Err, Ok, Result

from poplarfold._internal.core.commands import ReadLog
from poplarfold._internal.core.events import LogReadCompleted, LogReadFailed, LogRecord
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.exceptions import LogGapError
from poplarfold._internal.utils.backoff import doubled_s

__all__ = ["StreamReader"]

READ_MAX_RECORDS = 500
# A long poll without a response this long after its wait time is considered lost
# with its connection.
READ_GRACE_S = 3.0
READ_RETRY_MIN_S = 0.2
READ_RETRY_MAX_S = 2.0
# If the pending long poll does not deliver a record that is known to exist within
# this time, a second read fetches it.
RECORD_OVERDUE_S = 0.5


class StreamReader:
    """Reads one stream from ``next_offset`` on, with one long poll at a time.

    A reader issues no reads until ``start`` sets its position. ``wait_s`` is the
    wait time of a long poll. ``first_offset`` is the lowest offset that the log
    retains. ``caught_up_at`` is the time of the latest request whose response
    reached the end of the stream: every record confirmed before that time was
    delivered.
    """

    def __init__(self, stream: str, wait_s: float) -> None:
        self.stream = stream
        self.wait_s = wait_s
        self.needs_start = True
        self.next_offset = 0
        self.first_offset = 0
        self.known_end = 0
        self.overdue_at: float | None = None
        self.pending_since: float | None = None
        self.pending_wait_s = 0.0
        self.earliest_read_at = 0.0
        self.failures = 0
        self.caught_up_at: float | None = None

    def start(self, offset: int) -> None:
        """Start reading at ``offset``."""
        self.needs_start = False
        self.seek(offset)

    def seek(self, offset: int) -> None:
        """Continue at ``offset``. The records before it are already known."""
        self.next_offset = offset
        self.known_end = max(self.known_end, offset)
        self.overdue_at = None
        self.pending_since = None
        self.earliest_read_at = 0.0

    def expect_record(self, offset: int, now: float) -> None:
        """Record that the stream contains a record at ``offset``.

        Schedules a second read in case the long poll does not deliver it.
        """
        if offset >= self.known_end:
            self.known_end = offset + 1
        if offset >= self.next_offset and self.overdue_at is None:
            self.overdue_at = now + RECORD_OVERDUE_S

    def due_at(self) -> float:
        """Return the time at which the next read is due."""
        if self.needs_start:
            return math.inf
        if self.pending_since is None:
            return self.earliest_read_at
        lost_at = self.pending_since + self.pending_wait_s + READ_GRACE_S
        if self.overdue_at is not None:
            return min(lost_at, max(self.overdue_at, self.earliest_read_at))
        return lost_at

    def tick(self, state: NodeState, now: float) -> None:
        """Issue a read if one is due."""
        if self.due_at() > now:
            return
        wait_s = self.wait_s if self.overdue_at is None else 0.0
        if self.caught_up_at is None:
            wait_s = 0.0
        self.pending_since = now
        self.pending_wait_s = wait_s
        if self.overdue_at is not None:
            self.overdue_at = now + READ_GRACE_S
        state.emit(ReadLog(self.stream, self.next_offset, READ_MAX_RECORDS, wait_s))

    def request_read(self, now: float) -> None:
        """Make a read due now, even if a long poll is pending."""
        if self.overdue_at is None or self.overdue_at > now:
            self.overdue_at = now

    def on_read(
        self, event: LogReadCompleted, now: float, state: NodeState
    ) -> tuple[LogRecord, ...] | None:
        """Handle a response and return its new records, in order.

        Returns None after a gap. The reader then waits for a checkpoint.
        """
        records = self.advance(event, now)
        if isinstance(records, Err):
            problem = str(records.err_value)
            state.log("PF5005", None, stream=self.stream, problem=problem)
            self.needs_start = True
            return None
        return records.ok_value

    def advance(
        self, event: LogReadCompleted, now: float
    ) -> Result[tuple[LogRecord, ...], LogGapError]:
        """Advance past the records of a response if their offsets are contiguous."""
        if event.start != self.next_offset:
            return Ok(())
        pending_since = self.pending_since
        self.pending_since = None
        self.failures = 0
        self.earliest_read_at = now
        self.first_offset = max(self.first_offset, event.first)
        offset = self.next_offset
        for record in event.records:
            if record.offset != offset:
                break
            offset += 1
        is_contiguous = offset == self.next_offset + len(event.records)
        no_progress = not event.records and event.next_offset > self.next_offset
        if not is_contiguous or no_progress or event.first > self.next_offset:
            self.back_off(now)
            return Err(
                LogGapError(
                    f"stream {self.stream} is missing offset {offset}; "
                    f"it contains {event.first} to {event.next_offset - 1}"
                )
            )
        self.next_offset = offset
        self.known_end = max(self.known_end, event.next_offset, offset)
        if self.next_offset >= self.known_end:
            self.overdue_at = None
        if event.next_offset <= offset and pending_since is not None:
            self.caught_up_at = pending_since
        return Ok(event.records)

    def on_failure(self, event: LogReadFailed, now: float, state: NodeState) -> None:
        """Handle a failed read and back off with jitter."""
        if not self.is_failing:
            state.log("PF5004", None, stream=self.stream, expired=event.expired)
        if event.start != self.next_offset:
            return
        self.pending_since = None
        self.first_offset = max(self.first_offset, event.first)
        self.back_off(now, state.rng.random())
        if event.expired:
            # The log no longer retains the records at the reader's position. Their
            # effects are available only from a checkpoint.
            self.needs_start = True

    def back_off(self, now: float, jitter: float = 0.5) -> None:
        delay = doubled_s(READ_RETRY_MIN_S, self.failures, READ_RETRY_MAX_S)
        self.failures += 1
        self.earliest_read_at = now + delay * (0.5 + jitter)
        if self.overdue_at is not None:
            self.overdue_at = max(self.overdue_at, self.earliest_read_at)

    @property
    def is_failing(self) -> bool:
        """Whether the latest read failed."""
        return self.failures > 0
