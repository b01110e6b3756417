"""The router's counters and latency histograms on the platform."""

import threading
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from poplarfold._internal.http.caller_metrics import CallerMetrics

__all__ = ["GatewayGauges", "GatewayMetrics"]

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


WAIT_BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1.0, float("inf"))
PAUSE_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, float("inf"))


class GatewayGauges(NamedTuple):
    """Values that are sampled when the metrics are scraped.

    ``read_age_s`` is the time since the last successful read, by topic.
    """

    routes_version: int
    nodes: int
    endpoints: int
    read_age_s: dict[str, float]


class GatewayMetrics:
    """The metrics registry of one process. Thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        registry = self.registry = Registry()
        self.callers = CallerMetrics(registry)
        self.answers = Counter(
            "poplarfold_answers_total",
            "Answers by kind of call and status.",
            registry=registry,
        )
        self.error_responses = Counter(
            "poplarfold_refusals_total", "Refusals by code.", registry=registry
        )
        self.retries = Counter(
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

        self.denied_retries = Counter(
            "poplarfold_repeats_refused_total",
            "Repeats that the retry budget did not allow.",
            registry=registry,
        )
        self.leases = Counter(
            "poplarfold_leases_total",
            "Decode slots that were asked for, by outcome.",
            registry=registry,
        )
        self.prefills = Counter(
            "poplarfold_prefills_total", "Prefills by outcome.", registry=registry
        )
        self.wasted_tokens = Counter(
            "poplarfold_wasted_prefill_tokens_total",
            "Prefilled tokens that no stream used.",
            registry=registry,
        )
        self.store_calls = Counter(
            "poplarfold_store_calls_total",
            "Calls to the platform's store, by kind and outcome.",
            registry=registry,
        )
        self.wait = Histogram(
            "poplarfold_slot_wait_seconds",
            "Time that streams waited for a decode slot, by outcome.",
            buckets=WAIT_BOUNDS_S,
            registry=registry,
        )
        self.pause = Histogram(
            "poplarfold_stream_pause_seconds",
            "Longest pause within a stream.",
            buckets=PAUSE_BOUNDS_S,
            registry=registry,
        )
        self.routes_version = Gauge(
            "poplarfold_routes_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.nodes = Gauge(
            "poplarfold_nodes",
            "Nodes among which the retry budget is divided.",
            registry=registry,
        )
        self.endpoints = Gauge(
            "poplarfold_endpoints", "Announced endpoints.", registry=registry
        )
        self.read_age = Gauge(
            "poplarfold_store_read_age_seconds",
            "Time since a topic was last read, by topic.",
            registry=registry,
        )

    def count_answer(self, kind: str, status: int, latency_s: float) -> None:
        """Count an answer that was forwarded to a caller."""
        with self.lock:
            self.answers.inc({"kind": kind, "status": str(status)})
            self.latency.observe({"kind": kind}, latency_s)

    def count_error_response(self, code: str) -> None:
        """Count an error response that the router itself generated."""
        with self.lock:
            self.error_responses.inc({"code": code})

    def count_retry(self, service: str) -> None:
        """Count a retry that the retry budget allowed."""
        with self.lock:
            self.retries.inc({"service": service})

    def set_open(self, count: int) -> None:
        """Set the number of calls in progress."""
        with self.lock:
            self.open_calls.set({}, count)

    def count_denied_retry(self, service: str) -> None:
        """Count a retry that the retry budget did not allow."""
        with self.lock:
            self.denied_retries.inc({"service": service})

    def count_lease(self, outcome: str) -> None:
        """Count a request for a decode slot, by its outcome."""
        with self.lock:
            self.leases.inc({"outcome": outcome})

    def count_prefill(self, outcome: str) -> None:
        """Count a prefill that has ended, by its outcome."""
        with self.lock:
            self.prefills.inc({"outcome": outcome})

    def count_wasted_tokens(self, tokens: int) -> None:
        """Count the prompt tokens of a prefill whose result was released unused."""
        with self.lock:
            self.wasted_tokens.add({}, tokens)

    def count_store_call(self, call: str, is_ok: bool) -> None:
        """Count a call to the store, by its kind and outcome."""
        with self.lock:
            outcome = "ok" if is_ok else "failed"
            self.store_calls.inc({"call": call, "outcome": outcome})

    def observe_wait(self, outcome: str, wait_s: float) -> None:
        """Record how long a stream waited for a decode slot."""
        with self.lock:
            self.wait.observe({"outcome": outcome}, wait_s)

    def observe_pause(self, pause_s: float) -> None:
        """Record the longest pause within a stream."""
        with self.lock:
            self.pause.observe({}, pause_s)

    def render(self, gauges: GatewayGauges) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            self.routes_version.set({}, gauges.routes_version)
            self.nodes.set({}, gauges.nodes)
            self.endpoints.set({}, gauges.endpoints)
            for topic, age_s in gauges.read_age_s.items():
                self.read_age.set({"topic": topic}, round(age_s, 3))
            self.callers.sample()
            content, _ = render(self.registry, ["text/plain"])
        return bytes(content)
