"""The decisions of one node behind one lock, for the threads that need them."""

import random
import threading
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

from poplarfold._internal.core.fleet.budget import RetryBudget
from poplarfold._internal.core.fleet.choice import (
    OwnPrefillPolicy,
    UseTable,
    candidates,
    choose,
    queue_wait_s,
)
from poplarfold._internal.core.fleet.directory import Directory, EndpointChange
from poplarfold._internal.core.fleet.door import Door, WaitRow
from poplarfold._internal.core.fleet.outputs import OutputForecast
from poplarfold._internal.core.fleet.presence import Presence
from poplarfold._internal.core.fleet.roles import StreamCost
from poplarfold._internal.core.fleet.rows import (
    EndpointLoad,
    FleetEndpoint,
    Route,
    Service,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import NoRouteTableError, RouteNotFoundError
from poplarfold._internal.gateway.metrics import GatewayGauges
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.platform import HostSettings

__all__ = ["Fleet", "MatchedRoute"]


class MatchedRoute(NamedTuple):
    """A route, the service drawn for this call, and the configuration's version."""

    route: Route
    service: str
    details: Service | None
    version: int


class Fleet:
    """What this node believes about routes, endpoints and its own use of them."""

    def __init__(
        self,
        host: HostSettings,
        settings: GatewaySettings,
        seed: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.rng = random.Random(seed)
        self.directory = Directory()
        self.uses = UseTable()
        self.own_prefill = OwnPrefillPolicy(
            settings.prefill_wait_s, settings.own_prefill_tokens
        )
        self.door = Door(settings.door)
        self.presence = Presence(settings.unknown_nodes)
        self.budgets: dict[str, RetryBudget] = {}
        # When each topic of the store was last read.
        self.read_at: dict[str, float] = {}
        self.cost = StreamCost()
        self.outputs = OutputForecast()
        # Set by a planned stop: the times from which streams, and all calls, are
        # refused.
        self.no_streams_after = float("inf")
        self.no_calls_after = float("inf")

    def gauges(self) -> GatewayGauges:
        """Return what the node believes at this moment, for the metrics."""
        with self.lock:
            table = self.directory.table
            now = self.clock()
            return GatewayGauges(
                0 if table is None else table.version,
                self.presence.count(),
                len(self.directory.endpoints),
                {topic: now - at for topic, at in self.read_at.items()},
            )

    def match(self, host: str, path: str) -> MatchedRoute:
        """Return the route of a call. Raises NoRouteTableError, RouteNotFoundError."""
        with self.lock:
            table = self.directory.table
            if table is None:
                raise NoRouteTableError("no configuration has been seen yet")
            route = self.directory.match_route(host, path)
            if route is None:
                raise RouteNotFoundError(f"no route for {host}{path}")
            weights = [max(0.0, share.weight) for share in route.services]
            total = sum(weights)
            if len(weights) > 1 and total > 0:
                service = self.rng.choices(route.services, weights)[0].service
            else:
                service = route.services[0].service
            details = table.services.get(service)
            return MatchedRoute(route, service, details, table.version)

    def note_request(self, service: str) -> None:
        """Count a caller's request towards the retry budget of its service."""
        with self.lock:
            self._budget(service).note_request(self.clock())

    def may_repeat(self, service: str) -> bool:
        """Spend one repeat of a service's retry budget if this node has one."""
        with self.lock:
            return self._budget(service).take(self.presence.count(), self.clock())

    def note_rejected(self, service: str) -> None:
        """Count a call that an endpoint has rejected towards the retry budget."""
        with self.lock:
            self._budget(service).spend(self.clock())

    def pick(
        self, service: str, role: EndpointRole, excluded: Collection[str] = ()
    ) -> FleetEndpoint | None:
        """Choose an endpoint and count a call there; ``done`` must follow."""
        with self.lock:
            endpoint = self._choose(service, role, excluded)
            if endpoint is not None:
                self.uses.begin(endpoint)
            return endpoint

    def pick_in_turn(self, row: WaitRow) -> FleetEndpoint | None:
        """Choose a decode engine to ask, if it is the turn of a waiting stream.

        Until ``end_turn``, the streams behind it are not held up.
        """
        with self.lock:
            if self.door.position(row.ticket) > 0:
                return None
            endpoint = self._choose(row.service, EndpointRole.DECODE, ())
            if endpoint is not None:
                self.uses.begin(endpoint)
                self.door.set_asking(row.ticket, True)
                self.changed.notify_all()
            return endpoint

    def end_turn(self, row: WaitRow) -> None:
        """Let a stream wait again after an engine has refused it."""
        with self.lock:
            self.door.set_asking(row.ticket, False)

    def pick_prefill(
        self, service: str, decode: FleetEndpoint, prompt_tokens: int
    ) -> FleetEndpoint | None:
        """Choose a prefill engine, or none if the decode engine reads the prompt.

        A call at the chosen engine is counted, as by ``pick``.
        """
        with self.lock:
            now = self.clock()
            # The result moves to the decode engine, at a price between domains.
            endpoint = self._choose(
                service, EndpointRole.PREFILL, (), decode.failure_domain
            )
            wait_s = None
            if endpoint is not None:
                row = self.uses.get(endpoint)
                if row.avoid_until <= now:
                    wait_s = queue_wait_s(row, self.cost.prefill_s, now)
            own = self.uses.get(decode)
            if self.own_prefill.is_better(wait_s, prompt_tokens, own, now):
                self.uses.note_own_prefill(decode, now)
                return None
            if endpoint is not None:
                self.uses.begin(endpoint)
            return endpoint

    def done(self, endpoint: FleetEndpoint) -> None:
        """Count a call at an endpoint as ended."""
        with self.lock:
            self.uses.end(endpoint)
            self.changed.notify_all()

    def note_answer(
        self,
        endpoint: FleetEndpoint,
        started_at: float,
        ok: bool,
        load: EndpointLoad | None = None,
    ) -> None:
        """Take the outcome of a call at an endpoint."""
        with self.lock:
            now = self.clock()
            self.uses.note_load(endpoint, load, now)
            self.uses.note_answer(endpoint, now - started_at, ok, now)

    def note_load(self, endpoint: FleetEndpoint, load: EndpointLoad | None) -> None:
        """Take the load that came with an answer which tells nothing else."""
        with self.lock:
            self.uses.note_load(endpoint, load, self.clock())

    def note_silence(self, endpoint: FleetEndpoint) -> None:
        """Keep new calls away from an endpoint that gave no answer."""
        with self.lock:
            now = self.clock()
            self.uses.note_answer(endpoint, 0.0, False, now)
            self.uses.avoid(endpoint, now)

    def note_prefill_time(
        self, endpoint: FleetEndpoint, seconds: float, tokens: int
    ) -> None:
        """Take how long a prefill took."""
        with self.lock:
            alone_s = tokens / self.cost.prefill_rate
            self.uses.note_queue(endpoint, seconds, alone_s, self.clock())
            self.cost = self.cost.with_prefill(seconds, tokens)

    def outputs_to_reserve(self, hint: int, limit: int) -> int:
        """Return for how many outputs a new stream reserves memory."""
        with self.lock:
            self.outputs = self.outputs.with_hint(hint)
            return self.outputs.reserve(hint, limit)

    def note_stream(
        self, seconds: float, tokens: int, outputs: int, hint: int, limit: int
    ) -> None:
        """Take how long a whole stream held how much memory, and its outputs."""
        with self.lock:
            self.cost = self.cost.with_stream(seconds, tokens)
            self.outputs = self.outputs.with_outputs(outputs, hint, limit)

    def note_refusal(self, *engines: FleetEndpoint) -> None:
        """Note the engines of a stream that was refused in spite of its lease."""
        with self.lock:
            for engine in engines:
                self.uses.note_refusal(engine, self.clock())

    def note_used(self, *engines: FleetEndpoint) -> None:
        """Note the engines of a stream that has begun."""
        with self.lock:
            for engine in engines:
                self.uses.note_used(engine)

    def mark_full(self, endpoint: FleetEndpoint) -> None:
        """Leave out an engine that refused a lease for a moment."""
        with self.lock:
            wait_s = self.settings.door.full_retry_s * (0.75 + 0.5 * self.rng.random())
            self.uses.mark_full(endpoint, self.clock() + wait_s)

    def is_usable(self, endpoint: FleetEndpoint) -> bool:
        """Return whether an endpoint chosen before may still get new work."""
        with self.lock:
            return self.directory.is_usable(endpoint)

    def drop_gone(self, changes: list[EndpointChange]) -> None:
        """Forget the use of endpoints that are gone. The lock must be held."""
        self.uses.forget(
            [
                change.before.endpoint_id
                for change in changes
                if change.before is not None and change.after is None
            ]
        )
        self.changed.notify_all()

    def _choose(
        self,
        service: str,
        role: EndpointRole,
        excluded: Collection[str],
        domain: str | None = None,
    ) -> FleetEndpoint | None:
        return choose(
            candidates(self.directory.usable(service, role), self.rng),
            self.uses,
            domain or self.host.failure_domain,
            self.host.regions,
            self.clock(),
            excluded,
        )

    def _budget(self, service: str) -> RetryBudget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.host.bounds
            found = self.budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return found
