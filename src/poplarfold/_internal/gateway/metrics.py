"""The router's counters and latency histograms on the platform."""

import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from poplarfold._internal.exceptions import CallerDisconnectedError, PoplarfoldError
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


class PaceGauges(NamedTuple):
    """The endpoints of one service that states its pace.

    ``slowdown`` is the mean of the smoothed slowdowns (1.0 is usual), ``avoided`` the
    number of endpoints that are avoided because they fail part of their calls.
    """

    slowdown: float
    avoided: int


class GatewayGauges(NamedTuple):
    """Values that are sampled when the metrics are scraped.

    ``read_age_s`` is the time since the last successful read, by topic. ``accounts``
    are the names of the accounts of the configuration, and ``paces`` has the services
    whose endpoints state their pace. ``waiting`` is the number of streams that wait
    for a slot, by service and route. ``limited_endpoints`` is the number of endpoints
    that have named a limit of their calls, ``cut_endpoints`` that of those which only
    peers reach, and ``tunnels`` that of the peers' connections which are forwarded.
    """

    routes_version: int
    nodes: int
    endpoints: int
    read_age_s: dict[str, float]
    accounts: frozenset[str]
    paces: dict[str, PaceGauges]
    waiting: Mapping[tuple[str, str], int]
    limited_endpoints: int = 0
    cut_endpoints: int = 0
    tunnels: int = 0


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
        self.waiting = Gauge(
            "poplarfold_waiting_streams",
            "Streams that wait for a decode slot, by service and route.",
            registry=registry,
        )
        self.stream_refusals = Counter(
            "poplarfold_stream_refusals_total",
            "Streams that were refused without a decode slot, by reason.",
            registry=registry,
        )
        self.account_calls = Counter(
            "poplarfold_account_calls_total",
            "Calls with a valid API key by account and result.",
            registry=registry,
        )
        self.account_units = Counter(
            "poplarfold_account_units_total",
            "Units of calls by account with a limit, admitted, refused or returned.",
            registry=registry,
        )
        self.quota_hosts = Gauge(
            "poplarfold_quota_hosts",
            "Hosts whose usage of quotas this node hears, itself included.",
            registry=registry,
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
        self.limited_endpoints = Gauge(
            "poplarfold_limited_endpoints",
            "Endpoints that have named a limit of their calls.",
            registry=registry,
        )
        self.cut_endpoints = Gauge(
            "poplarfold_cut_endpoints",
            "Endpoints that this node reaches through peers only.",
            registry=registry,
        )
        self.tunnels = Gauge(
            "poplarfold_tunnels",
            "Connections of peers to endpoints that this node forwards.",
            registry=registry,
        )
        self.read_age = Gauge(
            "poplarfold_store_read_age_seconds",
            "Time since a topic was last read, by topic.",
            registry=registry,
        )

        self.slowdown = Gauge(
            "poplarfold_endpoint_slowdown",
            "Mean stated slowdown of a service's endpoints, smoothed; 1 is usual.",
            registry=registry,
        )
        self.avoided = Gauge(
            "poplarfold_avoided_endpoints",
            "Endpoints of a service that are avoided for their failures.",
            registry=registry,
        )
        self.paces: dict[str, PaceGauges] = {}

    def count_answer(self, kind: str, status: int, latency_s: float) -> None:
        """Count an answer that was forwarded to a caller."""
        with self.lock:
            self.answers.inc({"kind": kind, "status": str(status)})
            self.latency.observe({"kind": kind}, latency_s)

    def count_error_response(self, code: str) -> None:
        """Count an error response that the router itself generated."""
        with self.lock:
            self.error_responses.inc({"code": code})

    @contextmanager
    def counting_account_call(self, account: str | None) -> Iterator[None]:
        """Count the call that is served meanwhile, if it has an account."""
        result = "ok"
        try:
            yield
        except PoplarfoldError as error:
            result = error.code
            raise
        except OSError:
            result = CallerDisconnectedError.code
            raise
        except BaseException:
            result = PoplarfoldError.code
            raise
        finally:
            if account is not None:
                with self.lock:
                    self.account_calls.inc({"account": account, "result": result})

    def drop_accounts_except(self, accounts: frozenset[str]) -> None:
        """Delete the series of accounts that have left the configuration.

        Otherwise they would add up over the versions. The lock must be held.
        """
        for counter in (self.account_calls, self.account_units):
            for labels, _ in counter.get_all():
                if labels["account"] not in accounts:
                    del counter.values[labels]

    def set_quota_hosts(self, count: int) -> None:
        """Set the number of hosts whose usage this node hears."""
        with self.lock:
            self.quota_hosts.set({}, count)

    def count_account_units(self, account: str, result: str, units: int) -> None:
        """Count the units of a call that a quota has admitted or refused."""
        with self.lock:
            self.account_units.add({"account": account, "result": result}, units)

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

    def count_stream_refusal(self, reason: str) -> None:
        """Count a stream that got no decode slot."""
        with self.lock:
            self.stream_refusals.inc({"reason": reason})

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
            self.limited_endpoints.set({}, gauges.limited_endpoints)
            self.cut_endpoints.set({}, gauges.cut_endpoints)
            self.tunnels.set({}, gauges.tunnels)
            self.drop_accounts_except(gauges.accounts)
            self.waiting.values.clear()
            for (service, route), count in gauges.waiting.items():
                self.waiting.set({"service": service, "route": route}, count)
            for topic, age_s in gauges.read_age_s.items():
                self.read_age.set({"topic": topic}, round(age_s, 3))
            # A service whose endpoints have left must not keep its last values.
            self.paces = {service: PaceGauges(1.0, 0) for service in self.paces}
            self.paces.update(gauges.paces)
            for service, pace in self.paces.items():
                self.slowdown.set({"service": service}, round(pace.slowdown, 3))
                self.avoided.set({"service": service}, pace.avoided)
            self.callers.sample()
            content, _ = render(self.registry, ["text/plain"])
        return bytes(content)
