"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998. When a host leaves,
only the keys that it owned get a new owner.

    >>> choose("cell-1", ["a", "b"]) in {"a", "b"}
    True
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

__all__ = ["choose_host", "rank_hosts"]


@lru_cache(maxsize=65536)
def weight(key: str, host: str) -> bytes:
    """Return the weight of ``host`` for ``key``, as 8 bytes to be compared."""
    # The length prefix distinguishes ("ab", "c") from ("a", "bc").
    text = f"{len(key)}:{key}:{host}"
    return blake2b(text.encode(), digest_size=8).digest()


def rank_hosts(key: str, hosts: Iterable[str]) -> list[str]:
    """Return ``hosts`` by preference for ``key``, best first, without duplicates."""
    return sorted(set(hosts), key=lambda host: (weight(key, host), host), reverse=True)


def choose_host(key: str, hosts: Iterable[str]) -> str | None:
    """Return the host that owns ``key``, or None if there are no hosts."""
    return max(hosts, key=lambda host: (weight(key, host), host), default=None)
