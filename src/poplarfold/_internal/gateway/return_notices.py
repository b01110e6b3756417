"""What the nodes of a region tell each other when the store comes back older.

The relays read the older copy for all, but may notice the return last: their calls may
hang, or pause after a failure. Subscribers that have seen the return tell their relays,
and a relay tells its subscribers for as long as it reads.
"""

import threading

from poplarfold._internal.gateway.topic_state import TopicState
from poplarfold._internal.platform import StoreTopic

__all__ = ["ReturnNotices"]

# The topics that other nodes than relays read if no relay sends them.
AWAITED_TOPICS = frozenset({StoreTopic.ROUTES, StoreTopic.ENDPOINTS})


class ReturnNotices:
    """The latest era of the store that was seen, and the latest that relays read.

    Thread-safe.
    """

    def __init__(self, state: TopicState) -> None:
        self.state = state
        self.condition = threading.Condition()
        # The latest era in which this node or a subscriber has seen the store return.
        self.seen_era = 0
        # The awaited topics that this node is reading.
        self.reading: set[StoreTopic] = set()
        # The latest era that a relay has said it reads, and when it did so last.
        self.heard_era = 0
        self.last_heard_at = 0.0

    def see(self, era: int) -> bool:
        """Note a return of the store; return whether it was unknown."""
        with self.condition:
            if era <= self.seen_era:
                return False
            self.seen_era = era
            self.condition.notify_all()
            return True

    def wait_for_return(self, known_era: int, limit_s: float) -> None:
        """Wait until a return after that of an era was seen, or the time is over."""
        with self.condition:
            self.condition.wait_for(lambda: self.seen_era > known_era, limit_s)

    def begin(self, topic: StoreTopic) -> None:
        """Note that this node reads a topic."""
        if topic in AWAITED_TOPICS:
            with self.condition:
                self.reading.add(topic)

    def end(self, topic: StoreTopic) -> None:
        """Note that this node has applied what it has read, or that the call failed."""
        with self.condition:
            self.reading.discard(topic)

    def reading_era(self) -> int | None:
        """Return the era of a return that this node reads, if it does."""
        with self.condition:
            era, topics = self.seen_era, tuple(self.reading)
        is_behind = any(self.state.is_behind(topic, era) for topic in topics)
        return era if is_behind else None

    def hear(self, era: int) -> None:
        """Note that a relay reads an era of the store."""
        with self.condition:
            if era >= self.heard_era:
                self.heard_era = era
                self.last_heard_at = self.state.fleet.clock()

    def heard_at(self, era: int) -> float | None:
        """Return when a relay has last said that it reads an era or a later one."""
        with self.condition:
            return self.last_heard_at if self.heard_era >= era else None
