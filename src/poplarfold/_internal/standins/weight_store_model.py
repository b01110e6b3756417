"""The rate-limited weight store as a pure model: all readers share one rate.

>>> store = WeightStoreModel(bytes_per_s=100.0)
>>> store.start(0.0, "r1", 50), store.start(0.0, "r2", 50)
(True, True)
>>> [(read.reader, read.at) for read in store.advance(2.0)]
[('r1', 1.0), ('r2', 1.0)]
"""

from typing import NamedTuple

__all__ = ["ReadDone", "WeightStoreModel"]


class ReadDone(NamedTuple):
    """A reader has all bytes of its weights."""

    at: float
    reader: str


class WeightStoreModel:
    """Readers get equal parts of ``bytes_per_s``; above ``max_readers`` none."""

    def __init__(
        self, bytes_per_s: float = 2_000_000_000.0, max_readers: int = 64
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.max_readers = max_readers
        self.now = 0.0
        self.left: dict[str, float] = {}
        self.events: list[ReadDone] = []
        self.reads = 0
        self.refused = 0
        self.bytes_sent = 0.0
        self.most_readers = 0

    def start(self, now: float, reader: str, size: int) -> bool:
        """Start a read of ``size`` bytes; False if too many readers are served."""
        self.run_until(now)
        if len(self.left) >= self.max_readers:
            self.refused += 1
            return False
        self.reads += 1
        self.left[reader] = float(size)
        self.most_readers = max(self.most_readers, len(self.left))
        return True

    def stop(self, now: float, reader: str) -> None:
        """Forget a reader that has gone."""
        self.run_until(now)
        self.left.pop(reader, None)

    def next_event_at(self) -> float | None:
        """Return when the next read ends, or None when idle."""
        if not self.left:
            return None
        share = self.bytes_per_s / len(self.left)
        return self.now + min(self.left.values()) / share

    def advance(self, now: float) -> list[ReadDone]:
        """Carry the store to ``now`` and return the reads that ended."""
        self.run_until(now)
        events, self.events = self.events, []
        return events

    def run_until(self, now: float) -> None:
        """Send bytes up to ``now``."""
        while True:
            at = self.next_event_at()
            if at is None or at > now:
                break
            least = min(self.left.values())
            self.send(least)
            self.now = at
            for reader in [key for key, left in self.left.items() if left <= 1e-6]:
                del self.left[reader]
                self.events.append(ReadDone(at, reader))
        if self.left and now > self.now:
            self.send((now - self.now) * self.bytes_per_s / len(self.left))
        self.now = max(self.now, now)

    def send(self, each: float) -> None:
        """Send so many bytes to each reader."""
        self.bytes_sent += each * len(self.left)
        for reader in self.left:
            self.left[reader] -= each

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values."""
        return {
            "reads": self.reads,
            "refused": self.refused,
            "bytes_sent": round(self.bytes_sent),
            "most_readers": self.most_readers,
        }
