"""Bounds the memory that unfinished answers of endpoints take in one process.

A faulty endpoint may send bytes without end. A limit for each answer alone does not
bound the sum over all calls, and a fixed sum would let one such endpoint take all of
it. An answer may therefore grow up to what the others leave free: one endless answer
gets half of the memory, two get a third each, and some is always left for others.
"""

import threading

from poplarfold._internal.exceptions import AnswerTooLargeError

__all__ = ["AnswerMemory", "HeldBytes"]

DEFAULT_LIMIT_BYTES = 64_000_000
# An answer of this size is always accepted. It is larger than most.
SMALL_ANSWER_BYTES = 65_536


class AnswerMemory:
    """The memory of a process for unfinished answers. Thread-safe.

    held = AnswerMemory(1_000_000).hold()
    held.resize(200_000)
    held.release()
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.lock = threading.Lock()

    def hold(self) -> "HeldBytes":
        """Return the account of a new answer, which holds nothing yet."""
        return HeldBytes(self)

    def change(self, held: int, wanted: int) -> bool:
        """Change what one answer holds, if the others leave enough for it."""
        with self.lock:
            others = self.used_bytes - held
            is_small = wanted <= max(held, SMALL_ANSWER_BYTES)
            if not is_small and wanted > (self.limit_bytes - others) / 2:
                return False
            self.used_bytes = others + wanted
            return True


class HeldBytes:
    """What one unfinished answer holds of the memory."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.size = 0

    def resize(self, size: int) -> None:
        """Hold ``size`` bytes from now on. Raises AnswerTooLargeError."""
        if not self.memory.change(self.size, size):
            raise AnswerTooLargeError(
                f"an answer exceeds {self.size} bytes, and there is no memory for more"
            )
        self.size = size

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)
