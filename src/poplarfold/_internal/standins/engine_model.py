"""Event-driven simulation of a model engine. The caller passes in the time.

``next_event_at`` returns the time of the next event inside the engine.
``advance`` moves the engine to a time and returns the events up to it. Methods
that start work first bring the engine up to date. A decode stream costs three
events whatever its number of outputs, because all steps between two changes of
the batch take equally long.

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
from poplarfold._internal.standins.engine_types import (
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
TOMBSTONE_LIFETIME_S = 300.0
MAX_FINISHED_STREAMS = 1024
MAX_HOLD_RECORDS = 4096
LEAVING_GRACE_S = 3.0


class EngineModel:
    """One engine process with its memory, queues, batch, cache and counters.

    Methods that start work return None, or the ``code`` with which the engine
    rejects it. Counters are plain attributes; ``counters`` returns them as JSON
    values.
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
        if config.report_lag_s > 0:
            self.sample_load(0.0)

    # Time.

    def next_event_at(self) -> float | None:
        """Return the time of the next event, or None when idle."""
        step_at = self.next_batch_change_at()
        if not self.timers:
            return step_at
        timer_at = self.timers[0][0]
        return timer_at if step_at is None or timer_at <= step_at else step_at

    def next_step_at(self) -> float | None:
        """Return when the current decode step ends, or None without a batch.

        Each stream of the batch has a new output at that time.
        """
        if not self.batch:
            return None
        steps = self.steps_done() - self.step + 1
        return self.step_at + steps * self.step_s

    def advance(self, now: float) -> list[EngineEvent]:
        """Advance the engine to ``now`` and return the events in order.

        A time before the last one changes nothing.
        """
        self.run_until(now)
        events, self.events = self.events, []
        return events

    def run_until(self, now: float) -> None:
        """Handle all events up to ``now`` and record the load for reports."""
        lag = self.config.report_lag_s
        if lag > 0 and now > self.now:
            last = floor(now / REPORT_PERIOD_S)
            if last > self.last_sample_number:
                first = floor((now - lag) / REPORT_PERIOD_S)
                for number in range(max(first, self.last_sample_number + 1), last + 1):
                    self.handle_until(number * REPORT_PERIOD_S)
                    self.sample_load(number * REPORT_PERIOD_S)
                self.last_sample_number = last
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
        """Call ``on_timer`` with ``kind`` and ``subject`` at a time."""
        self.sequence += 1
        heapq.heappush(self.timers, (at, self.sequence, kind, subject))

    def on_timer(self, kind: str, subject: object) -> None:
        """Handle a timer. It does nothing if its subject has changed since."""
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

    # Checks for all kinds of work.

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

    def count_start(self, work: Work, kind: str) -> None:
        """Count started work under the identity that the engine has loaded."""
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

        ``key`` is the answer key, which is transferred with the KV. ``prefixes``
        are digests of the prompt's prefixes, the shortest first, one per block of
        tokens. Queuing the same attempt again has no effect.
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
        """Start a batch of the most urgent queued prefills if the engine is idle.

        A batch is limited by the token budget, the batch size and the free memory.
        A prompt above the token budget runs in a batch of its own.
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
            uncached_tokens = job.tokens - cached
            if total and total + uncached_tokens > config.prefill_batch_tokens:
                break
            if job.pieces > self.pieces_free:
                break
            heapq.heappop(self.queue)
            total += uncached_tokens
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
        """Export the results of the running batch and start the next one."""
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
            self.handles_by_attempt[attempt] = handle
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
        """Return the result held for an attempt, or None."""
        handle = self.handles_by_attempt.get(attempt)
        return self.results[handle] if handle is not None else None

    def export(self, now: float, handle: str) -> KvExport | None:
        """Return the result with a handle, or None once it is evicted."""
        self.run_until(now)
        held = self.results.get(handle)
        return held.export if held else None

    def release_export(self, now: float, handle: str) -> bool:
        """Free an imported result. Return False if it was already evicted."""
        self.run_until(now)
        return self.drop_result(handle, None)

    def drop_result(self, handle: str, wasted_reason: str | None) -> bool:
        """Free a result and, if a reason is given, count it as wasted.

        Returns False if there is no such result.
        """
        held = self.results.pop(handle, None)
        if held is None:
            return False
        job = held.job
        attempt = job.work.attempt
        self.handles_by_attempt.pop(attempt, None)
        del self.jobs[attempt]
        if wasted_reason is not None:
            self.count_waste(attempt, job.tokens - job.cached, wasted_reason)
        self.free_pieces(attempt, job.pieces, job.started_at, job.key)
        self.start_prefill_batch()
        self.start_change()
        return True

    def count_waste(self, attempt: str, tokens: int, reason: str) -> None:
        """Count wasted prefill tokens and emit ``PrefillWasted``."""
        self.prefill_tokens_wasted += tokens
        self.events.append(PrefillWasted(self.now, attempt, tokens, reason))

    def cancel_prefill(self, job: PrefillJob) -> None:
        """Cancel a queued or running prefill, or free its held result."""
        attempt = job.work.attempt
        if job.state == "held":
            self.drop_result(self.handles_by_attempt[attempt], "cancelled")
            return
        del self.jobs[attempt]
        self.queued_tokens -= job.tokens
        if job.state == "running":
            # The batch ends earlier by the time that the job still needed.
            batch_s = self.batch_done_at - self.batch_started_at
            remaining = (self.batch_done_at - self.now) / batch_s
            uncached_tokens = job.tokens - job.cached
            computed_tokens = round(uncached_tokens * (1.0 - remaining))
            self.prefill_tokens_computed += computed_tokens
            self.count_waste(attempt, computed_tokens, "cancelled")
            self.batch_jobs.remove(job)
            self.free_pieces(attempt, job.pieces, job.started_at, job.key)
            if self.batch_jobs:
                saved_s = uncached_tokens * remaining / self.config.prefill_tokens_per_s
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
        """Reserve a slot and memory for ``lease_s``. A repeat renews the lease."""
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
            code = self.allocate(work, pieces, lease_until)
        if code is not None:
            return self.refuse(code)
        self.set_timer(lease_until, "lease", self.streams[work.attempt])
        return None

    def allocate(self, work: Work, pieces: int, lease_until: float) -> str | None:
        """Allocate a slot and memory, or return ``too_large`` or ``full``."""
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

        ``export`` is the KV that the source holds for this call, or None if it holds
        none. Without a reservation the engine allocates a slot if one is free. An
        attempt that is already decoding continues unchanged; a reader that reconnects
        uses ``outputs_of``.
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
                code = self.allocate(work, pieces, self.now)
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
        """Add an imported stream to the batch from the next step on.

        ``in_time`` is False if the result expired before the transfer ended.
        """
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
        self.count_ended_steps()
        stream.state = "waiting"
        self.waiting_streams.append(stream)
        if not self.batch:
            self.step_at = self.now
            self.rebuild_batch()

    def next_batch_change_at(self) -> float | None:
        """Return when the batch may next change, which is always the end of a step."""
        if not self.batch:
            return None
        if self.waiting_streams or self.awaiting_first_output or self.batch_changed:
            return self.step_at + self.step_s
        steps = self.steps_to_next_finish()
        return self.step_at + steps * self.step_s

    def steps_to_next_finish(self) -> int:
        """Return the number of steps until the first stream of the batch ends."""
        heap = self.finish_heap
        while heap[0][2].state != "decoding":
            heapq.heappop(heap)
        return max(1, heap[0][0] - self.step)

    def run_steps(self) -> None:
        """Run all steps up to the next change of the batch."""
        steps = 1
        if not (
            self.waiting_streams or self.awaiting_first_output or self.batch_changed
        ):
            steps = self.steps_to_next_finish()
        self.count_steps(steps)
        for stream in self.awaiting_first_output:
            if stream.state == "decoding":
                stream.first_at = self.step_at
                self.events.append(FirstOutputMade(self.step_at, stream.work.attempt))
        self.awaiting_first_output.clear()
        heap = self.finish_heap
        while heap and (heap[0][0] <= self.step or heap[0][2].state != "decoding"):
            stream = heapq.heappop(heap)[2]
            if stream.state == "decoding":
                self.finish_stream(stream)
        self.rebuild_batch()

    def count_steps(self, steps: int) -> None:
        """Add ended steps of the unchanged batch to the counters."""
        self.step += steps
        self.step_at += steps * self.step_s
        self.busy_s += steps * self.step_s
        self.outputs_made += steps * len(self.batch)

    def rebuild_batch(self) -> None:
        """Add waiting streams to the batch and set the length of the next steps."""
        for stream in self.waiting_streams:
            if stream.state == "waiting":
                stream.state = "decoding"
                stream.join_step = self.step
                self.batch[stream.work.attempt] = stream
                self.awaiting_first_output.append(stream)
                self.sequence += 1
                finish_step = self.step + stream.total - stream.resume_from
                heapq.heappush(self.finish_heap, (finish_step, self.sequence, stream))
        self.waiting_streams.clear()
        self.batch_changed = False
        self.step_s = self.slow_factor * (
            self.config.step_base_s + self.config.step_per_request_s * len(self.batch)
        )

    def finish_stream(self, stream: Stream) -> None:
        """Emit ``DecodeFinished`` for a stream and free its memory."""
        attempt = stream.work.attempt
        outputs = stream.total - stream.resume_from
        interval_s = (self.now - stream.first_at) / max(1, outputs - 1)
        self.events.append(
            DecodeFinished(self.now, attempt, outputs, stream.first_at, interval_s)
        )
        self.finished[attempt] = FinishedStream(
            stream.key, stream.resume_from, stream.total
        )
        if len(self.finished) > MAX_FINISHED_STREAMS:
            self.finished.popitem(last=False)
        self.free_stream(stream)

    def free_stream(self, stream: Stream) -> None:
        """Free the slot and the memory of a stream."""
        attempt = stream.work.attempt
        stream.state = "freed"
        del self.streams[attempt]
        if self.batch.pop(attempt, None) is not None:
            self.batch_changed = True
            if not self.batch:
                self.finish_heap.clear()
                self.awaiting_first_output.clear()
                if self.waiting_streams:
                    self.step_at = self.now
                    self.rebuild_batch()
        self.free_pieces(attempt, stream.pieces, stream.held_since, stream.key)
        self.start_change()

    def free_pieces(self, attempt: str, pieces: int, since: float, key: str) -> None:
        """Free memory and record how long it was held."""
        self.pieces_free += pieces
        held_s = self.now - since
        self.longest_hold_s = max(self.longest_hold_s, held_s)
        self.holds.append((attempt, key, since, self.now))
        self.events.append(MemoryFreed(self.now, attempt, pieces, held_s))

    def outputs_of(self, attempt: str) -> tuple[str, int, int, int] | None:
        """Return (answer key, first output, next output, total) of a decode.

        As of the last ``advance``, the outputs from the first up to, but not
        including, the next exist. Returns None for an unknown decode.
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
        if (
            not self.batch
            or self.waiting_streams
            or self.awaiting_first_output
            or self.batch_changed
        ):
            return self.step
        # All batch changes up to now are handled, so the step that ends at the next
        # change has not ended yet, even if the division rounds up to it.
        ended = int((self.now - self.step_at) / self.step_s + 1e-9)
        return self.step + max(0, min(ended, self.steps_to_next_finish() - 1))

    # Cancellation, orders, leaving and faults.

    def cancel(self, now: float, attempt: str) -> None:
        """Free everything held for an attempt and reject its later starts."""
        self.run_until(now)
        while self.tombstones:
            oldest, cancelled_at = next(iter(self.tombstones.items()))
            if cancelled_at + TOMBSTONE_LIFETIME_S > self.now:
                break
            del self.tombstones[oldest]
        self.tombstones[attempt] = self.now
        job = self.jobs.get(attempt)
        if job is not None:
            self.cancel_prefill(job)
        stream = self.streams.get(attempt)
        if stream is not None:
            self.count_ended_steps()
            if stream.state != "freed":
                self.events.append(DecodeFailed(self.now, attempt, "cancelled"))
                self.free_stream(stream)

    def count_ended_steps(self) -> None:
        """Count the ended steps before the batch changes ahead of schedule."""
        steps = self.steps_done() - self.step
        if steps:
            self.count_steps(steps)

    def accept_order(
        self,
        now: float,
        order_id: str,
        kind: str,
        fencing: int,
        identity: Identity | None = None,
        role: EndpointRole | None = None,
    ) -> str | None:
        """Accept a ``load`` or ``role`` order, or reject a stale fencing number.

        A repeated order gets the first answer again. The change starts once running
        work has ended and takes ``load_duration_s``. Until then new work is rejected as
        full.
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
        target_identity, target_role = self.pending_change or (self.identity, self.role)
        if kind == "load" and identity is not None:
            target_identity = identity
        if kind == "role" and role is not None:
            target_role = role
        if (target_identity, target_role) == (self.identity, self.role):
            if not self.change_started:
                self.pending_change = None
        else:
            self.pending_change = (target_identity, target_role)
            self.start_change()
        return None

    def start_change(self) -> None:
        """Start the pending change if no work is left."""
        if self.pending_change is None or self.change_started:
            return
        if self.streams or self.jobs:
            return
        self.change_started = True
        self.set_timer(
            self.now + self.config.load_duration_s * self.slow_factor, "change", None
        )

    def apply_change(self) -> None:
        """Switch to the identity and role of the last accepted order."""
        self.change_started = False
        if self.pending_change is None:
            return
        identity, self.role = self.pending_change
        self.pending_change = None
        self.orders_applied += 1
        if identity != self.identity:
            # KV computed with other weights cannot be used.
            self.cache.clear(self.now)
        self.identity = identity

    def start_leaving(self, now: float) -> None:
        """Report the engine as leaving from now on. Running work continues."""
        self.run_until(now)
        if self.leaving_since is None:
            self.leaving_since = self.now

    def set_slow_factor(self, now: float, factor: float) -> None:
        """Make later prefills and decode steps ``factor`` times as long."""
        self.run_until(now)
        self.count_ended_steps()
        self.slow_factor = factor
        self.batch_changed = True

    def stall_transfers(self, now: float, seconds: float) -> None:
        """Delay KV transfers that start from now on until ``seconds`` have passed."""
        self.transfers_stalled_until = now + seconds

    # Prefix cache.

    @property
    def cache_seq(self) -> int:
        """The number of the newest cache event."""
        return self.cache.seq

    @property
    def cache_events(self) -> deque[tuple[float, CacheEvent]]:
        """The newest cache events, each with its time."""
        return self.cache.events

    def cache_changes(
        self, now: float, after: int
    ) -> tuple[tuple[CacheEvent, ...], int]:
        """Return the visible events after ``after`` and the oldest kept number."""
        self.run_until(now)
        return self.cache.changes(now, after)

    def current_load(self) -> tuple[int, int, int, tuple[WorkItem, ...]]:
        """Return the busy slots, queued tokens, free pieces and list of work."""
        work = [
            WorkItem(attempt, stream.work.owner, stream.state)
            for attempt, stream in self.streams.items()
        ]
        work.extend(
            WorkItem(attempt, job.work.owner, job.state)
            for attempt, job in self.jobs.items()
        )
        return len(work), self.queued_tokens, self.pieces_free, tuple(work)

    def sample_load(self, at: float) -> None:
        """Record the load at a time for delayed reports."""
        self.load_samples.append((at, self.current_load()))
        while len(self.load_samples) > 1 and (
            self.load_samples[1][0] <= at - self.config.report_lag_s
        ):
            self.load_samples.popleft()

    def report(self, now: float) -> EndpointReported:
        """Return a load report.

        The load is ``report_lag_s`` old; address, identity and role are current.
        """
        self.run_until(now)
        if self.config.report_lag_s > 0 and self.load_samples:
            load = self.load_samples[0][1]
            for at, candidate in self.load_samples:
                if at <= now - self.config.report_lag_s:
                    load = candidate
        else:
            load = self.current_load()
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
        """Return all counters as JSON values. Times are on the model's clock."""
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
