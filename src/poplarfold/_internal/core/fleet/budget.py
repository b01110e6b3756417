"""The share of the fleet's retry budget that one node spends.

All nodes share ``ratio`` of a service's requests in a window and ``slack``
more. A node counts its own requests and takes its share of the slack, so that
the sum holds without any message between nodes.
"""

from collections import deque

__all__ = ["RetryBudget"]

# Requests that a node counts may belong to another window than the judge's, so
# only a part of the ratio is spent.
RATIO_SPENT = 0.75


class RetryBudget:
    """Repeated calls to one service within a sliding window.

    Times are monotonic seconds. ``nodes`` is the number of nodes among which
    the slack is divided.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self.requests.append(now)
        self._expire(now)

    def take(self, nodes: int, now: float) -> bool:
        """Spend one repeat if the node's share allows it."""
        self._expire(now)
        allowed = self.ratio * RATIO_SPENT * len(self.requests)
        allowed += self.slack / max(1, nodes)
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True

    def spend(self, now: float) -> None:
        """Count an arrival that was made already, such as a rejected prefill."""
        self.repeats.append(now)

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window_s:
                times.popleft()
