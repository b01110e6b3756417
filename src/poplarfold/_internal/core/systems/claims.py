"""At-most-once execution: of the claims on a key, the first in the log wins.

The fold of the stream ``claims`` is the same on every node. A node runs a
non-repeatable call only after it has read its own claim back from the log as the
first one. It reports "not run" only for a call that has ended, was never sent and
whose claim this node holds.
"""

import math
from functools import singledispatch
from typing import NamedTuple

from result import Err

from poplarfold._internal.core.claims_codec import (
    Claim,
    ClaimRow,
    Done,
    OutcomeUnknown,
    Release,
    decode_rows,
)
from poplarfold._internal.core.events import (
    CallEnded,
    CallPlaced,
    CheckpointsRead,
    ClaimFailed,
    ClaimLost,
    ClaimRequested,
    DrainRequested,
    EndpointLeaving,
    EndpointReported,
    LogAppended,
    LogAppendFailed,
    LogReadCompleted,
    LogReadFailed,
    NodePaused,
)
from poplarfold._internal.core.invariants import invariant
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.core.systems.claim_batches import (
    APPEND_INTERVAL_MAX_S,
    APPEND_TIMEOUT_S,
    APPENDS_IN_FLIGHT,
    append_batch,
    requeue,
    settle_append,
)
from poplarfold._internal.core.systems.claim_decisions import (
    end_wait,
    grant_claim,
    mismatch_error,
    outcome_without_claim,
    recheck_waiters,
    reject_timed_out,
    resolve_claimed_key,
    wait_for_outcome,
)
from poplarfold._internal.core.systems.claim_fold import fold_claim_record
from poplarfold._internal.core.systems.claim_state import (
    APPEND_INTERVAL_MIN_S,
    STREAM,
    Claims,
    PendingClaim,
    digest_of,
    drop_pending,
)
from poplarfold._internal.exceptions import OutcomeUnknownError

__all__ = ["Claims", "next_wakeup", "on_event", "on_tick", "outcome_without_claim"]

# A call waits this long for its claim, and is then rejected as if the log were down.
CLAIM_TIMEOUT_S = 3.0
# A retry waits this long for the outcome of a call in progress. The outcome is
# recorded after the first caller has its answer, so without the wait a prompt retry
# through another node would be rejected as "in progress".
OUTCOME_WAIT_S = 1.0
# A larger answer is recorded without its body, so a retry learns only that the
# call is done. The log accepts records of at most 1 MB.
ANSWER_MAX_BYTES = 700_000
# A draining node stops after this time even if outcomes are still to be recorded.
DRAIN_WAIT_S = 30.0


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Read the stream, append queued operations and time out waiting calls."""
    part = state.part(Claims)
    part.reader.tick(state, now)
    for digest, pending in part.pending.rows():
        if now >= pending.since + CLAIM_TIMEOUT_S:
            reject_timed_out(state, part, digest, pending)
    for call_id, waiter in part.waiters.rows():
        if now >= waiter.since + OUTCOME_WAIT_S:
            end_wait(state, part, call_id, waiter)
    for record_id, row in part.appends.rows():
        settle_append(part, record_id, row, now)
    if part.queue and now >= part.append_at:
        append_batch(state, part, now)
    is_busy = part.queue or part.appends or part.held
    if is_busy and (part.stop_at is None or now < part.stop_at):
        state.stop_blockers.add(STREAM)
    else:
        state.stop_blockers.discard(STREAM)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next read, append or timeout."""
    part = state.part(Claims)
    times = [part.reader.due_at()]
    times.extend(p.since + CLAIM_TIMEOUT_S for p in part.pending.values())
    times.extend(w.since + OUTCOME_WAIT_S for w in part.waiters.values())
    times.extend(
        row.sent_at + APPEND_TIMEOUT_S
        for row in part.appends.values()
        if row.offset < 0 and row.unknown_since is None
    )
    if part.queue and len(part.appends) < APPENDS_IN_FLIGHT:
        times.append(part.append_at)
    if part.stop_at is not None and STREAM in state.stop_blockers:
        times.append(part.stop_at)
    time = min(times)
    return None if time == math.inf else time


@on_event.register
def _(event: ClaimRequested, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "claiming":
        return
    part = state.part(Claims)
    part.waiters.pop(event.call_id, None)
    arrival = call.arrival
    age_s = arrival.idempotency_age_s
    if age_s is not None and age_s > state.settings.claim_horizon_s:
        error = OutcomeUnknownError(
            "the idempotency key is older than the period for which claims are kept"
        )
        state.post(ClaimFailed(event.call_id, error))
        return
    digest = digest_of(arrival)
    waiting = part.pending.get(digest)
    if waiting is not None:
        if waiting.body_digest != arrival.body_digest:
            state.post(ClaimLost(event.call_id, mismatch_error()))
        else:
            wait_for_outcome(part, event.call_id, digest, now)
        return
    pending = PendingClaim(
        event.call_id, state.new_id("op"), arrival.body_digest, now, None
    )
    part.pending.put(digest, pending)
    row = part.rows.get(digest)
    if row is not None:
        resolve_claimed_key(state, part, digest, pending, row, now)
        return
    part.queue.append(Claim(digest, pending.operation_id, arrival.body_digest))


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    operation_support = state.part(Claims).operation_support
    operation_support[event.address] = (event.identity, event.knows_operations)


@on_event.register
def _(event: CallPlaced, state: NodeState, now: float) -> None:
    # Only the owner of a cell receives its endpoints' reports. Other nodes learn
    # from grants whether a service knows operations.
    call = state.calls.get(event.call_id)
    entry = state.entries.get(call.arrival.entry) if call else None
    if entry is not None and call is not None and call.operation_id is not None:
        address = event.placement.decode.address
        support = (entry.identity, event.placement.knows_operations)
        state.part(Claims).operation_support[address] = support


@on_event.register
def _(event: EndpointLeaving, state: NodeState, now: float) -> None:
    state.part(Claims).operation_support.pop(event.address, None)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    part = state.part(Claims)
    part.waiters.pop(event.call_id, None)
    for digest, pending in part.pending.rows():
        if pending.call_id == event.call_id:
            drop_pending(part, digest, pending)
    held = part.held.pop(event.call_id, None)
    if held is None:
        return
    if event.error is None:
        status, body = event.answer_status, event.answer_body
        if len(body) > ANSWER_MAX_BYTES:
            status, body = 0, b""
        part.queue.append(Done(held.digest, held.claim, status, body))
    elif event.sent:
        part.queue.append(OutcomeUnknown(held.digest, held.claim))
    else:
        part.queue.append(Release(held.digest, held.claim))
    outcome = part.queue[-1]
    if isinstance(outcome, Done | OutcomeUnknown):
        # A retry through this node gets the outcome before it is in the log. It is
        # kept apart from the fold, which has to be the same on all nodes.
        part.outcomes[held.digest] = outcome
        recheck_waiters(state, part, held.digest)


@on_event.register
def _(event: CheckpointsRead, state: NodeState, now: float) -> None:
    part = state.part(Claims)
    if not part.reader.needs_start:
        return
    checkpoint = event.claims
    if checkpoint is None:
        part.reader.start(0)
        return
    if checkpoint.offset <= part.reader.next_offset:
        part.reader.start(part.reader.next_offset)
        return
    rows: Table[bytes, ClaimRow] = Table()
    for body in checkpoint.bodies:
        decoded = decode_rows(body, now)
        if isinstance(decoded, Err):
            state.log("PF5203", None, kind=STREAM, problem=str(decoded.err_value))
            part.reader.start(part.reader.next_offset)
            return
        rows.update(decoded.ok_value)
    part.rows = rows
    part.reader.start(checkpoint.offset)
    for digest, pending in part.pending.rows():
        row = rows.get(digest)
        if row is None:
            continue
        drop_pending(part, digest, pending)
        part.pending.put(digest, pending)
        if row.operation_id == pending.operation_id and row.owner == state.me:
            grant_claim(state, part, digest, pending, row)
        else:
            resolve_claimed_key(state, part, digest, pending, row, now)


@on_event.register
def _(event: LogReadCompleted, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(Claims)
    records = part.reader.on_read(event, now, state)
    if records is None:
        return
    for record in records:
        fold_claim_record(state, part, record, now)
    for record_id, row in part.appends.rows():
        settle_append(part, record_id, row, now)


@on_event.register
def _(event: LogReadFailed, state: NodeState, now: float) -> None:
    if event.stream == STREAM:
        state.part(Claims).reader.on_failure(event, now, state)


@on_event.register
def _(event: NodePaused, state: NodeState, now: float) -> None:
    state.part(Claims).reader.request_read(now)


@on_event.register
def _(event: LogAppended, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(Claims)
    part.interval_s = max(APPEND_INTERVAL_MIN_S, part.interval_s * 0.8)
    part.reader.expect_record(event.offset, now)
    row = part.appends.get(event.record_id)
    if row is None:
        return
    if event.offset < part.reader.next_offset:
        # A checkpoint beyond this offset was adopted, so the record is not read.
        del part.appends[event.record_id]
        return
    part.appends.put(event.record_id, row._replace(offset=event.offset))


@on_event.register
def _(event: LogAppendFailed, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(Claims)
    row = part.appends.get(event.record_id)
    if row is None or row.offset >= 0:
        return
    part.interval_s = min(APPEND_INTERVAL_MAX_S, max(0.02, part.interval_s * 2))
    part.append_at = max(
        part.append_at, now + part.interval_s * (0.5 + state.rng.random())
    )
    if event.unknown:
        part.appends.put(event.record_id, row._replace(unknown_since=now))
        part.reader.request_read(now)
        return
    del part.appends[event.record_id]
    requeue(part, row)


@on_event.register
def _(event: DrainRequested, state: NodeState, now: float) -> None:
    part = state.part(Claims)
    if part.stop_at is None:
        part.stop_at = now + DRAIN_WAIT_S


@invariant("not-run-is-true")
def check_sent_calls_are_not_released(state: NodeState, now: float) -> str | None:
    """Check that the claim of a call that may have been sent is not released."""
    part = state.part(Claims)
    if part.reader.caught_up_at is None:
        return None
    for call_id, call in state.calls.items():
        is_open = call.phase == "running" or call.sent
        if not is_open or call.operation_id is None:
            continue
        held = part.held.get(call_id)
        if held is None:
            return f"call {call_id} may have been sent without a claim"
        row = part.rows.get(held.digest)
        if row is not None and row.claim != held.claim:
            return f"call {call_id} still runs after its claim was taken over"
    return None
