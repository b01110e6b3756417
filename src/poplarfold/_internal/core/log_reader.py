"""The position of one node in one log stream.

A reader hands on records in the order of their offsets, each exactly once.
It never steps over a missing offset: a gap is an error that the owner of the
reader settles with a checkpoint or with the state of a peer.
"""

import math

from result import Err, Ok, Result

from poplarfold._internal.core.commands import ReadLog
from poplarfold._internal.core.events import LogRead, LogReadFailed, LogRecord
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.exceptions import LogGapError

__all__ = ["StreamReader"]

READ_LIMIT = 500
# A long poll that outlives its wait by this much was lost with its connection.
READ_GRACE_S = 3.0
READ_RETRY_MIN_S = 0.2
READ_RETRY_MAX_S = 2.0
# A record that is known to exist and is not delivered by the pending long
# poll within this time is fetched by a second read.
OVERDUE_S = 0.5


class StreamReader:
    """Reads one stream from ``next`` on, with one long poll at a time.

    A reader waits until ``start`` tells it where to begin.
    ``caught_up_at`` is the start of the latest read whose answer reached the
    end of the stream: every record confirmed before that time was delivered.
    """

    def __init__(self, stream: str, wait_s: float) -> None:
        self.stream = stream
        self.wait_s = wait_s
        self.is_waiting = True
        self.next = 0
        self.first = 0
        self.known_end = 0
        self.overdue_at: float | None = None
        self.asked_at: float | None = None
        self.asked_wait_s = 0.0
        self.try_at = 0.0
        self.failures = 0
        self.caught_up_at: float | None = None

    def start(self, offset: int) -> None:
        """Begin to read at ``offset``."""
        self.is_waiting = False
        self.jump(offset)

    def jump(self, offset: int) -> None:
        """Continue at ``offset``, as the records before it are known."""
        self.next = offset
        self.known_end = max(self.known_end, offset)
        self.overdue_at = None
        self.asked_at = None
        self.try_at = 0.0

    def note_record(self, offset: int, now: float) -> None:
        """Note that the stream holds a record at ``offset``."""
        if offset >= self.known_end:
            self.known_end = offset + 1
        if offset >= self.next and self.overdue_at is None:
            self.overdue_at = now + OVERDUE_S

    def due_at(self) -> float:
        """Return the time of the next read."""
        if self.is_waiting:
            return math.inf
        if self.asked_at is None:
            return self.try_at
        lost_at = self.asked_at + self.asked_wait_s + READ_GRACE_S
        if self.overdue_at is not None:
            return min(lost_at, max(self.overdue_at, self.try_at))
        return lost_at

    def tick(self, state: NodeState, now: float) -> None:
        """Issue a read if one is due."""
        if self.due_at() > now:
            return
        wait_s = self.wait_s if self.overdue_at is None else 0.0
        if self.caught_up_at is None:
            wait_s = 0.0
        self.asked_at = now
        self.asked_wait_s = wait_s
        if self.overdue_at is not None:
            self.overdue_at = now + READ_GRACE_S
        state.emit(ReadLog(self.stream, self.next, READ_LIMIT, wait_s))

    def refresh(self, now: float) -> None:
        """Read at once, even if a long poll is pending."""
        if self.overdue_at is None or self.overdue_at > now:
            self.overdue_at = now

    def on_read(
        self, event: LogRead, now: float, state: NodeState
    ) -> tuple[LogRecord, ...] | None:
        """Take an answer and return the records that follow, in order.

        Returns None after a gap: the reader then waits for a checkpoint.
        """
        records = self.check_read(event, now)
        if isinstance(records, Err):
            problem = str(records.err_value)
            state.log("PF5005", None, stream=self.stream, problem=problem)
            self.is_waiting = True
            return None
        return records.ok_value

    def check_read(
        self, event: LogRead, now: float
    ) -> Result[tuple[LogRecord, ...], LogGapError]:
        """Move on by an answer, unless its offsets are not contiguous."""
        if event.start != self.next:
            return Ok(())
        asked_at = self.asked_at
        self.asked_at = None
        self.failures = 0
        self.try_at = now
        self.first = max(self.first, event.first)
        offset = self.next
        for record in event.records:
            if record.offset != offset:
                break
            offset += 1
        whole = offset == self.next + len(event.records)
        stuck = not event.records and event.next_offset > self.next
        if not whole or stuck or event.first > self.next:
            self.back_off(now)
            return Err(
                LogGapError(
                    f"stream {self.stream} lacks offset {offset}; "
                    f"it holds {event.first} to {event.next_offset - 1}"
                )
            )
        self.next = offset
        self.known_end = max(self.known_end, event.next_offset, offset)
        if self.next >= self.known_end:
            self.overdue_at = None
        if event.next_offset <= offset and asked_at is not None:
            self.caught_up_at = asked_at
        return Ok(event.records)

    def on_failure(self, event: LogReadFailed, now: float, state: NodeState) -> None:
        """Take a failed read and back off with jitter."""
        if not self.is_failing:
            state.log("PF5004", None, stream=self.stream, expired=event.expired)
        if event.start != self.next:
            return
        self.asked_at = None
        self.first = max(self.first, event.first)
        self.back_off(now, state.rng.random())
        if event.expired:
            # Records below the retention are gone: only a checkpoint can tell them.
            self.is_waiting = True

    def back_off(self, now: float, jitter: float = 0.5) -> None:
        delay = min(READ_RETRY_MAX_S, READ_RETRY_MIN_S * 2 ** min(self.failures, 8))
        self.failures += 1
        self.try_at = now + delay * (0.5 + jitter)
        if self.overdue_at is not None:
            self.overdue_at = max(self.overdue_at, self.try_at)

    @property
    def is_failing(self) -> bool:
        """Return whether the latest read failed."""
        return self.failures > 0
