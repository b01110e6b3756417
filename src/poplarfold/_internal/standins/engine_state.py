"""The state of a model engine, which the modules for its kinds of work change."""

import heapq
from collections import Counter, OrderedDict, deque

from poplarfold._internal.core.events import WorkItem
from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins.engine_cache import PrefixCache
from poplarfold._internal.standins.engine_events import EngineEvent, MemoryFreed
from poplarfold._internal.standins.engine_types import (
    EngineConfig,
    FinishedStream,
    HeldResult,
    PrefillJob,
    Stream,
    Work,
)

__all__ = ["EngineState"]

TOMBSTONE_LIFETIME_S = 300.0
MAX_HOLD_RECORDS = 4096
LEAVING_GRACE_S = 3.0


class EngineState:
    """Memory, queues, batch, cache, timers and counters of one engine process.

    The functions that change the state expect that the engine has been brought up to
    ``now``. Counters are plain attributes.
    """

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        self.address = config.address
        self.incarnation = config.incarnation
        self.identity = config.identity
        self.role = config.role
        self.now = 0.0
        self.events: list[EngineEvent] = []
        self.timers: list[tuple[float, int, str, object]] = []
        self.sequence = 0
        self.pieces_free = config.pieces_total
        self.leaving_since: float | None = None
        self.slow_factor = 1.0
        self.transfers_stalled_until = 0.0
        self.tombstones: OrderedDict[str, float] = OrderedDict()
        # Prefill.
        self.queue: list[tuple[int, int, PrefillJob]] = []
        self.jobs: dict[str, PrefillJob] = {}
        self.batch_jobs: list[PrefillJob] = []
        self.batch_started_at = 0.0
        self.batch_done_at = 0.0
        self.queued_tokens = 0
        self.results: dict[str, HeldResult] = {}
        self.handles_by_attempt: dict[str, str] = {}
        # Decode.
        self.streams: dict[str, Stream] = {}
        self.batch: dict[str, Stream] = {}
        self.waiting_streams: list[Stream] = []
        self.awaiting_first_output: list[Stream] = []
        self.finish_heap: list[tuple[int, int, Stream]] = []
        self.finished: OrderedDict[str, FinishedStream] = OrderedDict()
        self.step = 0
        self.step_at = 0.0
        self.step_s = 0.0
        self.batch_changed = False
        self.cache = PrefixCache(config)
        # Orders.
        self.highest_fencing = -1
        self.order_answers: dict[str, str | None] = {}
        self.pending_change: tuple[Identity, EndpointRole] | None = None
        self.change_started = False
        # Reports.
        self.load_samples: deque[
            tuple[float, tuple[int, int, int, tuple[WorkItem, ...]]]
        ]
        self.load_samples = deque()
        self.last_sample_number = 0
        self.prefill_tokens_computed = 0
        self.prefill_tokens_cached = 0
        self.prefill_tokens_wasted = 0
        self.outputs_made = 0
        self.busy_s = 0.0
        self.served: Counter[tuple[Identity, str]] = Counter()
        self.served_unpinned = 0
        self.refusals: Counter[str] = Counter()
        self.work_after_leaving_s = 0.0
        self.late_work_after_leaving = 0
        self.stale_orders_applied = 0
        self.orders_applied = 0
        self.holds: deque[tuple[str, str, float, float]] = deque(
            maxlen=MAX_HOLD_RECORDS
        )
        self.longest_hold_s = 0.0

    def set_timer(self, at: float, kind: str, subject: object) -> None:
        """Have ``EngineModel.on_timer`` called with these values at a time."""
        self.sequence += 1
        heapq.heappush(self.timers, (at, self.sequence, kind, subject))

    def refuse(self, code: str) -> str:
        """Count rejected work and return the code."""
        self.refusals[code] += 1
        return code

    def refusal_of(self, work: Work, role: EndpointRole) -> str | None:
        """Return the code that rejects new work regardless of load, or None."""
        if work.attempt in self.tombstones:
            return "cancelled"
        if self.config.checks_identity and work.identity != self.identity:
            return "wrong_identity"
        if self.leaving_since is not None:
            since_leaving_s = self.now - self.leaving_since
            self.work_after_leaving_s = max(self.work_after_leaving_s, since_leaving_s)
            self.late_work_after_leaving += since_leaving_s > LEAVING_GRACE_S
            return "leaving"
        if self.role is not role:
            return "wrong_role"
        if self.pending_change is not None:
            return "full"
        return None

    def add_tombstone(self, attempt: str) -> None:
        """Reject later starts of an attempt, and forget the oldest such attempts."""
        while self.tombstones:
            oldest, cancelled_at = next(iter(self.tombstones.items()))
            if cancelled_at + TOMBSTONE_LIFETIME_S > self.now:
                break
            del self.tombstones[oldest]
        self.tombstones[attempt] = self.now

    def count_start(self, work: Work, kind: str) -> None:
        """Count started work under the identity that the engine has loaded."""
        self.served[(self.identity, kind)] += 1
        self.served_unpinned += work.identity != self.identity

    def free_pieces(self, attempt: str, pieces: int, since: float, key: str) -> None:
        """Free memory and record how long it was held."""
        self.pieces_free += pieces
        held_s = self.now - since
        self.longest_hold_s = max(self.longest_hold_s, held_s)
        self.holds.append((attempt, key, since, self.now))
        self.events.append(MemoryFreed(self.now, attempt, pieces, held_s))
