"""Thread-safe access to a node's routing state and decisions, under one lock."""

import math
import random
import threading
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, TypedDict

from poplarfold._internal.core.fleet.account_admission import (
    AdmittedCaller,
    RevocationPolicy,
    admit_account,
)
from poplarfold._internal.core.fleet.accounts import AccountTable
from poplarfold._internal.core.fleet.admission_queue import (
    AdmissionQueue,
    WaitingStream,
)
from poplarfold._internal.core.fleet.budget import RetryBudget
from poplarfold._internal.core.fleet.choice import (
    EndpointStatsTable,
    make_choice,
    queue_wait_s,
    sample_candidates,
)
from poplarfold._internal.core.fleet.directory import Directory, EndpointChange
from poplarfold._internal.core.fleet.outliers import TrialBudget
from poplarfold._internal.core.fleet.own_prefill import (
    OwnPrefillPolicy,
    PrefillOutlook,
)
from poplarfold._internal.core.fleet.paced_choice import (
    FIRST_ATTEMPT,
    AttemptNeeds,
    Choice,
)
from poplarfold._internal.core.fleet.presence import Presence
from poplarfold._internal.core.fleet.relay_messages import CostReport
from poplarfold._internal.core.fleet.rows import (
    EndpointLoad,
    FleetEndpoint,
    Route,
    Service,
)
from poplarfold._internal.core.fleet.server_limits import (
    LimitHosts,
    LimitShare,
    ServerLimits,
)
from poplarfold._internal.core.fleet.server_signals import (
    RETURN_SPREAD,
    ServerSignal,
    ServerSignals,
)
from poplarfold._internal.core.fleet.slot_outlook import SlotOutlook, engine_room
from poplarfold._internal.core.fleet.slot_wait import next_ask_at
from poplarfold._internal.core.fleet.stream_cost import (
    OWN_PREFILL_SLOWDOWN,
    StreamCost,
)
from poplarfold._internal.core.fleet.stream_learning import StreamLearning
from poplarfold._internal.core.fleet.stream_origins import VERSION_SETTLED_S
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import (
    EndpointsAwayError,
    NoRouteTableError,
    RouteNotFoundError,
    StreamVersionGoneError,
)
from poplarfold._internal.gateway.choice_log import ChoiceLog, LogEvent, pace_gauges
from poplarfold._internal.gateway.metrics import GatewayGauges
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.platform import HostSettings
from poplarfold._internal.utils.clock import boot_time

# A caller is not told to come back sooner, since others may take the room meanwhile.
RETURN_MIN_S = 0.05
# How long after its start a node lets calls wait for its first routes and endpoints.
# They come within this time from a store that answers, or from a relay.
START_HOLD_S = 0.5

__all__ = ["Fleet", "KnowledgeFields", "MatchedRoute", "TopicKnowledge"]


class MatchedRoute(NamedTuple):
    """A route, the service selected for the call, and the configuration's version.

    ``accounts`` are those of the same configuration. It was known to be the newest one
    ``age_s`` before the match, which is infinite if that is unknown.
    """

    route: Route
    service: str
    details: Service | None
    version: int
    accounts: AccountTable | None = None
    age_s: float = math.inf


class KnowledgeFields(TypedDict):
    """What a node knows of a topic, as a field of log events."""

    age_s: float
    end: int
    source: str


class TopicKnowledge(NamedTuple):
    """What a node knows of one topic of the store.

    All records before the offset ``end`` were known at ``read_at``, in seconds of the
    runtime's clock. ``source`` is the relay that sent the newest of them, or "store".
    """

    read_at: float
    end: int
    source: str


class Fleet:
    """One node's view of routes and endpoints, and its own use of the endpoints."""

    def __init__(
        self,
        host: HostSettings,
        settings: GatewaySettings,
        seed: int,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock
        self.started_at = clock()
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.rng = random.Random(seed)
        self.directory = Directory(host.endpoint_silence_s)
        self.endpoint_stats = EndpointStatsTable()
        self.signals = ServerSignals()
        self.limits = ServerLimits()
        self.own_prefill_policy = OwnPrefillPolicy(
            settings.prefill_wait_share, settings.own_prefill_pause_share
        )
        self.admission_queue = AdmissionQueue(settings.admission)
        self.presence = Presence(settings.unknown_nodes)
        self.budgets: dict[str, RetryBudget] = {}
        self.trials: dict[tuple[str, EndpointRole], TrialBudget] = {}
        self.choice_log = ChoiceLog()
        # By the topic's name, see ``StoreTopic``.
        self.knowledge: dict[str, TopicKnowledge] = {}
        # The base versions of services, see ``core/fleet/stream_origins``.
        self.base_versions: dict[str, str] = {}
        # The highest era that the store has named, None before its first answer.
        self.store_era: int | None = None
        self.learning = StreamLearning()
        # A planned stop sets the time after which new streams are rejected, and the
        # one at which all calls must have been answered.
        self.reject_streams_after = float("inf")
        self.stop_ends_at = float("inf")

    @property
    def cost(self) -> StreamCost:
        """The best known cost of a stream. The lock must be held."""
        return self.learning.cost

    def own_cost_report(self) -> CostReport:
        """Return what this node has learned, for its relays."""
        with self.lock:
            return self.learning.own_report(self.clock())

    def merge_costs(self, reports: Sequence[CostReport]) -> CostReport:
        """Combine the reports of other nodes with what this node has learned."""
        with self.lock:
            return self.learning.merge(reports, self.clock())

    def set_fleet_cost(self, report: CostReport) -> None:
        """Record what the nodes of the region have learned together."""
        with self.lock:
            self.learning.set_region(report, self.clock())

    @property
    def uses_forecasts(self) -> bool:
        """Whether streams wait by what was learned. The lock must be held."""
        table = self.directory.route_table
        has_accounts = table is not None and table.accounts is not None
        return self.settings.admission.uses_forecasts(has_accounts)

    def slot_outlook(self, service: str) -> SlotOutlook:
        """Return what this node expects of the decode engines. The lock must be held.

        Without forecasts of waits nothing is learned, and the outlook is unknown.
        """
        if not self.uses_forecasts:
            return SlotOutlook()
        now = self.clock()
        table = self.directory.route_table
        details = table.services.get(service) if table else None
        engines = self.callable_endpoints(service, EndpointRole.DECODE)
        sample = sample_candidates(engines, self.rng)
        stats = [self.endpoint_stats.get(row) for row in sample]
        room = engine_room(stats, details or Service(service), self.cost, now)
        room = room.scaled(len(engines))
        return SlotOutlook(
            self.learning.waits(now),
            room,
            self.learning.setup_time.expected_s,
            self.cost.decode_s,
        )

    def is_waiting(self, row: WaitingStream) -> bool:
        """Return whether a stream is still in the admission queue."""
        with self.lock:
            return self.admission_queue.contains(row.ticket)

    def has_decode_engine(self, row: WaitingStream) -> bool:
        """Return whether some decode engine of a stream's service may respond."""
        with self.lock:
            now = self.clock()
            return any(
                self.endpoint_stats.get(endpoint).cooldown_until <= now
                for endpoint in self.callable_endpoints(
                    row.service, EndpointRole.DECODE, row.version
                )
            )

    def leave_queue(
        self, row: WaitingStream, wait_s: float, is_placed: bool, is_gone: bool
    ) -> None:
        """Remove a stream from the admission queue, and learn from its wait.

        The waits of retries, and of callers that have left, do not tell how long a
        new stream waits.
        """
        self.record_slot_wait(wait_s)
        with self.lock:
            if is_placed:
                self.admission_queue.record_placed(row.ticket)
            is_fresh = not row.is_late and not is_gone
            if is_fresh and self.uses_forecasts:
                now = self.clock()
                waits = self.learning.own_waits
                self.learning.own_waits = waits.with_wait(wait_s, is_placed, now)
            self.admission_queue.remove(row.ticket)
            self.changed.notify_all()

    def record_setup(self, seconds: float) -> None:
        """Record the time from a slot to the first event of a stream."""
        with self.lock:
            self.learning.setup_time = self.learning.setup_time.with_setup(seconds)

    def gauges(self) -> GatewayGauges:
        """Return the current values of the metrics' gauges."""
        with self.lock:
            table = self.directory.route_table
            now = self.clock()
            return GatewayGauges(
                0 if table is None else table.version,
                self.presence.node_count(),
                len(self.directory.endpoints),
                {topic: now - row.read_at for topic, row in self.knowledge.items()},
                frozenset(table.accounts.accounts if table and table.accounts else ()),
                pace_gauges(self.directory, self.endpoint_stats, now),
                self.admission_queue.lengths(),
                len(self.limits.rows),
            )

    def current_era(self) -> int:
        """Return the highest known era of the store, 0 before its first answer."""
        with self.lock:
            return self.store_era or 0

    def observe_era(self, era: int) -> int | None:
        """Record an era of the store; return the previous one if it has risen.

        A late answer may name an earlier one.
        """
        with self.lock:
            previous = self.store_era
            if previous is not None and era <= previous:
                return None
            self.store_era = era
            return previous

    def node_count(self) -> int:
        """Return the number of known nodes, or 1 while it is unknown."""
        with self.lock:
            return len(self.presence.rows) or 1

    def node_count_assumed(self) -> int:
        """Return the number of known nodes, or the assumed one while it is unknown."""
        with self.lock:
            return self.presence.node_count()

    def describe_knowledge(self, topic: str) -> KnowledgeFields | None:
        """Return the age, end and source of a topic for the log; None if unknown."""
        row = self.knowledge.get(topic)
        if row is None:
            return None
        age_s = round(self.clock() - row.read_at, 3)
        return KnowledgeFields(age_s=age_s, end=row.end, source=row.source)

    def has_view(self) -> bool:
        """Return whether routes and endpoints are known. The lock must be held."""
        directory = self.directory
        return directory.route_table is not None and bool(directory.endpoints)

    def wait_for_view(self, until: float = math.inf) -> None:
        """Wait until routes and endpoints are known, shortly after the start only.

        ``until`` is a time of the runtime's clock at which the wait ends in any case.
        """
        with self.lock:
            wait_s = min(until, self.started_at + START_HOLD_S) - self.clock()
            if wait_s > 0:
                self.changed.wait_for(self.has_view, wait_s)

    def match(self, host: str, path: str, key: str = "") -> MatchedRoute:
        """Return the route of a call, with a service drawn by the route's weights.

        Calls with the same key get the same service, as long as the weights stay.
        Raises NoRouteTableError or RouteNotFoundError.
        """
        with self.lock:
            table = self.directory.route_table
            if table is None:
                raise NoRouteTableError("no configuration has been read yet")
            route = self.directory.match_route(host, path)
            if route is None:
                raise RouteNotFoundError(f"no route for {host}{path}")
            weights = [max(0.0, share.weight) for share in route.services]
            total = sum(weights)
            service = route.services[0].service
            if len(weights) > 1 and total > 0:
                draw = random.Random(key) if key else self.rng
                service = draw.choices(route.services, weights)[0].service
            details = table.services.get(service)
            # The age is read under the same lock as the table that it belongs to.
            known = self.knowledge.get("routes")
            age_s = math.inf if known is None else self.clock() - known.read_at
            return MatchedRoute(
                route, service, details, table.version, table.accounts, age_s
            )

    def admit_account(
        self, matched: MatchedRoute, key_digest: bytes | None
    ) -> AdmittedCaller:
        """Return the account and priority of a call.

        Raises UnknownKeyError or ConfigurationTooOldError.
        """
        bounds = self.host.bounds
        policy = RevocationPolicy(bounds.strict_revoke, bounds.revoke_s)
        with self.lock:
            spread = self.rng.random()
        found = admit_account(
            matched.accounts, matched.route, key_digest, matched.age_s, policy, spread
        )
        if found.is_err():
            raise found.unwrap_err()
        return found.unwrap()

    def record_request(self, service: str) -> None:
        """Count a caller's request towards the retry budget of its service."""
        with self.lock:
            self._budget(service).record_request(self.clock())

    def try_spend_retry(self, service: str) -> float | None:
        """Take one retry from a service's budget.

        Returns when that was, for ``give_back_retry``, or None if none is left.
        """
        with self.lock:
            now = self.clock()
            nodes = self.presence.node_count()
            return now if self._budget(service).try_spend(nodes, now) else None

    def give_back_retry(self, service: str, taken_at: float) -> None:
        """Return a retry that was taken at a time and reached no endpoint."""
        with self.lock:
            self._budget(service).give_back(taken_at)

    def may_spend_retry(self, service: str) -> bool:
        """Return whether a service's budget has a retry left."""
        with self.lock:
            return self._budget(service).may_spend(
                self.presence.node_count(), self.clock()
            )

    def charge_failed_prefill(self, service: str) -> None:
        """Charge a prefill that failed at a reachable engine to the retry budget."""
        with self.lock:
            self._budget(service).count_retry(self.clock())

    def pick(
        self,
        service: str,
        role: EndpointRole,
        excluded: Collection[str] = (),
        needs: AttemptNeeds = FIRST_ATTEMPT,
        log: LogEvent | None = None,
        version: str | None = None,
    ) -> FleetEndpoint | None:
        """Choose an endpoint and count a call there; ``finish_call`` must follow.

        ``log`` gets the inputs of the choice if endpoints state their pace. With a
        software ``version``, only its endpoints are considered.
        """
        with self.lock:
            choice = self._choose(service, role, excluded, needs, version=version)
            if choice is None:
                return None
            self.endpoint_stats.start_call(choice.endpoint)
        self.choice_log.write(service, role, choice, log, self.clock())
        return choice.endpoint

    def pick_in_turn(
        self,
        row: WaitingStream,
        needs: AttemptNeeds = FIRST_ATTEMPT,
        log: LogEvent | None = None,
        version: str | None = None,
    ) -> FleetEndpoint | None:
        """Choose a decode engine if the stream is first in the admission queue.

        With a software ``version``, only its engines are considered. The stream then no
        longer blocks the streams behind it, until ``requeue``.
        """
        with self.lock:
            now = self.clock()
            waiting = self.admission_queue.waiting.get(row.ticket)
            if waiting is None or waiting.next_ask_at > now:
                return None
            if self.admission_queue.position(row.ticket, now) > 0:
                return None
            choice = self._choose(
                row.service, EndpointRole.DECODE, (), needs, version=version
            )
            if choice is None:
                if self.uses_forecasts:
                    outlook = self.slot_outlook(row.service)
                    ask_at = next_ask_at(row.on_time_until, outlook, now, self.rng)
                    self.admission_queue.delay(row.ticket, ask_at)
                return None
            self.endpoint_stats.start_call(choice.endpoint)
            self.admission_queue.set_requesting_lease(row.ticket, True)
            self.changed.notify_all()
        self.choice_log.write(
            row.service, EndpointRole.DECODE, choice, log, self.clock()
        )
        return choice.endpoint

    @property
    def is_store_up(self) -> bool:
        """Whether the store has answered the last call, as far as this host knows."""
        return self.directory.is_store_up

    def requeue(self, row: WaitingStream) -> None:
        """Put a stream back in its place in the queue after a lease was not granted."""
        with self.lock:
            self.admission_queue.set_requesting_lease(row.ticket, False)

    def pick_prefill(
        self,
        service: str,
        route: Route,
        decode: FleetEndpoint,
        prompt_tokens: int,
        log: LogEvent | None = None,
    ) -> FleetEndpoint | None:
        """Choose a prefill engine, or None if the decode engine does the prefill.

        Counts a call at the chosen engine, as ``pick`` does.
        """
        with self.lock:
            version = decode.software_version
            choice = self._choose_prefill(route, decode, prompt_tokens, version)
            # The KV cache of another version is used only if that is faster than to
            # have the decode engine read the prompt.
            if choice is None and len(self.directory.versions(service)) > 1:
                choice = self._choose_prefill(route, decode, prompt_tokens, None)
            if choice is None:
                self.endpoint_stats.record_own_prefill(decode, self.clock())
                return None
            self.endpoint_stats.start_call(choice.endpoint)
        self.choice_log.write(service, EndpointRole.PREFILL, choice, log, self.clock())
        return choice.endpoint

    def _choose_prefill(
        self,
        route: Route,
        decode: FleetEndpoint,
        prompt_tokens: int,
        version: str | None,
    ) -> Choice | None:
        """Choose a prefill engine, or None if the decode engine is faster."""
        now = self.clock()
        # The KV cache is sent to the decode engine, which takes longer from another
        # failure domain. Hence the decode engine's domain counts here.
        choice = self._choose(
            decode.service,
            EndpointRole.PREFILL,
            (),
            domain=decode.failure_domain,
            version=version,
        )
        wait_s = None
        if choice is not None:
            row = self.endpoint_stats.get(choice.endpoint)
            if row.cooldown_until <= now:
                service_s = self.cost.prefill_s * row.pace.slowdown_at(now)
                wait_s = queue_wait_s(row, service_s, now)
        own = self.endpoint_stats.read(decode)
        own_s = OWN_PREFILL_SLOWDOWN * self.cost.prefill_duration_s(prompt_tokens)
        own_s *= own.pace.slowdown_at(now)
        outlook = PrefillOutlook(wait_s, own_s, route.target_s, route.pause_s)
        is_own_better = self.own_prefill_policy.is_better(outlook, own, now)
        return None if is_own_better else choice

    def finish_call(self, endpoint: FleetEndpoint) -> None:
        """Record that a call at an endpoint has ended."""
        with self.lock:
            self.endpoint_stats.finish_call(endpoint)
            self.changed.notify_all()

    def record_answer(
        self,
        endpoint: FleetEndpoint,
        started_at: float,
        ok: bool,
        load: EndpointLoad | None = None,
        not_run: bool = False,
    ) -> None:
        """Record the outcome of a call at an endpoint."""
        with self.lock:
            now = self.clock()
            self.endpoint_stats.record_load(endpoint, load, now)
            self.endpoint_stats.record_answer(
                endpoint,
                now - started_at,
                ok,
                now,
                load.slowdown if load is not None else None,
                not_run,
            )

    def forgive_failures(self, endpoints: Iterable[FleetEndpoint]) -> None:
        """Take back a failure of each endpoint, since they all failed one request."""
        with self.lock:
            self.endpoint_stats.forgive_failures(endpoints, self.clock())

    def record_load(self, endpoint: FleetEndpoint, load: EndpointLoad | None) -> None:
        """Record only the load that an endpoint reported with an answer."""
        with self.lock:
            self.endpoint_stats.record_load(endpoint, load, self.clock())

    def record_unresponsive(self, endpoint: FleetEndpoint) -> None:
        """Count a failure and start a cooldown for an endpoint that did not answer."""
        with self.lock:
            now = self.clock()
            self.endpoint_stats.record_answer(endpoint, 0.0, False, now)
            self.endpoint_stats.start_cooldown(endpoint, now)

    def record_prefill_time(
        self, endpoint: FleetEndpoint, seconds: float, tokens: int
    ) -> None:
        """Record the duration of a prefill of ``tokens`` prompt tokens."""
        with self.lock:
            own_cost = self.learning.own_cost
            self.learning.own_cost = own_cost.with_prefill(seconds, tokens)
            now = self.clock()
            alone_s = self.cost.prefill_duration_s(tokens)
            alone_s *= self.endpoint_stats.read(endpoint).pace.slowdown_at(now)
            self.endpoint_stats.estimate_other_calls(endpoint, seconds, alone_s, now)

    def outputs_to_reserve(self, hint: int, limit: int) -> int:
        """Return the number of outputs for which a new stream reserves memory."""
        with self.lock:
            return self.learning.outputs_to_reserve(hint, limit)

    def record_stream(
        self, seconds: float, tokens: int, outputs: int, hint: int, limit: int
    ) -> None:
        """Record a completed stream's duration, reserved tokens and outputs."""
        with self.lock:
            self.learning.record_stream(seconds, tokens, outputs, hint, limit)

    def record_pace(self, seconds: float, tokens: int) -> None:
        """Record the expected duration of a stream that has just begun."""
        with self.lock:
            self.learning.record_pace(seconds, tokens)

    def record_slot_wait(self, seconds: float) -> None:
        """Record how long a stream waited for a decode slot, granted or not."""
        with self.lock:
            own_cost = self.learning.own_cost
            self.learning.own_cost = own_cost.with_slot_wait(seconds)

    def record_refusal(self, *engines: FleetEndpoint) -> None:
        """Count a refusal for the engines of a stream refused despite its lease."""
        with self.lock:
            for engine in engines:
                self.endpoint_stats.record_refusal(engine, self.clock())

    def record_stream_start(self, *engines: FleetEndpoint) -> None:
        """Reset the refusals of the engines of a stream that has started."""
        with self.lock:
            for engine in engines:
                self.endpoint_stats.record_stream_start(engine)

    def mark_full(self, endpoint: FleetEndpoint) -> None:
        """Exclude an engine for about ``full_retry_s`` after it refused a lease."""
        with self.lock:
            wait_s = self.settings.admission.full_retry_s * (
                0.75 + 0.5 * self.rng.random()
            )
            self.endpoint_stats.mark_full(endpoint, self.clock() + wait_s)

    def is_usable(self, endpoint: FleetEndpoint) -> bool:
        """Return whether an endpoint that was chosen earlier may still get work."""
        with self.lock:
            may_use = self.signals.may_use(endpoint, self.clock())
            return may_use and self.directory.is_usable(endpoint)

    def record_signal(self, endpoint: FleetEndpoint, signal: ServerSignal) -> bool:
        """Record what an answer says of its endpoint; return whether that was new."""
        if not signal.is_away:
            return False
        with self.lock:
            now = self.clock()
            return self.signals.record(endpoint, signal, now, self.rng.random())

    def record_limit(
        self, endpoint: FleetEndpoint, limit_per_s: float | None, sent_at: float
    ) -> bool:
        """Record the limit in the answer to a call; return whether it has changed."""
        if limit_per_s is None and not self.limits.rows:
            return False
        with self.lock:
            now = self.clock()
            return self.limits.record(
                endpoint, limit_per_s, sent_at, now, self.rng.random()
            )

    def limit_share(self, endpoint: FleetEndpoint) -> LimitShare | None:
        """Return this host's share of an endpoint's limit; None without a limit."""
        with self.lock:
            return self.limits.share(endpoint, self.limit_hosts())

    def count_call(self, endpoint: FleetEndpoint) -> None:
        """Count a call towards an endpoint's limit that was not chosen by ``pick``."""
        with self.lock:
            self._charge(endpoint)

    def check_version(self, service: str, version: str | None) -> None:
        """Raise StreamVersionGoneError if a version has no decode engine any more."""
        with self.lock:
            rows = self.directory.usable_endpoints(service, EndpointRole.DECODE)
        if version is not None and all(row.software_version != version for row in rows):
            raise StreamVersionGoneError(f"no engine of version {version} is left")

    def callable_endpoints(
        self, service: str, role: EndpointRole, version: str | None = None
    ) -> Sequence[FleetEndpoint]:
        """Return the endpoints that may get work now, by what they have said.

        Those whose limits leave no room at the moment are included. With a software
        ``version``, only its endpoints are returned. The lock must be held.
        """
        found: Sequence[FleetEndpoint] = self.directory.usable_endpoints(service, role)
        if version is not None:
            found = [row for row in found if row.software_version == version]
        if not self.signals.rows:
            return found
        now = self.clock()
        return [row for row in found if self.signals.may_use(row, now)]

    def rows_to_begin(
        self, service: str, rows: Sequence[FleetEndpoint]
    ) -> Sequence[FleetEndpoint]:
        """Return the decode engines at which a stream should begin.

        A version that has just joined is left out: a host that was cut off meanwhile
        would take its streams for those of the base version. The base version may be
        used in any case, and so are all if there is no other one. The lock must be
        held.
        """
        joined = self.directory.joined_versions(
            service, self.clock() - VERSION_SETTLED_S
        )
        if not joined:
            return rows
        base = self.base_versions.get(service)
        found = [
            row
            for row in rows
            if row.software_version == base or row.software_version not in joined
        ]
        return found or rows

    def check_pool(
        self, service: str, role: EndpointRole, within_s: float = 0.0
    ) -> None:
        """Raise EndpointsAwayError if no endpoint of a role wants a call soon.

        That is because all of them have asked for a pause, or have named limits that
        leave no room within a time.
        """
        with self.lock:
            now = self.clock()
            rows = self.directory.usable_endpoints(service, role)
            waits = {row: self.signals.away_s(row, now) for row in rows}
            staying = {row: wait for row, wait in waits.items() if wait is not None}
            if not staying:
                return
            away_s = min(staying.values())
            if away_s <= 0.0:
                away_s = self._limit_wait_s(
                    [row for row, wait_s in staying.items() if wait_s <= 0.0]
                )
                # A wait that is over leaves less than no time.
                if away_s <= max(0.0, within_s):
                    return
            remaining_s = max(away_s, RETURN_MIN_S)
            remaining_s *= 1.0 + RETURN_SPREAD * self.rng.random()
            raise EndpointsAwayError(
                "all endpoints of the service have asked for fewer calls", remaining_s
            )

    def _limit_wait_s(self, endpoints: Sequence[FleetEndpoint]) -> float:
        """Return when the limit of some endpoint has room again.

        Another host may have room before this one, but seldom before the time between
        two uses by a host that has a share of the limit.
        """
        now, hosts = self.clock(), self.limit_hosts()
        waits = []
        for row in endpoints:
            share = self.limits.share(row, hosts)
            wait_s = self.limits.wait_s(row, hosts, now)
            waits.append(wait_s if share is None else min(wait_s, share.pace_s))
        return min(waits)

    def endpoint_at(self, address: str) -> FleetEndpoint | None:
        """Return the endpoint that was last announced at an address, or None."""
        with self.lock:
            rows = self.directory.endpoints.values()
            found = [row for row in rows if row.address == address]
        return max(found, key=lambda row: row.incarnation, default=None)

    def service_addresses(self, address: str) -> frozenset[str]:
        """Return the addresses of the endpoints of the same service as one's."""
        endpoint = self.endpoint_at(address)
        if endpoint is None:
            return frozenset((address,))
        with self.lock:
            rows = self.directory.endpoints.values()
            return frozenset(
                row.address for row in rows if row.service == endpoint.service
            )

    def endpoint_addresses(self) -> frozenset[str]:
        """Return the addresses of all endpoints."""
        with self.lock:
            return frozenset(row.address for row in self.directory.endpoints.values())

    def find_endpoint(self, endpoint_id: str, incarnation: int) -> FleetEndpoint | None:
        """Return an incarnation of an endpoint, or None if it is not known."""
        with self.lock:
            row = self.directory.endpoints.get(endpoint_id)
        return row if row is not None and row.incarnation == incarnation else None

    def admit_call(self, endpoint: FleetEndpoint) -> bool:
        """Count a call to an endpoint on behalf of a peer, if it may be called now."""
        with self.lock:
            now = self.clock()
            if endpoint.is_leaving or not self.signals.may_use(endpoint, now):
                return False
            if self.limits.rows:
                hosts = self.limit_hosts()
                if not self.limits.may_use(endpoint, hosts, now):
                    return False
            self._charge(endpoint)
            return True

    def end_cooldown(self, address: str) -> None:
        """End the cooldowns of the endpoints at an address."""
        with self.lock:
            for row in self.directory.endpoints.values():
                if row.address == address:
                    self.endpoint_stats.end_cooldown(row)
            self.changed.notify_all()

    def limit_hosts(self) -> LimitHosts:
        """Return the hosts that share limits. The lock must be held."""
        names = self.presence.names()
        if names:
            names |= {self.host.host}
        return LimitHosts(self.host.host, names, self.presence.node_count())

    def _charge(self, endpoint: FleetEndpoint) -> None:
        if self.limits.rows:
            self.limits.charge(endpoint, self.limit_hosts(), self.clock())

    def remove_endpoint_stats(self, changes: list[EndpointChange]) -> None:
        """Delete the statistics of removed endpoints. The lock must be held."""
        if any(change.before and change.after is None for change in changes):
            self.endpoint_stats.remove_except(self.directory.endpoints)
            self.limits.remove_except(self.directory.endpoints)
        self.changed.notify_all()

    def _choose(
        self,
        service: str,
        role: EndpointRole,
        excluded: Collection[str],
        needs: AttemptNeeds = FIRST_ATTEMPT,
        domain: str | None = None,
        version: str | None = None,
    ) -> Choice | None:
        # Only first attempts try outliers again.
        trials = None
        if not excluded:
            trials = self.trials.setdefault((service, role), TrialBudget())
        endpoints = self.callable_endpoints(service, role, version)
        if role is EndpointRole.DECODE and version is None:
            endpoints = self.rows_to_begin(service, endpoints)
            # Streams that wait for a version go first there: they can go nowhere else.
            awaited = self.admission_queue.awaited_versions(service, self.clock())
            if awaited:
                endpoints = [
                    row for row in endpoints if row.software_version not in awaited
                ]
        if self.limits.rows:
            now, hosts = self.clock(), self.limit_hosts()
            endpoints = [
                row for row in endpoints if self.limits.may_use(row, hosts, now)
            ]
        choice = make_choice(
            sample_candidates(endpoints, self.rng),
            self.endpoint_stats,
            domain or self.host.failure_domain,
            self.host.regions,
            self.clock(),
            excluded,
            needs,
            self.rng,
            trials,
        )
        if choice is not None:
            self._charge(choice.endpoint)
        return choice

    def _budget(self, service: str) -> RetryBudget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.host.bounds
            found = self.budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return found
