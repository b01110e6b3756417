"""Finds endpoints that fail part of their calls, judged against their service.

A cause that lies with the requests fails calls at all endpoints alike and makes none of
them an outlier. At most half of the endpoints count as outliers, and a small share of
the calls that may be repeated tries them again.
"""

import math
from collections.abc import Mapping
from statistics import median_low
from typing import NamedTuple

__all__ = ["FailureRecord", "FailureView", "TrialBudget", "judge_failures"]

# Half-life of the counted calls. One node calls an endpoint of a small service every
# other second, and needs some twenty calls to tell a rate of 30% from chance.
RECORD_HALF_LIFE_S = 30.0
# An endpoint's own rate has the weight of its calls, the usual rate that of this many.
USUAL_RATE_CALLS = 4.0
# An outlier has had at least this many failures (older ones count less), and more than
# the usual rate explains: by this many standard deviations, and by this rate.
FAILURES_MIN = 1.5
DEVIATIONS_MIN = 2.5
EXCESS_RATE_MIN = 0.08
# Rate that is assumed where no call has failed, for the standard deviation.
RATE_FLOOR = 0.01
# Failure rate that is assumed, for calls that must not be repeated, of an endpoint
# without any calls. It falls with each counted call, so that such calls do not explore.
UNPROVEN_RATE = 0.1
# A success or failure counts as recent up to this age.
RECENT_S = 10.0
# Share of the calls of a service that may try an outlier.
TRIAL_SHARE = 0.02


class FailureRecord(NamedTuple):
    """Calls and failures of one endpoint, of which older ones count less."""

    calls: float = 0.0
    failures: float = 0.0
    counted_at: float = 0.0
    succeeded_at: float = float("-inf")
    failed_at: float = float("-inf")

    def at(self, now: float) -> "FailureRecord":
        """Return the record with its counts reduced to ``now``."""
        kept = 0.5 ** (max(0.0, now - self.counted_at) / RECORD_HALF_LIFE_S)
        return self._replace(
            calls=self.calls * kept, failures=self.failures * kept, counted_at=now
        )

    def with_outcome(self, ok: bool, now: float) -> "FailureRecord":
        """Return the record after another call."""
        record = self.at(now)
        return record._replace(
            calls=record.calls + 1.0,
            failures=record.failures + (not ok),
            succeeded_at=now if ok else record.succeeded_at,
            failed_at=record.failed_at if ok else now,
        )

    def with_less(self, now: float) -> "FailureRecord":
        """Return the record without one failed call that was not the endpoint's."""
        record = self.at(now)
        return record._replace(
            calls=max(0.0, record.calls - 1.0),
            failures=max(0.0, record.failures - 1.0),
        )

    def has_lately_succeeded(self, now: float) -> bool:
        """Return whether the latest call succeeded, a short time ago."""
        return self.succeeded_at > max(self.failed_at, now - RECENT_S)


class FailureView(NamedTuple):
    """The failures of the endpoints of one service, by endpoint id.

    ``excess`` is the failure rate above the usual one, of at most half of the
    endpoints. ``outliers`` are those of them whose excess is no chance. ``unproven``
    is the failure rate that is possible although it has not shown in so few calls.
    """

    excess: Mapping[str, float]
    unproven: Mapping[str, float]
    outliers: frozenset[str]


def judge_failures(records: Mapping[str, FailureRecord], now: float) -> FailureView:
    """Judge each endpoint against the others of its service."""
    current = {name: record.at(now) for name, record in records.items()}
    # The median holds while up to half of the endpoints fail.
    rates = [row.failures / row.calls for row in current.values() if row.calls >= 1.0]
    usual = median_low(rates) if rates else 0.0
    excess = {name: excess_rate(row, usual) for name, row in current.items()}
    worst = sorted(
        (name for name in excess if excess[name] > 0.0),
        key=lambda name: (-excess[name], name),
    )[: len(current) // 2]
    outliers = frozenset(name for name in worst if is_outlier(current[name], usual))
    unproven = {
        name: UNPROVEN_RATE / (1.0 + row.calls) for name, row in current.items()
    }
    return FailureView({name: excess[name] for name in worst}, unproven, outliers)


def excess_rate(record: FailureRecord, usual: float) -> float:
    """Return an endpoint's failure rate above the usual one, drawn towards it."""
    expected = record.failures + usual * USUAL_RATE_CALLS
    return max(0.0, expected / (record.calls + USUAL_RATE_CALLS) - usual)


def is_outlier(record: FailureRecord, usual: float) -> bool:
    """Return whether the failures of an endpoint exceed what chance explains."""
    if record.failures < FAILURES_MIN:
        return False
    if record.failures / record.calls < usual + EXCESS_RATE_MIN:
        return False
    expected = usual * record.calls
    deviation = math.sqrt(max(usual, RATE_FLOOR) * record.calls)
    return record.failures > expected + DEVIATIONS_MIN * deviation


class TrialBudget:
    """Bounds the calls of one service that try outliers, as a share of all calls."""

    def __init__(self) -> None:
        self.saved = 0.0

    def record_call(self) -> None:
        """Count a first attempt of a call."""
        self.saved = min(1.0, self.saved + TRIAL_SHARE)

    def try_spend(self) -> bool:
        """Spend one trial if enough calls were made since the last one."""
        # Fifty steps of 0.02 add up to slightly less than 1.
        if self.saved < 1.0 - TRIAL_SHARE / 2:
            return False
        self.saved = 0.0
        return True
