"""Bounds how often a frequent event is logged."""

__all__ = ["EventLimit"]


class EventLimit:
    """Allows ``per_s`` events per second, and counts those in between.

    Times are seconds of the runtime's clock. Not thread-safe.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.saved = per_s
        self.saved_at = float("-inf")
        self.skipped = 0

    def take(self, now: float) -> int | None:
        """Return the number of events skipped before this one, or None to skip it."""
        gained = self.per_s * max(0.0, now - self.saved_at)
        self.saved = min(self.per_s, self.saved + gained)
        self.saved_at = now
        if self.saved < 1.0:
            self.skipped += 1
            return None
        self.saved -= 1.0
        skipped, self.skipped = self.skipped, 0
        return skipped
