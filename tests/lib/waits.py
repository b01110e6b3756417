"""The wait with a time limit that tests use."""

import time
from collections.abc import Callable

__all__ = ["wait_until"]

LOOK_PERIOD_S = 0.01


def wait_until(condition: Callable[[], object], limit_s: float = 5.0) -> float:
    """Look at a condition until it holds; return the time that took, in seconds.

    Raises AssertionError if it has not held in time.
    """
    began = time.monotonic()
    while True:
        # Read before the condition, which holds in time also if this thread is held up
        # between the two.
        waited_s = time.monotonic() - began
        if condition():
            return waited_s
        assert waited_s < limit_s, "the condition was not met in time"
        time.sleep(LOOK_PERIOD_S)
