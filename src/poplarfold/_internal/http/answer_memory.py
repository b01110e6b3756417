"""Bounds the memory that unfinished answers of endpoints take in one process.

A faulty endpoint may send bytes without end. A limit for each answer alone does not
bound the sum over all calls, and a fixed sum would let one such endpoint take all of
it. An answer may therefore grow up to what the others leave free: one endless answer
gets half of the memory, two get a third each, and some is always left for others.
"""

import threading
import time

from poplarfold._internal.exceptions import AnswerTooLargeError
from poplarfold._internal.http.memory_account import Holding, MemoryAccount

__all__ = ["AnswerMemory", "HeldBytes"]

DEFAULT_LIMIT_BYTES = 64_000_000
# An answer of this size is always accepted. It is larger than most.
SMALL_ANSWER_BYTES = 65_536
# How long an answer waits for the memory of callers that are being closed.
WAIT_S = 0.5
RETRY_S = 0.01


class AnswerMemory:
    """The memory of a process for unfinished answers. Thread-safe.

    held = AnswerMemory(1_000_000).hold()
    held.resize(200_000)
    held.release()

    Answers also draw on ``account``, which they share with the callers' requests.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        account: MemoryAccount | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.account = account or MemoryAccount(limit_bytes)
        self.used_bytes = 0
        self.lock = threading.Lock()

    def hold(self) -> "HeldBytes":
        """Return the account of a new answer, which holds nothing yet."""
        return HeldBytes(self)

    def change(self, holding: Holding, wanted: int) -> bool:
        """Change what one answer holds; return False if callers must be closed first.

        A small answer is accepted even if callers use up the account: its call has been
        sent, and must not be given up for their sake. Raises AnswerTooLargeError if the
        other answers do not leave enough.
        """
        with self.lock:
            held = holding.size
            others = self.used_bytes - held
            is_small = wanted <= max(held, SMALL_ANSWER_BYTES)
            if not is_small and wanted > (self.limit_bytes - others) / 2:
                raise AnswerTooLargeError(
                    f"an answer exceeds {held} bytes, and there is no memory for more"
                )
            if not holding.resize_or_evict(wanted):
                if not is_small:
                    return False
                holding.force(wanted)
            self.used_bytes = others + wanted
            return True

    def forget(self, size: int) -> None:
        """Leave ``size`` bytes that an answer holds to its caller."""
        with self.lock:
            self.used_bytes -= size


class HeldBytes:
    """What one unfinished answer holds of the memory."""

    def __init__(self, memory: AnswerMemory) -> None:
        self.memory = memory
        self.holding = memory.account.open()

    @property
    def size(self) -> int:
        """The number of bytes that are held."""
        return self.holding.size

    def resize(self, size: int) -> None:
        """Hold ``size`` bytes from now on. Raises AnswerTooLargeError.

        Waits shortly for the memory of callers that are being closed.
        """
        until = time.monotonic() + WAIT_S
        while not self.memory.change(self.holding, size):
            if time.monotonic() >= until:
                raise AnswerTooLargeError("callers hold all memory for answers")
            time.sleep(RETRY_S)

    def detach(self) -> Holding:
        """Return what is held as a holding of its own, and hold nothing any more.

        It still counts in the account, but no longer among the answers being read.
        """
        detached, self.holding = self.holding, self.memory.account.open()
        self.memory.forget(detached.size)
        return detached

    def release(self) -> None:
        """Hold nothing any more."""
        self.resize(0)
