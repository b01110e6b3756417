"""Random faults, two at a time, against oracles that know what really happened.

The oracles use only what callers saw, what the services ran and what the log
holds; they share no code with the systems that they check.
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
from poplarfold._internal.bench.fault_world import (
    PLATFORM,
    FaultWorld,
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
CALM_S = 200.0
SAMPLE_S = 0.1
FAULT_EVERY_S = 20.0
FILINGS_PER_S = 1.0
LOOKUPS_PER_S = 3.0
STREAMS_PER_S = 0.5
CHANGES_PER_S = 1 / 15
RETRIES_MAX = 6
ANSWER_WAIT_S = 15.0
IN_FORCE_S = 5.0
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
    """One run. ``kinds`` limits the faults, all by default."""

    deployment: str
    seed: int
    seconds: float
    kinds: tuple[str, ...] = KINDS


class Filing:
    """One filing of a caller: a key, its calls and what was said about it."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.operations: set[str] = set()
        self.answers: set[bytes] = set()
        self.calls = 0
        self.not_run: list[tuple[str, int]] = []


class Change(NamedTuple):
    """An accepted change on its way to the nodes."""

    revision: int
    at: float


class Bench:
    """One run with its callers, operators, faults and oracles."""

    def __init__(self, run: FaultsRun) -> None:
        self.run = run
        self.deployment: Deployment = DEPLOYMENTS[run.deployment]
        self.rng = random.Random(f"faults/{run.deployment}/{run.seed}")
        rate = NodeSettings("", "", ()).link_bytes_per_s
        self.world = FaultBenchWorld(run.seed, rate, self.deployment.caller_delay_s)
        self.world.bench = self
        self.world.regions = {d.name: d.region for d in self.deployment.domains}
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
        self.cut_off: Counter[str] = Counter()
        self.changes: list[Change] = []
        self.folded = 0
        self.revisions: dict[str, int] = {}
        self.reachable_since = {d.name: 0.0 for d in self.deployment.domains}
        self.node_since: dict[str, float] = {}
        self.troubled_until: dict[str, float] = {}
        self.cut_off_errors: Counter[str] = Counter()
        self.in_force: dict[str, float] = {}
        self.ready_s: list[float] = []
        self.ready_slow = 0
        self.number = 0
        self.end_at = WARM_UP_S + run.seconds

    # Set-up.

    def start(self) -> None:
        """Start the endpoints, the nodes, the callers and the faults."""
        world, rng = self.world, self.rng
        world.host_list.lag_s = 1.0
        habits = {
            "rejects_stale_fencing": rng.random() < 0.5,
            "knows_operations": rng.random() < 0.6,
        }
        for number, (domain, role, identity) in enumerate(self.deployment.endpoints):
            address = f"{domain}-{identity.service}-{number}:80"
            if role is EndpointRole.SERVICE:
                backend = self.backends.setdefault(identity, ServiceBackend())
                config = ServiceConfig(address, identity, **habits)
                world.add_endpoint(
                    ServiceModel(config, backend), domain, identity.service
                )
            else:
                engine = EngineModel(EngineConfig(address, identity, role))
                world.add_endpoint(engine, domain, identity.service)
        for row in self.deployment.domains:
            for slot in range(row.host_slots):
                name = f"{row.name}-{slot}"
                world.host_list.put(0.0, entry_host_row(name, row.name))
                self.settings[name] = NodeSettings(
                    name, row.name, self.deployment.domains, slot
                )
        peers = tuple((s.host, s.host, s.domain) for s in self.settings.values())
        for name, settings in self.settings.items():
            self.settings[name] = settings._replace(peers=peers)
            world.add_node(self.settings[name])
        entries = [w.entry for w in self.deployment.workloads] + [self.filing_entry()]
        for entry in entries:
            world.at(2.0, self.propose, next(iter(self.settings)), entry, -1)
        world.at(WARM_UP_S, self.next_filing)
        for workload in self.deployment.workloads:
            world.at(WARM_UP_S, self.next_repeatable, workload)
        world.at(WARM_UP_S, self.next_change)
        world.at(WARM_UP_S + 5.0, self.next_fault)
        world.at(0.0, self.sample)

    def filing_entry(self) -> CatalogueEntry:
        """Return the entry of the non-repeatable calls."""
        identity = self.deployment.workloads[1].entry.identity
        return CatalogueEntry(
            "filings",
            EntryKind.SERVICE,
            identity,
            CallClass.NON_REPEATABLE,
            LatencyTargets(5.0, 1.0),
            EntryLimits(),
        )

    def violate(self, name: str, problem: str) -> None:
        """Record a violation that an oracle found."""
        self.world.violations.append(Violation(name, self.world.now, problem))

    # Callers.

    def some_host(self) -> str:
        """Return a host that the platform's balancer would choose."""
        live = [name for name, host in self.world.nodes.items() if host.alive]
        return self.rng.choice(live or list(self.settings))

    def next_filing(self) -> None:
        """Make a new filing, and plan the next one."""
        world = self.world
        if world.now >= self.end_at:
            return
        self.number += 1
        filing = Filing(f"key-{self.number}")
        self.filings[filing.key] = filing
        self.send_filing(filing)
        # Callers with a short patience send again while the first call runs.
        if self.rng.random() < 0.1:
            world.at(world.now + self.rng.random(), self.send_filing, filing)
        world.at(world.now + self.rng.expovariate(FILINGS_PER_S), self.next_filing)

    def send_filing(self, filing: Filing) -> None:
        """Send a filing, or a retry of it, through any node."""
        if filing.calls >= RETRIES_MAX:
            return
        filing.calls += 1
        self.calls["filings"] += 1
        name = self.some_host()
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
            deadline=self.world.now + 10.0,
            idempotency_key=filing.key,
            body_digest="d",
        )
        self.filing_of_call[call_id] = filing
        self.host_of_call[call_id] = name
        self.world.call(name, arrival)
        self.world.at(self.world.now + ANSWER_WAIT_S, self.retry_silent, call_id)
        if self.rng.random() < 0.05:
            gone_at = self.world.now + self.rng.expovariate(10.0)
            self.world.at(gone_at, self.hang_up, call_id)

    def hang_up(self, call_id: str) -> None:
        """Let a caller close its connection; it sends the filing again later."""
        record = self.world.calls[call_id]
        name = self.host_of_call[call_id]
        if record.ended_at is None:
            self.faults["caller_cancel"] += 1
            self.world.hang_up(name, call_id)
            record.ended_at = self.world.now
            filing = self.filing_of_call.get(call_id)
            if filing is not None:
                wait_s = self.rng.expovariate(1.0)
                self.world.at(self.world.now + wait_s, self.send_filing, filing)

    def retry_silent(self, call_id: str) -> None:
        """Send a filing again if nothing was heard of it."""
        record = self.world.calls[call_id]
        if record.ended_at is None:
            self.hang_up(call_id)

    def on_finish(self, command: commands.FinishCall) -> None:
        """Check what a node says about a call."""
        call_id, error = command.call_id, command.error
        record = self.world.calls[call_id]
        filing = self.filing_of_call.get(call_id)
        if error is not None:
            self.refusals[f"{error.code}/{error.outcome or '-'}"] += 1
        if filing is None:
            return
        if error is not None and error.outcome is Outcome.NOT_RUN:
            runs = self.runs_of(filing)
            if runs:
                problem = f"{call_id}: said not run after {runs} runs"
                self.violate("not-run-is-true", problem)
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
            self.world.at(self.world.now + wait_s, self.send_filing, filing)

    def runs_of(self, filing: Filing) -> int:
        """Return how often the services have run a filing."""
        backends = self.backends.values()
        return sum(b.runs[o] for b in backends for o in filing.operations)

    def on_start(self, command: commands.StartAttempt) -> None:
        """Note which operation a filing has."""
        filing = self.filing_of_call.get(command.call_id)
        if filing is not None and command.operation_id:
            filing.operations.add(command.operation_id)
            self.operation_of_call[command.call_id] = command.operation_id

    def next_repeatable(self, workload: Workload) -> None:
        """Make a repeatable call through a node of the caller's domain."""
        world = self.world
        if world.now >= self.end_at:
            return
        self.number += 1
        is_lookup = workload.entry.kind is EntryKind.SERVICE
        domain = self.rng.choice(self.deployment.domains)
        arrival = plan_arrival(workload, self.number, world.now, self.rng)
        live = [
            name
            for name, host in world.nodes.items()
            if host.alive and host.domain == domain.name
        ]
        if live:
            kind = "lookups" if is_lookup else "streams"
            self.calls[kind] += 1
            call_id = arrival.call_id
            self.host_of_call[call_id] = self.rng.choice(live)
            world.call(self.host_of_call[call_id], arrival)
            if self.rng.random() < 0.05:
                gone_at = world.now + self.rng.expovariate(1.0)
                world.at(gone_at, self.hang_up, call_id)
            elif self.is_cut_off(domain.name):
                later = world.now + workload.deadline_s + 5.0
                world.at(later, self.judge_cut_off, domain.name, call_id, world.now)
        rate = LOOKUPS_PER_S if is_lookup else STREAMS_PER_S
        world.at(world.now + self.rng.expovariate(rate), self.next_repeatable, workload)

    def is_cut_off(self, domain: str) -> bool:
        """Return whether a domain is cut off and nothing else is wrong with it."""
        world = self.world
        others = [d.name for d in self.deployment.domains if d.name != domain]
        cut = not world.is_connected(domain, PLATFORM)
        cut = cut or not all(world.is_connected(domain, other) for other in others)
        return cut and self.troubled_until.get(domain, -1.0) <= world.now

    def judge_cut_off(self, domain: str, call_id: str, since: float) -> None:
        """Count a call that a cut-off domain should have served by itself."""
        if self.troubled_until.get(domain, -1.0) > since:
            return
        record = self.world.calls[call_id]
        if record.gone_at is not None:
            return
        self.cut_off["made"] += 1
        is_served = record.ended_at is not None and record.error is None
        self.cut_off["served"] += is_served
        if not is_served:
            code = record.error.code if record.error else "no_answer"
            entry = record.arrival.entry
            self.cut_off_errors[f"{domain}/{entry}/{code}"] += 1

    # Operators.

    def next_change(self) -> None:
        """Let one or two operators amend an entry."""
        world = self.world
        if world.now >= self.end_at:
            return
        name = self.rng.choice(sorted(self.revisions) or ["filings"])
        for _ in range(1 + (self.rng.random() < 0.5)):
            host = self.some_host()
            entry = world.nodes[host].node.state.entries.get(name)
            if entry is not None:
                cost = self.rng.randrange(1000)
                self.propose(host, entry._replace(cost_per_call=cost), entry.revision)
        world.at(world.now + self.rng.expovariate(CHANGES_PER_S), self.next_change)

    def propose(self, host: str, entry: CatalogueEntry, base: int) -> None:
        """Send an operator's change to a node."""
        self.number += 1
        proposed = events.EntryProposed(
            f"q-{self.number}", "operator", base, encode_entry(entry)
        )
        self.world.post(self.world.nodes[host], proposed, 0.003)

    def sample(self) -> None:
        """Fold the log independently and look at what is in force where."""
        world = self.world
        stream = world.log.streams.get("catalogue")
        if stream is not None:
            first = stream.first
            for record in list(stream.records)[self.folded - first :]:
                self.fold(record.offset, record.data)
        self.note_reachability()
        self.check_in_force()
        world.at(world.now + SAMPLE_S, self.sample)

    def fold(self, offset: int, data: bytes) -> None:
        """Decide on one record by the rule of the design page alone."""
        self.folded = offset + 1
        fields = json.loads(data)
        name = fields["entry"]["name"]
        if fields["base"] == self.revisions.get(name, -1):
            self.revisions[name] = offset
            self.changes.append(Change(offset, self.world.now))

    def note_reachability(self) -> None:
        """Note since when each domain can learn of a change, at least by peers."""
        world = self.world
        log_up = world.now >= world.log.outage_until and world.log.slow_s == 0.0
        names = [d.name for d in self.deployment.domains]
        reached = {n for n in names if log_up and world.is_connected(n, PLATFORM)}
        for _ in names:
            for name in names:
                if any(world.is_connected(name, other) for other in reached):
                    if any(self.relays_work(other) for other in reached):
                        reached.add(name)
        direct = {n for n in names if log_up and world.is_connected(n, PLATFORM)}
        for name in names:
            by_peers = name in reached and self.relays_work(name)
            if name not in direct and not by_peers:
                self.reachable_since[name] = world.now
        for name, host in world.nodes.items():
            if not host.alive or host.paused or not host.node.state.catalogue_ready:
                self.node_since[name] = world.now

    def relays_work(self, domain: str) -> bool:
        """Return whether no process of a domain has just failed."""
        return self.troubled_until.get(domain, -1.0) <= self.world.now

    def check_in_force(self) -> None:
        """Measure how long each change takes to be in force in each domain."""
        world = self.world
        if not self.changes:
            return
        lowest: dict[str, int] = {}
        newest = self.changes[-1].revision
        for name, host in world.nodes.items():
            if not host.alive or host.paused:
                continue
            value = host.node.state.catalogue_revision
            domain = host.domain
            lowest[domain] = min(lowest.get(domain, value), value)
            if value > newest:
                self.violate("catalogue-in-force", f"{name} is ahead of the log")
            since = max(self.reachable_since[domain], self.node_since.get(name, 0.0))
            for change in self.changes:
                if change.revision <= value:
                    continue
                waited_s = world.now - max(since, change.at)
                if waited_s > self.in_force.get(domain, 0.0):
                    self.in_force[domain] = waited_s
                if waited_s > IN_FORCE_S:
                    problem = f"{name}: revision {change.revision} not in force"
                    self.violate("catalogue-in-force", problem)
                    self.node_since[name] = world.now
                    break
        floor = min(lowest.values(), default=-1)
        self.changes = [c for c in self.changes if c.revision > floor]

    # Faults.

    def next_fault(self) -> None:
        """Let one or two faults happen at the same time."""
        world = self.world
        if world.now >= self.end_at:
            return
        for _ in range(1 + (self.rng.random() < 0.5)):
            kind = self.rng.choice(self.run.kinds)
            self.faults[kind] += 1
            getattr(self, kind)()
        world.at(world.now + self.rng.expovariate(1 / FAULT_EVERY_S), self.next_fault)

    def trouble(self, domain: str, seconds: float) -> None:
        """Note that a domain's own processes fail for some time."""
        until = self.world.now + seconds
        self.troubled_until[domain] = max(until, self.troubled_until.get(domain, 0.0))

    def some_node(self) -> str:
        return self.rng.choice(list(self.settings))

    def node_death(self) -> None:
        """Kill a node, and start it again or replace the host's row later."""
        name = self.some_node()
        host = self.world.nodes[name]
        if not host.alive:
            return
        self.world.kill(name)
        away_s = self.rng.uniform(0.2, 20.0)
        self.trouble(host.domain, away_s + 10.0)
        if self.rng.random() < 0.3:
            self.world.host_list.remove(self.world.now, name)
        self.world.at(self.world.now + away_s, self.revive, name)

    def revive(self, name: str) -> None:
        """Start a new process at a host and wait until it is ready."""
        row = entry_host_row(name, self.settings[name].domain)
        self.world.host_list.put(self.world.now, row)
        self.world.restart(self.settings[name])
        self.await_ready(name, self.world.now)

    def await_ready(self, name: str, since: float) -> None:
        """Measure how long a new process takes to become ready."""
        host = self.world.nodes[name]
        if not host.alive or host.paused:
            return
        waited_s = self.world.now - since
        if host.node.state.catalogue_ready:
            self.ready_s.append(waited_s)
        elif waited_s < 60.0:
            self.world.at(self.world.now + 0.05, self.await_ready, name, since)
        else:
            self.ready_slow += 1

    def pause(self) -> None:
        """Stop a node's process for a while."""
        name = self.some_node()
        seconds = self.rng.uniform(0.5, 30.0)
        self.trouble(self.settings[name].domain, seconds + 10.0)
        self.world.pause(name, seconds)

    def partition(self) -> None:
        """Cut two domains off from each other."""
        one, other = self.rng.sample([d.name for d in self.deployment.domains], 2)
        self.world.cut(one, other, self.rng.uniform(2.0, 90.0))

    def platform_partition(self) -> None:
        """Cut a domain off from the log and the host list, at times from all."""
        domain = self.rng.choice(self.deployment.domains).name
        seconds = self.rng.uniform(2.0, 90.0)
        self.world.cut(domain, PLATFORM, seconds)
        if self.rng.random() < 0.5:
            for other in self.deployment.domains:
                if other.name != domain:
                    self.world.cut(domain, other.name, seconds)

    def log_outage(self) -> None:
        """Let the log answer nothing but errors."""
        seconds = self.rng.choice((5.0, 30.0, 180.0)) * self.rng.random()
        self.world.log.start_outage(self.world.now, seconds)

    def slow_log(self) -> None:
        """Delay the log's answers."""
        self.world.log.slow_s = self.rng.uniform(0.1, 2.0)
        seconds = self.rng.uniform(5.0, 60.0)
        self.world.at(self.world.now + seconds, self.end_slow_log)

    def end_slow_log(self) -> None:
        self.world.log.slow_s = 0.0

    def lost_answers(self) -> None:
        """Lose the answers of the next appends."""
        self.world.log.lose_append_answers(self.rng.randint(1, 5))

    def silent_connection(self) -> None:
        """Let the open connection of two nodes go silent until it is replaced."""
        one, other = self.rng.sample(list(self.settings), 2)
        for name in (one, other):
            self.trouble(self.settings[name].domain, 8.0)
        # The heartbeat of the peer link replaces it after at most 6 s.
        self.world.silence(one, other, 6.0)

    def stalled_transfer(self) -> None:
        """Stall the transfers of an engine."""
        model = self.some_endpoint(EngineModel)
        if isinstance(model, EngineModel):
            self.trouble(self.world.endpoints[model.address].domain, 10.0)
            model.stall_transfers(self.world.now, self.rng.uniform(0.5, 3.0))

    def some_endpoint(self, kind: type[Any] = object) -> Any:
        found = [
            endpoint.model
            for endpoint in self.world.endpoints.values()
            if endpoint.alive and isinstance(endpoint.model, kind)
        ]
        return self.rng.choice(found) if found else None

    def endpoint_restart(self) -> None:
        """Restart an endpoint process at the same address."""
        model = self.some_endpoint()
        if model is None:
            return
        domain = self.world.endpoints[model.address].domain
        seconds = self.rng.uniform(0.1, 5.0)
        self.trouble(domain, seconds + 30.0)
        if isinstance(model, ServiceModel):
            model.crash(self.world.now)
        self.world.kill_endpoint(model.address)
        self.world.incarnation += 1
        self.world.at(
            self.world.now + seconds,
            self.world.restart_endpoint,
            model.address,
            self.world.incarnation,
        )

    def endpoint_leaving(self) -> None:
        """Let an endpoint announce that it leaves, and replace it later."""
        model = self.some_endpoint()
        if model is None or model.leaving_since is not None:
            return
        self.trouble(self.world.endpoints[model.address].domain, 50.0)
        model.leave(self.world.now)
        self.world.host_list.leave(self.world.now, model.address)
        self.world.at(self.world.now + 20.0, self.replace_leaving, model)

    def replace_leaving(self, model: Any) -> None:
        """Replace an endpoint that has left by a new process."""
        if self.world.endpoints[model.address].model is not model:
            return
        self.note_late_work(model)
        self.world.kill_endpoint(model.address)
        self.world.incarnation += 1
        self.world.restart_endpoint(model.address, self.world.incarnation)

    def note_late_work(self, model: Any) -> None:
        """Note the longest time that a leaving endpoint got work."""
        late_s = getattr(model, "work_after_leaving_s", 0.0)
        self.late_work_s = max(self.late_work_s, late_s)

    late_work_s = 0.0

    # The end.

    def finish(self) -> None:
        """Make the checks that need the whole run."""
        for filing in self.filings.values():
            runs = self.runs_of(filing)
            if runs > 1:
                self.violate("at-most-once", f"{filing.key} ran {runs} times")
            if len(filing.answers) > 1:
                self.violate("whole-own-answer", f"{filing.key} has two answers")
            for operation, _ in filing.not_run:
                ran = sum(b.runs[operation] for b in self.backends.values())
                if ran:
                    problem = f"{filing.key}: {operation} ran after all"
                    self.violate("not-run-is-true", problem)
        states = {
            name: {n: e.revision for n, e in host.node.state.entries.items()}
            for name, host in self.world.nodes.items()
            if host.alive
        }
        for name, revisions in states.items():
            if revisions != self.revisions:
                problem = f"{name} ends with {revisions}, the log with {self.revisions}"
                self.violate("catalogue-in-force", problem)
        for endpoint in self.world.endpoints.values():
            self.note_late_work(endpoint.model)

    def report(self) -> dict[str, Any]:
        """Return the result as JSON values."""
        self.ready_s.sort()
        made, served = self.cut_off["made"], self.cut_off["served"]
        violations = self.world.violations
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
            "in_force_max_s": {k: round(v, 3) for k, v in self.in_force.items()},
            "revisions": len(self.revisions) and max(self.revisions.values()),
            "leaving_work_max_s": round(self.late_work_s, 3),
            "cut_off_calls": made,
            "cut_off_served_share": round(served / made, 4) if made else None,
            "cut_off_errors": dict(self.cut_off_errors),
            "restarts": len(self.ready_s),
            "ready_max_s": round(self.ready_s[-1], 3) if self.ready_s else None,
            "ready_over_60_s": self.ready_slow,
            "refusals": dict(sorted(self.refusals.items())),
        }


class FaultBenchWorld(FaultWorld):
    """The fault world with the bench's observers."""

    bench: Bench

    def carry_out(self, command: NamedTuple, host: Any) -> None:
        """Show commands to the bench before they are carried out."""
        if isinstance(command, commands.StartAttempt):
            self.bench.on_start(command)
        elif isinstance(command, commands.FinishCall):
            self.bench.on_finish(command)
        super().carry_out(command, host)


def run_faults(run: FaultsRun) -> dict[str, Any]:
    """Make one run; the same run gives the same result."""
    bench = Bench(run)
    bench.start()
    # After the last fault everything heals, and every call must end.
    bench.world.run(bench.end_at + CALM_S)
    bench.finish()
    return bench.report()
