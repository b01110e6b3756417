"""The state of one run under random faults, which callers, faults and oracles share."""

import random
from collections import Counter
from typing import Any, NamedTuple

from poplarfold._internal.bench.deployments import DEPLOYMENTS, Deployment
from poplarfold._internal.bench.fault_simulation import FaultSimulation, Violation
from poplarfold._internal.core.model import Identity
from poplarfold._internal.settings import NodeSettings
from poplarfold._internal.standins.service_model import ServiceBackend

__all__ = ["KINDS", "WARM_UP_S", "Change", "FaultBench", "FaultsRun", "Filing"]

WARM_UP_S = 10.0
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


class FaultBench:
    """One run: its simulation, what callers and operators did, and what was found."""

    def __init__(self, run: FaultsRun, simulation: FaultSimulation) -> None:
        self.run = run
        self.deployment: Deployment = DEPLOYMENTS[run.deployment]
        self.rng = random.Random(f"faults/{run.deployment}/{run.seed}")
        self.simulation = simulation
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
        self.max_late_work_s = 0.0

    def add_violation(self, name: str, problem: str) -> None:
        """Record a violation that an oracle found."""
        self.simulation.violations.append(Violation(name, self.simulation.now, problem))

    def random_live_host(self) -> str:
        """Return a random live host, as the platform's load balancer would choose."""
        live = [name for name, host in self.simulation.nodes.items() if host.is_alive]
        return self.rng.choice(live or list(self.settings))

    def runs_of(self, filing: Filing) -> int:
        """Return how many times the services have run a filing."""
        backends = self.backends.values()
        return sum(b.runs[o] for b in backends for o in filing.operations)

    def update_late_work(self, model: Any) -> None:
        """Update the longest time for which a leaving endpoint received work."""
        late_s = getattr(model, "work_after_leaving_s", 0.0)
        self.max_late_work_s = max(self.max_late_work_s, late_s)
