"""Deterministic answers of the stand-ins, which tests can recompute.

An output depends only on the identity that the engine serves, the prompt and the
number of the output. A test can therefore detect an answer that is truncated,
reordered or meant for another prompt.

    >>> identity = Identity("association", "abstractor", "v1")
    >>> expected_text(identity, "a prompt", 3).count(" ")
    3
"""

import hashlib
from zlib import crc32

from poplarfold._internal.core.model import Identity

__all__ = ["answer_key", "count_tokens", "expected_text", "output_text"]

BYTES_PER_TOKEN = 4

ONSETS = tuple(" " + onset for onset in "b d f g h j k l m n p r s t v w".split())
VOWELS = ("a", "e", "i", "o", "u", "ai", "ea", "ou")
MIDDLES = tuple("l m n r s t d k b p g v th nd st rm".split())
ENDINGS = ("an", "el", "in", "or", "us", "ay", "et", "ish")


def count_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at 4 bytes of UTF-8 per token."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def answer_key(identity: Identity, prompt: str) -> str:
    """Return the key that determines all outputs of an answer."""
    digest = hashlib.sha256("\0".join(identity).encode())
    digest.update(b"\0" + prompt.encode())
    return digest.hexdigest()[:16]


def output_text(key: str, seq: int) -> str:
    """Return the text of output ``seq``: a space and one of 16,384 words."""
    value = crc32(b"%d" % seq, crc32(key.encode()))
    return (
        ONSETS[value & 15]
        + VOWELS[value >> 4 & 7]
        + MIDDLES[value >> 7 & 15]
        + ENDINGS[value >> 11 & 7]
    )


def expected_text(identity: Identity, prompt: str, outputs: int) -> str:
    """Return the whole answer to a prompt, with ``outputs`` outputs."""
    key = answer_key(identity, prompt)
    return "".join(output_text(key, seq) for seq in range(outputs))
