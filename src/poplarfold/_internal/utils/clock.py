"""The clock of the gateway: seconds since the host was started."""

import time

__all__ = ["boot_time"]


def boot_time() -> float:
    """Return the seconds since the start of the host, as a float.

    The time while the host was suspended counts, unlike with ``time.monotonic()``. A
    process that wakes up must know that its claims and its callers' deadlines have
    expired meanwhile. Source: clock_gettime(2), CLOCK_BOOTTIME.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
