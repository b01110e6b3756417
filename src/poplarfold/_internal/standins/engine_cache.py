"""Prefix cache of a model engine and its cache events."""

from collections import OrderedDict, deque
from zlib import crc32

from poplarfold._internal.core.events import CacheEvent
from poplarfold._internal.standins.engine_types import EngineConfig, PrefillJob

__all__ = ["PrefixCache"]

KEPT_CACHE_EVENTS_MAX = 4096


class PrefixCache:
    """Cached prefixes, least recently used first, and the newest cache events.

    ``seq`` is the number of the newest event. Events become visible after
    ``cache_lag_s``, and the share ``cache_gap_share`` of them is lost.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.seq = 0
        self.events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=KEPT_CACHE_EVENTS_MAX
        )

    def __len__(self) -> int:
        return len(self.prefixes)

    def cached_tokens(self, job: PrefillJob) -> int:
        """Return how many tokens of the prompt are cached.

        At least one token is always left to compute.
        """
        cached_blocks = 0
        for prefix in job.prefixes:
            if prefix not in self.prefixes:
                break
            cached_blocks += 1
        return min(cached_blocks * self.config.block_tokens, job.tokens - 1)

    def touch(self, prefixes: tuple[str, ...]) -> None:
        """Mark cached prefixes as used, the shortest one most recently.

        A prefix is thus evicted before the shorter ones that it builds on.
        """
        for prefix in reversed(prefixes):
            if prefix in self.prefixes:
                self.prefixes.move_to_end(prefix)

    def store(self, now: float, prefixes: tuple[str, ...]) -> None:
        """Cache the prefixes of a prompt and evict least recently used ones."""
        kept = prefixes[: self.config.cache_blocks]
        for prefix in reversed(kept):
            if prefix in self.prefixes:
                self.prefixes.move_to_end(prefix)
            else:
                self.prefixes[prefix] = None
                self.publish(now, True, prefix)
        while len(self.prefixes) > self.config.cache_blocks:
            self.evict(now, next(iter(self.prefixes)))

    def evict(self, now: float, prefix: str) -> None:
        """Evict a prefix and emit its event."""
        del self.prefixes[prefix]
        self.publish(now, False, prefix)

    def clear(self, now: float) -> None:
        """Evict all prefixes, with one event for each."""
        for prefix in list(self.prefixes):
            self.evict(now, prefix)

    def publish(self, now: float, stored: bool, prefix: str) -> None:
        """Record a cache event.

        A lost event uses up its number. Which numbers are lost is deterministic.
        """
        self.seq += 1
        if self.config.cache_gap_share > 0:
            fraction = crc32(b"%d" % self.seq) / 2**32
            if fraction < self.config.cache_gap_share:
                return
        self.events.append((now, CacheEvent(self.seq, stored, prefix)))

    def changes(self, now: float, after: int) -> tuple[tuple[CacheEvent, ...], int]:
        """Return the visible events after ``after`` and the oldest number kept."""
        visible_until = now - self.config.cache_lag_s
        oldest = self.seq + 1
        if self.events:
            oldest = self.events[0][1].seq
        changes = []
        for at, change in reversed(self.events):
            if change.seq <= after:
                break
            if at <= visible_until:
                changes.append(change)
        return tuple(reversed(changes)), oldest
