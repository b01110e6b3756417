"""Chooses endpoints by the time that a call is expected to take there.

The expectation answers three loads: uneven arrivals (use against slots), slow
endpoints (answer times) and endpoints that fail a part of their calls while
they report good health (failures).
"""

import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import EndpointLoad, FleetEndpoint
from poplarfold._internal.core.state import Table

__all__ = [
    "EndpointUse",
    "OwnPrefillPolicy",
    "UseTable",
    "candidates",
    "choose",
    "expected_s",
    "queue_wait_s",
]

# One way and back, to another domain of the region and to another region.
DOMAIN_PENALTY_S = 0.012
REGION_PENALTY_S = 0.040
# What a failed call costs its caller, weighed with the share of failed calls.
FAILURE_PENALTY_S = 0.6
# The weight of the newest call in the moving averages.
AVERAGE_WEIGHT = 0.15
# The share of failures halves in this time without calls, so that an endpoint
# which failed is tried again.
FAILURE_HALF_LIFE_S = 2.5
# A load that an endpoint told counts less with its age, and not after this.
LOAD_LIFE_S = 1.0
USUAL_ANSWER_S = 0.08
# A silent or unreachable endpoint gets no calls for this time, and for twice as
# long after each further failure.
AVOID_S = 1.0
AVOID_MAX_S = 8.0
REFUSALS_IN_A_ROW = 2
# So many endpoints are compared for one call at most.
CANDIDATES_MAX = 48


class EndpointUse(NamedTuple):
    """What this node knows of one incarnation of an endpoint.

    ``open_calls`` are this node's own. ``others`` is the use by other nodes
    as of ``others_at``. ``avoid_until`` keeps new calls away for a while;
    ``silences`` counts the failures in a row that led to that, ``refusals`` the
    streams in a row that were refused in spite of a lease.
    """

    born: int = 0
    open_calls: int = 0
    others: int = 0
    others_at: float = 0.0
    answer_s: float = USUAL_ANSWER_S
    failure_share: float = 0.0
    failure_at: float = 0.0
    avoid_until: float = 0.0
    silences: int = 0
    refusals: int = 0
    full_until: float = 0.0
    own_prefill_at: float = float("-inf")


class OwnPrefillPolicy(NamedTuple):
    """When a decode engine reads a prompt itself.

    Its other streams stand still while it reads, by about 40 ms for 1,000
    tokens. One read of a usual prompt stays below the pause that streams may
    have; two in a row do not.
    """

    wait_s: float
    tokens: int
    pause_s: float = 0.35

    def is_better(
        self, wait_s: float | None, tokens: int, row: EndpointUse, now: float
    ) -> bool:
        """Return whether to leave a prompt to the decode engine of ``row``.

        ``wait_s`` is the queue of the best prefill engine, or None without one.
        """
        if wait_s is None:
            return True
        if wait_s <= self.wait_s or tokens > self.tokens:
            return False
        return now - row.own_prefill_at >= self.pause_s


class UseTable:
    """The use of all endpoints, by id. A new incarnation starts empty."""

    def __init__(self) -> None:
        self.rows: Table[str, EndpointUse] = Table()

    def get(self, endpoint: FleetEndpoint) -> EndpointUse:
        """Return the row of this incarnation."""
        row = self.rows.get(endpoint.endpoint_id)
        if row is None or row.born != endpoint.born:
            row = EndpointUse(born=endpoint.born)
            self.rows.put(endpoint.endpoint_id, row)
        return row

    def put(self, endpoint: FleetEndpoint, row: EndpointUse) -> None:
        """Replace the row of this incarnation."""
        self.rows.put(endpoint.endpoint_id, row)

    def begin(self, endpoint: FleetEndpoint) -> None:
        """Count a call that starts."""
        row = self.get(endpoint)
        self.put(endpoint, row._replace(open_calls=row.open_calls + 1))

    def end(self, endpoint: FleetEndpoint) -> None:
        """Count a call that has ended."""
        row = self.get(endpoint)
        self.put(endpoint, row._replace(open_calls=max(0, row.open_calls - 1)))

    def note_load(
        self, endpoint: FleetEndpoint, load: EndpointLoad | None, now: float
    ) -> None:
        """Take the load that came with an answer."""
        if load is None:
            return
        row = self.get(endpoint)
        others = max(0, load.running + load.waiting - row.open_calls)
        self.put(endpoint, row._replace(others=others, others_at=now))

    def note_queue(
        self, endpoint: FleetEndpoint, answer_s: float, alone_s: float, now: float
    ) -> None:
        """Take the use by others from how much longer a call took than alone."""
        row = self.get(endpoint)
        others = max(0, round(answer_s / max(0.001, alone_s)) - 1 - row.open_calls)
        age_s = now - row.others_at
        if others > row.others * max(0.0, 1.0 - age_s / LOAD_LIFE_S):
            self.put(endpoint, row._replace(others=others, others_at=now))

    def note_answer(
        self, endpoint: FleetEndpoint, answer_s: float, ok: bool, now: float
    ) -> None:
        """Take how long an answer took and whether the call succeeded."""
        row = self.get(endpoint)
        average_s = row.answer_s + AVERAGE_WEIGHT * (answer_s - row.answer_s)
        share = failure_share(row, now)
        share += AVERAGE_WEIGHT * ((0.0 if ok else 1.0) - share)
        self.put(
            endpoint,
            row._replace(
                answer_s=average_s if ok else row.answer_s,
                silences=0 if ok else row.silences,
                failure_share=share,
                failure_at=now,
            ),
        )

    def avoid(self, endpoint: FleetEndpoint, now: float) -> None:
        """Keep new calls away from an endpoint that gave no answer."""
        row = self.get(endpoint)
        if row.avoid_until > now:
            # A call that was under way when the endpoint fell silent.
            return
        pause_s = min(AVOID_MAX_S, AVOID_S * 2**row.silences)
        self.put(
            endpoint,
            row._replace(avoid_until=now + pause_s, silences=row.silences + 1),
        )

    def note_refusal(self, endpoint: FleetEndpoint, now: float) -> None:
        """Note an engine's part in a stream that was refused in spite of its lease.

        A decode engine that changes its role or leaves refuses all streams, and
        a prefill engine whose results lapse has all of its own refused. After
        the second one in a row the engine is avoided.
        """
        row = self.get(endpoint)
        self.put(endpoint, row._replace(refusals=row.refusals + 1))
        if row.refusals + 1 >= REFUSALS_IN_A_ROW:
            self.avoid(endpoint, now)

    def note_used(self, endpoint: FleetEndpoint) -> None:
        """Note an engine's part in a stream that has begun."""
        row = self.get(endpoint)
        self.put(endpoint, row._replace(refusals=0, silences=0))

    def note_own_prefill(self, endpoint: FleetEndpoint, now: float) -> None:
        """Note that a decode engine reads a prompt itself."""
        self.put(endpoint, self.get(endpoint)._replace(own_prefill_at=now))

    def mark_full(self, endpoint: FleetEndpoint, until: float) -> None:
        """Ask an engine that refused a lease again at ``until`` only."""
        self.put(endpoint, self.get(endpoint)._replace(full_until=until))

    def forget(self, endpoint_ids: Collection[str]) -> None:
        """Drop the rows of endpoints that are not announced any more."""
        for endpoint_id in endpoint_ids:
            self.rows.pop(endpoint_id, None)


def failure_share(row: EndpointUse, now: float) -> float:
    """Return the share of failed calls, faded by the time since the last one."""
    age_s = max(0.0, now - row.failure_at)
    return float(row.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))


def in_use(row: EndpointUse, now: float) -> float:
    """Return the estimated number of calls at an endpoint, of all nodes."""
    age_s = max(0.0, now - row.others_at)
    fresh = max(0.0, 1.0 - age_s / LOAD_LIFE_S)
    return row.open_calls + row.others * fresh


def distance_s(endpoint: FleetEndpoint, domain: str, regions: dict[str, str]) -> float:
    """Return what the way to an endpoint costs."""
    if endpoint.failure_domain == domain:
        return 0.0
    if regions.get(endpoint.failure_domain) == regions.get(domain):
        return DOMAIN_PENALTY_S
    return REGION_PENALTY_S


def expected_s(
    endpoint: FleetEndpoint,
    row: EndpointUse,
    domain: str,
    regions: dict[str, str],
    now: float,
) -> float:
    """Return the time that a call is expected to take at an endpoint."""
    crowding = max(1.0, (in_use(row, now) + 1.0) / max(1, endpoint.slots))
    # Below the slots, a less used endpoint is still a little faster.
    spread = 0.1 * in_use(row, now) / max(1, endpoint.slots)
    cost = row.answer_s * (crowding + spread)
    cost += FAILURE_PENALTY_S * failure_share(row, now)
    return cost + distance_s(endpoint, domain, regions)


def queue_wait_s(row: EndpointUse, service_s: float, now: float) -> float:
    """Return how long a call waits for the calls before it, served one by one."""
    return in_use(row, now) * service_s


def candidates(
    endpoints: Sequence[FleetEndpoint], rng: random.Random
) -> Sequence[FleetEndpoint]:
    """Return the endpoints to compare for one call: all, or some of a large pool.

    The best of a random few is nearly as good as the best of all, and the time
    of a choice does not grow with the fleet.
    """
    if len(endpoints) <= CANDIDATES_MAX:
        return endpoints
    return rng.sample(endpoints, CANDIDATES_MAX)


def choose(
    endpoints: Iterable[FleetEndpoint],
    uses: UseTable,
    domain: str,
    regions: dict[str, str],
    now: float,
    excluded: Collection[str] = (),
) -> FleetEndpoint | None:
    """Return the endpoint with the shortest expected time, or None.

    Endpoints that were marked full are left out until their time has come.
    Those that were silent are used only if all are.
    """
    rows = [
        (endpoint, uses.get(endpoint))
        for endpoint in endpoints
        if endpoint.endpoint_id not in excluded
    ]
    heard = [pair for pair in rows if pair[1].avoid_until <= now]
    free = [pair for pair in heard or rows if pair[1].full_until <= now]
    if not free:
        return None
    best = min(
        free, key=lambda pair: expected_s(pair[0], pair[1], domain, regions, now)
    )
    return best[0]
