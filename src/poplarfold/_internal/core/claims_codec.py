"""Records of the ``claims`` stream as CBOR.

A record is a batch of operations of one node. An unknown operation is skipped
by every release that does not know it.
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
    "Release",
    "TakeOver",
    "Unknown",
    "decode_batch",
    "decode_rows",
    "encode_batch",
    "encode_rows",
]

FORMAT_VERSION = 1


class Claim(NamedTuple):
    """A first claim on a key."""

    digest: bytes
    operation_id: str
    body_digest: str


class TakeOver(NamedTuple):
    """Continues the operation of the claim at offset ``claim``."""

    digest: bytes
    claim: int
    call_id: str


class Release(NamedTuple):
    """The operation was never sent and never will be: the key is free."""

    digest: bytes
    claim: int


class Done(NamedTuple):
    """The operation ran; this is its whole answer."""

    digest: bytes
    claim: int
    status: int
    body: bytes


class Unknown(NamedTuple):
    """The operation may have run, and its owner has given up on it."""

    digest: bytes
    claim: int


class Expire(NamedTuple):
    """All claims below offset ``below`` are forgotten, on all nodes alike."""

    below: int


Operation = Claim | TakeOver | Release | Done | Unknown | Expire
CODES: dict[str, type] = {
    "c": Claim,
    "t": TakeOver,
    "r": Release,
    "d": Done,
    "u": Unknown,
    "x": Expire,
}
CODE_OF = {kind: code for code, kind in CODES.items()}


class Batch(NamedTuple):
    """The operations of one record."""

    owner: HostKey
    operations: tuple[Operation, ...]


class ClaimRow(NamedTuple):
    """What the log says about one key.

    ``claim`` is the offset of the claim, which is also its fencing number.
    ``state`` is claimed, done or unknown. ``folded_at`` is when this node, or
    by its age the writer of a checkpoint, first read it.
    """

    operation_id: str
    body_digest: str
    owner: HostKey
    claim: int
    first_claim: int
    folded_at: float
    state: str = "claimed"
    status: int = 0
    body: bytes = b""


def encode_batch(batch: Batch) -> bytes:
    """Return the data of a log record."""
    operations = [[CODE_OF[type(o)], *o] for o in batch.operations]
    return cbor2.dumps([FORMAT_VERSION, *batch.owner, operations])


def decode_batch(data: bytes) -> Result[Batch, PoplarfoldError]:
    """Decode the data of a log record."""
    try:
        version, host, incarnation, rows = cbor2.loads(data)
        if version != FORMAT_VERSION or not has_types((host, incarnation), (str, int)):
            return Err(CheckpointError("unknown format of a claims record"))
        operations = [decode_operation(row) for row in rows]
    except Exception as error:
        # Arbitrary bytes can make the CBOR decoder raise many types.
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
    pairs = zip(values, types, strict=True)
    return all(type(value) is expected for value, expected in pairs)


def encode_rows(rows: list[tuple[bytes, ClaimRow]], now: float) -> bytes:
    """Return claims as part of a checkpoint; times become ages."""
    table = []
    for digest, row in rows:
        fields = row._replace(folded_at=max(0.0, now - row.folded_at))
        table.append([digest, *fields._replace(owner=list(row.owner))])  # type: ignore[arg-type]
    return cbor2.dumps(table)


def decode_rows(
    data: bytes, now: float
) -> Result[list[tuple[bytes, ClaimRow]], CheckpointError]:
    """Decode claims of a checkpoint; ages become times before ``now``."""
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
            row = row._replace(owner=owner, folded_at=now - row.folded_at)
            rows.append((digest, row))
    except Exception as error:
        # Arbitrary bytes can make the CBOR decoder raise many types.
        return Err(CheckpointError(f"the checkpoint is malformed: {error!r}"))
    return Ok(rows)
