"""Estimates when a decode slot becomes free, from recent waits and reported loads.

A host sees few streams of its own, so it combines its waits with those that the other
hosts of its region have reported. Old waits lose their weight within seconds, since a
burst lasts only seconds.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from poplarfold._internal.core.fleet.endpoint_stats import (
    LOAD_MAX_AGE_S,
    EndpointStats,
)
from poplarfold._internal.core.fleet.rows import Service
from poplarfold._internal.core.fleet.stream_cost import StreamCost

__all__ = [
    "EngineRoom",
    "SetupTime",
    "SlotOutlook",
    "SlotWaits",
    "add_waits",
    "engine_room",
]

# Half-life of the weight of a wait. Load reports between hosts take up to 4 s.
WAIT_HALF_LIFE_S = 4.0
# Waits with less weight than this say nothing about the present.
WAIT_WEIGHT_MIN = 2.0
# Weight of the newest stream in the averages of the time from a slot to the first
# event, and the number of streams after which these count as learned.
SETUP_WEIGHT_MIN = 0.1
SETUP_SAMPLES_MIN = 4
# A stream is set up within its mean time and this many mean deviations in about nine
# of ten cases.
SETUP_DEVIATIONS = 1.5
# The time to come back is drawn from this share of its upper bound up to the bound, so
# that the callers of a burst do not come back together.
RETRY_SPREAD = 0.3
# Callers honour Retry-After up to this share of their remaining time.
RETRY_SHARE_MAX = 1.0 / 3.0


class SlotWaits(NamedTuple):
    """Recent waits for a slot, with weights that halve every ``WAIT_HALF_LIFE_S``.

    ``waited_s`` is the time that all streams have waited, ``placed`` and ``refused``
    count them by the outcome. The weights are those of the time ``at``.
    """

    waited_s: float = 0.0
    placed: float = 0.0
    refused: float = 0.0
    at: float = 0.0

    def at_time(self, now: float) -> "SlotWaits":
        """Return the waits with their weights at ``now``."""
        factor = 0.5 ** (max(0.0, now - self.at) / WAIT_HALF_LIFE_S)
        return SlotWaits(
            self.waited_s * factor, self.placed * factor, self.refused * factor, now
        )

    def with_wait(self, seconds: float, is_placed: bool, now: float) -> "SlotWaits":
        """Return the waits with another one, which has ended now."""
        row = self.at_time(now)
        return row._replace(
            waited_s=row.waited_s + seconds,
            placed=row.placed + is_placed,
            refused=row.refused + (not is_placed),
        )

    @property
    def weight(self) -> float:
        """The weighted number of waits."""
        return self.placed + self.refused

    @property
    def expected_s(self) -> float | None:
        """The mean time until a stream gets a slot, or None if it is unknown.

        Streams that gave up have waited as well. The time of all waits, divided by the
        number of slots that they led to, accounts for them.
        """
        if self.weight < WAIT_WEIGHT_MIN:
            return None
        return self.waited_s / max(self.placed, 0.5)

    @property
    def placed_share(self) -> float:
        """The share of the streams that got a slot, 1 if unknown."""
        if self.weight < WAIT_WEIGHT_MIN:
            return 1.0
        return self.placed / self.weight


def add_waits(rows: Iterable[SlotWaits], now: float) -> SlotWaits:
    """Return the waits of several hosts together, with their weights at ``now``."""
    found = [row.at_time(now) for row in rows]
    return SlotWaits(
        sum(row.waited_s for row in found),
        sum(row.placed for row in found),
        sum(row.refused for row in found),
        now,
    )


class SetupTime(NamedTuple):
    """The learned time from a slot to the first event: its mean and mean deviation."""

    samples: int = 0
    mean_s: float = 0.0
    deviation_s: float = 0.0

    def with_setup(self, seconds: float) -> "SetupTime":
        """Return the averages after another stream."""
        weight = max(SETUP_WEIGHT_MIN, 1.0 / (self.samples + 1))
        error_s = seconds - self.mean_s if self.samples else 0.0
        mean_s = self.mean_s + weight * (seconds - self.mean_s)
        deviation_s = self.deviation_s + weight * (abs(error_s) - self.deviation_s)
        return SetupTime(self.samples + 1, mean_s, deviation_s)

    @property
    def expected_s(self) -> float | None:
        """The time within which most streams are set up, or None if unknown."""
        if self.samples < SETUP_SAMPLES_MIN:
            return None
        return self.mean_s + SETUP_DEVIATIONS * self.deviation_s


class EngineRoom(NamedTuple):
    """The decode engines of a service: their number, streams, and places for streams.

    Only engines that have reported their load within the last second count in
    ``running`` and ``places``.
    """

    engines: int = 0
    running: float = 0.0
    places: float = 0.0

    @property
    def is_free(self) -> bool:
        """Whether there is a place for another average stream."""
        return self.running + 1 <= self.places

    def scaled(self, engines: int) -> "EngineRoom":
        """Return the estimate for a pool of ``engines`` like these."""
        factor = engines / max(1, self.engines)
        return EngineRoom(engines, self.running * factor, self.places * factor)


def engine_room(
    stats: Iterable[EndpointStats], service: Service, cost: StreamCost, now: float
) -> EngineRoom:
    """Sum up what engines have reported.

    An engine has its slots as places, or fewer if the streams fill its memory first.
    """
    places = float(service.slots)
    if cost.reserved_tokens > 0 and service.memory_tokens > 0:
        places = min(places, service.memory_tokens / cost.reserved_tokens)
    rows = list(stats)
    known = [row for row in rows if now - row.other_calls_at < LOAD_MAX_AGE_S]
    running = sum(row.open_calls + row.other_calls for row in known)
    return EngineRoom(len(rows), float(running), places * len(known))


class SlotOutlook(NamedTuple):
    """What a host expects of the decode engines of a service.

    ``setup_s`` is the time from a slot to the first event, ``decode_s`` the time for
    which a stream occupies its slot. Both are None or 0 until they are learned.
    """

    waits: SlotWaits = SlotWaits()
    room: EngineRoom = EngineRoom()
    setup_s: float | None = None
    decode_s: float = 0.0

    @property
    def expected_s(self) -> float | None:
        """The expected wait of a new stream, or None if it is unknown."""
        learned_s = self.waits.expected_s
        if learned_s is None:
            return 0.0 if self.room.is_free else None
        if self.room.is_free or self.room.running <= 0:
            # Streams that need much memory wait even while others find a place.
            return learned_s
        # Not even the only waiting stream gets a slot before some stream ends.
        return max(learned_s, self.decode_s / self.room.running)

    @property
    def room_s(self) -> float | None:
        """The time after which a refused stream can expect a slot, or None.

        The engines serve as many streams as they have places in ``decode_s``. If only
        a share of the demand is placed, serving all of it takes longer by that share.
        """
        if self.decode_s <= 0 or self.waits.weight < WAIT_WEIGHT_MIN:
            return None
        return self.decode_s / max(0.1, self.waits.placed_share)

    def retry_after_s(
        self, usual_s: float, shortest_s: float, left_s: float, rng: random.Random
    ) -> float:
        """Return when a refused caller should come back.

        ``usual_s`` applies while the outlook is unknown. A caller with ``left_s`` left
        honours at most a third of it. Before ``shortest_s`` a caller that comes back
        looks like a new one.
        """
        room_s = self.room_s
        bound_s = min(usual_s if room_s is None else room_s, RETRY_SHARE_MAX * left_s)
        spread_s = bound_s * (1.0 - RETRY_SPREAD * rng.random())
        return min(max(shortest_s, spread_s), RETRY_SHARE_MAX * left_s)
