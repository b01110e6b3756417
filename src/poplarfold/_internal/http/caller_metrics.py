"""The metrics of what callers take from a process."""

from aioprometheus import Counter, Gauge, Registry

from poplarfold._internal.http.caller_resources import CallerResources

__all__ = ["CallerMetrics"]


class CallerMetrics:
    """Metrics of ``resources``, which are set once the listeners are made."""

    def __init__(self, registry: Registry) -> None:
        self.resources: CallerResources | None = None
        self.memory = Gauge(
            "poplarfold_caller_memory_bytes",
            "Memory held for requests and answers.",
            registry=registry,
        )
        self.memory_limit = Gauge(
            "poplarfold_caller_memory_limit_bytes",
            "Limit of the memory held for requests and answers.",
            registry=registry,
        )
        self.connections = Gauge(
            "poplarfold_caller_connections",
            "Open connections of callers.",
            registry=registry,
        )
        self.rejected = Counter(
            "poplarfold_rejected_bodies_total",
            "Request bodies rejected, by reason.",
            registry=registry,
        )
        self.closed = Counter(
            "poplarfold_closed_callers_total",
            "Callers closed in favour of others, by reason.",
            registry=registry,
        )

    def sample(self) -> None:
        """Set the metrics to the current values."""
        resources = self.resources
        if resources is None:
            return
        counts = resources.counts()
        self.memory.set({}, resources.account.used_bytes)
        self.memory_limit.set({}, resources.account.limit_bytes)
        self.connections.set({}, len(resources.connections.connections))
        self.rejected.set({"reason": "memory"}, counts.rejected)
        self.rejected.set({"reason": "time"}, counts.timed_out)
        self.closed.set({"reason": "slow"}, counts.slow)
        self.closed.set({"reason": "connections"}, counts.connections)
