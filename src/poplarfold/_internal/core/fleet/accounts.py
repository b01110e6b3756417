"""Client accounts: their API keys, priorities and usage limits.

Keys are known only by their digests, so that no key can end up in a log or a message.
"""

import hmac
from collections import Counter
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "PRIORITY_DEFAULT",
    "PRIORITY_MAX",
    "AccountChanges",
    "AccountLimit",
    "AccountTable",
    "ClientAccount",
    "UsageUnit",
    "compare_accounts",
]

# Priority 0 is the highest; calls without any are in the middle.
PRIORITY_DEFAULT = 5
PRIORITY_MAX = 9
# An event names at most this many added and removed accounts.
NAMES_MAX = 10


class UsageUnit(StrEnum):
    """What a usage limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class AccountLimit(NamedTuple):
    """The usage that an account may make over all hosts together.

    ``rate_per_s`` and ``burst`` are in the unit of the limit. If the unit is tokens,
    a call without a token count uses ``plain_tokens``.
    """

    unit: UsageUnit
    rate_per_s: float
    burst: float
    plain_tokens: float = 0.0

    def units(self, prompt_tokens: int, max_outputs: int, has_count: bool) -> float:
        """Return what one call uses of the limit."""
        if self.unit is UsageUnit.REQUESTS:
            return 1.0
        return float(prompt_tokens + max_outputs) if has_count else self.plain_tokens


class ClientAccount(NamedTuple):
    """One client account. Priority 0 is the highest; None keeps the route's.

    Without ``limit`` its usage is not limited.
    """

    name: str
    priority: int | None = None
    limit: AccountLimit | None = None


class AccountTable:
    """The accounts of one configuration, found by the digest of an API key."""

    def __init__(self, rows: Iterable[tuple[ClientAccount, Iterable[bytes]]]) -> None:
        self.accounts: dict[str, ClientAccount] = {}
        # Each row has its digest again, for the comparison in constant time.
        self.by_digest: dict[bytes, tuple[bytes, ClientAccount]] = {}
        for account, digests in rows:
            self.accounts[account.name] = account
            for digest in digests:
                self.by_digest[digest] = (digest, account)

    def find(self, key_digest: bytes | None) -> ClientAccount | None:
        """Return the account that holds a key, or None if no account does."""
        if key_digest is None:
            return None
        row = self.by_digest.get(key_digest)
        if row is None or not hmac.compare_digest(row[0], key_digest):
            return None
        return row[1]

    def key_counts(self) -> Mapping[str, int]:
        """Return the number of keys of each account, by account name."""
        owners = Counter(account.name for _, account in self.by_digest.values())
        return {name: owners[name] for name in self.accounts}

    def limits(self) -> Mapping[str, AccountLimit]:
        """Return the limits of the accounts that have one, by account name."""
        return {
            account.name: account.limit
            for account in self.accounts.values()
            if account.limit is not None
        }


class AccountChanges(NamedTuple):
    """What differs between the accounts of two configurations, for the log.

    ``added`` and ``removed`` name up to ten accounts each. Keys are only counted.
    """

    accounts: int
    keys: int
    added: list[str]
    removed: list[str]
    keys_added: int
    keys_removed: int


def compare_accounts(
    before: AccountTable | None, after: AccountTable | None
) -> AccountChanges | None:
    """Return what has changed from one configuration to the next, or None."""
    old = before or AccountTable([])
    new = after or AccountTable([])
    added = sorted(new.accounts.keys() - old.accounts.keys())
    removed = sorted(old.accounts.keys() - new.accounts.keys())
    keys_added = len(new.by_digest.keys() - old.by_digest.keys())
    keys_removed = len(old.by_digest.keys() - new.by_digest.keys())
    if (before is None) == (after is None) and not (
        added or removed or keys_added or keys_removed
    ):
        return None
    return AccountChanges(
        len(new.accounts),
        len(new.by_digest),
        added[:NAMES_MAX],
        removed[:NAMES_MAX],
        keys_added,
        keys_removed,
    )
