"""Simulation of the platform's append-only log.

Offsets of a stream are contiguous and start at 0. The log does not deduplicate by
record id: a client that retries an append after a lost response appends the record
a second time.

    >>> log = LogModel(LogConfig())
    >>> log.append(0.0, "claims", "r1", b"one").offset
    0
    >>> [record.data for record in log.read(0.0, "claims", 0, 10).records]
    [b'one']
"""

from collections import Counter, deque
from itertools import islice
from typing import NamedTuple

from poplarfold._internal.core.events import LogRecord

__all__ = ["Appended", "LogConfig", "LogModel", "ReadAnswer", "Stream"]

APPEND_BURST_S = 0.25


class LogConfig(NamedTuple):
    """Limits of the log. Retention is per stream, in records and in seconds."""

    appends_per_s: float = 300.0
    retained_records: int = 100_000
    retained_s: float = 7 * 86400.0
    max_record_bytes: int = 1_000_000


class Appended(NamedTuple):
    """The result of an append: a status and, with 200, the offset.

    With ``answer_lost`` the record is appended but the client gets no response.
    """

    status: int
    offset: int = -1
    answer_lost: bool = False


class ReadAnswer(NamedTuple):
    """The result of a read.

    ``first`` is the oldest retained offset of the stream, ``next`` the offset of its
    next append.
    """

    status: int
    first: int = 0
    next: int = 0
    records: tuple[LogRecord, ...] = ()


class Stream:
    """One stream, with its retained records and their append times."""

    __slots__ = ("first", "records", "times")

    def __init__(self) -> None:
        self.first = 0
        self.records: deque[LogRecord] = deque()
        self.times: deque[float] = deque()

    @property
    def next(self) -> int:
        """Return the offset that the next record gets."""
        return self.first + len(self.records)


class LogModel:
    """All streams of a log, its append rate and its faults."""

    def __init__(self, config: LogConfig | None = None) -> None:
        self.config = config or LogConfig()
        self.streams: dict[str, Stream] = {}
        self.tokens = self.config.appends_per_s * APPEND_BURST_S
        self.refilled_at = 0.0
        self.outage_until = 0.0
        self.answers_to_lose = 0
        self.slow_s = 0.0
        self.statuses: Counter[int] = Counter()
        self.appends = 0
        self.answers_lost = 0

    def append(self, now: float, stream: str, record_id: str, data: bytes) -> Appended:
        """Append a record.

        Returns status 200, 413 for a record that is too large, 429 above the append
        rate, or 503 during an outage.
        """
        status = 200
        if now < self.outage_until:
            status = 503
        elif len(data) > self.config.max_record_bytes:
            status = 413
        elif not self.take_token(now):
            status = 429
        self.statuses[status] += 1
        if status != 200:
            return Appended(status)
        row = self.streams.setdefault(stream, Stream())
        offset = row.next
        row.records.append(LogRecord(offset, record_id, data))
        row.times.append(now)
        self.appends += 1
        self.expire(row, now)
        lost = self.answers_to_lose > 0
        if lost:
            self.answers_to_lose -= 1
            self.answers_lost += 1
        return Appended(200, offset, lost)

    def take_token(self, now: float) -> bool:
        """Take one append from the token bucket. Bursts are limited to 0.25 s."""
        rate = self.config.appends_per_s
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.tokens = min(rate * APPEND_BURST_S, self.tokens + elapsed_s * rate)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def expire(self, row: Stream, now: float) -> None:
        """Drop records that exceed the retention limits."""
        config = self.config
        while row.records and (
            len(row.records) > config.retained_records
            or row.times[0] + config.retained_s < now
        ):
            row.records.popleft()
            row.times.popleft()
            row.first += 1

    def read(self, now: float, stream: str, start: int, limit: int) -> ReadAnswer:
        """Read up to ``limit`` records.

        Returns status 200, 410 if ``start`` is no longer retained, or 503 during an
        outage.
        """
        if now < self.outage_until:
            return ReadAnswer(503)
        row = self.streams.get(stream)
        if row is None:
            return ReadAnswer(200)
        self.expire(row, now)
        if start < row.first:
            return ReadAnswer(410, row.first, row.next)
        if row.next - start <= limit:
            # Most reads are at the tail, so iterate from the end instead of the start.
            count = max(0, row.next - start)
            tail = list(islice(reversed(row.records), count))
            records = tuple(reversed(tail))
        else:
            skipped = start - row.first
            records = tuple(islice(row.records, skipped, skipped + limit))
        return ReadAnswer(200, row.first, row.next, records)

    def truncate(self, stream: str, first: int) -> None:
        """Drop all records with an offset below ``first``."""
        row = self.streams.setdefault(stream, Stream())
        while row.records and row.first < first:
            row.records.popleft()
            row.times.popleft()
            row.first += 1

    def start_outage(self, now: float, seconds: float) -> None:
        """Answer all requests with 503 for ``seconds``."""
        self.outage_until = now + seconds

    def lose_append_answers(self, count: int) -> None:
        """Apply the next ``count`` appends without sending a response."""
        self.answers_to_lose += count

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values."""
        return {
            "appends": self.appends,
            "answers_lost": self.answers_lost,
            "statuses": {str(status): count for status, count in self.statuses.items()},
            "streams": {
                name: {"first": row.first, "next": row.next}
                for name, row in self.streams.items()
            },
        }
