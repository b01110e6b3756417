"""At most once: the first claim on a key, by offset in the log, wins.

The fold of the stream ``claims`` is the same on every node. A node runs a
non-repeatable call only after it has read its own claim back as the first one.
It says "not run" only for a call whose claim it holds, that it has ended and
never sent.
"""

import math
from functools import singledispatch
from hashlib import blake2b
from typing import NamedTuple

from result import Err

from poplarfold._internal.core.claims_codec import (
    Batch,
    Claim,
    ClaimRow,
    Done,
    Expire,
    Operation,
    Release,
    TakeOver,
    Unknown,
    decode_batch,
    decode_rows,
    encode_batch,
)
from poplarfold._internal.core.commands import AppendLog
from poplarfold._internal.core.events import (
    CallArrived,
    CallEnded,
    CheckpointsRead,
    ClaimLost,
    ClaimRefused,
    ClaimWanted,
    ClaimWon,
    DrainRequested,
    EndpointLeft,
    EndpointReported,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    LogRecord,
    NodePaused,
    Placed,
)
from poplarfold._internal.core.invariants import invariant
from poplarfold._internal.core.log_reader import StreamReader
from poplarfold._internal.core.model import HostKey, Identity
from poplarfold._internal.core.state import CallRow, NodeState, Table
from poplarfold._internal.core.systems import membership
from poplarfold._internal.exceptions import (
    CallInProgressError,
    IdempotencyMismatchError,
    LogUnavailableError,
    Outcome,
    OutcomeUnknownError,
    PoplarfoldError,
)

__all__ = ["Claims", "next_wakeup", "on_event", "on_tick", "outcome_of_unclaimed"]

STREAM = "claims"
READ_WAIT_S = 10.0
# A call waits this long for its claim; a log that is slower counts as down.
CLAIM_WAIT_S = 3.0
# A retry that meets a call in progress waits this long for its outcome. The
# outcome is recorded after the first caller has its answer, so that a prompt
# retry through another node would otherwise be told "in progress".
OUTCOME_WAIT_S = 1.0
BATCH_MAX_OPERATIONS = 500
BATCH_MAX_BYTES = 400_000
# A larger answer is recorded without its body: a retry learns only that the
# call is done. The log takes records of at most 1 MB.
ANSWER_MAX_BYTES = 700_000
APPENDS_IN_FLIGHT = 4
# The log takes several hundred appends a second in total; the nodes share this
# many, each up to its part, so that a burst is not refused.
FLEET_APPENDS_PER_S = 250.0
INTERVAL_MIN_S = 0.002
INTERVAL_MAX_S = 1.0
# An append without any answer for this long is settled by reading.
APPEND_TIMEOUT_S = 5.0
DRAIN_WAIT_S = 30.0


class PendingClaim(NamedTuple):
    """A call that waits for the fate of its claim."""

    call_id: str
    operation_id: str
    body_digest: str
    since: float
    takes_over: int | None = None


class Follower(NamedTuple):
    """A call that waits for the outcome of another call with its key."""

    digest: bytes
    since: float


class HeldClaim(NamedTuple):
    """A claim that this node has won for a call in progress."""

    digest: bytes
    claim: int


class AppendRow(NamedTuple):
    """A batch on its way into the log; ``doubt_since`` after a lost answer."""

    operations: tuple[Operation, ...]
    sent_at: float
    offset: int = -1
    doubt_since: float | None = None


class Claims:
    """The fold, this node's claims, and its batches."""

    def __init__(self) -> None:
        self.reader = StreamReader(STREAM, READ_WAIT_S)
        self.rows: Table[bytes, ClaimRow] = Table()
        self.expired_below = 0
        self.pending: Table[bytes, PendingClaim] = Table()
        self.followers: Table[str, Follower] = Table()
        self.held: Table[str, HeldClaim] = Table()
        # Outcomes of this node that it has not read back yet, by digest.
        self.outcomes: dict[bytes, Done | Unknown] = {}
        self.queue: list[Operation] = []
        self.appends: Table[str, AppendRow] = Table()
        self.append_at = 0.0
        self.interval_s = INTERVAL_MIN_S
        self.rules: dict[str, tuple[Identity, bool]] = {}
        self.stop_at: float | None = None


def key_digest(entry: str, account: str, key: str) -> bytes:
    """Return the digest of (entry, account, key) that claims are keyed by."""
    digest = blake2b(digest_size=16)
    for text in (entry, account, key):
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big") + data)
    return digest.digest()


def digest_of(arrival: CallArrived) -> bytes:
    return key_digest(arrival.entry, arrival.account, arrival.idempotency_key or "")


def outcome_of_unclaimed(state: NodeState, call: CallRow) -> Outcome:
    """Return what is known of a call that ended before its claim was decided.

    The call itself is never sent: its claim, if the log holds it, is released
    when it is read. But another node may have claimed the key for an earlier
    request, and may run it after this node's last look at the log, so only the
    holder of the claim can say "not run".
    """
    part = state.part(Claims)
    row = part.rows.get(digest_of(call.arrival))
    is_done = row is not None and row.state == "done"
    return Outcome.DONE if is_done else Outcome.UNKNOWN


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Read on, append what waits, and refuse calls whose claim is late."""
    part = state.part(Claims)
    part.reader.tick(state, now)
    for digest, pending in part.pending.rows():
        if now >= pending.since + CLAIM_WAIT_S:
            refuse_late(state, part, digest, pending)
    for call_id, follower in part.followers.rows():
        if now >= follower.since + OUTCOME_WAIT_S:
            stop_following(state, part, call_id, follower)
    for record_id, row in part.appends.rows():
        settle_append(part, record_id, row, now)
    if part.queue and now >= part.append_at:
        append_batch(state, part, now)
    is_busy = part.queue or part.appends or part.held
    if is_busy and (part.stop_at is None or now < part.stop_at):
        state.stop_holds.add(STREAM)
    else:
        state.stop_holds.discard(STREAM)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next read, append or refusal."""
    part = state.part(Claims)
    times = [part.reader.due_at()]
    times.extend(p.since + CLAIM_WAIT_S for p in part.pending.values())
    times.extend(f.since + OUTCOME_WAIT_S for f in part.followers.values())
    times.extend(
        row.sent_at + APPEND_TIMEOUT_S
        for row in part.appends.values()
        if row.offset < 0 and row.doubt_since is None
    )
    if part.queue and len(part.appends) < APPENDS_IN_FLIGHT:
        times.append(part.append_at)
    if part.stop_at is not None and STREAM in state.stop_holds:
        times.append(part.stop_at)
    time = min(times)
    return None if time == math.inf else time


# Claims of calls.


@on_event.register
def _(event: ClaimWanted, state: NodeState, now: float) -> None:
    call = state.calls.get(event.call_id)
    if call is None or call.phase != "claiming":
        return
    part = state.part(Claims)
    part.followers.pop(event.call_id, None)
    arrival = call.arrival
    age_s = arrival.idempotency_age_s
    if age_s is not None and age_s > state.settings.claim_horizon_s:
        error = OutcomeUnknownError("the key is older than the record of calls")
        state.post(ClaimRefused(event.call_id, error))
        return
    digest = digest_of(arrival)
    waiting = part.pending.get(digest)
    if waiting is not None:
        if waiting.body_digest != arrival.body_digest:
            state.post(ClaimLost(event.call_id, mismatch_error()))
        else:
            follow(part, event.call_id, digest, now)
        return
    pending = PendingClaim(
        event.call_id, state.new_id("op"), arrival.body_digest, now, None
    )
    part.pending.put(digest, pending)
    row = part.rows.get(digest)
    if row is not None:
        decide(state, part, digest, pending, row, now)
        return
    part.queue.append(Claim(digest, pending.operation_id, arrival.body_digest))


def mismatch_error() -> PoplarfoldError:
    return IdempotencyMismatchError("the key was used with another request body")


def in_progress_error() -> PoplarfoldError:
    return CallInProgressError("another request with this key is running")


def follow(part: Claims, call_id: str, digest: bytes, now: float) -> None:
    """Let a call wait for the outcome of the call that holds its key."""
    part.followers.put(call_id, Follower(digest, now))


def stop_following(
    state: NodeState, part: Claims, call_id: str, follower: Follower
) -> None:
    """Tell a call that another is in progress, if that is still so."""
    del part.followers[call_id]
    row = part.rows.get(follower.digest)
    is_held = row is not None and row.state == "claimed"
    if row is not None and is_held and is_abandoned(state, row):
        is_held = False
    if is_held or follower.digest in part.pending:
        state.post(ClaimLost(call_id, in_progress_error()))
    else:
        state.post(ClaimWanted(call_id))


def wake_followers(state: NodeState, part: Claims, digest: bytes) -> None:
    """Look again at the claim of calls that wait for an outcome of this key."""
    for call_id, follower in part.followers.rows():
        if follower.digest == digest:
            state.post(ClaimWanted(call_id))


def decide(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow,
    now: float,
) -> None:
    """Answer a call whose key the log already holds."""
    early = part.outcomes.get(digest)
    if early is not None and early.claim == row.claim:
        row = with_outcome(row, early)
    lost: ClaimLost
    if row.body_digest != pending.body_digest:
        lost = ClaimLost(pending.call_id, mismatch_error())
    elif row.state == "done" and row.status == 0:
        error = OutcomeUnknownError("the call is done; its answer was not recorded")
        lost = ClaimLost(pending.call_id, error.with_outcome(Outcome.DONE))
    elif row.state == "done":
        lost = ClaimLost(pending.call_id, None, row.status, row.body)
    elif row.state == "claimed" and not is_abandoned(state, row):
        del part.pending[digest]
        follow(part, pending.call_id, digest, now)
        return
    elif may_repeat(state, part, pending.call_id):
        part.pending.put(digest, pending._replace(takes_over=row.claim))
        part.queue.append(TakeOver(digest, row.claim, pending.call_id))
        return
    else:
        text = "the call may have run, and its outcome cannot be told"
        lost = ClaimLost(pending.call_id, OutcomeUnknownError(text))
    del part.pending[digest]
    state.post(lost)


def is_abandoned(state: NodeState, row: ClaimRow) -> bool:
    """Return whether the owner of a claim is proved dead, not only silent."""
    if row.owner == state.me:
        return False
    return membership.is_dead(state, row.owner)


def may_repeat(state: NodeState, part: Claims, call_id: str) -> bool:
    """Return whether the service answers a repeated operation from its record.

    Refusing old fencing numbers is not enough to send an operation again: it
    stops a late send of the old owner, but not a second run after one that has
    already happened.
    """
    call = state.calls.get(call_id)
    entry = state.entries.get(call.arrival.entry) if call else None
    if entry is None:
        return False
    for service, _, knows_operations in state.settings.endpoint_rules:
        if service == entry.identity.service:
            return knows_operations
    known = [k for identity, k in part.rules.values() if identity == entry.identity]
    return bool(known) and all(known)


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    rules = state.part(Claims).rules
    rules[event.address] = (event.identity, event.knows_operations)


def refuse_late(
    state: NodeState, part: Claims, digest: bytes, pending: PendingClaim
) -> None:
    """Refuse a call whose claim the log has not decided in time."""
    drop_pending(part, digest, pending)
    call = state.calls.get(pending.call_id)
    if call is None:
        return
    error = LogUnavailableError("the log did not decide on the call's claim in time")
    outcome = outcome_of_unclaimed(state, call)
    if pending.takes_over is not None:
        outcome = Outcome.UNKNOWN
    state.post(ClaimRefused(pending.call_id, error.with_outcome(outcome)))


def drop_pending(part: Claims, digest: bytes, pending: PendingClaim) -> None:
    """Forget a waiting call and its claim, if that is still in the queue."""
    del part.pending[digest]
    part.queue = [o for o in part.queue if not is_claim_of(o, digest, pending)]


def is_claim_of(operation: Operation, digest: bytes, pending: PendingClaim) -> bool:
    if isinstance(operation, Claim):
        return operation.operation_id == pending.operation_id
    if isinstance(operation, TakeOver):
        return operation.digest == digest and operation.call_id == pending.call_id
    return False


@on_event.register
def _(event: Placed, state: NodeState, now: float) -> None:
    # Only the owner of a cell sees its endpoints' reports; others learn the
    # habits of a service from the grants they get.
    call = state.calls.get(event.call_id)
    entry = state.entries.get(call.arrival.entry) if call else None
    if entry is not None and call is not None and call.operation_id is not None:
        address = event.placement.decode.address
        rule = (entry.identity, event.placement.knows_operations)
        state.part(Claims).rules[address] = rule


@on_event.register
def _(event: EndpointLeft, state: NodeState, now: float) -> None:
    state.part(Claims).rules.pop(event.address, None)


@on_event.register
def _(event: CallEnded, state: NodeState, now: float) -> None:
    part = state.part(Claims)
    part.followers.pop(event.call_id, None)
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
        part.queue.append(Unknown(held.digest, held.claim))
    else:
        part.queue.append(Release(held.digest, held.claim))
    outcome = part.queue[-1]
    if isinstance(outcome, Done | Unknown):
        # A retry through this node sees the outcome before the log holds it.
        # The fold must not, since it has to be the same on all nodes.
        part.outcomes[held.digest] = outcome
        wake_followers(state, part, held.digest)


# The fold.


@on_event.register
def _(event: CheckpointsRead, state: NodeState, now: float) -> None:
    part = state.part(Claims)
    if not part.reader.is_waiting:
        return
    checkpoint = event.claims
    if checkpoint is None:
        part.reader.start(0)
        return
    if checkpoint.offset <= part.reader.next:
        part.reader.start(part.reader.next)
        return
    rows: Table[bytes, ClaimRow] = Table()
    for body in checkpoint.bodies:
        decoded = decode_rows(body, now)
        if isinstance(decoded, Err):
            state.log("PF5203", None, kind=STREAM, problem=str(decoded.err_value))
            part.reader.start(part.reader.next)
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
            win(state, part, digest, pending, row)
        else:
            decide(state, part, digest, pending, row, now)


@on_event.register
def _(event: LogRead, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(Claims)
    records = part.reader.on_read(event, now)
    if isinstance(records, Err):
        state.log("PF5005", None, stream=STREAM, problem=str(records.err_value))
        part.reader.is_waiting = True
        return
    for record in records.ok_value:
        fold_record(state, part, record, now)
    for record_id, row in part.appends.rows():
        settle_append(part, record_id, row, now)


@on_event.register
def _(event: LogReadFailed, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(Claims)
    if not part.reader.is_failing:
        state.log("PF5004", None, stream=STREAM, expired=event.expired)
    part.reader.on_failure(event, now, state)
    if event.expired and event.start == part.reader.next:
        # Records below the retention are gone: only a checkpoint can tell them.
        part.reader.is_waiting = True


@on_event.register
def _(event: NodePaused, state: NodeState, now: float) -> None:
    state.part(Claims).reader.refresh(now)


def fold_record(state: NodeState, part: Claims, record: LogRecord, now: float) -> None:
    """Apply one record. The rows must not depend on anything but the log."""
    part.appends.pop(record.record_id, None)
    decoded = decode_batch(record.data)
    if isinstance(decoded, Err):
        problem = str(decoded.err_value)
        state.log("PF5003", None, stream=STREAM, offset=record.offset, problem=problem)
        return
    owner, operations = decoded.ok_value
    for operation in operations:
        if isinstance(operation, Claim):
            fold_claim(state, part, operation, owner, record.offset, now)
        elif isinstance(operation, TakeOver):
            fold_takeover(state, part, operation, owner, record.offset, now)
        elif isinstance(operation, Expire):
            fold_expiry(part, operation)
        else:
            fold_outcome(part, operation, owner)
            wake_followers(state, part, operation.digest)


def fold_claim(
    state: NodeState,
    part: Claims,
    claim: Claim,
    owner: HostKey,
    offset: int,
    now: float,
) -> None:
    digest = claim.digest
    row = part.rows.get(digest)
    is_first = row is None
    if row is None:
        row = ClaimRow(
            claim.operation_id, claim.body_digest, owner, offset, offset, now
        )
        part.rows.put(digest, row)
    pending = part.pending.get(digest)
    is_awaited = pending is not None and pending.operation_id == claim.operation_id
    if is_first and owner == state.me and is_awaited and pending is not None:
        win(state, part, digest, pending, row)
    elif is_first and owner == state.me:
        # The call has ended, or this is a second copy after a lost answer.
        part.queue.append(Release(digest, offset))
    elif pending is not None and pending.takes_over is None:
        drop_pending(part, digest, pending)
        part.pending.put(digest, pending)
        decide(state, part, digest, pending, row, now)


def win(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow,
) -> None:
    del part.pending[digest]
    part.held.put(pending.call_id, HeldClaim(digest, row.claim))
    may_have_run = pending.takes_over is not None
    state.post(ClaimWon(pending.call_id, row.operation_id, row.claim, may_have_run))


def fold_takeover(
    state: NodeState,
    part: Claims,
    takeover: TakeOver,
    owner: HostKey,
    offset: int,
    now: float,
) -> None:
    digest = takeover.digest
    row = part.rows.get(digest)
    pending = part.pending.get(digest)
    if row is None or row.claim != takeover.claim or row.state == "done":
        if pending is not None and pending.takes_over is not None:
            if owner == state.me and pending.call_id == takeover.call_id:
                lose_takeover(state, part, digest, pending, row, now)
        return
    for call_id, held in part.held.rows():
        if held == HeldClaim(digest, row.claim):
            # Another node took this node for dead and continues the operation.
            del part.held[call_id]
            error = OutcomeUnknownError("another node has taken the call over")
            state.post(ClaimRefused(call_id, error))
    row = part.rows.put(
        digest, row._replace(owner=owner, claim=offset, state="claimed")
    )
    if owner != state.me:
        if pending is not None:
            lose_takeover(state, part, digest, pending, row, now)
    elif pending is not None and pending.call_id == takeover.call_id:
        win(state, part, digest, pending, row)
    else:
        # The call that wanted this has ended; the operation stays undecided.
        part.queue.append(Unknown(digest, offset))


def lose_takeover(
    state: NodeState,
    part: Claims,
    digest: bytes,
    pending: PendingClaim,
    row: ClaimRow | None,
    now: float,
) -> None:
    """Answer a call whose takeover came second."""
    drop_pending(part, digest, pending)
    if row is None:
        error: PoplarfoldError = OutcomeUnknownError("the claim has been released")
        state.post(ClaimLost(pending.call_id, error))
        return
    part.pending.put(digest, pending._replace(takes_over=None))
    decide(state, part, digest, pending, row, now)


def fold_outcome(
    part: Claims, operation: Release | Done | Unknown, owner: HostKey
) -> None:
    """Apply an outcome, which only the owner of the claim may record."""
    row = part.rows.get(operation.digest)
    early = part.outcomes.get(operation.digest)
    if early is not None and early.claim == operation.claim:
        del part.outcomes[operation.digest]
    if row is None or row.claim != operation.claim or row.owner != owner:
        return
    if isinstance(operation, Release):
        if row.state == "claimed":
            del part.rows[operation.digest]
        return
    part.rows.put(operation.digest, with_outcome(row, operation))


def with_outcome(row: ClaimRow, outcome: Done | Unknown) -> ClaimRow:
    """Return the row with its outcome; a whole answer is final."""
    if isinstance(outcome, Done):
        return row._replace(state="done", status=outcome.status, body=outcome.body)
    return row if row.state == "done" else row._replace(state="unknown")


def fold_expiry(part: Claims, expiry: Expire) -> None:
    part.expired_below = max(part.expired_below, expiry.below)
    for digest, row in part.rows.rows():
        if row.claim < expiry.below:
            del part.rows[digest]


# Batches.


def append_batch(state: NodeState, part: Claims, now: float) -> None:
    """Append what waits, within this node's part of the log's rate.

    The longer the interval, the more calls share one record, so the delay
    grows with the load and not with the number of calls.
    """
    if len(part.appends) >= APPENDS_IN_FLIGHT:
        return
    taken: list[Operation] = []
    size = 0
    for operation in part.queue[:BATCH_MAX_OPERATIONS]:
        cost = 64 + (len(operation.body) if isinstance(operation, Done) else 0)
        if taken and size + cost > BATCH_MAX_BYTES:
            break
        taken.append(operation)
        size += cost
    del part.queue[: len(taken)]
    record_id = state.new_id("cl")
    part.appends.put(record_id, AppendRow(tuple(taken), now))
    part.append_at = now + max(part.interval_s, fair_interval(state))
    data = encode_batch(Batch(state.me, tuple(taken)))
    state.emit(AppendLog(STREAM, record_id, data))


def fair_interval(state: NodeState) -> float:
    """Return the seconds between appends that this node's part allows."""
    nodes = len(membership.all_live_hosts(state))
    return min(INTERVAL_MAX_S, max(1, nodes) / FLEET_APPENDS_PER_S)


@on_event.register
def _(event: LogAppended, state: NodeState, now: float) -> None:
    if event.stream != STREAM:
        return
    part = state.part(Claims)
    part.interval_s = max(INTERVAL_MIN_S, part.interval_s * 0.8)
    part.reader.note_record(event.offset, now)
    row = part.appends.get(event.record_id)
    if row is None:
        return
    if event.offset < part.reader.next:
        # A checkpoint was adopted beyond it, so the fold will not show it.
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
    part.interval_s = min(INTERVAL_MAX_S, max(0.02, part.interval_s * 2))
    part.append_at = max(
        part.append_at, now + part.interval_s * (0.5 + state.rng.random())
    )
    if event.unknown:
        part.appends.put(event.record_id, row._replace(doubt_since=now))
        part.reader.refresh(now)
        return
    del part.appends[event.record_id]
    requeue(part, row)


def settle_append(part: Claims, record_id: str, row: AppendRow, now: float) -> None:
    """Append again what a read to the log's end does not show.

    A copy that turns up later is harmless: a second claim of an operation is
    not the first one, or is released when its owner reads it.
    """
    if row.offset >= 0:
        return
    if row.doubt_since is None:
        if now >= row.sent_at + APPEND_TIMEOUT_S:
            part.appends.put(record_id, row._replace(doubt_since=now))
            part.reader.refresh(now)
        return
    caught_up_at = part.reader.caught_up_at
    if caught_up_at is not None and caught_up_at > row.doubt_since:
        del part.appends[record_id]
        requeue(part, row)


def requeue(part: Claims, row: AppendRow) -> None:
    """Put operations back to the front, without claims nobody waits for."""
    part.queue[:0] = [o for o in row.operations if is_wanted(part, o)]


def is_wanted(part: Claims, operation: Operation) -> bool:
    if isinstance(operation, Claim | TakeOver):
        pending = part.pending.get(operation.digest)
        return pending is not None and is_claim_of(operation, operation.digest, pending)
    return True


@on_event.register
def _(event: DrainRequested, state: NodeState, now: float) -> None:
    part = state.part(Claims)
    if part.stop_at is None:
        part.stop_at = now + DRAIN_WAIT_S


@invariant("not-run-is-true")
def check_sent_calls_are_not_released(state: NodeState, now: float) -> str | None:
    """Check that no claim of a call that may have been sent is given back."""
    part = state.part(Claims)
    if part.reader.caught_up_at is None:
        return None
    for call_id, call in state.calls.items():
        is_open = call.phase == "running" or call.sent
        if not is_open or call.operation_id is None:
            continue
        held = part.held.get(call_id)
        if held is None:
            return f"call {call_id} may be sent and holds no claim"
        row = part.rows.get(held.digest)
        if row is not None and row.claim != held.claim:
            return f"call {call_id} runs under a claim that was taken over"
    return None
