"""When writes to the partitions of a topic are tried again after failures.

If two partitions begin to fail without a write that succeeds in between, the store is
taken to be away. It then gets one write for each pause, whatever the number of
partitions that wait, but for a first one to each partition: some of them may be sound.
A partition that fails alone has pauses of its own and delays no other one.
"""

import math
from collections.abc import Callable, Iterable

from poplarfold._internal.utils.backoff import doubled_s

__all__ = ["WriteRetries"]

# So many partitions that begin to fail show that the store is away.
PARTS_FAILED_MIN = 2
# The shortest pause, as a share of the longest one after the same failures.
JITTER_MIN = 0.75


class Pause:
    """The pause after writes that failed, the last one of which began ``failed_at``.

    It ends at ``due_at``, or early if the store has answered a later call. It begins no
    sooner than the previous one would have ended by itself, so that a store that
    answers other calls only gets one write for each pause as well.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.failed_at = -math.inf
        self.begins_at = -math.inf
        self.due_at = -math.inf
        self.early_at: float | None = None

    def renew(self, failed_at: float, now: float, length_s: float) -> None:
        """Begin the pause after one more failure."""
        self.failures += 1
        self.failed_at = failed_at
        self.begins_at = max(now, self.due_at)
        self.due_at = self.begins_at + length_s
        self.early_at = None


class WriteRetries:
    """The pauses of a topic's partitions, in seconds. Not thread-safe.

    The pause after the first failure is at most ``first_s``. Each further one is twice
    as long, up to ``longest_s``. An early end comes within ``spread_s`` of the answer,
    which is 0 until it is set. ``draw`` returns random numbers from 0 to 1.

    >>> retries = WriteRetries(0.3, 3.0, draw=lambda: 1.0)
    >>> retries.note_failure(2, began_at=0.0, now=0.8)
    >>> round(retries.left_s(2, now=0.9), 3), retries.left_s(5, now=0.9)
    (0.2, 0.0)
    """

    def __init__(
        self,
        first_s: float,
        longest_s: float,
        draw: Callable[[], float],
    ) -> None:
        self.first_s = first_s
        self.longest_s = longest_s
        self.spread_s = 0.0
        self.draw = draw
        # None while the store is not taken to be away.
        self.store: Pause | None = None
        self.parts: dict[int, Pause] = {}
        # The partitions that began to fail since a write last succeeded.
        self.newly_failed: set[int] = set()
        self.last_failure_at = -math.inf
        self.succeeded_at = -math.inf

    def in_order(self, parts: Iterable[int]) -> list[int]:
        """Return partitions in the order in which to try them.

        Those that have not failed come first, so that the others delay them least.
        """

        def failed_at(part: int) -> float:
            pause = self.parts.get(part)
            return -math.inf if pause is None else pause.failed_at

        return sorted(parts, key=failed_at)

    def left_s(self, part: int, now: float, answered_at: float = -math.inf) -> float:
        """Return how long the pause of a partition still lasts.

        The store has answered a call of any kind that began at ``answered_at``.
        """
        pause = self.parts.get(part) if self.store is None else self.store
        if pause is None:
            return 0.0
        answered_at = max(answered_at, self.succeeded_at)
        is_answered = answered_at >= pause.failed_at and now >= pause.begins_at
        if is_answered and pause.early_at is None:
            pause.early_at = now + self.spread_s * self.draw()
        until = pause.due_at
        if pause.early_at is not None:
            until = min(until, pause.early_at)
        if part not in self.parts:
            until = min(until, self.last_failure_at + self.first_s)
        return max(0.0, until - now)

    def note_success(self, part: int, now: float) -> None:
        """Note that the store has accepted a write."""
        self.store = None
        self.parts.pop(part, None)
        self.newly_failed.clear()
        self.succeeded_at = now

    def note_failure(self, part: int, began_at: float, now: float) -> None:
        """Note that a write failed which began at a time."""
        is_new = part not in self.parts
        pause = self.parts.setdefault(part, Pause())
        self.last_failure_at = now
        if self.store is not None:
            # This says nothing of the partition itself.
            pause.failed_at = began_at
            if not is_new:
                self._renew(self.store, began_at, now)
            return
        self._renew(pause, began_at, now)
        if is_new:
            self.newly_failed.add(part)
        if len(self.newly_failed) >= PARTS_FAILED_MIN:
            self.store = Pause()
            self._renew(self.store, began_at, now)

    def _renew(self, pause: Pause, began_at: float, now: float) -> None:
        longest_s = doubled_s(self.first_s, pause.failures, self.longest_s)
        jitter = JITTER_MIN + (1.0 - JITTER_MIN) * self.draw()
        pause.renew(began_at, now, longest_s * jitter)
