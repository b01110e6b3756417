"""The router's counters and latency histograms on the platform."""

import threading

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["GatewayMetrics"]

LATENCY_BOUNDS_S = (
    0.05,
    0.1,
    0.2,
    0.3,
    0.46,
    0.7,
    0.9,
    1.5,
    3.0,
    6.0,
    14.0,
    float("inf"),
)


class GatewayMetrics:
    """The registry of one process. Safe for many threads."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        registry = self.registry = Registry()
        self.answers = Counter(
            "poplarfold_answers_total",
            "Answers by kind of call and status.",
            registry=registry,
        )
        self.refusals = Counter(
            "poplarfold_refusals_total", "Refusals by code.", registry=registry
        )
        self.repeats = Counter(
            "poplarfold_repeats_total", "Repeated attempts.", registry=registry
        )
        self.open_calls = Gauge(
            "poplarfold_open_calls", "Calls in progress.", registry=registry
        )
        self.latency = Histogram(
            "poplarfold_first_answer_seconds",
            "Time to the answer or to a stream's first event.",
            buckets=LATENCY_BOUNDS_S,
            registry=registry,
        )

    def count_answer(self, kind: str, status: int, latency_s: float) -> None:
        """Count an answer that was passed on."""
        with self.lock:
            self.answers.inc({"kind": kind, "status": str(status)})
            self.latency.observe({"kind": kind}, latency_s)

    def count_refusal(self, code: str) -> None:
        """Count an answer of the router's own."""
        with self.lock:
            self.refusals.inc({"code": code})

    def count_repeat(self, service: str) -> None:
        """Count a repeated attempt."""
        with self.lock:
            self.repeats.inc({"service": service})

    def set_open(self, count: int) -> None:
        """Set the number of calls in progress."""
        with self.lock:
            self.open_calls.set({}, count)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        with self.lock:
            content, _ = render(self.registry, ["text/plain"])
        return bytes(content)
