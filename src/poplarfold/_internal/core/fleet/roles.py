"""Plans the numbers of prefill and decode engines of a service.

The plan corrects a lasting imbalance between the two pools. A stream occupies a
prefill engine while its prompt is prefilled, and a part of a decode engine's memory
or slots while it is decoded. The planned number of prefill engines is the one that
gives both pools together the highest throughput of streams.
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

# Smallest ratio of the planned to the current throughput that justifies a change. A
# change takes an engine out of service for seconds, which costs more under load.
GAIN_RATIO_MIN = 1.08
GAIN_RATIO_MIN_UNDER_LOAD = 1.15
# Under load, at most one of this many engines changes its role at a time.
ENGINES_PER_CHANGE = 8
# With fewer engines, taking one out for a change would stop the service.
ENGINES_MIN = 3
# Utilization above which a prefill engine's queue grows long.
PREFILL_UTILIZATION_MAX = 0.9
# A decode engine takes this many times as long for a prefill as a prefill engine.
OWN_PREFILL_SLOWDOWN = 2.0
# Part of the throughput that remains useful when decode engines prefill: their other
# streams stall meanwhile, and many miss their latency target.
OWN_PREFILL_USEFUL_PART = 0.5
# Factors by which the estimated prefill rate changes after a faster or slower prefill.
# The estimate settles where one prefill in ten is faster: most prefills have waited in
# the queue and look too slow, and a few found their prompt cached and look too fast.
RATE_INCREASE_FACTOR = 1.03
RATE_DECREASE_FACTOR = 0.9967
# Weight of the newest stream in the moving averages.
AVERAGE_WEIGHT = 0.02


class StreamCost(NamedTuple):
    """The cost of an average stream, learned from the streams that were served.

    ``prompt_tokens`` are prefilled at ``prefill_rate`` tokens per second. Decoding
    takes ``decode_s`` and reserves memory for ``reserved_tokens`` tokens. The defaults
    apply until the first streams have been served.
    """

    prompt_tokens: float = 5_000.0
    prefill_tokens_per_s: float = 50_000.0
    decode_s: float = 3.3
    reserved_tokens: float = 12_000.0
    is_learned: bool = False

    @property
    def prefill_s(self) -> float:
        """The duration of a prefill without queueing."""
        return self.prompt_tokens / max(1.0, self.prefill_tokens_per_s)

    def with_prefill(self, seconds: float, tokens: int) -> "StreamCost":
        """Return the cost updated with another prefill."""
        rate = tokens / max(0.001, seconds)
        factor = (
            RATE_INCREASE_FACTOR
            if rate > self.prefill_tokens_per_s
            else RATE_DECREASE_FACTOR
        )
        return self._replace(
            prompt_tokens=self.prompt_tokens
            + AVERAGE_WEIGHT * (tokens - self.prompt_tokens),
            prefill_tokens_per_s=self.prefill_tokens_per_s * factor,
            is_learned=True,
        )

    def with_stream(self, seconds: float, tokens: int) -> "StreamCost":
        """Return the cost updated with a stream that reserved ``tokens`` tokens."""
        return self._replace(
            decode_s=self.decode_s + AVERAGE_WEIGHT * (seconds - self.decode_s),
            reserved_tokens=self.reserved_tokens
            + AVERAGE_WEIGHT * (tokens - self.reserved_tokens),
        )


class RoleChange(NamedTuple):
    """An engine that should change its role, and the gain in streams per second."""

    endpoint: FleetEndpoint
    role: EndpointRole
    gain: float


def streams_per_s(
    prefill: int, decode: int, service: Service, cost: StreamCost
) -> float:
    """Return how many streams per second both pools can serve together.

    Without prefill engines, decode engines prefill the prompts. Their other streams
    stall meanwhile, and many miss their latency target.
    """
    concurrent_streams = min(
        service.slots, service.memory_tokens / max(1.0, cost.reserved_tokens)
    )
    decode_engine_s = max(0.001, cost.decode_s) / max(1.0, concurrent_streams)
    prefill_s = max(0.001, cost.prefill_s)
    if prefill <= 0:
        stream_s = decode_engine_s + OWN_PREFILL_SLOWDOWN * prefill_s
        return OWN_PREFILL_USEFUL_PART * decode / stream_s
    return min(prefill * PREFILL_UTILIZATION_MAX / prefill_s, decode / decode_engine_s)


def plan_role_changes(
    engines: Sequence[FleetEndpoint], service: Service, cost: StreamCost
) -> list[RoleChange]:
    """Return the role changes to make now, or none if they would gain too little.

    Under load only a few engines change at a time, because an engine serves nothing
    during its change.
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
    planned_prefill = max(rates, key=lambda count: rates[count])
    current = streams_per_s(len(prefill), len(decode), service, cost)
    factor = GAIN_RATIO_MIN_UNDER_LOAD if cost.is_learned else GAIN_RATIO_MIN
    if rates[planned_prefill] < current * factor:
        return []
    count = abs(planned_prefill - len(prefill))
    if cost.is_learned:
        count = min(count, max(1, total // ENGINES_PER_CHANGE))
    gain = (rates[planned_prefill] - current) / max(1, count)
    if planned_prefill < len(prefill):
        return build_role_changes(prefill, EndpointRole.DECODE, count, gain)
    return build_role_changes(decode, EndpointRole.PREFILL, count, gain)


def build_role_changes(
    pool: Sequence[FleetEndpoint], role: EndpointRole, count: int, gain: float
) -> list[RoleChange]:
    """Return the changes of ``count`` engines of a pool to another role."""
    remaining = list(pool)
    changes = []
    for _ in range(count):
        endpoint = surplus_engine(remaining)
        remaining.remove(endpoint)
        changes.append(RoleChange(endpoint, role, gain))
    return changes


def surplus_engine(pool: Sequence[FleetEndpoint]) -> FleetEndpoint:
    """Return an engine of the failure domain with the most engines of the pool."""
    sizes = Counter(row.failure_domain for row in pool)
    return min(pool, key=lambda row: (-sizes[row.failure_domain], row.endpoint_id))
