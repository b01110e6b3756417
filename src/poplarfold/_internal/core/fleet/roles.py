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
from poplarfold._internal.core.fleet.stream_cost import (
    OWN_PREFILL_SLOWDOWN,
    StreamCost,
)
from poplarfold._internal.core.model import EndpointRole

__all__ = [
    "RoleChange",
    "plan_role_changes",
    "streams_per_s",
]

# Smallest ratio of the planned to the current throughput that justifies a change. A
# change takes an engine out of service for seconds. That costs throughput only where
# the engine's old pool is the one that limits it, as with decode engines that are to
# prefill.
GAIN_RATIO_MIN = 1.08
DECODE_GAIN_RATIO_MIN = 1.15
# Prefill engines are short if prefills wait for more than this many times their own
# duration, and for more than this many times as long as streams wait for a slot.
PREFILL_WAIT_FACTOR_MIN = 1.5
SLOT_WAIT_FACTOR_MIN = 2.0
# At most one of this many engines leaves the decode pool at a time.
ENGINES_PER_CHANGE = 8
# With fewer engines, taking one out for a change would stop the service.
ENGINES_MIN = 3
# Utilization above which a prefill engine's queue grows long.
PREFILL_UTILIZATION_MAX = 0.9
# Part of the throughput that remains useful when decode engines prefill: their other
# streams stall meanwhile, and many miss their latency target.
OWN_PREFILL_USEFUL_PART = 0.5


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

    There are none before the cost of a stream has been learned. Surplus prefill
    engines change all at once, decode engines a few at a time, because an engine
    serves nothing during its change.
    """
    prefill = [row for row in engines if row.role is EndpointRole.PREFILL]
    decode = [row for row in engines if row.role is EndpointRole.DECODE]
    total = len(prefill) + len(decode)
    if total < ENGINES_MIN or not cost.is_learned:
        return []
    rates = {
        count: streams_per_s(count, total - count, service, cost)
        for count in range(1, total)
    }
    planned_prefill = max(rates, key=lambda count: rates[count])
    current = streams_per_s(len(prefill), len(decode), service, cost)
    gain_ratio = rates[planned_prefill] / max(1e-9, current)
    count = abs(planned_prefill - len(prefill))
    gain = (rates[planned_prefill] - current) / max(1, count)
    if planned_prefill < len(prefill):
        if gain_ratio < GAIN_RATIO_MIN:
            return []
        return build_role_changes(prefill, EndpointRole.DECODE, count, gain)
    if gain_ratio < DECODE_GAIN_RATIO_MIN or not is_prefill_short(prefill, cost):
        return []
    count = min(count, max(1, total // ENGINES_PER_CHANGE))
    return build_role_changes(decode, EndpointRole.PREFILL, count, gain)


def is_prefill_short(prefill: Sequence[FleetEndpoint], cost: StreamCost) -> bool:
    """Return whether streams wait longer for a prefill than for a decode slot.

    The estimated throughput alone is no reason to take an engine from the decode pool:
    in a burst, prefills look slow because they queue, and their results are lost if no
    decode engine is left to take them.
    """
    if not prefill:
        return True
    is_queueing = cost.prefill_wait_s > PREFILL_WAIT_FACTOR_MIN * cost.prefill_s
    return is_queueing and cost.prefill_wait_s > SLOT_WAIT_FACTOR_MIN * cost.slot_wait_s


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
