"""A model engine as a pure model: time is passed in, and nothing runs by itself.

The model is driven by events. ``next_event_at`` names the next time at which
something happens inside the engine, ``advance`` carries the engine to a time and
returns what happened on the way. Work that starts calls ``advance`` first. A
decode stream costs three events whatever the number of its outputs, since steps
between two changes of the batch have equal length.

    >>> from poplarfold._internal.core.model import HostKey
    >>> identity = Identity("association", "abstractor", "v1")
    >>> engine = EngineModel(EngineConfig("e1", identity, EndpointRole.DECODE))
    >>> engine.reserve(0.0, Work("a1", HostKey("h", 1), identity), pieces=4)
    >>> export = KvExport("p1", "k1", 500, "00", expires_at=0.8)
    >>> engine.decode(0.1, Work("a1", HostKey("h", 1), identity), export, 500, 10)
    >>> [type(event).__name__ for event in engine.advance(5.0)]
    ['KvImported', 'FirstOutputMade', 'DecodeFinished', 'MemoryFreed']
"""

import heapq
from collections import Counter, OrderedDict, deque
from math import floor

from poplarfold._internal.core.events import CacheEvent, EndpointReported, WorkItem
from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins.engine_cache import PrefixCache
from poplarfold._internal.standins.engine_events import (
    DecodeFailed,
    DecodeFinished,
    EngineEvent,
    FirstOutputMade,
    KvImported,
    LeaseExpired,
    MemoryFreed,
    PrefillFinished,
    PrefillWasted,
)
from poplarfold._internal.standins.engine_rows import (
    EngineConfig,
    FinishedStream,
    HeldResult,
    KvExport,
    PrefillJob,
    Stream,
    Work,
    pieces_for,
)

__all__ = [
    "DecodeFailed",
    "DecodeFinished",
    "EngineConfig",
    "EngineEvent",
    "EngineModel",
    "FirstOutputMade",
    "KvExport",
    "KvImported",
    "LeaseExpired",
    "MemoryFreed",
    "PrefillFinished",
    "PrefillWasted",
    "Work",
    "pieces_for",
]

REPORT_PERIOD_S = 0.1
TOMBSTONE_S = 300.0
FINISHED_KEPT = 1024
HOLDS_KEPT = 4096
LEAVING_GRACE_S = 3.0


class EngineModel:
    """One engine process with its memory, queues, batch, cache and counters.

    Methods that start work return None, or the ``code`` of a refusal. Counters
    are plain attributes; ``counters`` gathers them as JSON values.
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
        self.handle_of: dict[str, str] = {}
        # Decode.
        self.streams: dict[str, Stream] = {}
        self.batch: dict[str, Stream] = {}
        self.joining: list[Stream] = []
        self.fresh: list[Stream] = []
        self.finish_heap: list[tuple[int, int, Stream]] = []
        self.finished: OrderedDict[str, FinishedStream] = OrderedDict()
        self.step = 0
        self.step_at = 0.0
        self.step_s = 0.0
        self.changed = False
        self.cache = PrefixCache(config)
        # Orders.
        self.highest_fencing = -1
        self.order_answers: dict[str, str | None] = {}
        self.pending_change: tuple[Identity, EndpointRole] | None = None
        self.change_started = False
        # Reports.
        self.snapshots: deque[tuple[float, tuple[int, int, int, tuple[WorkItem, ...]]]]
        self.snapshots = deque()
        self.last_snapshot = 0
        # Counters.
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
        self.holds: deque[tuple[str, str, float, float]] = deque(maxlen=HOLDS_KEPT)
        self.longest_hold_s = 0.0
        if config.report_lag_s > 0:
            self.take_snapshot(0.0)

    # Time.

    def next_event_at(self) -> float | None:
        """Return the next time at which something happens, or None when idle."""
        step_at = self.next_stop()
        if not self.timers:
            return step_at
        timer_at = self.timers[0][0]
        return timer_at if step_at is None or timer_at <= step_at else step_at

    def next_step_at(self) -> float | None:
        """Return the end of the current decode step, when new outputs exist."""
        if not self.batch:
            return None
        steps = self.steps_done() - self.step + 1
        return self.step_at + steps * self.step_s

    def advance(self, now: float) -> list[EngineEvent]:
        """Carry the engine to ``now`` and return what happened, in order.

        A time before the last one leaves the engine as it is.
        """
        self.run_until(now)
        events, self.events = self.events, []
        return events

    def run_until(self, now: float) -> None:
        """Handle all that happens up to ``now`` and keep the load for reports."""
        lag = self.config.report_lag_s
        if lag > 0 and now > self.now:
            last = floor(now / REPORT_PERIOD_S)
            if last > self.last_snapshot:
                first = floor((now - lag) / REPORT_PERIOD_S)
                for number in range(max(first, self.last_snapshot + 1), last + 1):
                    self.handle_until(number * REPORT_PERIOD_S)
                    self.take_snapshot(number * REPORT_PERIOD_S)
                self.last_snapshot = last
        self.handle_until(now)

    def handle_until(self, now: float) -> None:
        """Handle all timers and steps up to ``now``."""
        while True:
            at = self.next_event_at()
            if at is None or at > now:
                break
            self.now = max(self.now, at)
            if self.timers and self.timers[0][0] <= at:
                _, _, kind, subject = heapq.heappop(self.timers)
                self.on_timer(kind, subject)
            else:
                self.run_steps()
        self.now = max(self.now, now)

    def set_timer(self, at: float, kind: str, subject: object) -> None:
        """Have ``on_timer`` called at a time."""
        self.sequence += 1
        heapq.heappush(self.timers, (at, self.sequence, kind, subject))

    def on_timer(self, kind: str, subject: object) -> None:
        """Handle a timer; those whose subject has changed since do nothing."""
        if kind == "prefill":
            if subject == self.batch_done_at and self.batch_jobs:
                self.finish_prefill_batch()
        elif kind == "evict":
            assert isinstance(subject, str)
            self.drop_result(subject, "evicted")
        elif kind == "lease":
            assert isinstance(subject, Stream)
            if subject.state == "reserved" and subject.lease_until <= self.now:
                self.events.append(LeaseExpired(self.now, subject.work.attempt))
                self.free_stream(subject)
        elif kind == "import":
            assert isinstance(subject, tuple)
            self.finish_import(*subject)
        elif kind == "change":
            self.apply_change()

    # Checks that all kinds of work share.

    def refuse(self, code: str) -> str:
        """Count a refusal and return its code."""
        self.refusals[code] += 1
        return code

    def refusal_of(self, work: Work, role: EndpointRole) -> str | None:
        """Return why new work is refused whatever the load, or None."""
        if work.attempt in self.tombstones:
            return "cancelled"
        if self.config.checks_identity and work.identity != self.identity:
            return "wrong_identity"
        if self.leaving_since is not None:
            late_s = self.now - self.leaving_since
            self.work_after_leaving_s = max(self.work_after_leaving_s, late_s)
            self.late_work_after_leaving += late_s > LEAVING_GRACE_S
            return "leaving"
        if self.role is not role:
            return "wrong_role"
        if self.pending_change is not None:
            return "full"
        return None

    def count_start(self, work: Work, kind: str) -> None:
        """Count work that starts, by what the engine really serves."""
        self.served[(self.identity, kind)] += 1
        self.served_unpinned += work.identity != self.identity

    # Prefill.

    def prefill(
        self,
        now: float,
        work: Work,
        tokens: int,
        key: str,
        prefixes: tuple[str, ...] = (),
    ) -> str | None:
        """Queue a prefill of ``tokens``; ``PrefillFinished`` follows.

        ``key`` is the answer key that goes with the KV. ``prefixes`` are digests
        of the growing prefixes of the prompt, one per block of tokens. The same
        attempt queued again is taken once.
        """
        self.run_until(now)
        if work.attempt in self.jobs:
            return None
        code = self.refusal_of(work, EndpointRole.PREFILL)
        if code is not None:
            return self.refuse(code)
        pieces = pieces_for(tokens, self.config.piece_tokens)
        if pieces > self.config.pieces_total:
            return self.refuse("too_large")
        self.count_start(work, "prefill")
        job = PrefillJob(work, tokens, key, prefixes, self.now)
        job.pieces = pieces
        self.jobs[work.attempt] = job
        self.queued_tokens += tokens
        self.sequence += 1
        heapq.heappush(self.queue, (work.priority, self.sequence, job))
        self.start_prefill_batch()
        return None

    def start_prefill_batch(self) -> None:
        """Start the most urgent queued prefills if the engine is idle.

        A batch takes what fits in the token budget, the batch size and the free
        memory; one prompt above the token budget runs by itself.
        """
        if self.batch_jobs:
            return
        config = self.config
        total = 0
        while self.queue and len(self.batch_jobs) < config.prefill_batch_size:
            job = self.queue[0][2]
            if job.state == "cancelled":
                heapq.heappop(self.queue)
                continue
            cached = self.cache.cached_tokens(job)
            todo = job.tokens - cached
            if total and total + todo > config.prefill_batch_tokens:
                break
            if job.pieces > self.pieces_free:
                break
            heapq.heappop(self.queue)
            total += todo
            job.cached = cached
            job.state = "running"
            job.started_at = self.now
            self.pieces_free -= job.pieces
            self.cache.touch(job.prefixes)
            self.batch_jobs.append(job)
        if self.batch_jobs:
            duration_s = (
                config.prefill_overhead_s + total / config.prefill_tokens_per_s
            ) * self.slow_factor
            self.batch_started_at = self.now
            self.batch_done_at = self.now + duration_s
            self.set_timer(self.batch_done_at, "prefill", self.batch_done_at)

    def finish_prefill_batch(self) -> None:
        """Publish the results of the running batch and start the next one."""
        jobs, self.batch_jobs = self.batch_jobs, []
        self.busy_s += self.now - self.batch_started_at
        for job in jobs:
            attempt = job.work.attempt
            job.state = "held"
            self.queued_tokens -= job.tokens
            self.prefill_tokens_computed += job.tokens - job.cached
            self.prefill_tokens_cached += job.cached
            self.sequence += 1
            handle = f"{self.incarnation:x}-{self.sequence:x}"
            export = KvExport(
                self.address,
                handle,
                job.tokens,
                job.key,
                self.now + self.config.kv_lifetime_s,
            )
            self.results[handle] = HeldResult(job, export)
            self.handle_of[attempt] = handle
            self.set_timer(export.expires_at, "evict", handle)
            self.cache.store(self.now, job.prefixes)
            self.events.append(
                PrefillFinished(
                    self.now,
                    attempt,
                    export,
                    job.cached,
                    job.started_at - job.arrived_at,
                )
            )
        self.start_prefill_batch()
        self.start_change()

    def result_of(self, attempt: str) -> HeldResult | None:
        """Return the result that is kept for an attempt."""
        handle = self.handle_of.get(attempt)
        return self.results[handle] if handle is not None else None

    def export(self, now: float, handle: str) -> KvExport | None:
        """Return the result under a handle, or None once it is evicted."""
        self.run_until(now)
        held = self.results.get(handle)
        return held.export if held else None

    def release_export(self, now: float, handle: str) -> bool:
        """Free a result after its import; False if it was evicted before."""
        self.run_until(now)
        return self.drop_result(handle, None)

    def drop_result(self, handle: str, wasted_reason: str | None) -> bool:
        """Free a result, and count it as wasted if a reason is given."""
        held = self.results.pop(handle, None)
        if held is None:
            return False
        job = held.job
        attempt = job.work.attempt
        self.handle_of.pop(attempt, None)
        del self.jobs[attempt]
        if wasted_reason is not None:
            self.count_waste(attempt, job.tokens - job.cached, wasted_reason)
        self.free_pieces(attempt, job.pieces, job.started_at, job.key)
        self.start_prefill_batch()
        self.start_change()
        return True

    def count_waste(self, attempt: str, tokens: int, reason: str) -> None:
        """Count prefill work of no use."""
        self.prefill_tokens_wasted += tokens
        self.events.append(PrefillWasted(self.now, attempt, tokens, reason))

    def cancel_prefill(self, job: PrefillJob) -> None:
        """Drop a prefill in whatever state it is."""
        attempt = job.work.attempt
        if job.state == "held":
            self.drop_result(self.handle_of[attempt], "cancelled")
            return
        del self.jobs[attempt]
        self.queued_tokens -= job.tokens
        if job.state == "running":
            # The rest of the batch gains the time that the job still needed.
            whole_s = self.batch_done_at - self.batch_started_at
            left = (self.batch_done_at - self.now) / whole_s
            todo = job.tokens - job.cached
            spent = round(todo * (1.0 - left))
            self.prefill_tokens_computed += spent
            self.count_waste(attempt, spent, "cancelled")
            self.batch_jobs.remove(job)
            self.free_pieces(attempt, job.pieces, job.started_at, job.key)
            if self.batch_jobs:
                saved_s = todo * left / self.config.prefill_tokens_per_s
                saved_s *= self.slow_factor
                self.batch_done_at = max(self.now, self.batch_done_at - saved_s)
                self.set_timer(self.batch_done_at, "prefill", self.batch_done_at)
            else:
                self.busy_s += self.now - self.batch_started_at
        job.state = "cancelled"
        self.start_prefill_batch()
        self.start_change()

    # Decode.

    def reserve(self, now: float, work: Work, pieces: int) -> str | None:
        """Hold a slot and memory for ``lease_s``; a repeat renews the lease."""
        self.run_until(now)
        lease_until = self.now + self.config.lease_s
        stream = self.streams.get(work.attempt)
        if stream is not None:
            if stream.state == "reserved":
                stream.lease_until = lease_until
                self.set_timer(lease_until, "lease", stream)
            return None
        code = self.refusal_of(work, EndpointRole.DECODE)
        if code is None:
            code = self.hold(work, pieces, lease_until)
        if code is not None:
            return self.refuse(code)
        self.set_timer(lease_until, "lease", self.streams[work.attempt])
        return None

    def hold(self, work: Work, pieces: int, lease_until: float) -> str | None:
        """Take a slot and memory, or return ``full``."""
        if pieces > self.config.pieces_total:
            return "too_large"
        if len(self.streams) >= self.config.slots or pieces > self.pieces_free:
            return "full"
        self.pieces_free -= pieces
        self.streams[work.attempt] = Stream(work, pieces, self.now, lease_until)
        return None

    def decode(
        self,
        now: float,
        work: Work,
        export: KvExport | None,
        prompt_tokens: int,
        max_outputs: int,
        resume_from: int = 0,
    ) -> str | None:
        """Import the KV and make outputs ``resume_from`` to ``max_outputs - 1``.

        ``export`` is None if the source knows no such result. Without a
        reservation the engine takes a slot if it has one. An attempt that is
        already decoding goes on; see ``outputs_of`` for a reader that comes back.
        """
        self.run_until(now)
        stream = self.streams.get(work.attempt)
        if stream is not None and stream.state != "reserved":
            return None
        if work.attempt in self.finished:
            return None
        code = None
        if stream is None:
            code = self.refusal_of(work, EndpointRole.DECODE)
        elif self.config.checks_identity and work.identity != self.identity:
            code = "wrong_identity"
        if code is None and export is None:
            code = "kv_gone"
        if code is None:
            pieces = pieces_for(prompt_tokens + max_outputs, self.config.piece_tokens)
            if stream is None:
                code = self.hold(work, pieces, self.now)
            elif pieces > stream.pieces:
                if pieces - stream.pieces > self.pieces_free:
                    code = "full"
                else:
                    self.pieces_free -= pieces - stream.pieces
                    stream.pieces = pieces
        if code is not None:
            return self.refuse(code)
        assert export is not None
        self.count_start(work, "decode")
        stream = self.streams[work.attempt]
        stream.key = export.key
        stream.resume_from = min(resume_from, max_outputs)
        stream.total = max_outputs
        stream.state = "importing"
        transfer_s = (
            self.config.import_base_s + export.tokens / self.config.import_tokens_per_s
        )
        done_at = max(self.now, self.transfers_stalled_until) + transfer_s
        in_time = done_at <= export.expires_at
        at = done_at if in_time else max(self.now, export.expires_at)
        self.set_timer(at, "import", (stream, export, in_time))
        return None

    def finish_import(self, stream: Stream, export: KvExport, in_time: bool) -> None:
        """Let an imported stream join the batch at the next step."""
        if stream.state != "importing":
            return
        attempt = stream.work.attempt
        if not in_time:
            self.refusals["kv_gone"] += 1
            self.events.append(DecodeFailed(self.now, attempt, "kv_gone"))
            self.free_stream(stream)
            return
        self.events.append(KvImported(self.now, attempt, export.source, export.handle))
        if stream.resume_from >= stream.total:
            stream.first_at = self.now
            self.finish_stream(stream)
            return
        self.settle_steps()
        stream.state = "waiting"
        self.joining.append(stream)
        if not self.batch:
            self.step_at = self.now
            self.rebuild_batch()

    def next_stop(self) -> float | None:
        """Return the next step end at which the batch may change."""
        if not self.batch:
            return None
        if self.joining or self.fresh or self.changed:
            return self.step_at + self.step_s
        steps = self.steps_to_next_finish()
        return self.step_at + steps * self.step_s

    def steps_to_next_finish(self) -> int:
        """Return the number of steps until a stream of the batch is done."""
        heap = self.finish_heap
        while heap[0][2].state != "decoding":
            heapq.heappop(heap)
        return max(1, heap[0][0] - self.step)

    def run_steps(self) -> None:
        """Run the steps up to the next change of the batch."""
        steps = 1
        if not (self.joining or self.fresh or self.changed):
            steps = self.steps_to_next_finish()
        self.count_steps(steps)
        for stream in self.fresh:
            if stream.state == "decoding":
                stream.first_at = self.step_at
                self.events.append(FirstOutputMade(self.step_at, stream.work.attempt))
        self.fresh.clear()
        heap = self.finish_heap
        while heap and (heap[0][0] <= self.step or heap[0][2].state != "decoding"):
            stream = heapq.heappop(heap)[2]
            if stream.state == "decoding":
                self.finish_stream(stream)
        self.rebuild_batch()

    def count_steps(self, steps: int) -> None:
        """Account for whole steps of the batch as it is."""
        self.step += steps
        self.step_at += steps * self.step_s
        self.busy_s += steps * self.step_s
        self.outputs_made += steps * len(self.batch)

    def rebuild_batch(self) -> None:
        """Let waiting streams join, and set the length of the next steps."""
        for stream in self.joining:
            if stream.state == "waiting":
                stream.state = "decoding"
                stream.join_step = self.step
                self.batch[stream.work.attempt] = stream
                self.fresh.append(stream)
                self.sequence += 1
                finish_step = self.step + stream.total - stream.resume_from
                heapq.heappush(self.finish_heap, (finish_step, self.sequence, stream))
        self.joining.clear()
        self.changed = False
        self.step_s = self.slow_factor * (
            self.config.step_base_s + self.config.step_per_request_s * len(self.batch)
        )

    def finish_stream(self, stream: Stream) -> None:
        """Publish the end of a stream and free its memory."""
        attempt = stream.work.attempt
        outputs = stream.total - stream.resume_from
        interval_s = (self.now - stream.first_at) / max(1, outputs - 1)
        self.events.append(
            DecodeFinished(self.now, attempt, outputs, stream.first_at, interval_s)
        )
        self.finished[attempt] = FinishedStream(
            stream.key, stream.resume_from, stream.total
        )
        if len(self.finished) > FINISHED_KEPT:
            self.finished.popitem(last=False)
        self.free_stream(stream)

    def free_stream(self, stream: Stream) -> None:
        """Free the slot and the memory of a stream."""
        attempt = stream.work.attempt
        stream.state = "freed"
        del self.streams[attempt]
        if self.batch.pop(attempt, None) is not None:
            self.changed = True
            if not self.batch:
                self.finish_heap.clear()
                self.fresh.clear()
                if self.joining:
                    self.step_at = self.now
                    self.rebuild_batch()
        self.free_pieces(attempt, stream.pieces, stream.held_since, stream.key)
        self.start_change()

    def free_pieces(self, attempt: str, pieces: int, since: float, key: str) -> None:
        """Give memory back and account for the time it was held."""
        self.pieces_free += pieces
        held_s = self.now - since
        self.longest_hold_s = max(self.longest_hold_s, held_s)
        self.holds.append((attempt, key, since, self.now))
        self.events.append(MemoryFreed(self.now, attempt, pieces, held_s))

    def outputs_of(self, attempt: str) -> tuple[str, int, int, int] | None:
        """Return (answer key, first output, next output, total) of a decode.

        Output numbers from the first up to below the next exist as of the last
        ``advance``. None means that the engine knows no such decode.
        """
        stream = self.streams.get(attempt)
        if stream is None:
            done = self.finished.get(attempt)
            return (
                (done.key, done.resume_from, done.total, done.total) if done else None
            )
        if stream.state == "reserved":
            return None
        first = stream.resume_from
        made = 0
        if stream.state == "decoding":
            made = self.steps_done() - stream.join_step
        return stream.key, first, min(first + made, stream.total), stream.total

    def steps_done(self) -> int:
        """Return the number of steps that have ended by now."""
        if not self.batch or self.joining or self.fresh or self.changed:
            return self.step
        # All stops up to now are handled, so the step that ends at the next stop
        # has not ended, whatever the division rounds to.
        ended = int((self.now - self.step_at) / self.step_s + 1e-9)
        return self.step + max(0, min(ended, self.steps_to_next_finish() - 1))

    # Cancels, orders, leaving and faults.

    def cancel(self, now: float, attempt: str) -> None:
        """Drop all that is held for an attempt and refuse its later starts."""
        self.run_until(now)
        while self.tombstones:
            oldest, cancelled_at = next(iter(self.tombstones.items()))
            if cancelled_at + TOMBSTONE_S > self.now:
                break
            del self.tombstones[oldest]
        self.tombstones[attempt] = self.now
        job = self.jobs.get(attempt)
        if job is not None:
            self.cancel_prefill(job)
        stream = self.streams.get(attempt)
        if stream is not None:
            self.settle_steps()
            if stream.state != "freed":
                self.events.append(DecodeFailed(self.now, attempt, "cancelled"))
                self.free_stream(stream)

    def settle_steps(self) -> None:
        """Count the steps that have ended, before the batch changes early."""
        steps = self.steps_done() - self.step
        if steps:
            self.count_steps(steps)

    def order(
        self,
        now: float,
        order_id: str,
        kind: str,
        fencing: int,
        identity: Identity | None = None,
        role: EndpointRole | None = None,
    ) -> str | None:
        """Accept a ``load`` or ``role`` order, or refuse a stale fencing number.

        A repeat of an order gets its first answer. The change waits for running
        work, takes ``load_s``, and new work is refused as full until then.
        """
        self.run_until(now)
        if order_id in self.order_answers:
            return self.order_answers[order_id]
        code = None
        if fencing < self.highest_fencing:
            if self.config.rejects_stale_fencing:
                code = self.refuse("stale_fencing")
            else:
                self.stale_orders_applied += 1
        elif kind not in ("load", "role"):
            code = self.refuse("unknown_order")
        self.order_answers[order_id] = code
        if code is not None:
            return code
        self.highest_fencing = max(self.highest_fencing, fencing)
        wanted_identity, wanted_role = self.pending_change or (self.identity, self.role)
        if kind == "load" and identity is not None:
            wanted_identity = identity
        if kind == "role" and role is not None:
            wanted_role = role
        if (wanted_identity, wanted_role) == (self.identity, self.role):
            if not self.change_started:
                self.pending_change = None
        else:
            self.pending_change = (wanted_identity, wanted_role)
            self.start_change()
        return None

    def start_change(self) -> None:
        """Start a pending change once no work is left."""
        if self.pending_change is None or self.change_started:
            return
        if self.streams or self.jobs:
            return
        self.change_started = True
        self.set_timer(self.now + self.config.load_s * self.slow_factor, "change", None)

    def apply_change(self) -> None:
        """Serve what the last accepted order asked for."""
        self.change_started = False
        if self.pending_change is None:
            return
        identity, self.role = self.pending_change
        self.pending_change = None
        self.orders_applied += 1
        if identity != self.identity:
            # KV of other weights is of no use.
            self.cache.clear(self.now)
        self.identity = identity

    def leave(self, now: float) -> None:
        """Announce that the engine is leaving; running work goes on."""
        self.run_until(now)
        if self.leaving_since is None:
            self.leaving_since = self.now

    def set_slow(self, now: float, factor: float) -> None:
        """Make later prefills and steps ``factor`` times as long."""
        self.run_until(now)
        self.settle_steps()
        self.slow_factor = factor
        self.changed = True

    def stall_transfers(self, now: float, seconds: float) -> None:
        """Let no KV transfer that starts from now on end within ``seconds``."""
        self.transfers_stalled_until = now + seconds

    # Prefix cache.

    @property
    def cache_seq(self) -> int:
        """The number of the newest cache event."""
        return self.cache.seq

    @property
    def cache_events(self) -> deque[tuple[float, CacheEvent]]:
        """The newest cache events with their times."""
        return self.cache.events

    def cache_changes(
        self, now: float, after: int
    ) -> tuple[tuple[CacheEvent, ...], int]:
        """Return the visible cache events after a number, and the oldest kept."""
        self.run_until(now)
        return self.cache.changes(now, after)

    # Reports and counters.

    def load_now(self) -> tuple[int, int, int, tuple[WorkItem, ...]]:
        """Return busy slots, queued tokens, free pieces and the work list."""
        work = [
            WorkItem(attempt, stream.work.owner, stream.state)
            for attempt, stream in self.streams.items()
        ]
        work.extend(
            WorkItem(attempt, job.work.owner, job.state)
            for attempt, job in self.jobs.items()
        )
        return len(work), self.queued_tokens, self.pieces_free, tuple(work)

    def take_snapshot(self, at: float) -> None:
        """Keep the load as of a time for reports that lag."""
        self.snapshots.append((at, self.load_now()))
        while len(self.snapshots) > 1 and (
            self.snapshots[1][0] <= at - self.config.report_lag_s
        ):
            self.snapshots.popleft()

    def report(self, now: float) -> EndpointReported:
        """Return a load report. The load lags; who and what it serves does not."""
        self.run_until(now)
        if self.config.report_lag_s > 0 and self.snapshots:
            load = self.snapshots[0][1]
            for at, candidate in self.snapshots:
                if at <= now - self.config.report_lag_s:
                    load = candidate
        else:
            load = self.load_now()
        busy, queued_tokens, pieces_free, work = load
        slots = self.config.slots
        if self.role is EndpointRole.PREFILL:
            slots = self.config.prefill_batch_size
        return EndpointReported(
            address=self.address,
            incarnation=self.incarnation,
            identity=self.identity,
            role=self.role,
            slots=slots,
            busy=busy,
            queued_tokens=queued_tokens,
            pieces_total=self.config.pieces_total,
            pieces_free=pieces_free,
            leaving=self.leaving_since is not None,
            rejects_stale_fencing=self.config.rejects_stale_fencing,
            knows_operations=False,
            work=work,
            cache_seq=self.cache_seq,
        )

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values. Times are the model's."""
        return {
            "address": self.address,
            "incarnation": self.incarnation,
            "role": self.role.value,
            "prefill_tokens_computed": self.prefill_tokens_computed,
            "prefill_tokens_cached": self.prefill_tokens_cached,
            "prefill_tokens_wasted": self.prefill_tokens_wasted,
            "outputs_made": self.outputs_made,
            "busy_s": self.busy_s,
            "served": [
                {"identity": identity._asdict(), "kind": kind, "count": count}
                for (identity, kind), count in self.served.items()
            ],
            "served_unpinned": self.served_unpinned,
            "refusals": dict(self.refusals),
            "work_after_leaving_s": self.work_after_leaving_s,
            "late_work_after_leaving": self.late_work_after_leaving,
            "stale_orders_applied": self.stale_orders_applied,
            "orders_applied": self.orders_applied,
            "longest_hold_s": self.longest_hold_s,
            "holds": [
                {"attempt": attempt, "key": key, "since": since, "until": until}
                for attempt, key, since, until in self.holds
            ],
            "held": [
                {
                    "attempt": stream.work.attempt,
                    "host": stream.work.owner.host,
                    "incarnation": stream.work.owner.incarnation,
                    "since": stream.held_since,
                    "state": stream.state,
                }
                for stream in self.streams.values()
            ]
            + [
                {
                    "attempt": job.work.attempt,
                    "host": job.work.owner.host,
                    "incarnation": job.work.owner.incarnation,
                    "since": job.started_at,
                    "state": job.state,
                }
                for job in self.jobs.values()
                if job.state != "queued"
            ],
            "pieces_free": self.pieces_free,
            "pieces_total": self.config.pieces_total,
        }
