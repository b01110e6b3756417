"""Random faults, up to two at a time, checked by independent oracles.

The oracles use only what callers observed, what the services ran and what the
log holds. They share no code with the systems that they check.
"""

import json
import random
from collections import Counter
from typing import Any, NamedTuple

from poplarfold._internal.bench.deployments import (
    BYTES_PER_TOKEN,
    DEPLOYMENTS,
    Deployment,
    Workload,
    plan_arrival,
)
from poplarfold._internal.bench.fault_simulation import (
    PLATFORM,
    FaultSimulation,
    Violation,
    entry_host_row,
)
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.entry_codec import encode_entry
from poplarfold._internal.core.events import CallArrived
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRole,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.exceptions import Outcome
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins.engine_model import EngineConfig, EngineModel
from poplarfold._internal.standins.service_model import (
    ServiceBackend,
    ServiceConfig,
    ServiceModel,
)

__all__ = ["FaultsRun", "run_faults"]

WARM_UP_S = 10.0
RECOVERY_S = 200.0
SAMPLE_INTERVAL_S = 0.1
MEAN_FAULT_INTERVAL_S = 20.0
FILINGS_PER_S = 1.0
LOOKUPS_PER_S = 3.0
STREAMS_PER_S = 0.5
CHANGES_PER_S = 1 / 15
CALLS_PER_FILING_MAX = 6
ANSWER_TIMEOUT_S = 15.0
CHANGE_IN_FORCE_LIMIT_S = 5.0
CUT_OFF_TARGET = 0.95
KINDS = (
    "node_death",
    "pause",
    "partition",
    "platform_partition",
    "log_outage",
    "slow_log",
    "lost_answers",
    "silent_connection",
    "stalled_transfer",
    "endpoint_restart",
    "endpoint_leaving",
)


class FaultsRun(NamedTuple):
    """Parameters of one run. ``kinds`` selects the faults, by default all."""

    deployment: str
    seed: int
    seconds: float
    kinds: tuple[str, ...] = KINDS


class Filing:
    """One filing of a caller: its idempotency key, calls and reported results."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.operations: set[str] = set()
        self.answers: set[bytes] = set()
        self.calls = 0
        self.not_run: list[tuple[str, int]] = []


class Change(NamedTuple):
    """An accepted catalogue change that is not yet in force on all nodes."""

    revision: int
    at: float


class Bench:
    """One run with its callers, operators, faults and oracles."""

    def __init__(self, run: FaultsRun) -> None:
        self.run = run
        self.deployment: Deployment = DEPLOYMENTS[run.deployment]
        self.rng = random.Random(f"faults/{run.deployment}/{run.seed}")
        rate = NodeSettings("", "", ()).link_bytes_per_s
        self.simulation = FaultBenchSimulation(
            run.seed, rate, self.deployment.caller_delay_s
        )
        self.simulation.bench = self
        self.simulation.regions = {d.name: d.region for d in self.deployment.domains}
        self.settings: dict[str, NodeSettings] = {}
        self.backends: dict[Identity, ServiceBackend] = {}
        self.filings: dict[str, Filing] = {}
        self.filing_of_call: dict[str, Filing] = {}
        self.host_of_call: dict[str, str] = {}
        self.operation_of_call: dict[str, str] = {}
        self.faults: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.cut_off_counts: Counter[str] = Counter()
        self.changes: list[Change] = []
        self.next_offset = 0
        self.revisions: dict[str, int] = {}
        self.reachable_since = {d.name: 0.0 for d in self.deployment.domains}
        self.node_ready_since: dict[str, float] = {}
        self.affected_until: dict[str, float] = {}
        self.cut_off_errors: Counter[str] = Counter()
        self.max_in_force_s: dict[str, float] = {}
        self.ready_s: list[float] = []
        self.ready_timeouts = 0
        self.number = 0
        self.end_at = WARM_UP_S + run.seconds

    # Setup.

    def start(self) -> None:
        """Start endpoints and nodes, and schedule callers, operators and faults."""
        simulation, rng = self.simulation, self.rng
        simulation.host_list.lag_s = 1.0
        service_options = {
            "rejects_stale_fencing": rng.random() < 0.5,
            "knows_operations": rng.random() < 0.6,
        }
        for number, (domain, role, identity) in enumerate(self.deployment.endpoints):
            address = f"{domain}-{identity.service}-{number}:80"
            if role is EndpointRole.SERVICE:
                backend = self.backends.setdefault(identity, ServiceBackend())
                config = ServiceConfig(address, identity, **service_options)
                simulation.add_endpoint(
                    ServiceModel(config, backend), domain, identity.service
                )
            else:
                engine = EngineModel(EngineConfig(address, identity, role))
                simulation.add_endpoint(engine, domain, identity.service)
        for row in self.deployment.domains:
            for slot in range(row.host_slots):
                name = f"{row.name}-{slot}"
                simulation.host_list.put(0.0, entry_host_row(name, row.name))
                self.settings[name] = NodeSettings(
                    name, row.name, self.deployment.domains, slot
                )
        peers = tuple((s.host, s.host, s.domain) for s in self.settings.values())
        for name, settings in self.settings.items():
            self.settings[name] = settings._replace(peers=peers)
            simulation.add_node(self.settings[name])
        entries = [w.entry for w in self.deployment.workloads] + [self.filing_entry()]
        for entry in entries:
            simulation.schedule(2.0, self.propose, next(iter(self.settings)), entry, -1)
        simulation.schedule(WARM_UP_S, self.next_filing)
        for workload in self.deployment.workloads:
            simulation.schedule(WARM_UP_S, self.next_repeatable, workload)
        simulation.schedule(WARM_UP_S, self.propose_next_change)
        simulation.schedule(WARM_UP_S + 5.0, self.next_fault)
        simulation.schedule(0.0, self.sample)

    def filing_entry(self) -> CatalogueEntry:
        """Return the catalogue entry of the non-repeatable calls."""
        identity = self.deployment.workloads[1].entry.identity
        return CatalogueEntry(
            "filings",
            EntryKind.SERVICE,
            identity,
            CallClass.NON_REPEATABLE,
            LatencyTargets(5.0, 1.0),
            EntryLimits(),
        )

    def add_violation(self, name: str, problem: str) -> None:
        """Record a violation that an oracle found."""
        self.simulation.violations.append(Violation(name, self.simulation.now, problem))

    # Callers.

    def random_live_host(self) -> str:
        """Return a random live host, as the platform's load balancer would choose."""
        live = [name for name, host in self.simulation.nodes.items() if host.is_alive]
        return self.rng.choice(live or list(self.settings))

    def next_filing(self) -> None:
        """Send a new filing and schedule the next one."""
        simulation = self.simulation
        if simulation.now >= self.end_at:
            return
        self.number += 1
        filing = Filing(f"key-{self.number}")
        self.filings[filing.key] = filing
        self.send_filing(filing)
        # Some callers retry while the first call still runs.
        if self.rng.random() < 0.1:
            simulation.schedule(
                simulation.now + self.rng.random(), self.send_filing, filing
            )
        simulation.schedule(
            simulation.now + self.rng.expovariate(FILINGS_PER_S), self.next_filing
        )

    def send_filing(self, filing: Filing) -> None:
        """Send a filing, or a retry of it, through a random live node."""
        if filing.calls >= CALLS_PER_FILING_MAX:
            return
        filing.calls += 1
        self.calls["filings"] += 1
        name = self.random_live_host()
        call_id = f"f-{filing.key}-{filing.calls}"
        arrival = CallArrived(
            call_id=call_id,
            account="north",
            entry="filings",
            is_model_call=False,
            prompt_tokens=10,
            prompt_bytes=10 * BYTES_PER_TOKEN,
            prefixes=(),
            max_outputs=1,
            deadline=self.simulation.now + 10.0,
            idempotency_key=filing.key,
            body_digest="d",
        )
        self.filing_of_call[call_id] = filing
        self.host_of_call[call_id] = name
        self.simulation.call(name, arrival)
        self.simulation.schedule(
            self.simulation.now + ANSWER_TIMEOUT_S, self.retry_unanswered, call_id
        )
        if self.rng.random() < 0.05:
            disconnected_at = self.simulation.now + self.rng.expovariate(10.0)
            self.simulation.schedule(disconnected_at, self.hang_up, call_id)

    def hang_up(self, call_id: str) -> None:
        """Close a caller's connection; a filing is retried later."""
        record = self.simulation.calls[call_id]
        name = self.host_of_call[call_id]
        if record.ended_at is None:
            self.faults["caller_cancel"] += 1
            self.simulation.hang_up(name, call_id)
            record.ended_at = self.simulation.now
            filing = self.filing_of_call.get(call_id)
            if filing is not None:
                wait_s = self.rng.expovariate(1.0)
                self.simulation.schedule(
                    self.simulation.now + wait_s, self.send_filing, filing
                )

    def retry_unanswered(self, call_id: str) -> None:
        """Hang up and retry a filing that got no response in time."""
        record = self.simulation.calls[call_id]
        if record.ended_at is None:
            self.hang_up(call_id)

    def on_finish(self, command: commands.FinishCall) -> None:
        """Check the result that a node reports for a call."""
        call_id, error = command.call_id, command.error
        record = self.simulation.calls[call_id]
        filing = self.filing_of_call.get(call_id)
        if error is not None:
            self.refusals[f"{error.code}/{error.outcome or '-'}"] += 1
        if filing is None:
            return
        if error is not None and error.outcome is Outcome.NOT_RUN:
            runs = self.runs_of(filing)
            if runs:
                problem = f"{call_id}: reported as not run after {runs} runs"
                self.add_violation("not-run-is-true", problem)
            operation = self.operation_of_call.get(call_id)
            if operation is not None:
                filing.not_run.append((operation, 0))
        if error is None and command.answer_body:
            filing.answers.add(command.answer_body)
        if record.ended_at is not None:
            return
        if error is None:
            self.answered["filings"] += 1
        else:
            wait_s = 0.5 + self.rng.expovariate(0.5)
            self.simulation.schedule(
                self.simulation.now + wait_s, self.send_filing, filing
            )

    def runs_of(self, filing: Filing) -> int:
        """Return how many times the services have run a filing."""
        backends = self.backends.values()
        return sum(b.runs[o] for b in backends for o in filing.operations)

    def on_start(self, command: commands.StartAttempt) -> None:
        """Record the operation id under which a filing is sent."""
        filing = self.filing_of_call.get(command.call_id)
        if filing is not None and command.operation_id:
            filing.operations.add(command.operation_id)
            self.operation_of_call[command.call_id] = command.operation_id

    def next_repeatable(self, workload: Workload) -> None:
        """Send a repeatable call through a node of the caller's domain."""
        simulation = self.simulation
        if simulation.now >= self.end_at:
            return
        self.number += 1
        is_lookup = workload.entry.kind is EntryKind.SERVICE
        domain = self.rng.choice(self.deployment.domains)
        arrival = plan_arrival(workload, self.number, simulation.now, self.rng)
        live = [
            name
            for name, host in simulation.nodes.items()
            if host.is_alive and host.domain == domain.name
        ]
        if live:
            kind = "lookups" if is_lookup else "streams"
            self.calls[kind] += 1
            call_id = arrival.call_id
            self.host_of_call[call_id] = self.rng.choice(live)
            simulation.call(self.host_of_call[call_id], arrival)
            if self.rng.random() < 0.05:
                disconnected_at = simulation.now + self.rng.expovariate(1.0)
                simulation.schedule(disconnected_at, self.hang_up, call_id)
            elif self.is_cut_off(domain.name):
                check_at = simulation.now + workload.deadline_s + 5.0
                simulation.schedule(
                    check_at,
                    self.check_cut_off_call,
                    domain.name,
                    call_id,
                    simulation.now,
                )
        rate = LOOKUPS_PER_S if is_lookup else STREAMS_PER_S
        simulation.schedule(
            simulation.now + self.rng.expovariate(rate), self.next_repeatable, workload
        )

    def is_cut_off(self, domain: str) -> bool:
        """Return whether a domain is cut off and has no other active fault."""
        simulation = self.simulation
        others = [d.name for d in self.deployment.domains if d.name != domain]
        cut = not simulation.is_connected(domain, PLATFORM)
        cut = cut or not all(simulation.is_connected(domain, other) for other in others)
        return cut and self.affected_until.get(domain, -1.0) <= simulation.now

    def check_cut_off_call(self, domain: str, call_id: str, since: float) -> None:
        """Count a call that a cut-off domain is expected to serve by itself."""
        if self.affected_until.get(domain, -1.0) > since:
            return
        record = self.simulation.calls[call_id]
        if record.disconnected_at is not None:
            return
        self.cut_off_counts["made"] += 1
        is_served = record.ended_at is not None and record.error is None
        self.cut_off_counts["served"] += is_served
        if not is_served:
            code = record.error.code if record.error else "no_answer"
            entry = record.arrival.entry
            self.cut_off_errors[f"{domain}/{entry}/{code}"] += 1

    # Operators.

    def propose_next_change(self) -> None:
        """Send one or two operators' amendments of an entry."""
        simulation = self.simulation
        if simulation.now >= self.end_at:
            return
        name = self.rng.choice(sorted(self.revisions) or ["filings"])
        for _ in range(1 + (self.rng.random() < 0.5)):
            host = self.random_live_host()
            entry = simulation.nodes[host].node.state.entries.get(name)
            if entry is not None:
                cost = self.rng.randrange(1000)
                self.propose(host, entry._replace(cost_per_call=cost), entry.revision)
        simulation.schedule(
            simulation.now + self.rng.expovariate(CHANGES_PER_S),
            self.propose_next_change,
        )

    def propose(self, host: str, entry: CatalogueEntry, base: int) -> None:
        """Send an operator's change to a node."""
        self.number += 1
        proposed = events.EntryProposed(
            f"q-{self.number}", "operator", base, encode_entry(entry)
        )
        self.simulation.post(self.simulation.nodes[host], proposed, 0.003)

    def sample(self) -> None:
        """Fold new log records independently and check the revision on each node."""
        simulation = self.simulation
        stream = simulation.log.streams.get("catalogue")
        if stream is not None:
            first = stream.first
            for record in list(stream.records)[self.next_offset - first :]:
                self.fold(record.offset, record.data)
        self.update_reachability()
        self.check_in_force()
        simulation.schedule(simulation.now + SAMPLE_INTERVAL_S, self.sample)

    def fold(self, offset: int, data: bytes) -> None:
        """Apply one record by the rule of the design page alone.

        A record takes effect if its base is the current revision of its entry.
        """
        self.next_offset = offset + 1
        fields = json.loads(data)
        name = fields["entry"]["name"]
        if fields["base"] == self.revisions.get(name, -1):
            self.revisions[name] = offset
            self.changes.append(Change(offset, self.simulation.now))

    def update_reachability(self) -> None:
        """Record since when each domain can receive changes.

        A domain receives them from the log or through the nodes of other domains.
        """
        simulation = self.simulation
        log_up = (
            simulation.now >= simulation.log.outage_until
            and simulation.log.slow_s == 0.0
        )
        names = [d.name for d in self.deployment.domains]
        informed = {n for n in names if log_up and simulation.is_connected(n, PLATFORM)}
        for _ in names:
            for name in names:
                if any(simulation.is_connected(name, other) for other in informed):
                    if any(self.can_relay(other) for other in informed):
                        informed.add(name)
        direct = {n for n in names if log_up and simulation.is_connected(n, PLATFORM)}
        for name in names:
            by_peers = name in informed and self.can_relay(name)
            if name not in direct and not by_peers:
                self.reachable_since[name] = simulation.now
        for name, host in simulation.nodes.items():
            if (
                not host.is_alive
                or host.is_paused
                or not host.node.state.catalogue_ready
            ):
                self.node_ready_since[name] = simulation.now

    def can_relay(self, domain: str) -> bool:
        """Return whether a domain has had no process failure recently."""
        return self.affected_until.get(domain, -1.0) <= self.simulation.now

    def check_in_force(self) -> None:
        """Measure the delay until each change is in force in each domain."""
        simulation = self.simulation
        if not self.changes:
            return
        lowest_revisions: dict[str, int] = {}
        newest_revision = self.changes[-1].revision
        for name, host in simulation.nodes.items():
            if not host.is_alive or host.is_paused:
                continue
            revision = host.node.state.catalogue_revision
            domain = host.domain
            lowest_revisions[domain] = min(
                lowest_revisions.get(domain, revision), revision
            )
            if revision > newest_revision:
                self.add_violation(
                    "catalogue-in-force", f"{name} has a revision newer than the log"
                )
            since = max(
                self.reachable_since[domain], self.node_ready_since.get(name, 0.0)
            )
            for change in self.changes:
                if change.revision <= revision:
                    continue
                waited_s = simulation.now - max(since, change.at)
                if waited_s > self.max_in_force_s.get(domain, 0.0):
                    self.max_in_force_s[domain] = waited_s
                if waited_s > CHANGE_IN_FORCE_LIMIT_S:
                    problem = f"{name}: revision {change.revision} not in force"
                    self.add_violation("catalogue-in-force", problem)
                    self.node_ready_since[name] = simulation.now
                    break
        floor = min(lowest_revisions.values(), default=-1)
        self.changes = [c for c in self.changes if c.revision > floor]

    # Faults.

    def next_fault(self) -> None:
        """Inject one or two faults at the same time and schedule the next ones."""
        simulation = self.simulation
        if simulation.now >= self.end_at:
            return
        for _ in range(1 + (self.rng.random() < 0.5)):
            kind = self.rng.choice(self.run.kinds)
            self.faults[kind] += 1
            getattr(self, kind)()
        simulation.schedule(
            simulation.now + self.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S),
            self.next_fault,
        )

    def mark_affected(self, domain: str, seconds: float) -> None:
        """Record that processes of a domain are affected for some time."""
        until = self.simulation.now + seconds
        self.affected_until[domain] = max(until, self.affected_until.get(domain, 0.0))

    def random_node(self) -> str:
        return self.rng.choice(list(self.settings))

    def node_death(self) -> None:
        """Crash a node, at times unlist its host, and restart it later."""
        name = self.random_node()
        host = self.simulation.nodes[name]
        if not host.is_alive:
            return
        self.simulation.crash(name)
        downtime_s = self.rng.uniform(0.2, 20.0)
        self.mark_affected(host.domain, downtime_s + 10.0)
        if self.rng.random() < 0.3:
            self.simulation.host_list.remove(self.simulation.now, name)
        self.simulation.schedule(
            self.simulation.now + downtime_s, self.restart_node, name
        )

    def restart_node(self, name: str) -> None:
        """Restart a node's process and measure the time until it is ready."""
        row = entry_host_row(name, self.settings[name].domain)
        self.simulation.host_list.put(self.simulation.now, row)
        self.simulation.restart(self.settings[name])
        self.await_ready(name, self.simulation.now)

    def await_ready(self, name: str, since: float) -> None:
        """Record how long a new process takes to become ready, polling for it."""
        host = self.simulation.nodes[name]
        if not host.is_alive or host.is_paused:
            return
        waited_s = self.simulation.now - since
        if host.node.state.catalogue_ready:
            self.ready_s.append(waited_s)
        elif waited_s < 60.0:
            self.simulation.schedule(
                self.simulation.now + 0.05, self.await_ready, name, since
            )
        else:
            self.ready_timeouts += 1

    def pause(self) -> None:
        """Suspend a node's process for some time."""
        name = self.random_node()
        seconds = self.rng.uniform(0.5, 30.0)
        self.mark_affected(self.settings[name].domain, seconds + 10.0)
        self.simulation.pause(name, seconds)

    def partition(self) -> None:
        """Cut two domains off from each other."""
        one, other = self.rng.sample([d.name for d in self.deployment.domains], 2)
        self.simulation.cut(one, other, self.rng.uniform(2.0, 90.0))

    def platform_partition(self) -> None:
        """Cut a domain off from the log and the host list, and sometimes from all other
        domains.
        """
        domain = self.rng.choice(self.deployment.domains).name
        seconds = self.rng.uniform(2.0, 90.0)
        self.simulation.cut(domain, PLATFORM, seconds)
        if self.rng.random() < 0.5:
            for other in self.deployment.domains:
                if other.name != domain:
                    self.simulation.cut(domain, other.name, seconds)

    def log_outage(self) -> None:
        """Make the log return only errors for some time."""
        seconds = self.rng.choice((5.0, 30.0, 180.0)) * self.rng.random()
        self.simulation.log.start_outage(self.simulation.now, seconds)

    def slow_log(self) -> None:
        """Delay the log's responses."""
        self.simulation.log.slow_s = self.rng.uniform(0.1, 2.0)
        seconds = self.rng.uniform(5.0, 60.0)
        self.simulation.schedule(self.simulation.now + seconds, self.end_slow_log)

    def end_slow_log(self) -> None:
        self.simulation.log.slow_s = 0.0

    def lost_answers(self) -> None:
        """Lose the responses to the next few appends."""
        self.simulation.log.lose_append_answers(self.rng.randint(1, 5))

    def silent_connection(self) -> None:
        """Drop the messages on the connection of two nodes until it is replaced."""
        one, other = self.rng.sample(list(self.settings), 2)
        for name in (one, other):
            self.mark_affected(self.settings[name].domain, 8.0)
        # The peer link's heartbeat replaces a connection after at most 6 s.
        self.simulation.drop_messages(one, other, 6.0)

    def stalled_transfer(self) -> None:
        """Stall the KV transfers of an engine."""
        model = self.random_endpoint(EngineModel)
        if isinstance(model, EngineModel):
            self.mark_affected(self.simulation.endpoints[model.address].domain, 10.0)
            model.stall_transfers(self.simulation.now, self.rng.uniform(0.5, 3.0))

    def random_endpoint(self, kind: type[Any] = object) -> Any:
        found = [
            endpoint.model
            for endpoint in self.simulation.endpoints.values()
            if endpoint.is_alive and isinstance(endpoint.model, kind)
        ]
        return self.rng.choice(found) if found else None

    def endpoint_restart(self) -> None:
        """Restart an endpoint process at the same address."""
        model = self.random_endpoint()
        if model is None:
            return
        domain = self.simulation.endpoints[model.address].domain
        seconds = self.rng.uniform(0.1, 5.0)
        self.mark_affected(domain, seconds + 30.0)
        if isinstance(model, ServiceModel):
            model.crash(self.simulation.now)
        self.simulation.crash_endpoint(model.address)
        self.simulation.incarnation += 1
        self.simulation.schedule(
            self.simulation.now + seconds,
            self.simulation.restart_endpoint,
            model.address,
            self.simulation.incarnation,
        )

    def endpoint_leaving(self) -> None:
        """Make an endpoint announce that it is leaving, and replace it later."""
        model = self.random_endpoint()
        if model is None or model.leaving_since is not None:
            return
        self.mark_affected(self.simulation.endpoints[model.address].domain, 50.0)
        model.start_leaving(self.simulation.now)
        self.simulation.host_list.leave(self.simulation.now, model.address)
        self.simulation.schedule(
            self.simulation.now + 20.0, self.replace_leaving, model
        )

    def replace_leaving(self, model: Any) -> None:
        """Replace a leaving endpoint with a new process."""
        if self.simulation.endpoints[model.address].model is not model:
            return
        self.update_late_work(model)
        self.simulation.crash_endpoint(model.address)
        self.simulation.incarnation += 1
        self.simulation.restart_endpoint(model.address, self.simulation.incarnation)

    def update_late_work(self, model: Any) -> None:
        """Update the longest time for which a leaving endpoint received work."""
        late_s = getattr(model, "work_after_leaving_s", 0.0)
        self.max_late_work_s = max(self.max_late_work_s, late_s)

    max_late_work_s = 0.0

    # Final checks.

    def check_whole_run(self) -> None:
        """Run the checks that need the whole run."""
        for filing in self.filings.values():
            runs = self.runs_of(filing)
            if runs > 1:
                self.add_violation("at-most-once", f"{filing.key} ran {runs} times")
            if len(filing.answers) > 1:
                self.add_violation("whole-own-answer", f"{filing.key} has two answers")
            for operation, _ in filing.not_run:
                ran = sum(b.runs[operation] for b in self.backends.values())
                if ran:
                    problem = (
                        f"{filing.key}: {operation} ran although reported as not run"
                    )
                    self.add_violation("not-run-is-true", problem)
        states = {
            name: {n: e.revision for n, e in host.node.state.entries.items()}
            for name, host in self.simulation.nodes.items()
            if host.is_alive
        }
        for name, revisions in states.items():
            if revisions != self.revisions:
                problem = f"{name} ends with {revisions}, the log has {self.revisions}"
                self.add_violation("catalogue-in-force", problem)
        for endpoint in self.simulation.endpoints.values():
            self.update_late_work(endpoint.model)

    def report(self) -> dict[str, Any]:
        """Return the results of the run as JSON values."""
        self.ready_s.sort()
        made, served = self.cut_off_counts["made"], self.cut_off_counts["served"]
        violations = self.simulation.violations
        return {
            "deployment": self.run.deployment,
            "seed": self.run.seed,
            "seconds": self.run.seconds,
            "calls": dict(self.calls),
            "answered_filings": self.answered["filings"],
            "filings": len(self.filings),
            "filings_run": sum(self.runs_of(f) > 0 for f in self.filings.values()),
            "faults": dict(sorted(self.faults.items())),
            "violations": dict(Counter(v.name for v in violations)),
            "first_violations": [list(v) for v in violations[:10]],
            "in_force_max_s": {k: round(v, 3) for k, v in self.max_in_force_s.items()},
            "revisions": len(self.revisions) and max(self.revisions.values()),
            "leaving_work_max_s": round(self.max_late_work_s, 3),
            "cut_off_calls": made,
            "cut_off_served_share": round(served / made, 4) if made else None,
            "cut_off_errors": dict(self.cut_off_errors),
            "restarts": len(self.ready_s),
            "ready_max_s": round(self.ready_s[-1], 3) if self.ready_s else None,
            "ready_over_60_s": self.ready_timeouts,
            "refusals": dict(sorted(self.refusals.items())),
        }


class FaultBenchSimulation(FaultSimulation):
    """Fault simulation that reports commands to the bench."""

    bench: Bench

    def carry_out(self, command: NamedTuple, host: Any) -> None:
        """Report a command to the bench before it is carried out."""
        if isinstance(command, commands.StartAttempt):
            self.bench.on_start(command)
        elif isinstance(command, commands.FinishCall):
            self.bench.on_finish(command)
        super().carry_out(command, host)


def run_faults(run: FaultsRun) -> dict[str, Any]:
    """Make one run. The same parameters give the same result."""
    bench = Bench(run)
    bench.start()
    # After the last fault the system recovers, and every call must end.
    bench.simulation.run(bench.end_at + RECOVERY_S)
    bench.check_whole_run()
    return bench.report()
