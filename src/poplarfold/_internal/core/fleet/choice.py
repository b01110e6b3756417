"""Chooses the endpoint with the shortest expected time for a call.

The expected time accounts for uneven arrivals (open calls compared with slots),
slow endpoints (answer times) and endpoints that fail some of their calls while
reporting good health (failure rate). If endpoints of a service state their pace, it
also accounts for that: the modules ``endpoint_pace``, ``outliers`` and
``paced_choice`` then have their part. Other services are not affected by them.
"""

import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from poplarfold._internal.core.fleet.endpoint_pace import typical_answer_s
from poplarfold._internal.core.fleet.endpoint_stats import (
    DEFAULT_ANSWER_S,
    EndpointStats,
    EndpointStatsTable,
    decayed_failure_rate,
    estimated_calls,
)
from poplarfold._internal.core.fleet.outliers import (
    FailureView,
    TrialBudget,
    judge_failures,
)
from poplarfold._internal.core.fleet.paced_choice import (
    FIRST_ATTEMPT,
    AttemptNeeds,
    Candidate,
    Choice,
    failure_cost_s,
    select_candidate,
)
from poplarfold._internal.core.fleet.rows import FleetEndpoint

__all__ = [
    "EndpointStats",
    "EndpointStatsTable",
    "PoolView",
    "choose_endpoint",
    "expected_answer_s",
    "make_choice",
    "pool_view",
    "queue_wait_s",
    "sample_candidates",
]

# Round-trip time to another domain of the same region, and to another region.
DOMAIN_PENALTY_S = 0.012
REGION_PENALTY_S = 0.040
# Time that a failed call costs its caller. Its product with the failure rate is added
# to the expected time.
FAILURE_PENALTY_S = 0.6
# If there are more endpoints, each call compares a random sample of this many, so that
# the time of a choice does not grow with the fleet.
CANDIDATES_MAX = 48
# The same where endpoints state their pace, since comparing one then takes three times
# as long.
PACED_CANDIDATES_MAX = 24


def round_trip_s(
    endpoint: FleetEndpoint, domain: str, regions: dict[str, str]
) -> float:
    """Return the round-trip time to an endpoint, by domain and region."""
    if endpoint.failure_domain == domain:
        return 0.0
    if regions.get(endpoint.failure_domain) == regions.get(domain):
        return DOMAIN_PENALTY_S
    return REGION_PENALTY_S


class PoolView(NamedTuple):
    """What the endpoints of a service that states its pace have in common.

    ``typical_s`` is the usual time of a call, ``failures`` says which endpoints fail
    more of their calls than the others.
    """

    typical_s: float
    failures: FailureView


def pool_view(
    rows: Sequence[tuple[FleetEndpoint, EndpointStats]], now: float
) -> PoolView | None:
    """Return the view of a service's endpoints, or None if none states its pace.

    Only endpoints that are not in cooldown are judged, so that at most half of
    those are avoided for their failures.
    """
    if not any(row.pace.is_stated for _, row in rows):
        return None
    records = {
        endpoint.endpoint_id: row.failures
        for endpoint, row in rows
        if row.cooldown_until <= now
    }
    paces = [row.pace for _, row in rows]
    return PoolView(
        typical_answer_s(paces, DEFAULT_ANSWER_S), judge_failures(records, now)
    )


def expected_answer_s(
    endpoint: FleetEndpoint,
    row: EndpointStats,
    domain: str,
    regions: dict[str, str],
    now: float,
    pool: PoolView | None = None,
    needs: AttemptNeeds = FIRST_ATTEMPT,
) -> float:
    """Return the time that a call is expected to take at an endpoint.

    ``pool`` is the view of the service's endpoints if they state their pace.
    """
    queue_factor = max(1.0, (estimated_calls(row, now) + 1.0) / max(1, endpoint.slots))
    # Even with free slots, an endpoint with fewer calls is slightly faster.
    spread = 0.1 * estimated_calls(row, now) / max(1, endpoint.slots)
    answer_s = row.answer_s
    if pool is not None:
        answer_s = row.pace.expected_s(pool.typical_s, DEFAULT_ANSWER_S, now)
    cost = answer_s * (queue_factor + spread)
    cost += FAILURE_PENALTY_S * decayed_failure_rate(row, now)
    if pool is not None:
        rate = pool.failures.excess.get(endpoint.endpoint_id, 0.0)
        if not needs.may_repeat:
            rate += pool.failures.unproven.get(endpoint.endpoint_id, 0.0)
        cost += rate * failure_cost_s(needs, pool.typical_s)
    return cost + round_trip_s(endpoint, domain, regions)


def queue_wait_s(row: EndpointStats, service_s: float, now: float) -> float:
    """Return the queue wait at an endpoint that serves its calls one by one."""
    return estimated_calls(row, now) * service_s


def sample_candidates(
    endpoints: Sequence[FleetEndpoint], rng: random.Random
) -> Sequence[FleetEndpoint]:
    """Return the endpoints to compare for one call.

    These are all endpoints, or a random sample of a large pool. The best of a
    sample is nearly as good as the best of all, and the time of a choice stays
    independent of the size of the fleet.
    """
    if len(endpoints) <= CANDIDATES_MAX:
        return endpoints
    return rng.sample(endpoints, CANDIDATES_MAX)


def make_choice(
    endpoints: Iterable[FleetEndpoint],
    endpoint_stats: EndpointStatsTable,
    domain: str,
    regions: dict[str, str],
    now: float,
    excluded: Collection[str] = (),
    needs: AttemptNeeds = FIRST_ATTEMPT,
    rng: random.Random | None = None,
    trials: TrialBudget | None = None,
) -> Choice | None:
    """Choose the endpoint with the shortest expected time, or return None.

    Endpoints that are marked full are excluded until that mark expires. Endpoints
    in cooldown are used only if all endpoints are in cooldown. ``needs``, ``rng`` and
    ``trials`` count only if endpoints state their pace; see ``select_candidate``.
    """
    pool_rows = [(endpoint, endpoint_stats.get(endpoint)) for endpoint in endpoints]
    rows = [pair for pair in pool_rows if pair[0].endpoint_id not in excluded]
    responsive = [pair for pair in rows if pair[1].cooldown_until <= now]
    free = [pair for pair in responsive or rows if pair[1].full_until <= now]
    if not free:
        return None
    is_paced = any(row.pace.is_stated for _, row in pool_rows)
    if is_paced and rng is not None and len(free) > PACED_CANDIDATES_MAX:
        free = pool_rows = rng.sample(free, PACED_CANDIDATES_MAX)
    pool = pool_view(pool_rows, now) if is_paced else None
    if pool is None:
        best = min(
            free,
            key=lambda pair: expected_answer_s(pair[0], pair[1], domain, regions, now),
        )
        return Choice(best[0])
    candidates = [
        Candidate(
            endpoint,
            expected_answer_s(endpoint, row, domain, regions, now, pool, needs),
            round_trip_s(endpoint, domain, regions),
            endpoint.slots - estimated_calls(row, now),
            row.failures.failures / max(1.0, row.failures.calls),
            row.pace.slowdown,
            figures_age_s(row, now),
            endpoint.endpoint_id in pool.failures.outliers,
            row.failures.has_lately_succeeded(now),
        )
        for endpoint, row in free
    ]
    return select_candidate(candidates, needs, rng, trials)


def figures_age_s(row: EndpointStats, now: float) -> float | None:
    """Return the age of an endpoint's latest figures, or None without any."""
    latest = max(row.pace.stated_at, row.pace.measured_at, row.failures.failed_at)
    return None if latest == float("-inf") else max(0.0, now - latest)


def choose_endpoint(
    endpoints: Iterable[FleetEndpoint],
    endpoint_stats: EndpointStatsTable,
    domain: str,
    regions: dict[str, str],
    now: float,
    excluded: Collection[str] = (),
    needs: AttemptNeeds = FIRST_ATTEMPT,
    rng: random.Random | None = None,
    trials: TrialBudget | None = None,
) -> FleetEndpoint | None:
    """Return the endpoint that ``make_choice`` chooses, or None."""
    choice = make_choice(
        endpoints, endpoint_stats, domain, regions, now, excluded, needs, rng, trials
    )
    return None if choice is None else choice.endpoint
