"""CBOR encoding of ``claims`` log records and of claims in checkpoints.

A record is a batch of operations of one node. The decoder skips operations with
an unknown code, which come from later releases.
"""

from typing import Any, NamedTuple

import cbor2
from result import Err, Ok, Result

from poplarfold._internal.core.model import HostKey
from poplarfold._internal.exceptions import CheckpointError, PoplarfoldError

__all__ = [
    "Batch",
    "Claim",
    "ClaimRow",
    "Done",
    "Expire",
    "Operation",
    "OutcomeUnknown",
    "Release",
    "TakeOver",
    "decode_batch",
    "decode_rows",
    "encode_batch",
    "encode_rows",
]

FORMAT_VERSION = 1


class Claim(NamedTuple):
    """Claims an idempotency key for an operation.

    ``digest`` identifies the key. The log offset of the record is the id and the
    fencing number of the claim.
    """

    digest: bytes
    operation_id: str
    body_digest: str


class TakeOver(NamedTuple):
    """Takes over the operation of the claim at offset ``claim`` for another call."""

    digest: bytes
    claim: int
    call_id: str


class Release(NamedTuple):
    """Frees the key of a claim.

    The operation was not sent to an endpoint and will not be sent.
    """

    digest: bytes
    claim: int


class Done(NamedTuple):
    """Records the complete answer of an operation that ran."""

    digest: bytes
    claim: int
    status: int
    body: bytes


class OutcomeUnknown(NamedTuple):
    """Records an unknown outcome.

    The operation may have run, and its owner has stopped retrying it.
    """

    digest: bytes
    claim: int


class Expire(NamedTuple):
    """Removes all claims below offset ``below``.

    It is a log record, so that all nodes remove the same claims.
    """

    below: int


Operation = Claim | TakeOver | Release | Done | OutcomeUnknown | Expire
CODES: dict[str, type] = {
    "c": Claim,
    "t": TakeOver,
    "r": Release,
    "d": Done,
    "u": OutcomeUnknown,
    "x": Expire,
}
CODE_OF = {kind: code for code, kind in CODES.items()}


class Batch(NamedTuple):
    """The operations of one log record, written by the process ``owner``."""

    owner: HostKey
    operations: tuple[Operation, ...]


class ClaimRow(NamedTuple):
    """The state of one key, as folded from the log.

    ``claim`` is the offset of the current claim, which is also its fencing
    number. ``first_claim`` is the offset of the first claim, before any takeover.
    ``state`` is claimed, done or unknown. ``first_read_at`` is when this node first
    read the claim. For a claim loaded from a checkpoint, it is derived from the
    age that the writer of the checkpoint recorded.
    """

    operation_id: str
    body_digest: str
    owner: HostKey
    claim: int
    first_claim: int
    first_read_at: float
    state: str = "claimed"
    status: int = 0
    body: bytes = b""


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch as the data of a log record."""
    operations = [[CODE_OF[type(o)], *o] for o in batch.operations]
    return cbor2.dumps([FORMAT_VERSION, *batch.owner, operations])


def decode_batch(data: bytes) -> Result[Batch, PoplarfoldError]:
    """Decode a batch from the data of a log record."""
    try:
        version, host, incarnation, rows = cbor2.loads(data)
        if version != FORMAT_VERSION or not has_types((host, incarnation), (str, int)):
            return Err(CheckpointError("unsupported format of a claims record"))
        operations = [decode_operation(row) for row in rows]
    except Exception as error:
        # The CBOR decoder raises many exception types on arbitrary bytes.
        return Err(CheckpointError(f"the claims record is malformed: {error!r}"))
    known = tuple(o for o in operations if o is not None)
    return Ok(Batch(HostKey(host, incarnation), known))


def decode_operation(row: Any) -> Operation | None:
    kind = CODES.get(row[0]) if isinstance(row[0], str) else None
    if kind is None:
        return None
    fields = row[1 : 1 + len(kind._fields)]  # type: ignore[attr-defined]
    types = tuple(kind.__annotations__.values())
    if len(fields) != len(types) or not has_types(fields, types):
        return None
    return kind(*fields)


def has_types(values: Any, types: tuple[type, ...]) -> bool:
    """Return whether the values have exactly these types; the counts must agree."""
    pairs = zip(values, types, strict=True)
    return all(type(value) is expected for value, expected in pairs)


def encode_rows(rows: list[tuple[bytes, ClaimRow]], now: float) -> bytes:
    """Encode claims for a checkpoint.

    Times are written as ages in seconds, because nodes do not share a clock.
    """
    table = []
    for digest, row in rows:
        fields = row._replace(first_read_at=max(0.0, now - row.first_read_at))
        table.append([digest, *fields._replace(owner=list(row.owner))])  # type: ignore[arg-type]
    return cbor2.dumps(table)


def decode_rows(
    data: bytes, now: float
) -> Result[list[tuple[bytes, ClaimRow]], CheckpointError]:
    """Decode claims of a checkpoint, and convert ages to times before ``now``."""
    types = (bytes, str, str, list, int, int, float, str, int, bytes)
    rows = []
    try:
        for fields in cbor2.loads(data):
            if not has_types(fields, types):
                return Err(CheckpointError("a claim in the checkpoint is malformed"))
            digest, *rest = fields
            row = ClaimRow(*rest)
            host, incarnation = row.owner
            owner = HostKey(host, incarnation)
            row = row._replace(owner=owner, first_read_at=now - row.first_read_at)
            rows.append((digest, row))
    except Exception as error:
        # The CBOR decoder raises many exception types on arbitrary bytes.
        return Err(CheckpointError(f"the checkpoint is malformed: {error!r}"))
    return Ok(rows)
