"""Pauses that double with each failure in a row."""

import math
from typing import NamedTuple

__all__ = ["NO_PAUSE", "Pause", "doubled_s"]

# A longer pause than any maximum. A float holds 1,023 doublings, and failures of a host
# that is away for hours are more.
DOUBLINGS_MAX = 60


def doubled_s(first_s: float, failures: int, max_s: float) -> float:
    """Return the pause in seconds after a failure before which others came in a row.

    >>> [doubled_s(0.5, failures, 3.0) for failures in (0, 1, 2, 5000)]
    [0.5, 1.0, 2.0, 3.0]
    """
    return min(max_s, first_s * 2.0 ** min(failures, DOUBLINGS_MAX))


class Pause(NamedTuple):
    """Until when something is not tried again, and how often it has failed in a row.

    >>> NO_PAUSE.lengthened(0.5, 3.0, now=10.0).lengthened(0.5, 3.0, now=11.0)
    Pause(until=12.0, failures=2)
    """

    until: float
    failures: int

    def lengthened(self, first_s: float, max_s: float, now: float) -> "Pause":
        """Return the pause after a further failure. Times are in seconds."""
        pause_s = doubled_s(first_s, self.failures, max_s)
        return Pause(now + pause_s, self.failures + 1)


NO_PAUSE = Pause(-math.inf, 0)
