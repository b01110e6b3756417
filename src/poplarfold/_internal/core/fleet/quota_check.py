"""Finds quotas that are too small for the calls that they are meant for.

    finding = check_call(account.limit, rule, hosts, CallSize("plain call", 200))

The figures are those of the decisions in ``account_quota``, so that an operator can
check a configuration before it is in force.
"""

import math
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from poplarfold._internal.core.fleet.account_quota import (
    CHANCE_FACTOR,
    QuotaRule,
    RelayLedger,
)
from poplarfold._internal.core.fleet.accounts import AccountLimit, UsageUnit

__all__ = ["CallSize", "QuotaFinding", "QuotaFlaw", "call_sizes", "check_call"]


class QuotaFlaw(StrEnum):
    """Why a quota cannot be met.

    With NEVER_FITS, a call is larger than all that hosts give out in a window. With
    LIMIT_BELOW_CALL, it is larger than the quota and fits only into what the
    platform's rule allows beyond it. With SHARE_BELOW_CALL, it is larger than the
    equal share that an isolated host keeps to.
    """

    NEVER_FITS = "never_fits"
    LIMIT_BELOW_CALL = "limit_below_call"
    SHARE_BELOW_CALL = "share_below_call"


class CallSize(NamedTuple):
    """What one usual call of a kind uses of a limit."""

    kind: str
    units: int


class QuotaFinding(NamedTuple):
    """A quota that is too small for one call, with the figures in units per window.

    ``usable`` is what hosts give out together, ``share`` what an isolated one may use.
    ``chance`` is the probability with which it admits the call, once in a window.
    """

    flaw: QuotaFlaw
    call: CallSize
    quota: float
    usable: float
    share: float
    chance: float


def call_sizes(limit: AccountLimit, stream_tokens: int | None) -> Iterator[CallSize]:
    """Yield the usual calls of an account.

    ``stream_tokens`` are the prompt and output tokens of a usual stream; without them,
    streams are left out. A call that uses no units always fits.
    """
    if limit.unit is UsageUnit.REQUESTS:
        yield CallSize("request", 1)
        return
    plain = math.ceil(limit.units(0, 0, has_count=False))
    if plain > 0:
        yield CallSize("plain call", plain)
    if stream_tokens:
        yield CallSize("stream", math.ceil(limit.units(stream_tokens, 0, True)))


def check_call(
    limit: AccountLimit, rule: QuotaRule, hosts: int, call: CallSize
) -> QuotaFinding | None:
    """Return what keeps a fleet of so many hosts from admitting a call, or None."""
    quota, usable = rule.quota(limit), rule.usable(limit)
    # A new ledger has heard of no other host, like that of an isolated one.
    share = RelayLedger(rule).room(0, limit, hosts, 0.0).units
    if call.units > usable:
        flaw = QuotaFlaw.NEVER_FITS
    elif call.units > quota:
        flaw = QuotaFlaw.LIMIT_BELOW_CALL
    elif call.units > share:
        flaw = QuotaFlaw.SHARE_BELOW_CALL
    else:
        return None
    fits = call.units <= share
    chance = 1.0 if fits else CHANCE_FACTOR * share / call.units
    return QuotaFinding(flaw, call, quota, usable, share, chance)
