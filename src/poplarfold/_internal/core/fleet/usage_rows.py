"""Packs rows of account numbers and counts into few bytes.

Each row is the number of an account in four bytes, and its counts as integers of
variable length: seven bits per byte, the low ones first, with the sign in the lowest
bit. Hosts send such rows several times per second.

    >>> data = pack_rows([(7, -1, 300)])
    >>> len(data), unpack_rows(data, 2).unwrap()
    (7, [(7, -1, 300)])
"""

from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from poplarfold._internal.exceptions import PeerProtocolError

__all__ = ["pack_rows", "unpack_rows"]

KEY_BYTES = 4
# The largest count has 62 bits and its sign.
COUNT_BYTES_MAX = 9


def pack_rows(rows: Iterable[Sequence[int]]) -> bytes:
    """Encode rows of an account's number and its counts."""
    data = bytearray()
    for key, *counts in rows:
        data += key.to_bytes(KEY_BYTES, "big")
        for count in counts:
            rest = 2 * count if count >= 0 else -2 * count - 1
            while rest >= 0x80:
                data.append(0x80 | rest & 0x7F)
                rest >>= 7
            data.append(rest)
    return bytes(data)


def unpack_rows(
    data: bytes, counts: int
) -> Result[list[tuple[int, ...]], PeerProtocolError]:
    """Decode rows with that many counts each."""
    rows = []
    at = 0
    while at < len(data):
        row = [int.from_bytes(data[at : at + KEY_BYTES], "big")]
        at += KEY_BYTES
        for _ in range(counts):
            end = at
            while end < len(data) and data[end] >= 0x80:
                end += 1
            if end >= len(data) or end - at >= COUNT_BYTES_MAX:
                return Err(PeerProtocolError("malformed rows of usage"))
            parts = enumerate(data[at : end + 1])
            found = sum((byte & 0x7F) << (7 * place) for place, byte in parts)
            row.append(-(found + 1) // 2 if found & 1 else found // 2)
            at = end + 1
        rows.append(tuple(row))
    return Ok(rows)
