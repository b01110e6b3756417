"""The fold of the stream ``claims``, which is the same on every node."""

from result import Err

from poplarfold._internal.core.claims_codec import (
    Claim,
    ClaimRow,
    Done,
    Expire,
    OutcomeUnknown,
    Release,
    TakeOver,
    decode_batch,
)
from poplarfold._internal.core.events import ClaimFailed, LogRecord
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.claim_decisions import (
    fail_takeover,
    grant_claim,
    recheck_waiters,
    resolve_claimed_key,
    with_outcome,
)
from poplarfold._internal.core.systems.claim_state import (
    STREAM,
    Claims,
    HeldClaim,
    drop_pending,
)
from poplarfold._internal.exceptions import OutcomeUnknownError

__all__ = [
    "fold_claim_record",
]


def fold_claim_record(
    state: NodeState, part: Claims, record: LogRecord, now: float
) -> None:
    """Apply one record. The rows must depend on the log alone."""
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
            recheck_waiters(state, part, operation.digest)


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
        grant_claim(state, part, digest, pending, row)
    elif is_first and owner == state.me:
        # The call has ended, or this is a duplicate appended after a lost response.
        part.queue.append(Release(digest, offset))
    elif pending is not None and pending.takes_over is None:
        drop_pending(part, digest, pending)
        part.pending.put(digest, pending)
        resolve_claimed_key(state, part, digest, pending, row, now)


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
                fail_takeover(state, part, digest, pending, row, now)
        return
    for call_id, held in part.held.rows():
        if held == HeldClaim(digest, row.claim):
            # Another node considered this one dead and continues the operation.
            del part.held[call_id]
            error = OutcomeUnknownError("another node has taken over the call")
            state.post(ClaimFailed(call_id, error))
    row = part.rows.put(
        digest, row._replace(owner=owner, claim=offset, state="claimed")
    )
    if owner != state.me:
        if pending is not None:
            fail_takeover(state, part, digest, pending, row, now)
    elif pending is not None and pending.call_id == takeover.call_id:
        grant_claim(state, part, digest, pending, row)
    else:
        # The call that requested the takeover has ended. Whether the operation has
        # run is unknown.
        part.queue.append(OutcomeUnknown(digest, offset))


def fold_outcome(
    part: Claims, operation: Release | Done | OutcomeUnknown, owner: HostKey
) -> None:
    """Apply an outcome, ignoring it unless the claim's owner recorded it."""
    row = part.rows.get(operation.digest)
    local_outcome = part.outcomes.get(operation.digest)
    if local_outcome is not None and local_outcome.claim == operation.claim:
        del part.outcomes[operation.digest]
    if row is None or row.claim != operation.claim or row.owner != owner:
        return
    if isinstance(operation, Release):
        if row.state == "claimed":
            del part.rows[operation.digest]
        return
    part.rows.put(operation.digest, with_outcome(row, operation))


def fold_expiry(part: Claims, expiry: Expire) -> None:
    part.expired_below = max(part.expired_below, expiry.below)
    for digest, row in part.rows.rows():
        if row.claim < expiry.below:
            del part.rows[digest]
