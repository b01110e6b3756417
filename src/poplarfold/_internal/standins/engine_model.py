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
from collections import deque
from math import floor

from poplarfold._internal.core.events import CacheEvent, EndpointReported, WorkItem
from poplarfold._internal.core.model import EndpointRole, Identity
from poplarfold._internal.standins import (
    engine_batch,
    engine_decode,
    engine_orders,
    engine_prefill,
    engine_reports,
)
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
from poplarfold._internal.standins.engine_state import EngineState
from poplarfold._internal.standins.engine_types import (
    EngineConfig,
    HeldResult,
    KvExport,
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


class EngineModel(EngineState):
    """One engine process with its memory, queues, batch, cache and counters.

    Methods that start work return None, or the ``code`` with which the engine
    rejects it. Counters are plain attributes; ``counters`` returns them as JSON
    values.
    """

    def __init__(self, config: EngineConfig) -> None:
        super().__init__(config)
        if config.report_lag_s > 0:
            engine_reports.sample_load(self, 0.0)

    # Time.

    def next_event_at(self) -> float | None:
        """Return the time of the next event, or None when idle."""
        step_at = engine_batch.next_batch_change_at(self)
        if not self.timers:
            return step_at
        timer_at = self.timers[0][0]
        return timer_at if step_at is None or timer_at <= step_at else step_at

    def next_step_at(self) -> float | None:
        """Return when the current decode step ends, or None without a batch.

        Each stream of the batch has a new output at that time.
        """
        return engine_batch.next_step_at(self)

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
                    engine_reports.sample_load(self, number * REPORT_PERIOD_S)
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
                engine_batch.run_steps(self)
        self.now = max(self.now, now)

    def on_timer(self, kind: str, subject: object) -> None:
        """Handle a timer. It does nothing if its subject has changed since."""
        if kind == "prefill":
            if subject == self.batch_done_at and self.batch_jobs:
                engine_prefill.finish_prefill_batch(self)
        elif kind == "evict":
            assert isinstance(subject, str)
            engine_prefill.drop_result(self, subject, "evicted")
        elif kind == "lease":
            assert isinstance(subject, Stream)
            if subject.state == "reserved" and subject.lease_until <= self.now:
                self.events.append(LeaseExpired(self.now, subject.work.attempt))
                engine_batch.free_stream(self, subject)
        elif kind == "import":
            assert isinstance(subject, tuple)
            engine_decode.finish_import(self, *subject)
        elif kind == "change":
            engine_orders.apply_change(self)

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
        return engine_prefill.queue_prefill(self, work, tokens, key, prefixes)

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
        return engine_prefill.drop_result(self, handle, None)

    # Decode.

    def reserve(self, now: float, work: Work, pieces: int) -> str | None:
        """Reserve a slot and memory for ``lease_s``. A repeat renews the lease."""
        self.run_until(now)
        return engine_decode.reserve(self, work, pieces)

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
        return engine_decode.decode(
            self, work, export, prompt_tokens, max_outputs, resume_from
        )

    def outputs_of(self, attempt: str) -> tuple[str, int, int, int] | None:
        """Return (answer key, first output, next output, total) of a decode.

        As of the last ``advance``, the outputs from the first up to, but not
        including, the next exist. Returns None for an unknown decode.
        """
        return engine_decode.outputs_of(self, attempt)

    def steps_done(self) -> int:
        """Return the number of steps that have ended by now."""
        return engine_batch.steps_done(self)

    # Cancellation, orders, leaving and faults.

    def cancel(self, now: float, attempt: str) -> None:
        """Free everything held for an attempt and reject its later starts."""
        self.run_until(now)
        self.add_tombstone(attempt)
        job = self.jobs.get(attempt)
        if job is not None:
            engine_prefill.cancel_prefill(self, job)
        stream = self.streams.get(attempt)
        if stream is not None:
            engine_batch.count_ended_steps(self)
            if stream.state != "freed":
                self.events.append(DecodeFailed(self.now, attempt, "cancelled"))
                engine_batch.free_stream(self, stream)

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
        return engine_orders.accept_order(self, order_id, kind, fencing, identity, role)

    def start_leaving(self, now: float) -> None:
        """Report the engine as leaving from now on. Running work continues."""
        self.run_until(now)
        if self.leaving_since is None:
            self.leaving_since = self.now

    def set_slow_factor(self, now: float, factor: float) -> None:
        """Make later prefills and decode steps ``factor`` times as long."""
        self.run_until(now)
        engine_batch.count_ended_steps(self)
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
        return engine_reports.current_load(self)

    def report(self, now: float) -> EndpointReported:
        """Return a load report.

        The load is ``report_lag_s`` old; address, identity and role are current.
        """
        self.run_until(now)
        return engine_reports.report(self, now)

    def counters(self) -> dict[str, object]:
        """Return all counters as JSON values. Times are on the model's clock."""
        return engine_reports.counters(self)
