"""Bounds the model calls that a host serves at once, so that others find a thread."""

import contextlib
import math
import threading
from collections.abc import Iterator

from poplarfold._internal.exceptions import StreamsFullError

__all__ = ["StreamPlaces"]


class StreamPlaces:
    """Places for model calls on the request threads of one listener. Thread-safe.

    A model call, a stream as a rule, occupies its thread for as long as it lasts, a
    call to a plain service until its deadline at most. Hence ``kept_share`` of the
    threads, and at least one, serve no model calls.

    >>> StreamPlaces(threads=8, kept_share=0.2).limit
    6
    """

    def __init__(self, threads: int, kept_share: float) -> None:
        self.limit = max(1, threads - max(1, math.ceil(kept_share * threads)))
        self.lock = threading.Lock()
        self.occupied = 0

    @contextlib.contextmanager
    def occupy(self) -> Iterator[None]:
        """Occupy a place for one model call.

        Raises StreamsFullError if none is left.
        """
        with self.lock:
            if self.occupied >= self.limit:
                raise StreamsFullError("this host serves as many model calls as it can")
            self.occupied += 1
        try:
            yield
        finally:
            with self.lock:
                self.occupied -= 1
