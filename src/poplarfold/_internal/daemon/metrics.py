"""The daemon's metrics and their text exposition."""

import threading
from bisect import bisect_left

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as Buckets

from poplarfold._internal.http.caller_metrics import CallerMetrics

__all__ = ["DaemonMetrics", "IntervalRecorder"]

TTFT_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.46, 0.7, 1.0, 2.0, 5.0, 15.0, 60.0)
INTERVAL_BOUNDS_S = (0.005, 0.01, 0.02, 0.029, 0.04, 0.06, 0.1, 0.2, 0.5, 1.0, 2.0)
INFINITY = float("inf")


class IntervalRecorder:
    """A lock-free histogram of the intervals between the outputs of one call.

    N outputs that arrive together count as one interval and N - 1 intervals of
    length zero.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(INTERVAL_BOUNDS_S) + 1)
        self.total_s = 0.0
        self.outputs = 0
        self.last_at = 0.0

    def restart(self, now: float, outputs: int) -> None:
        """Start measuring at the first outputs of an attempt."""
        self.last_at = now
        self.outputs += outputs
        self.counts[0] += outputs - 1

    def add(self, now: float, outputs: int) -> None:
        """Record the interval since the previous outputs, and count the new ones."""
        interval = now - self.last_at
        self.last_at = now
        self.total_s += interval
        self.outputs += outputs
        self.counts[bisect_left(INTERVAL_BOUNDS_S, interval)] += 1
        self.counts[0] += outputs - 1


class DaemonMetrics:
    """The metrics of one daemon.

    They have a registry of their own, so that several daemons can run in one process.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        registry = self.registry = Registry()
        self.callers = CallerMetrics(registry)
        self.calls = Counter(
            "poplarfold_calls_total", "Calls by entry and result.", registry=registry
        )
        self.refusals = Counter(
            "poplarfold_refusals_total", "Error answers by code.", registry=registry
        )
        self.open_calls = Gauge(
            "poplarfold_open_calls", "Calls in progress.", registry=registry
        )
        self.outputs = Counter(
            "poplarfold_outputs_total", "Outputs passed on.", registry=registry
        )
        self.first_output = Histogram(
            "poplarfold_first_output_seconds",
            "Time from the request to the first output.",
            registry=registry,
            buckets=(*TTFT_BOUNDS_S, INFINITY),
        )
        self.between_outputs = Histogram(
            "poplarfold_between_outputs_seconds",
            "Time between two outputs of one call.",
            registry=registry,
            buckets=(*INTERVAL_BOUNDS_S, INFINITY),
        )
        self.steps = Counter(
            "poplarfold_core_steps_total", "Steps of the core.", registry=registry
        )
        self.violations = Counter(
            "poplarfold_invariant_violations_total",
            "Violated invariants by name.",
            registry=registry,
        )
        self.open = 0

    def call_opened(self) -> None:
        """Count an open call, once its request has been read."""
        with self.lock:
            self.open += 1
            self.open_calls.set({}, self.open)

    def call_closed(self, entry: str, code: str, first_output_s: float | None) -> None:
        """Count a finished call.

        ``entry`` must be in the catalogue or empty, to bound the number of labels.
        """
        with self.lock:
            self.open -= 1
            self.open_calls.set({}, self.open)
            self.calls.inc({"entry": entry, "result": code})
            if first_output_s is not None:
                self.first_output.observe({"entry": entry}, float(first_output_s))

    def call_refused(self, code: str) -> None:
        """Count an error response."""
        with self.lock:
            self.refusals.inc({"code": code})

    def add_intervals(self, entry: str, recorder: IntervalRecorder) -> None:
        """Add the intervals of one call to the histogram of its entry."""
        labels = {"entry": entry}
        with self.lock:
            self.outputs.add(labels, recorder.outputs)
            try:
                merged = self.between_outputs.get_value(labels)
            except KeyError:
                merged = Buckets(*INTERVAL_BOUNDS_S, INFINITY)
                self.between_outputs.set_value(labels, merged)
            below = 0
            for bound, count in zip(merged.buckets, recorder.counts, strict=True):
                below += count
                merged.buckets[bound] += below
            merged.observations += below
            merged.sum += recorder.total_s

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        with self.lock:
            self.callers.sample()
            content, _ = render(self.registry, ["text/plain"])
        return bytes(content)
