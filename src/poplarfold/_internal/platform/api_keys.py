"""Digests of API keys, the only form in which keys are kept after decoding."""

import hashlib
import os

__all__ = ["config_key_digest", "header_key_digest"]

# Digests never leave the process. With a secret of its own, neither the time of a
# lookup nor a digest in a memory dump tells anything about a key.
PROCESS_SECRET = os.urandom(32)


def config_key_digest(key: str) -> bytes:
    """Return the digest of a key of the configuration.

    A lone surrogate, which JSON allows, yields a digest that no header can have.
    """
    return key_digest(key.encode("utf-8", "surrogatepass"))


def header_key_digest(value: str | None) -> bytes | None:
    """Return the digest of a key in a header, or None if there is none.

    The HTTP server decodes the bytes of a header as Latin-1.
    """
    return key_digest(value.encode("latin-1", "replace")) if value else None


def key_digest(key: bytes) -> bytes:
    """Return the keyed digest of a key."""
    return hashlib.blake2b(key, key=PROCESS_SECRET, digest_size=32).digest()
