"""How many engines of a service prefill and how many decode.

Answers a lasting mismatch of the two pools: a stream needs a prefill engine for
the time of its prefill and a share of a decode engine's memory or slots for its
whole length. The number of prefill engines is the one at which both pools
together carry the most streams.
"""

from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import FleetEndpoint, Service
from poplarfold._internal.core.model import EndpointRole

__all__ = [
    "RoleChange",
    "StreamCost",
    "plan_role_changes",
    "streams_per_s",
]

# A change takes an engine out for seconds, so it has to gain this much; more
# while streams are served.
GAIN_MIN = 1.08
GAIN_MIN_UNDER_LOAD = 1.15
# Of so many engines, one may change at a time while streams are served.
ENGINES_PER_CHANGE = 8
# With fewer engines, losing one to a change would stop the service.
ENGINES_MIN = 3
# A prefill engine's queue grows long above this part of its rate.
PREFILL_USE_MAX = 0.9
# A decode engine reads a prompt at half the speed of a prefill engine.
OWN_PREFILL_FACTOR = 2.0
OWN_PREFILL_WORTH = 0.5
# The estimate of an engine's rate settles where one prefill in ten is faster:
# most have waited in the queue, and a few found their prompt kept from before.
RATE_UP = 1.03
RATE_DOWN = 0.9967
STREAM_WEIGHT = 0.02


class StreamCost(NamedTuple):
    """What a usual stream costs, learned from those that were served.

    ``prompt_tokens`` are prefilled at ``prefill_rate`` tokens a second;
    decoding takes ``decode_s`` and reserves ``tokens`` of memory. The defaults
    hold until streams have been seen.
    """

    prompt_tokens: float = 5_000.0
    prefill_rate: float = 50_000.0
    decode_s: float = 3.3
    tokens: float = 12_000.0
    is_learned: bool = False

    @property
    def prefill_s(self) -> float:
        """The time of a prefill that does not wait."""
        return self.prompt_tokens / max(1.0, self.prefill_rate)

    def with_prefill(self, seconds: float, tokens: int) -> "StreamCost":
        """Return the cost after another prefill."""
        rate = tokens / max(0.001, seconds)
        factor = RATE_UP if rate > self.prefill_rate else RATE_DOWN
        return self._replace(
            prompt_tokens=self.prompt_tokens
            + STREAM_WEIGHT * (tokens - self.prompt_tokens),
            prefill_rate=self.prefill_rate * factor,
            is_learned=True,
        )

    def with_stream(self, seconds: float, tokens: int) -> "StreamCost":
        """Return the cost after another stream that reserved ``tokens``."""
        return self._replace(
            decode_s=self.decode_s + STREAM_WEIGHT * (seconds - self.decode_s),
            tokens=self.tokens + STREAM_WEIGHT * (tokens - self.tokens),
        )


class RoleChange(NamedTuple):
    """An engine that should get another role, and the gain in streams a second."""

    endpoint: FleetEndpoint
    role: EndpointRole
    gain: float


def streams_per_s(
    prefill: int, decode: int, service: Service, cost: StreamCost
) -> float:
    """Return how many streams a second both pools carry together.

    Without prefill engines, decode engines read the prompts. Their other
    streams stand still meanwhile, and many are late by that.
    """
    at_once = min(service.slots, service.memory_tokens / max(1.0, cost.tokens))
    decode_share = max(0.001, cost.decode_s) / max(1.0, at_once)
    prefill_s = max(0.001, cost.prefill_s)
    if prefill <= 0:
        own_s = decode_share + OWN_PREFILL_FACTOR * prefill_s
        return OWN_PREFILL_WORTH * decode / own_s
    return min(prefill * PREFILL_USE_MAX / prefill_s, decode / decode_share)


def plan_role_changes(
    engines: Sequence[FleetEndpoint], service: Service, cost: StreamCost
) -> list[RoleChange]:
    """Return the changes of roles that are wanted now, none if they gain too little.

    While streams are served, few engines change at a time, since an engine
    serves nothing until it has changed.
    """
    prefill = [row for row in engines if row.role is EndpointRole.PREFILL]
    decode = [row for row in engines if row.role is EndpointRole.DECODE]
    total = len(prefill) + len(decode)
    if total < ENGINES_MIN:
        return []
    rates = {
        count: streams_per_s(count, total - count, service, cost)
        for count in range(1, total)
    }
    wanted = max(rates, key=lambda count: rates[count])
    present = streams_per_s(len(prefill), len(decode), service, cost)
    factor = GAIN_MIN_UNDER_LOAD if cost.is_learned else GAIN_MIN
    if rates[wanted] < present * factor:
        return []
    count = abs(wanted - len(prefill))
    if cost.is_learned:
        count = min(count, max(1, total // ENGINES_PER_CHANGE))
    gain = (rates[wanted] - present) / max(1, count)
    if wanted < len(prefill):
        return changes_of(prefill, EndpointRole.DECODE, count, gain)
    return changes_of(decode, EndpointRole.PREFILL, count, gain)


def changes_of(
    pool: Sequence[FleetEndpoint], role: EndpointRole, count: int, gain: float
) -> list[RoleChange]:
    """Return changes of ``count`` engines of a pool to another role."""
    left = list(pool)
    changes = []
    for _ in range(count):
        endpoint = surplus_engine(left)
        left.remove(endpoint)
        changes.append(RoleChange(endpoint, role, gain))
    return changes


def surplus_engine(pool: Sequence[FleetEndpoint]) -> FleetEndpoint:
    """Return an engine of the failure domain that has the most of a pool."""
    sizes = Counter(row.failure_domain for row in pool)
    return min(pool, key=lambda row: (-sizes[row.failure_domain], row.endpoint_id))
