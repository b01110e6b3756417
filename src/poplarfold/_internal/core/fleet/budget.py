"""One node's share of the fleet's retry budget.

Within a window, all nodes together may make ``ratio`` retries per request of a
service, plus ``slack`` retries. Each node counts only its own requests and uses
an equal share of the slack, so the fleet stays within the limit without any
messages between nodes.
"""

from collections import deque

__all__ = ["RetryBudget"]

# The platform's windows may start at other times than the node's. A node uses only
# this part of the ratio, so that the limit also holds in those windows.
RATIO_SAFETY_FACTOR = 0.75


class RetryBudget:
    """Retries of calls to one service within a sliding window.

    Times are monotonic seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a new request of a caller."""
        self.requests.append(now)
        self._expire(now)

    def try_spend(self, nodes: int, now: float) -> bool:
        """Spend one retry if the node's share allows it; return whether it does.

        ``nodes`` is the number of nodes that share the slack.
        """
        if not self.may_spend(nodes, now):
            return False
        self.retries.append(now)
        return True

    def may_spend(self, nodes: int, now: float) -> bool:
        """Return whether the node's share allows one more retry now."""
        self._expire(now)
        allowed = self.ratio * RATIO_SAFETY_FACTOR * len(self.requests)
        allowed += self.slack / max(1, nodes)
        return len(self.retries) + 1 <= allowed

    def give_back(self, taken_at: float) -> None:
        """Return a retry that was taken at a time and reached no endpoint."""
        if taken_at in self.retries:
            self.retries.remove(taken_at)

    def count_retry(self, now: float) -> None:
        """Charge a call that has already been sent, such as a rejected prefill.

        The call counts as a retry even if that exceeds the node's share.
        """
        self.retries.append(now)

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
