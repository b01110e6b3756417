"""Records of the ``checkpoints`` stream as CBOR, with a checksum each."""

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

    ``kind`` is the stream that it covers, up to but without ``offset``.
    """

    kind: str
    checkpoint_id: str
    offset: int
    number: int
    parts: int
    body: bytes


def encode_part(part: CheckpointPart) -> bytes:
    """Return the data of a log record."""
    data = cbor2.dumps([FORMAT_VERSION, *part])
    return sha256(data).digest() + data


def decode_part(record: bytes) -> Result[CheckpointPart, CheckpointError]:
    """Decode the data of a log record and check its checksum."""
    checksum, data = record[:32], record[32:]
    if sha256(data).digest() != checksum:
        return Err(CheckpointError("the checksum of the checkpoint is wrong"))
    try:
        version, *fields = cbor2.loads(data)
    except Exception as error:
        # Arbitrary bytes can make the CBOR decoder raise many types.
        return Err(CheckpointError(f"the checkpoint is malformed: {error!r}"))
    types = (str, str, int, int, int, bytes)
    if version != FORMAT_VERSION or [type(f) for f in fields] != list(types):
        return Err(CheckpointError("the checkpoint has an unknown format"))
    part = CheckpointPart(*fields)
    if not 0 <= part.number < part.parts <= PARTS_MAX or part.offset < 0:
        return Err(CheckpointError("the checkpoint's part or offset is out of range"))
    return Ok(part)
