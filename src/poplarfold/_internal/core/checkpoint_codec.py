"""CBOR encoding of ``checkpoints`` log records, each with a SHA-256 checksum."""

from hashlib import sha256
from typing import NamedTuple

import cbor2
from result import Err, Ok, Result

from poplarfold._internal.exceptions import CheckpointError

__all__ = ["CheckpointPart", "decode_part", "encode_part"]

FORMAT_VERSION = 1
PARTS_MAX = 10_000


class CheckpointPart(NamedTuple):
    """Part ``number`` of ``parts`` of the checkpoint ``checkpoint_id``.

    ``stream`` is the name of the stream that the checkpoint covers. ``offset`` is
    exclusive: the checkpoint covers all records below it.
    """

    stream: str
    checkpoint_id: str
    offset: int
    number: int
    parts: int
    body: bytes


def encode_part(part: CheckpointPart) -> bytes:
    """Encode a part as the data of a log record."""
    data = cbor2.dumps([FORMAT_VERSION, *part])
    return sha256(data).digest() + data


def decode_part(record: bytes) -> Result[CheckpointPart, CheckpointError]:
    """Decode a part from the data of a log record, and verify its checksum."""
    checksum, data = record[:32], record[32:]
    if sha256(data).digest() != checksum:
        return Err(CheckpointError("the checkpoint does not match its checksum"))
    try:
        version, *fields = cbor2.loads(data)
    except Exception as error:
        # The CBOR decoder raises many exception types on arbitrary bytes.
        return Err(CheckpointError(f"the checkpoint is malformed: {error!r}"))
    types = (str, str, int, int, int, bytes)
    if version != FORMAT_VERSION or [type(f) for f in fields] != list(types):
        return Err(CheckpointError("unsupported checkpoint format"))
    part = CheckpointPart(*fields)
    if not 0 <= part.number < part.parts <= PARTS_MAX or part.offset < 0:
        return Err(
            CheckpointError("the checkpoint's part number or offset is out of range")
        )
    return Ok(part)
