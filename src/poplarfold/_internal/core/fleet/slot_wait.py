"""Decides how long a stream waits for a decode slot, and how often it asks.

Engines grant slots to whoever asks first, and each host sees only its own queue. A
stream that asks less often therefore leaves slots to the streams of all hosts that are
more urgent. Streams that can still be on time ask the more often the less time they
have left. Retries are late already. They ask about once per expected wait, but may
wait longer.
"""

import random
from typing import NamedTuple, Protocol

from poplarfold._internal.core.fleet.slot_outlook import SlotOutlook

__all__ = ["WaitLimits", "WaitPlan", "next_ask_at", "plan_wait"]

# A stream that can be on time pauses for this share of its remaining time between two
# rounds of requests. With longer pauses, slots stay unused and fewer are on time.
PAUSE_SHARE = 0.1
# A retry pauses for this multiple of the expected wait of a stream that can be on time,
# and at most for a share of the mean decode time. Without the second bound, more
# streams are refused for good.
LATE_PAUSE_FACTOR = 1.0
LATE_PAUSE_DECODES_MAX = 0.15


class WaitLimits(Protocol):
    """The settings that limit waits; see ``AdmissionPolicy``."""

    @property
    def fresh_wait_share(self) -> float:
        """The share of the target that a stream waits if nothing is learned."""

    @property
    def late_wait_share(self) -> float:
        """The same for retries."""

    @property
    def late_wait_decodes(self) -> float:
        """How long a retry waits, in mean decode times."""

    @property
    def retry_after_s(self) -> float:
        """The usual time after which a refused caller comes back."""


class WaitPlan(NamedTuple):
    """How long a stream may wait, and until when a slot lets it be on time."""

    until: float
    on_time_until: float


def plan_wait(
    limits: WaitLimits,
    outlook: SlotOutlook,
    arrived_at: float,
    deadline_at: float,
    target_s: float,
    is_late: bool,
) -> WaitPlan:
    """Return the plan of a stream that arrived at ``arrived_at``.

    A stream that can be on time waits as long as it can be, since waiting costs it
    nothing. After that, its caller does better to come back when there is room, unless
    no time would be left for that. The last of these and retries wait for a share of
    the time within which all slots are used anew, and not beyond the time at which an
    average stream would miss the deadline.
    """
    setup_s = outlook.setup_s
    if is_late:
        on_time_until = arrived_at
        usual_s = limits.late_wait_share * target_s
    else:
        usual_s = limits.fresh_wait_share * target_s
        learned_s = 0.0 if setup_s is None else target_s - setup_s
        on_time_until = arrived_at + max(usual_s, learned_s)
    serve_s = outlook.decode_s + (setup_s or 0.0)
    returns_at = on_time_until + limits.retry_after_s
    if is_late or returns_at + serve_s > deadline_at:
        late_s = max(usual_s, limits.late_wait_decodes * outlook.decode_s)
        latest = max(arrived_at, deadline_at - serve_s)
        until = max(on_time_until, min(arrived_at + late_s, latest))
    else:
        until = on_time_until
    return WaitPlan(min(until, deadline_at), on_time_until)


def next_ask_at(
    on_time_until: float, outlook: SlotOutlook, now: float, rng: random.Random
) -> float:
    """Return when a stream asks again whose requests have just been refused."""
    if now < on_time_until:
        pause_s = PAUSE_SHARE * (on_time_until - now)
    else:
        pause_s = min(
            LATE_PAUSE_FACTOR * (outlook.expected_s or 0.0),
            LATE_PAUSE_DECODES_MAX * outlook.decode_s,
        )
    return now + pause_s * (0.5 + rng.random())
