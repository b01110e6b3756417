"""An index of the prompt prefixes that a prefill engine probably has cached."""

from poplarfold._internal.core.events import CacheEvent

__all__ = ["PrefixIndex"]

# Bounds the memory of an index. An engine's cache holds fewer prefixes than this.
PREFIXES_MAX = 65536
# A prefix that a prefill is expected to store counts as cached for this long, even
# without a cache event. Cache events lag by up to a few seconds.
EXPECTED_LIFETIME_S = 5.0


class PrefixIndex:
    """The cached prefixes of one engine process, from events that may be lost.

    The index is a hint: a wrong entry costs time, but never causes a wrong answer.
    After a gap in the events the index is cleared and built up again.

        index = PrefixIndex()
        index.apply(0, (CacheEvent(1, True, "p1"),), oldest=1)
        index.cached_blocks(("p1", "p2"), now=0.0)  # 1
    """

    def __init__(self) -> None:
        self.seq = 0
        self.stored: dict[str, None] = {}
        self.expected: dict[str, float] = {}

    def apply(self, now: float, changes: tuple[CacheEvent, ...], oldest: int) -> None:
        """Apply cache events, and skip those already applied.

        ``oldest`` is the lowest sequence number that the engine retains.
        """
        if oldest > self.seq + 1:
            # Events were missed, so any prefix may have been evicted.
            self.stored.clear()
            self.expected.clear()
            self.seq = oldest - 1
        for change in sorted(changes):
            if change.seq <= self.seq:
                continue
            self.seq = change.seq
            self.expected.pop(change.prefix, None)
            if change.stored:
                self.stored[change.prefix] = None
            else:
                self.stored.pop(change.prefix, None)
        while len(self.stored) > PREFIXES_MAX:
            del self.stored[next(iter(self.stored))]

    def add_expected(self, now: float, prefixes: tuple[str, ...]) -> None:
        """Record that a prefill that was just granted will store ``prefixes``."""
        for prefix in prefixes:
            if prefix not in self.stored:
                self.expected.pop(prefix, None)
                self.expected[prefix] = now + EXPECTED_LIFETIME_S
        while self.expected:
            first = next(iter(self.expected))
            if self.expected[first] > now and len(self.expected) <= PREFIXES_MAX:
                break
            del self.expected[first]

    def cached_blocks(self, prefixes: tuple[str, ...], now: float) -> int:
        """Return the number of leading prompt blocks that are probably cached."""
        for count, prefix in enumerate(prefixes):
            if prefix in self.stored:
                continue
            if self.expected.get(prefix, now) <= now:
                return count
        return len(prefixes)
