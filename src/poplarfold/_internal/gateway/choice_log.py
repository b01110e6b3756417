"""The log and the gauges of choices among endpoints that state their pace."""

import threading
from collections.abc import Callable

from poplarfold._internal.core.fleet.choice import EndpointStatsTable, pool_view
from poplarfold._internal.core.fleet.directory import Directory
from poplarfold._internal.core.fleet.paced_choice import Choice
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.metrics import PaceGauges
from poplarfold._internal.logs.event_limit import EventLimit

__all__ = ["LOGGED_CHOICES_PER_S", "ChoiceLog", "LogEvent", "pace_gauges"]

LogEvent = Callable[..., None]
"""Writes a numbered event of a call: number, fields by keyword."""

# Logged choices per second of this process. One takes some 300 bytes.
LOGGED_CHOICES_PER_S = 5.0


class ChoiceLog:
    """Logs the inputs of choices, at a bounded rate. Thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.limit = EventLimit(LOGGED_CHOICES_PER_S)

    def write(
        self,
        service: str,
        role: EndpointRole,
        choice: Choice,
        log: LogEvent | None,
        now: float,
    ) -> None:
        """Log a choice if endpoints state their pace and the rate permits it."""
        fields = choice.fields()
        if fields is None or log is None:
            return
        with self.lock:
            skipped = self.limit.take(now)
        if skipped is not None:
            log(
                "PF3601",
                service=service,
                role=role.value,
                choice=fields,
                skipped=skipped,
            )


def pace_gauges(
    directory: Directory, endpoint_stats: EndpointStatsTable, now: float
) -> dict[str, PaceGauges]:
    """Return the gauges of the services whose endpoints state their pace."""
    found = {}
    services = {row.service for row in directory.endpoints.values()}
    for service in sorted(services):
        slowdowns, avoided = [], 0
        for role in EndpointRole:
            rows = [
                (row, endpoint_stats.get(row))
                for row in directory.usable_endpoints(service, role)
            ]
            view = pool_view(rows, now)
            if view is not None:
                paces = [row.pace for _, row in rows]
                slowdowns += [row.slowdown for row in paces if row.is_stated]
                avoided += len(view.failures.outliers)
        if slowdowns:
            mean = sum(slowdowns) / len(slowdowns)
            found[service] = PaceGauges(mean, avoided)
    return found
