"""A simulated cluster on a virtual clock, checked by an oracle.

It has three nodes in two regions. Each domain has its own engines and services,
and engines of another fleet that use the same service name.
"""

import json
from typing import Any, NamedTuple

from tests.lib.oracle import Oracle, SentCall

from poplarfold._internal.bench.fault_simulation import FaultSimulation, entry_host_row
from poplarfold._internal.core import commands, events
from poplarfold._internal.core.entry_codec import encode_entry
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRole,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.standins.engine_model import (
    DecodeFinished,
    EngineConfig,
    EngineModel,
)
from poplarfold._internal.standins.service_model import (
    ServiceBackend,
    ServiceConfig,
    ServiceModel,
)

DOMAINS = (
    DomainSettings("lhr-a", "lahore", 2),
    DomainSettings("khi-a", "karachi", 1),
)
HOSTS = {"lhr-a-0": ("lhr-a", 0), "lhr-a-1": ("lhr-a", 1), "khi-a-0": ("khi-a", 0)}
MODEL = Identity("association", "abstractor", "sha256:a1")
OTHER_MODEL = Identity("glasscairn", "abstractor", "sha256:b1")
SERVICE = Identity("association", "registry", "sha256:a2")
FILING_LIMIT = 4
CALL_DEADLINE_S = 20.0
# A stream of this length takes about 4 s, longer than RELEASE_LIMIT_S, so that the
# check of released memory notices a lost cancel.
OUTPUTS = 300
# Without faults, engines must release the memory of a call within this time after
# its caller disconnected.
RELEASE_LIMIT_S = 3.0
# Checks that assume no faults start this long after the last fault has ended.
FAULT_FREE_MIN_S = 3.0
# The cluster gets this long without faults before the checks at the end of a run.
FINAL_RECOVERY_S = 90.0


def entry(
    name: str, kind: EntryKind, identity: Identity, call_class: CallClass
) -> CatalogueEntry:
    limits = EntryLimits(concurrency=FILING_LIMIT if name == "filing" else 0)
    targets = LatencyTargets(5.0, 0.05)
    return CatalogueEntry(name, kind, identity, call_class, targets, limits)


ENTRIES = (
    entry("abstract", EntryKind.MODEL, MODEL, CallClass.PATIENT),
    entry("caption", EntryKind.MODEL, MODEL, CallClass.INTERACTIVE),
    entry("filing", EntryKind.SERVICE, SERVICE, CallClass.NON_REPEATABLE),
    entry("lookup", EntryKind.SERVICE, SERVICE, CallClass.INTERACTIVE),
)


class Cluster(FaultSimulation):
    """The nodes and all systems around them. ``oracle`` checks what happens."""

    def __init__(self, seed: int, knows_operations: bool = True) -> None:
        super().__init__(seed, 15_000_000 / 8, 0.001)
        self.oracle = Oracle()
        self.request_count = 0
        self.call_processes: dict[str, tuple[str, int]] = {}
        self.operations: dict[str, str] = {}
        self.reported_runs: dict[str, int] = {}
        self.delivered_outputs: dict[str, int] = {}
        self.fault_free_since = 0.0
        self.draining: set[str] = set()
        self.proposals: dict[str, CatalogueEntry] = {}
        self.newest_revisions: dict[str, int] = {}
        self.backend = ServiceBackend()
        self.regions = {row.name: row.region for row in DOMAINS}
        self.add_endpoints(knows_operations)
        for name, (domain, slot) in HOSTS.items():
            self.host_list.put(0.0, entry_host_row(name, domain))
            self.add_node(self.settings_of(name, domain, slot))
        self.run(5.0)
        for row in ENTRIES:
            self.propose("lhr-a-0", row, -1)
        self.run(10.0)

    def settings_of(self, name: str, domain: str, slot: int) -> NodeSettings:
        return NodeSettings(name, domain, DOMAINS, slot, strict_invariants=False)

    def add_endpoints(self, knows_operations: bool) -> None:
        for domain in ("lhr-a", "khi-a"):
            for role in (EndpointRole.PREFILL, EndpointRole.DECODE):
                for fleet, identity in (("own", MODEL), ("other", OTHER_MODEL)):
                    address = f"{domain}-{fleet}-{role.value}"
                    # These engines do not reject requests for another identity, so
                    # that a call routed to the wrong fleet is served and detected.
                    config = EngineConfig(
                        address, identity, role, checks_identity=False
                    )
                    self.add_endpoint(EngineModel(config), domain, identity.service)
            for number in range(2):
                service = ServiceConfig(
                    f"{domain}-registry-{number}",
                    SERVICE,
                    knows_operations=knows_operations,
                    service_max_s=0.2,
                )
                model = ServiceModel(service, self.backend)
                self.add_endpoint(model, domain, SERVICE.service)

    # Actions of callers and operators.

    def make_call(
        self, host: str, name: str, key: str | None = None, tokens: int = 2000
    ) -> str:
        """Make a call through a node and return the call id."""
        self.request_count += 1
        call_id = f"c{self.request_count}"
        is_model = name in ("abstract", "caption")
        arrival = events.CallArrived(
            call_id=call_id,
            account="north",
            entry=name,
            is_model_call=is_model,
            prompt_tokens=tokens if is_model else 10,
            prompt_bytes=tokens * 4 if is_model else 40,
            prefixes=tuple(f"p{i}" for i in range(tokens // 512)) if is_model else (),
            max_outputs=OUTPUTS if is_model else 1,
            deadline=self.now + CALL_DEADLINE_S,
            idempotency_key=key,
            body_digest="d",
        )
        self.oracle.call_sent(call_id, SentCall(name, "north", key))
        incarnation = self.nodes[host].node.state.me.incarnation
        self.call_processes[call_id] = (host, incarnation)
        self.call(host, arrival)
        return call_id

    def hang_up_call(self, call_id: str) -> None:
        """Close the connection of a call's caller, if its node process still runs."""
        host, incarnation = self.call_processes[call_id]
        if self.is_same_process(host, incarnation):
            self.hang_up(host, call_id)
            disconnected_at = self.now
            self.schedule(
                disconnected_at + RELEASE_LIMIT_S,
                self.check_memory_released,
                call_id,
                disconnected_at,
            )

    def is_same_process(self, host: str, incarnation: int) -> bool:
        node = self.nodes[host]
        return node.is_alive and node.node.state.me.incarnation == incarnation

    def propose(self, host: str, row: CatalogueEntry, base: int) -> None:
        """Send an operator's proposed change to a node."""
        self.request_count += 1
        request_id = f"q{self.request_count}"
        self.proposals[request_id] = row
        data = encode_entry(row)
        proposed = events.EntryProposed(request_id, "clerk", base, data)
        self.post(self.nodes[host], proposed, 0.001)

    def amend(self, host: str, name: str, cost: int) -> None:
        """Amend an entry, based on the revision that the node has."""
        row = self.nodes[host].node.state.entries.get(name)
        if row is not None:
            self.propose(host, row._replace(cost_per_call=cost), row.revision)

    def drain(self, host: str) -> None:
        """Start a planned stop of a node."""
        self.draining.add(host)
        self.post(self.nodes[host], events.DrainRequested())

    def restart_if_ended(self, host: str) -> None:
        """Start a new process at a host if its process has ended."""
        if not self.nodes[host].is_alive:
            domain, slot = HOSTS[host]
            self.draining.discard(host)
            self.restart(self.settings_of(host, domain, slot))

    def record_disturbance(self, seconds: float) -> None:
        """Record a fault that lasts ``seconds``.

        Checks that assume no faults are postponed until after it.
        """
        self.fault_free_since = max(self.fault_free_since, self.now + seconds)

    def wait_until_recovered(self) -> None:
        """Advance until all faults have ended and the nodes have recovered."""
        self.run(max(self.now, self.fault_free_since + FAULT_FREE_MIN_S) + 0.1)

    # Reports to the oracle.

    def carry_out(self, command: NamedTuple, host: Any) -> None:  # type: ignore[override]
        """Report a command to the oracle, then carry it out."""
        if isinstance(command, commands.StartAttempt):
            self.observe_start(command)
        elif isinstance(command, commands.FinishCall):
            self.observe_finish(command)
        elif isinstance(command, commands.AnswerOperator):
            self.observe_operator_answer(command)
        elif isinstance(command, commands.Stop):
            self.observe_stop(host)
        super().carry_out(command, host)

    def observe_start(self, command: commands.StartAttempt) -> None:
        if command.operation_id:
            self.operations[command.operation_id] = command.call_id
        prefill, decode = command.placement.prefill, command.placement.decode
        if prefill is not None:
            domains = [self.endpoints[e.address].domain for e in (prefill, decode)]
            if self.regions[domains[0]] != self.regions[domains[1]]:
                detail = f"KV from {domains[0]} to {domains[1]}"
                self.oracle.violated("limits-hold", self.now, detail)

    def observe_finish(self, command: commands.FinishCall) -> None:
        call_id, error = command.call_id, command.error
        self.observe()
        outcome = "done" if error is None else "error"
        if error is not None and error.outcome is not None:
            outcome = error.outcome.value
            if outcome == "done":
                # The operation ran, but its answer was not recorded, so there is no
                # body to compare.
                outcome = "unknown"
        self.oracle.answered(call_id, self.now, outcome, command.answer_body)
        is_model = self.calls[call_id].arrival.is_model_call
        if is_model and error is None:
            made = self.delivered_outputs.get(call_id, 0)
            self.oracle.outputs[call_id] = [str(n) for n in range(made)]
            expected = [str(n) for n in range(OUTPUTS)]
            self.oracle.stream_ended(call_id, expected, True, self.now)

    def on_attempt_event(self, attempt: Any, event: Any, endpoint: Any) -> None:
        """Record how many outputs of a call have been delivered in all attempts."""
        if attempt.is_open and isinstance(event, DecodeFinished):
            made = attempt.start.resume_from + event.outputs
            self.delivered_outputs[attempt.start.call_id] = made
        super().on_attempt_event(attempt, event, endpoint)

    def observe_operator_answer(self, command: commands.AnswerOperator) -> None:
        row = self.proposals.get(command.request_id)
        if command.error is None and row is not None:
            revision = json.loads(command.body)["revision"]
            self.oracle.change_accepted(revision, self.now)
            self.newest_revisions[row.name] = max(
                revision, self.newest_revisions.get(row.name, -1)
            )

    def observe_stop(self, host: Any) -> None:
        name = host.node.state.me.host
        open_calls = [
            call_id
            for call_id, where in self.call_processes.items()
            if where == tuple(host.node.state.me)
            and call_id in self.calls
            and call_id not in self.oracle.answers
            and self.calls[call_id].disconnected_at is None
            # A call that reached the node after it stopped was never accepted.
            and self.calls[call_id].sent_at + 0.01 < self.now
        ]
        for call_id in open_calls:
            self.oracle.call_cut_off(call_id, self.now)
        host.is_alive = False
        self.process_ended_at[name] = self.now
        self.schedule(self.now + 3.0, self.restart_if_ended, name)

    def observe(self) -> None:
        """Report the state of back ends, endpoints and nodes to the oracle."""
        for operation, runs in self.backend.runs.items():
            for _ in range(runs - self.reported_runs.get(operation, 0)):
                self.oracle.back_end_ran(self.operations[operation], self.now)
            self.reported_runs[operation] = runs
        for address, endpoint in self.endpoints.items():
            model = endpoint.model
            if model.served_unpinned:
                self.oracle.violated("served-identity", self.now, address)
            if model.late_work_after_leaving:
                self.oracle.violated("leaving-gets-nothing", self.now, address)
        for name, host in self.nodes.items():
            if host.is_alive and not host.is_paused:
                self.observe_catalogue(name, host)
        running = sum(
            attempt.is_open and attempt.start.operation_id is not None
            for attempt in self.attempts.values()
        )
        self.oracle.concurrency_seen("filing", running, FILING_LIMIT, self.now)

    def observe_catalogue(self, name: str, host: Any) -> None:
        state = host.node.state
        process = f"{name}/{state.me.incarnation}"
        if not state.catalogue_ready:
            return
        for row in state.entries.values():
            self.oracle.catalogue_seen(process, row.name, row.revision, self.now)
        for entry_name, revision in self.newest_revisions.items():
            since = self.fault_free_since
            self.oracle.change_missing(process, entry_name, revision, since, self.now)

    def check_memory_released(self, call_id: str, disconnected_at: float) -> None:
        """Check that no engine holds memory of a call whose caller disconnected."""
        if self.fault_free_since + FAULT_FREE_MIN_S > disconnected_at:
            return
        attempts = set(self.calls[call_id].attempts) | {
            name for name, a in self.attempts.items() if a.start.call_id == call_id
        }
        if attempts & self.held_attempts():
            self.oracle.memory_held(
                call_id, disconnected_at, self.now + 1e-6, RELEASE_LIMIT_S
            )

    def held_attempts(self) -> set[str]:
        """Return the attempts for which an engine holds memory."""
        held: set[str] = set()
        for endpoint in self.endpoints.values():
            if endpoint.is_alive and isinstance(endpoint.model, EngineModel):
                held |= {item.attempt_id for item in endpoint.model.current_load()[3]}
        return held

    def recover_and_check(self) -> None:
        """Let the cluster recover, and make the checks at the end of a run."""
        until = self.fault_free_since
        for name in HOSTS:
            self.restart_if_ended(name)
        self.run(max(self.now, until) + FINAL_RECOVERY_S)
        self.observe()
        for attempt_id in self.held_attempts():
            self.oracle.violated("no-orphaned-memory", self.now, attempt_id)
        for call_id, (host, incarnation) in self.call_processes.items():
            lives = self.is_same_process(host, incarnation)
            if lives and call_id not in self.oracle.answers:
                detail = f"{call_id} was never answered"
                self.oracle.violated("whole-own-answer", self.now, detail)
