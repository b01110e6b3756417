"""Client accounts: their API keys, priorities and usage limits.

Keys are known only by their digests, so that no key can end up in a log or a message.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

__all__ = ["AccountLimit", "AccountTable", "ClientAccount", "UsageUnit"]


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
        self.by_digest: dict[bytes, ClientAccount] = {}
        for account, digests in rows:
            self.accounts[account.name] = account
            for digest in digests:
                self.by_digest[digest] = account

    def find(self, key_digest: bytes | None) -> ClientAccount | None:
        """Return the account that holds a key, or None if no account does."""
        if key_digest is None:
            return None
        return self.by_digest.get(key_digest)

    def limits(self) -> Mapping[str, AccountLimit]:
        """Return the limits of the accounts that have one, by account name."""
        return {
            account.name: account.limit
            for account in self.accounts.values()
            if account.limit is not None
        }
