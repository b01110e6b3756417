"""Translates times of another node's clock into times of this node's clock.

Clocks of two hosts differ, and a message may wait on its way: in a socket, behind a
slow link or in a paused process. The age of what a message says is therefore not the
time since it was received. Each node's clock is steady, so that one round trip bounds
their difference: the peer read its clock after this node had sent its question.

    >>> clock = PeerClock()
    >>> clock.measure(sent_at=100.0, peer_at=7.0)
    >>> clock.local_time(9.0)
    102.0
"""

__all__ = ["PeerClock"]

# By how much the clocks of two hosts may drift apart in one second, in seconds.
DRIFT_MAX = 2e-4


class PeerClock:
    """A lower bound of the difference between this node's clock and a peer's.

    Times are seconds of the respective clock. A slow answer only makes the bound, and
    with it the translated times, earlier: what the peer says then counts as older.
    """

    def __init__(self) -> None:
        self.difference_s: float | None = None
        self.measured_at = 0.0

    def measure(self, sent_at: float, peer_at: float) -> None:
        """Record that the peer's clock showed ``peer_at`` after a question was sent."""
        difference_s = sent_at - peer_at
        if self.difference_s is not None:
            elapsed_s = max(0.0, sent_at - self.measured_at)
            known_s = self.difference_s - DRIFT_MAX * elapsed_s
            difference_s = max(difference_s, known_s)
        self.difference_s = difference_s
        self.measured_at = sent_at

    def local_time(self, peer_at: float) -> float | None:
        """Return a time of this clock that is no later than the peer's ``peer_at``.

        Returns None before the first measurement.
        """
        return None if self.difference_s is None else peer_at + self.difference_s
