"""Simulation of a weight store whose readers share one bandwidth limit.

>>> store = WeightStoreModel(bytes_per_s=100.0)
>>> store.start(0.0, "r1", 50), store.start(0.0, "r2", 50)
(True, True)
>>> [(read.reader, read.at) for read in store.advance(2.0)]
[('r1', 1.0), ('r2', 1.0)]
"""

from typing import NamedTuple

__all__ = ["ReadDone", "WeightStoreModel"]


class ReadDone(NamedTuple):
    """A reader has received all bytes of its weights."""

    at: float
    reader: str


class WeightStoreModel:
    """A weight store that splits ``bytes_per_s`` equally between its readers.

    Reads above ``max_readers`` are rejected.
    """

    def __init__(
        self, bytes_per_s: float = 2_000_000_000.0, max_readers: int = 64
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.max_readers = max_readers
        self.now = 0.0
        self.bytes_left: dict[str, float] = {}
        self.events: list[ReadDone] = []
        self.reads = 0
        self.refused = 0
        self.bytes_sent = 0.0
        self.most_readers = 0

    def start(self, now: float, reader: str, size: int) -> bool:
        """Start a read of ``size`` bytes. Return False above ``max_readers``."""
        self.run_until(now)
        if len(self.bytes_left) >= self.max_readers:
            self.refused += 1
            return False
        self.reads += 1
        self.bytes_left[reader] = float(size)
        self.most_readers = max(self.most_readers, len(self.bytes_left))
        return True

    def stop(self, now: float, reader: str) -> None:
        """Remove a reader that has disconnected."""
        self.run_until(now)
        self.bytes_left.pop(reader, None)

    def next_event_at(self) -> float | None:
        """Return the time when the next read ends, or None when idle."""
        if not self.bytes_left:
            return None
        reader_bytes_per_s = self.bytes_per_s / len(self.bytes_left)
        return self.now + min(self.bytes_left.values()) / reader_bytes_per_s

    def advance(self, now: float) -> list[ReadDone]:
        """Advance the store to ``now`` and return the reads that ended."""
        self.run_until(now)
        events, self.events = self.events, []
        return events

    def run_until(self, now: float) -> None:
        """Send bytes and end reads up to ``now``."""
        while True:
            at = self.next_event_at()
            if at is None or at > now:
                break
            smallest = min(self.bytes_left.values())
            self.send(smallest)
            self.now = at
            for reader in [
                key for key, bytes_left in self.bytes_left.items() if bytes_left <= 1e-6
            ]:
                del self.bytes_left[reader]
                self.events.append(ReadDone(at, reader))
        if self.bytes_left and now > self.now:
            self.send((now - self.now) * self.bytes_per_s / len(self.bytes_left))
        self.now = max(self.now, now)

    def send(self, bytes_per_reader: float) -> None:
        """Send ``bytes_per_reader`` bytes to each reader."""
        self.bytes_sent += bytes_per_reader * len(self.bytes_left)
        for reader in self.bytes_left:
            self.bytes_left[reader] -= bytes_per_reader

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values."""
        return {
            "reads": self.reads,
            "refused": self.refused,
            "bytes_sent": round(self.bytes_sent),
            "most_readers": self.most_readers,
        }
