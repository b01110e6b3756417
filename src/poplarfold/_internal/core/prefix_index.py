"""Which prompt prefixes a prefill engine probably holds in its cache."""

from poplarfold._internal.core.events import CacheChange

__all__ = ["PrefixIndex"]

# An engine's cache holds fewer prefixes than this; the bound limits memory.
PREFIXES_MAX = 65536
# A prefix that our own prefill must have stored is believed for this long
# without an event; cache events lag by up to a few seconds.
EXPECTED_S = 5.0


class PrefixIndex:
    """The cached prefixes of one engine process, from events that may be lost.

    It is a hint: a wrong entry costs time, never a wrong answer. After a gap
    in the events nothing is known any more except what comes later.

        index = PrefixIndex()
        index.apply(0, (CacheChange(1, True, "p1"),), oldest=1)
        index.cached_blocks(("p1", "p2"), now=0.0)  # 1
    """

    def __init__(self) -> None:
        self.seq = 0
        self.stored: dict[str, None] = {}
        self.expected: dict[str, float] = {}

    def apply(self, now: float, changes: tuple[CacheChange, ...], oldest: int) -> None:
        """Apply events; those already seen are skipped."""
        if oldest > self.seq + 1:
            # Events are missing, so any prefix may have been evicted since.
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

    def expect(self, now: float, prefixes: tuple[str, ...]) -> None:
        """Note that the engine stores ``prefixes`` with a prefill of ours."""
        for prefix in prefixes:
            if prefix not in self.stored:
                self.expected.pop(prefix, None)
                self.expected[prefix] = now + EXPECTED_S
        while self.expected:
            first = next(iter(self.expected))
            if self.expected[first] > now and len(self.expected) <= PREFIXES_MAX:
                break
            del self.expected[first]

    def cached_blocks(self, prefixes: tuple[str, ...], now: float) -> int:
        """Return how many leading blocks of a prompt are probably cached."""
        for count, prefix in enumerate(prefixes):
            if prefix in self.stored:
                continue
            if self.expected.get(prefix, now) <= now:
                return count
        return len(prefixes)
