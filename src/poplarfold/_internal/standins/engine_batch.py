"""The batch of a model engine's decode streams, and its steps."""

import heapq

from poplarfold._internal.standins.engine_events import DecodeFinished, FirstOutputMade
from poplarfold._internal.standins.engine_orders import start_change
from poplarfold._internal.standins.engine_state import EngineState
from poplarfold._internal.standins.engine_types import FinishedStream, Stream

__all__ = [
    "count_ended_steps",
    "finish_stream",
    "free_stream",
    "next_batch_change_at",
    "next_step_at",
    "rebuild_batch",
    "run_steps",
    "steps_done",
]

MAX_FINISHED_STREAMS = 1024


def next_step_at(engine: EngineState) -> float | None:
    """Return when the current decode step ends, or None without a batch."""
    if not engine.batch:
        return None
    steps = steps_done(engine) - engine.step + 1
    return engine.step_at + steps * engine.step_s


def steps_done(engine: EngineState) -> int:
    """Return the number of steps that have ended by now."""
    if (
        not engine.batch
        or engine.waiting_streams
        or engine.awaiting_first_output
        or engine.batch_changed
    ):
        return engine.step
    # All batch changes up to now are handled, so the step that ends at the next
    # change has not ended yet, even if the division rounds up to it.
    ended = int((engine.now - engine.step_at) / engine.step_s + 1e-9)
    return engine.step + max(0, min(ended, steps_to_next_finish(engine) - 1))


def next_batch_change_at(engine: EngineState) -> float | None:
    """Return when the batch may next change, which is always the end of a step."""
    if not engine.batch:
        return None
    if engine.waiting_streams or engine.awaiting_first_output or engine.batch_changed:
        return engine.step_at + engine.step_s
    steps = steps_to_next_finish(engine)
    return engine.step_at + steps * engine.step_s


def steps_to_next_finish(engine: EngineState) -> int:
    """Return the number of steps until the first stream of the batch ends."""
    heap = engine.finish_heap
    while heap[0][2].state != "decoding":
        heapq.heappop(heap)
    return max(1, heap[0][0] - engine.step)


def run_steps(engine: EngineState) -> None:
    """Run all steps up to the next change of the batch."""
    steps = 1
    if not (
        engine.waiting_streams or engine.awaiting_first_output or engine.batch_changed
    ):
        steps = steps_to_next_finish(engine)
    count_steps(engine, steps)
    for stream in engine.awaiting_first_output:
        if stream.state == "decoding":
            stream.first_at = engine.step_at
            engine.events.append(FirstOutputMade(engine.step_at, stream.work.attempt))
    engine.awaiting_first_output.clear()
    heap = engine.finish_heap
    while heap and (heap[0][0] <= engine.step or heap[0][2].state != "decoding"):
        stream = heapq.heappop(heap)[2]
        if stream.state == "decoding":
            finish_stream(engine, stream)
    rebuild_batch(engine)


def count_steps(engine: EngineState, steps: int) -> None:
    """Add ended steps of the unchanged batch to the counters."""
    engine.step += steps
    engine.step_at += steps * engine.step_s
    engine.busy_s += steps * engine.step_s
    engine.outputs_made += steps * len(engine.batch)


def count_ended_steps(engine: EngineState) -> None:
    """Count the ended steps before the batch changes ahead of schedule."""
    steps = steps_done(engine) - engine.step
    if steps:
        count_steps(engine, steps)


def rebuild_batch(engine: EngineState) -> None:
    """Add waiting streams to the batch and set the length of the next steps."""
    for stream in engine.waiting_streams:
        if stream.state == "waiting":
            stream.state = "decoding"
            stream.join_step = engine.step
            engine.batch[stream.work.attempt] = stream
            engine.awaiting_first_output.append(stream)
            engine.sequence += 1
            finish_step = engine.step + stream.total - stream.resume_from
            heapq.heappush(engine.finish_heap, (finish_step, engine.sequence, stream))
    engine.waiting_streams.clear()
    engine.batch_changed = False
    engine.step_s = engine.slow_factor * (
        engine.config.step_base_s + engine.config.step_per_request_s * len(engine.batch)
    )


def finish_stream(engine: EngineState, stream: Stream) -> None:
    """Emit ``DecodeFinished`` for a stream and free its memory."""
    attempt = stream.work.attempt
    outputs = stream.total - stream.resume_from
    interval_s = (engine.now - stream.first_at) / max(1, outputs - 1)
    engine.events.append(
        DecodeFinished(engine.now, attempt, outputs, stream.first_at, interval_s)
    )
    engine.finished[attempt] = FinishedStream(
        stream.key, stream.resume_from, stream.total
    )
    if len(engine.finished) > MAX_FINISHED_STREAMS:
        engine.finished.popitem(last=False)
    free_stream(engine, stream)


def free_stream(engine: EngineState, stream: Stream) -> None:
    """Free the slot and the memory of a stream."""
    attempt = stream.work.attempt
    stream.state = "freed"
    del engine.streams[attempt]
    if engine.batch.pop(attempt, None) is not None:
        engine.batch_changed = True
        if not engine.batch:
            engine.finish_heap.clear()
            engine.awaiting_first_output.clear()
            if engine.waiting_streams:
                engine.step_at = engine.now
                rebuild_batch(engine)
    engine.free_pieces(attempt, stream.pieces, stream.held_since, stream.key)
    start_change(engine)
