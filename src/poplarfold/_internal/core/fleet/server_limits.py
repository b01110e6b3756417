"""The limits that endpoints name in their answers.

An endpoint in need names how many calls a second it takes from all hosts together. The
limit holds for one incarnation, until an answer without one.
"""

from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.state import Table

__all__ = ["LimitRow", "ServerLimits"]

ENDPOINTS_MAX = 4096


class LimitRow(NamedTuple):
    """The limit of an incarnation of an endpoint, which it named last at a time."""

    incarnation: int
    limit_per_s: float
    named_at: float


class ServerLimits:
    """The limits by endpoint id. Times are seconds of the runtime's clock."""

    def __init__(self) -> None:
        self.rows: Table[str, LimitRow] = Table()

    def record(
        self,
        endpoint: FleetEndpoint,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record the limit in an answer to a call; return whether it has changed.

        ``sent_at`` is the time of the call. An answer to a call that was sent before
        the limit was last named does not end it.
        """
        row = self.rows.get(endpoint.endpoint_id)
        if row is not None and row.incarnation > endpoint.incarnation:
            return False
        if limit_per_s is None:
            return self._end(endpoint, row, sent_at)
        if len(self.rows) >= ENDPOINTS_MAX and row is None:
            del self.rows[next(iter(self.rows))]
        changed = LimitRow(endpoint.incarnation, limit_per_s, now)
        self.rows.put(endpoint.endpoint_id, changed)
        return row is None or row[:2] != changed[:2]

    def _end(
        self, endpoint: FleetEndpoint, row: LimitRow | None, sent_at: float
    ) -> bool:
        if row is None or (
            row.incarnation == endpoint.incarnation and sent_at < row.named_at
        ):
            return False
        del self.rows[endpoint.endpoint_id]
        return True
