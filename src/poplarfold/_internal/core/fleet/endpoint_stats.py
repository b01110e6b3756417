"""Load and failure statistics of the endpoints, as one node sees them."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from poplarfold._internal.core.fleet.endpoint_pace import EndpointPace
from poplarfold._internal.core.fleet.outliers import FailureRecord
from poplarfold._internal.core.fleet.rows import EndpointLoad, FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.core.state import Table
from poplarfold._internal.utils.backoff import doubled_s

__all__ = [
    "DEFAULT_ANSWER_S",
    "EndpointStats",
    "EndpointStatsTable",
    "decayed_failure_rate",
    "estimated_calls",
]

# Weight of the newest call in the moving averages.
AVERAGE_WEIGHT = 0.15
# Half-life of the failure rate while an endpoint gets no calls, so that an endpoint
# that failed is tried again.
FAILURE_HALF_LIFE_S = 2.5
# The weight of a load report falls linearly to zero at this age.
LOAD_MAX_AGE_S = 1.0
# Assumed answer time of an endpoint that has not been used yet.
DEFAULT_ANSWER_S = 0.08
# Cooldown of an unresponsive or unreachable endpoint. It doubles with each further
# failure, up to the maximum.
COOLDOWN_S = 1.0
COOLDOWN_MAX_S = 8.0
# Refusals in a row that start a cooldown.
REFUSALS_BEFORE_COOLDOWN = 2


class EndpointStats(NamedTuple):
    """Load and failures of one incarnation of an endpoint, as this node sees them.

    ``open_calls`` counts this node's own calls, ``other_calls`` the calls of other
    nodes as estimated at ``other_calls_at``. The endpoint gets no new calls before
    ``cooldown_until``, unless all endpoints are in cooldown. ``cooldowns`` counts the
    cooldowns since its last successful call. ``refusals`` counts the latest streams
    in a row that used this engine and were refused although they held a lease. An
    engine that refused a lease is not asked again before ``full_until``. A decode
    engine last began to prefill a prompt itself at ``own_prefill_at``. ``pace`` and
    ``failures`` decide only where endpoints of the service state their pace. The times
    of ``pace`` are those of calls in the role ``role``.
    """

    incarnation: int = 0
    open_calls: int = 0
    other_calls: int = 0
    other_calls_at: float = 0.0
    answer_s: float = DEFAULT_ANSWER_S
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    cooldown_until: float = 0.0
    cooldowns: int = 0
    refusals: int = 0
    full_until: float = 0.0
    own_prefill_at: float = float("-inf")
    pace: EndpointPace = EndpointPace()
    failures: FailureRecord = FailureRecord()
    role: EndpointRole = EndpointRole.SERVICE


class EndpointStatsTable:
    """Load and failure statistics by endpoint id, reset for each new incarnation.

    The incarnation in use is the one that choices ask for with ``get``. Calls to an
    earlier one may end after that, and leave no trace.
    """

    def __init__(self) -> None:
        self.rows: Table[str, EndpointStats] = Table()

    def get(self, endpoint: FleetEndpoint) -> EndpointStats:
        """Return the statistics of an announced incarnation, or start new ones."""
        row = self.read(endpoint)
        if row.role is not endpoint.role:
            row = row._replace(role=endpoint.role, pace=row.pace.without_times())
        self.rows.put(endpoint.endpoint_id, row)
        return row

    def read(self, endpoint: FleetEndpoint) -> EndpointStats:
        """Return the statistics of an incarnation that may have been replaced."""
        row = self.rows.get(endpoint.endpoint_id)
        if row is None or row.incarnation != endpoint.incarnation:
            return EndpointStats(incarnation=endpoint.incarnation, role=endpoint.role)
        return row

    def put(self, endpoint: FleetEndpoint, row: EndpointStats) -> None:
        """Store the statistics of an incarnation unless it has been replaced."""
        known = self.rows.get(endpoint.endpoint_id)
        if known is None or known.incarnation == endpoint.incarnation:
            self.rows.put(endpoint.endpoint_id, row)

    def start_call(self, endpoint: FleetEndpoint) -> None:
        """Count a call that begins."""
        row = self.get(endpoint)
        self.put(endpoint, row._replace(open_calls=row.open_calls + 1))

    def finish_call(self, endpoint: FleetEndpoint) -> None:
        """Remove a call that has ended from the open calls."""
        row = self.read(endpoint)
        self.put(endpoint, row._replace(open_calls=max(0, row.open_calls - 1)))

    def record_load(
        self, endpoint: FleetEndpoint, load: EndpointLoad | None, now: float
    ) -> None:
        """Record the load reported with an answer, if there is one."""
        if load is None:
            return
        row = self.read(endpoint)
        other_calls = max(0, load.running + load.waiting - row.open_calls)
        row = row._replace(other_calls=other_calls, other_calls_at=now)
        if load.slowdown is not None:
            row = row._replace(pace=row.pace.with_slowdown(load.slowdown, now))
        self.put(endpoint, row)

    def estimate_other_calls(
        self, endpoint: FleetEndpoint, answer_s: float, alone_s: float, now: float
    ) -> None:
        """Estimate the calls of other nodes from the time that a call took.

        ``answer_s`` is the measured time of the call, ``alone_s`` the time that it
        would take at an endpoint without other calls; the difference is queueing. An
        estimate below the current count is ignored.
        """
        row = self.read(endpoint)
        other_calls = max(0, round(answer_s / max(0.001, alone_s)) - 1 - row.open_calls)
        age_s = now - row.other_calls_at
        if other_calls > row.other_calls * max(0.0, 1.0 - age_s / LOAD_MAX_AGE_S):
            self.put(
                endpoint, row._replace(other_calls=other_calls, other_calls_at=now)
            )

    def record_answer(
        self,
        endpoint: FleetEndpoint,
        answer_s: float,
        ok: bool,
        now: float,
        slowdown: float | None = None,
        not_run: bool = False,
    ) -> None:
        """Record the answer time of a call and whether the call succeeded.

        ``slowdown`` is what the endpoint stated with the answer. One that assures that
        the call has not run may be busy or leave, which makes it no outlier. The time
        of such an answer says nothing of the endpoint's pace.
        """
        row = self.read(endpoint)
        average_s = row.answer_s + AVERAGE_WEIGHT * (answer_s - row.answer_s)
        rate = decayed_failure_rate(row, now)
        rate += AVERAGE_WEIGHT * ((0.0 if ok else 1.0) - rate)
        pace, failures = row.pace, row.failures
        if not not_run:
            if ok and row.role is endpoint.role:
                pace = pace.with_answer(answer_s, slowdown, now)
            failures = failures.with_outcome(ok, now)
        self.put(
            endpoint,
            row._replace(
                answer_s=average_s if ok else row.answer_s,
                cooldowns=0 if ok else row.cooldowns,
                failure_rate=rate,
                failure_rate_at=now,
                pace=pace,
                failures=failures,
            ),
        )

    def forgive_failures(self, endpoints: Iterable[FleetEndpoint], now: float) -> None:
        """Take back one counted failure of each endpoint at which one call failed.

        A call that fails at different endpoints is more likely the cause than they
        are, and such calls must not make outliers of the endpoints that got them.
        """
        for endpoint in endpoints:
            row = self.read(endpoint)
            self.put(endpoint, row._replace(failures=row.failures.with_less(now)))

    def start_cooldown(self, endpoint: FleetEndpoint, now: float) -> None:
        """Start a cooldown for an endpoint that did not answer."""
        row = self.read(endpoint)
        if row.cooldown_until > now:
            # This call began before the current cooldown and must not extend it.
            return
        cooldown_s = doubled_s(COOLDOWN_S, row.cooldowns, COOLDOWN_MAX_S)
        self.put(
            endpoint,
            row._replace(cooldown_until=now + cooldown_s, cooldowns=row.cooldowns + 1),
        )

    def end_cooldown(self, endpoint: FleetEndpoint) -> None:
        """End a cooldown whose cause was not the endpoint."""
        row = self.read(endpoint)
        self.put(endpoint, row._replace(cooldown_until=0.0, cooldowns=0))

    def record_refusal(self, endpoint: FleetEndpoint, now: float) -> None:
        """Record a stream that was refused although it held a lease.

        ``endpoint`` is the decode or prefill engine of the stream; either may be the
        cause. A decode engine that changes its role or leaves refuses all streams. If
        the results of a prefill engine expire too early, all streams that use them are
        refused. The second refusal in a row starts a cooldown.
        """
        row = self.read(endpoint)
        self.put(endpoint, row._replace(refusals=row.refusals + 1))
        if row.refusals + 1 >= REFUSALS_BEFORE_COOLDOWN:
            self.start_cooldown(endpoint, now)

    def record_stream_start(self, endpoint: FleetEndpoint) -> None:
        """Reset refusals and cooldowns, because a stream of this engine has begun."""
        row = self.read(endpoint)
        self.put(endpoint, row._replace(refusals=0, cooldowns=0))

    def record_own_prefill(self, endpoint: FleetEndpoint, now: float) -> None:
        """Record that a decode engine prefills a prompt itself."""
        self.put(endpoint, self.read(endpoint)._replace(own_prefill_at=now))

    def mark_full(self, endpoint: FleetEndpoint, until: float) -> None:
        """Exclude an engine that refused a lease until the time ``until``."""
        self.put(endpoint, self.read(endpoint)._replace(full_until=until))

    def remove_except(self, endpoint_ids: Collection[str]) -> None:
        """Delete the statistics of endpoints that are no longer announced.

        That includes those whose last calls ended after their removal.
        """
        for endpoint_id, _ in self.rows.rows():
            if endpoint_id not in endpoint_ids:
                del self.rows[endpoint_id]


def decayed_failure_rate(row: EndpointStats, now: float) -> float:
    """Return the failure rate, decayed by the time since the last call."""
    age_s = max(0.0, now - row.failure_rate_at)
    return float(row.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))


def estimated_calls(row: EndpointStats, now: float) -> float:
    """Return the estimated number of open calls of all nodes at an endpoint."""
    age_s = max(0.0, now - row.other_calls_at)
    weight = max(0.0, 1.0 - age_s / LOAD_MAX_AGE_S)
    return row.open_calls + row.other_calls * weight
