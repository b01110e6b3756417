"""What endpoints have said of themselves in their answers, beside the store's entries.

An endpoint that leaves says so in each of its answers, at times before its entry tells
it, or instead. One that is overloaded may ask not to be called for a while. Both hold
for one incarnation: its successor under the same id has said neither.
"""

from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.state import Table

__all__ = ["RETURN_SPREAD", "ServerSignal", "ServerSignals"]

# A longer wait counts as this one: a faulty answer must not exclude an endpoint for
# good.
RETRY_AFTER_MAX_S = 3600.0
# Endpoints return spread over this share of the time that they asked for, so that the
# nodes which they turned away do not all come back at the same moment.
RETURN_SPREAD = 0.2
ENDPOINTS_MAX = 4096


class ServerSignal(NamedTuple):
    """What one answer says: that the endpoint leaves, and how long not to call it.

    ``limit_per_s`` is how many calls a second the endpoint takes from all hosts
    together, or None without a limit; see ``core/fleet/server_limits``.
    """

    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None

    @property
    def is_away(self) -> bool:
        """Whether the endpoint leaves or must not be called for a while."""
        return self.is_leaving or self.retry_after_s is not None


class SignalRow(NamedTuple):
    """What an incarnation of an endpoint has said. It is not called before a time."""

    incarnation: int
    is_leaving: bool
    away_until: float


class ServerSignals:
    """The signals by endpoint id. Times are seconds of the runtime's clock.

    An entry of the store that calls the same incarnation ready does not end a signal:
    it may have been written before.

        signals = ServerSignals()
        signals.record(endpoint, ServerSignal(retry_after_s=2.0), now, rng.random())
        signals.may_use(endpoint, now + 1.0)
    """

    def __init__(self) -> None:
        self.rows: Table[str, SignalRow] = Table()

    def record(
        self,
        endpoint: FleetEndpoint,
        signal: ServerSignal,
        now: float,
        spread: float = 0.0,
    ) -> bool:
        """Record what an answer of an endpoint said; return whether that was new.

        ``spread`` is a random number from 0 to 1.
        """
        key = endpoint.endpoint_id
        row = self.rows.get(key)
        if row is not None and row.incarnation > endpoint.incarnation:
            return False
        if row is None or row.incarnation < endpoint.incarnation:
            row = SignalRow(endpoint.incarnation, False, 0.0)
        away_until = row.away_until
        if signal.retry_after_s is not None:
            wait_s = min(signal.retry_after_s, RETRY_AFTER_MAX_S)
            away_until = max(away_until, now + wait_s * (1.0 + RETURN_SPREAD * spread))
        is_leaving = row.is_leaving or signal.is_leaving
        changed = SignalRow(endpoint.incarnation, is_leaving, away_until)
        if changed == row:
            return False
        if len(self.rows) >= ENDPOINTS_MAX and key not in self.rows:
            del self.rows[next(iter(self.rows))]
        self.rows.put(key, changed)
        return True

    def may_use(self, endpoint: FleetEndpoint, now: float) -> bool:
        """Return whether nothing that an endpoint has said forbids to call it now."""
        row = self.rows.get(endpoint.endpoint_id)
        if row is None or row.incarnation != endpoint.incarnation:
            return True
        return not row.is_leaving and now >= row.away_until

    def away_s(self, endpoint: FleetEndpoint, now: float) -> float | None:
        """Return how long an endpoint wants no calls, or None if it is leaving."""
        row = self.rows.get(endpoint.endpoint_id)
        if row is None or row.incarnation != endpoint.incarnation:
            return 0.0
        return None if row.is_leaving else max(0.0, row.away_until - now)
