"""Decides which client account a call belongs to, and whether it may be served.

A host that lost the store does not learn that a key was revoked. It therefore stops
serving calls by key while its knowledge of the configuration is still younger than
the time within which a revocation must hold everywhere.
"""

from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.accounts import (
    PRIORITY_DEFAULT,
    PRIORITY_MAX,
    AccountTable,
    ClientAccount,
)
from poplarfold._internal.core.fleet.rows import Route
from poplarfold._internal.exceptions import ConfigurationTooOldError, UnknownKeyError

__all__ = ["AdmittedCaller", "RevocationPolicy", "admit_account"]

# The share of the revocation time after which a configuration is too old. The rest
# covers the error of its age, which depends on the clocks of other hosts.
AGE_LIMIT_SHARE = 0.8
# Hosts without a current configuration try to read it about every 0.4 s.
RETRY_AFTER_S = 0.3
# Retries are spread over this share of the time, so that they do not all come at once.
RETRY_SPREAD = 1.0


class RevocationPolicy(NamedTuple):
    """How soon the removal of a key must hold on every host.

    If it ``is_strict``, a host must not serve a call that was sent more than
    ``revoke_s`` after the store had acknowledged the removal of its key.
    """

    is_strict: bool = False
    revoke_s: float = 5.0

    @property
    def age_limit_s(self) -> float:
        """The age of a configuration from which it says nothing about a key."""
        return AGE_LIMIT_SHARE * self.revoke_s


class AdmittedCaller(NamedTuple):
    """The account and the priority of a call.

    ``account`` is None on public routes. Both are None if the deployment has no
    accounts.
    """

    account: ClientAccount | None = None
    priority: int | None = None


def admit_account(
    accounts: AccountTable | None,
    route: Route,
    key_digest: bytes | None,
    age_s: float,
    policy: RevocationPolicy,
    spread: float = 0.0,
) -> Result[AdmittedCaller, UnknownKeyError | ConfigurationTooOldError]:
    """Return the account of a call, or why it must not run.

    ``age_s`` is the time since the configuration was last known to be the newest one,
    taken after the request had arrived. ``spread`` is a random number from 0 to 1.

    An unknown key may have been added since, so it is rejected for good only if the
    configuration is current, also where revocation is not strict.

        admit_account(table.accounts, route, call.key_digest, age_s, policy, random())
    """
    if accounts is None:
        return Ok(AdmittedCaller())
    if route.is_public:
        return Ok(AdmittedCaller(None, call_priority(None, route)))
    account = accounts.find(key_digest)
    is_current = age_s < policy.age_limit_s
    if not is_current and (policy.is_strict or account is None):
        return Err(
            ConfigurationTooOldError(
                "the configuration is too old to check an API key",
                RETRY_AFTER_S * (1.0 + RETRY_SPREAD * spread),
            )
        )
    if account is None:
        missing = "the API key is missing"
        return Err(UnknownKeyError("unknown API key" if key_digest else missing))
    return Ok(AdmittedCaller(account, call_priority(account, route)))


def call_priority(account: ClientAccount | None, route: Route) -> int:
    """Return the priority of a call; the one of its account takes precedence."""
    for found in (account.priority if account else None, route.priority):
        if found is not None:
            return min(found, PRIORITY_MAX)
    return PRIORITY_DEFAULT
