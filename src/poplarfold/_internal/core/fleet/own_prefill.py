"""Decides when a decode engine prefills a prompt itself.

The engine's other streams pause meanwhile. A prefill engine does not disturb them, but
in a burst its queue may be so long that the stream would miss its latency target.
"""

from typing import NamedTuple

from poplarfold._internal.core.fleet.endpoint_stats import EndpointStats

__all__ = ["OwnPrefillPolicy", "PrefillOutlook"]


class PrefillOutlook(NamedTuple):
    """What is expected of one prefill, in seconds.

    ``wait_s`` is the queue wait at the best prefill engine, or None if no prefill
    engine is available. ``own_s`` is how long the decode engine would take, during
    which its other streams pause. ``target_s`` is the latency target of the stream,
    and ``pause_s`` the longest pause between events that callers accept.
    """

    wait_s: float | None
    own_s: float
    target_s: float
    pause_s: float


class OwnPrefillPolicy(NamedTuple):
    """Shares of the target and of the accepted pause.

    A decode engine prefills a prompt if the wait for a prefill engine exceeds
    ``wait_share`` of the latency target, and if its other streams pause for at most
    ``pause_share`` of the accepted pause. The rest of that pause remains for the usual
    time between events. The pauses of two prefills in a row would add up, so the
    previous one must have begun before the accepted pause.
    """

    wait_share: float = 0.35
    pause_share: float = 0.75

    def is_better(
        self, outlook: PrefillOutlook, row: EndpointStats, now: float
    ) -> bool:
        """Return whether the decode engine of ``row`` should prefill the prompt."""
        if outlook.wait_s is None:
            return True
        if outlook.wait_s <= self.wait_share * outlook.target_s:
            return False
        if outlook.own_s > self.pause_share * outlook.pause_s:
            return False
        return now - row.own_prefill_at >= outlook.pause_s + outlook.own_s
