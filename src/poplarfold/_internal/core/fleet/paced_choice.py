"""Selects among endpoints that state their pace, by what an attempt needs.

Many nodes with the same view choose at the same time. Hence the choice among nearly
equal endpoints is random, weighted by their free slots: if all nodes took the best one,
they would fill the same free slot.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple, TypedDict

from poplarfold._internal.core.fleet.outliers import TrialBudget
from poplarfold._internal.core.fleet.rows import FleetEndpoint

__all__ = [
    "FIRST_ATTEMPT",
    "AttemptNeeds",
    "Candidate",
    "Choice",
    "ChoiceFields",
    "failure_cost_s",
    "select_candidate",
]

# Endpoints are nearly equal up to this ratio of their expected times.
NEARLY_EQUAL_RATIO = 1.1
# The same for a further attempt in another failure domain.
OTHER_DOMAIN_RATIO = 1.5
# What a failed call costs: at least a constant time, and at least this many times the
# usual time of a call. A call that must not be repeated is lost.
FAILURE_COST_S = 0.6
FAILURE_COST_CALLS = 4.0
LOST_CALL_FACTOR = 10.0


class AttemptNeeds(NamedTuple):
    """What a choice has to consider of one attempt.

    ``failed_domain`` is the failure domain of the endpoint at which the previous
    attempt failed, or None for a first attempt.
    """

    may_repeat: bool = True
    failed_domain: str | None = None


FIRST_ATTEMPT = AttemptNeeds()


class Candidate(NamedTuple):
    """One endpoint that an attempt could use, as this node sees it.

    ``failure_rate`` is that of the counted calls, ``age_s`` the age of the endpoint's
    latest figures, None if there are none.
    """

    endpoint: FleetEndpoint
    expected_s: float
    round_trip_s: float = 0.0
    free_slots: float = 0.0
    failure_rate: float = 0.0
    slowdown: float = 1.0
    age_s: float | None = None
    is_outlier: bool = False
    has_lately_succeeded: bool = False


class ChoiceFields(TypedDict):
    """The inputs of a choice, as fields of log events."""

    endpoint: str
    reason: str
    expected_s: float
    failure_rate: float
    slowdown: float
    age_s: float | None
    candidates: int
    avoided: int


class Choice(NamedTuple):
    """The chosen endpoint, and the inputs if the choice depended on stated paces.

    ``reason`` is "best", "equal" (drawn from nearly equal ones), "trial" (an outlier
    is tried again) or "repeat" (a further attempt).
    """

    endpoint: FleetEndpoint
    reason: str = "best"
    chosen: Candidate | None = None
    candidates: int = 0
    avoided: int = 0

    def fields(self) -> ChoiceFields | None:
        """Return the inputs for the log; None if no endpoint states its pace."""
        row = self.chosen
        if row is None:
            return None
        return ChoiceFields(
            endpoint=row.endpoint.endpoint_id,
            reason=self.reason,
            expected_s=round(row.expected_s, 4),
            failure_rate=round(row.failure_rate, 3),
            slowdown=round(row.slowdown, 3),
            age_s=None if row.age_s is None else round(row.age_s, 3),
            candidates=self.candidates,
            avoided=self.avoided,
        )


def failure_cost_s(needs: AttemptNeeds, typical_s: float) -> float:
    """Return the time that a certain failure adds to the expected time."""
    cost_s = max(FAILURE_COST_S, FAILURE_COST_CALLS * typical_s)
    return cost_s if needs.may_repeat else cost_s * LOST_CALL_FACTOR


def select_candidate(
    candidates: Sequence[Candidate],
    needs: AttemptNeeds,
    rng: random.Random | None,
    trials: TrialBudget | None,
) -> Choice:
    """Return the choice among candidates, of which there must be one.

    Without ``rng`` the best one is chosen, without ``trials`` no outlier is tried.
    """
    outliers = [row for row in candidates if row.is_outlier]
    usual = [row for row in candidates if not row.is_outlier]
    is_first = needs.failed_domain is None
    chosen, reason = None, "best"
    if is_first and trials is not None:
        trials.record_call()
        if outliers and usual and needs.may_repeat and trials.try_spend():
            # The one whose figures are oldest.
            chosen, reason = max(outliers, key=age_of), "trial"
    if chosen is None and not is_first:
        chosen, reason = best_repeat(candidates, needs), "repeat"
    if chosen is None:
        best = min(candidates, key=lambda row: row.expected_s)
        chosen = draw_nearly_equal(candidates, best, rng)
        reason = "best" if chosen is best else "equal"
    return Choice(chosen.endpoint, reason, chosen, len(candidates), len(outliers))


def best_repeat(candidates: Sequence[Candidate], needs: AttemptNeeds) -> Candidate:
    """Return the candidate for an attempt after one that failed.

    The cause may lie with the endpoint or with what its failure domain shares. An
    endpoint that has lately succeeded comes first, unless it is so slow that another
    failure would cost less.
    """
    best = min(candidates, key=lambda row: row.expected_s)
    sound = [
        row
        for row in candidates
        if not row.is_outlier
        and row.has_lately_succeeded
        and row.expected_s <= best.expected_s + FAILURE_COST_S
    ]
    if sound:
        best = min(sound, key=lambda row: row.expected_s)
    limit_s = OTHER_DOMAIN_RATIO * best.expected_s
    elsewhere = [
        row
        for row in sound or [row for row in candidates if not row.is_outlier]
        if row.endpoint.failure_domain != needs.failed_domain
        and row.expected_s <= limit_s
    ]
    return min(elsewhere, key=lambda row: row.expected_s, default=best)


def draw_nearly_equal(
    candidates: Sequence[Candidate], best: Candidate, rng: random.Random | None
) -> Candidate:
    """Draw one of the candidates that are nearly as good as the best, and no farther.

    Traffic between failure domains is charged for. One without a free slot is drawn
    only if it is the best.
    """
    if rng is None:
        return best
    limit_s = NEARLY_EQUAL_RATIO * best.expected_s
    equal = [
        row
        for row in candidates
        if row.expected_s <= limit_s
        and row.round_trip_s <= best.round_trip_s
        and row.is_outlier == best.is_outlier
    ]
    weights = [max(0.0, row.free_slots) for row in equal]
    if len(equal) < 2 or sum(weights) <= 0.0:
        return best
    return rng.choices(equal, weights)[0]


def age_of(row: Candidate) -> float:
    """Return the age of a candidate's figures; without any it is the greatest."""
    return float("inf") if row.age_s is None else row.age_s
