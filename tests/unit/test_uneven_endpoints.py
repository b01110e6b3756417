"""Tests of what callers get from endpoints of uneven pace, without a network."""

import hashlib
import random

import pytest
from tests.lib.uneven_endpoints import DOMAINS, REGIONS, Load, Machine, Outcome, Play

from poplarfold._internal.core.fleet.choice import EndpointStatsTable, choose_endpoint
from poplarfold._internal.core.fleet.endpoint_pace import EndpointPace
from poplarfold._internal.core.fleet.outliers import (
    TRIAL_SHARE,
    FailureRecord,
    TrialBudget,
    judge_failures,
)
from poplarfold._internal.core.fleet.paced_choice import (
    AttemptNeeds,
    Candidate,
    select_candidate,
)
from poplarfold._internal.core.fleet.rows import EndpointLoad, FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.platform.calls import decode_answer_metadata, decode_load

SEEDS = range(3)


def endpoint(number: int) -> FleetEndpoint:
    return FleetEndpoint(
        f"i-{number}", 1, "s", f"10.0.0.{number}:80", DOMAINS[number % 3 * 2 % 5],
        EndpointRole.SERVICE, 6, False, 0.0,
    )  # fmt: skip


def test_load_with_more_figures_keeps_the_known_ones():
    """Guards against ignoring the load of endpoints whose header has grown."""
    assert decode_load("3,1,8,150") == EndpointLoad(3, 1, 8, 1.5)
    assert decode_load("3,1,8,150,9,x") == EndpointLoad(3, 1, 8, 1.5)
    assert decode_load("3,1,8") == EndpointLoad(3, 1, 8)
    for value in ("3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5", "3,1,8,nan"):
        assert decode_load(value) == EndpointLoad(3, 1, 8)
    for value in (None, "", "3", "3,1", "3,,8,100", "3,1,x,100"):
        assert decode_load(value) is None


@pytest.mark.parametrize(
    ("has_load", "digest"), [(True, "270428d5afb32cfc"), (False, "50e03b0c34ce42bf")]
)
def test_choices_by_three_figures_or_none_are_unchanged(has_load, digest):
    """Guards against other choices for endpoints that do not state their pace.

    The digests are those of the choices that commit d8e8a12 made in this sequence.
    """
    rng, unused = random.Random(7), random.Random(1)
    state = unused.getstate()
    pool = [endpoint(number) for number in range(7)]
    stats = EndpointStatsTable()
    running, chosen, now = [], [], 0.0
    for _ in range(4_000):
        now += rng.expovariate(60.0)
        for run in [run for run in running if run[0] <= now]:
            running.remove(run)
            ended_at, started_at, found = run
            stats.finish_call(found)
            ok = rng.random() > 0.1 * (found.endpoint_id in ("i-1", "i-4"))
            load = EndpointLoad(rng.randrange(9), rng.randrange(4), 6)
            stats.record_load(found, load if has_load else None, now)
            stats.record_answer(found, ended_at - started_at, ok, now)
            if rng.random() < 0.01:
                stats.start_cooldown(found, now)
            if rng.random() < 0.01:
                stats.mark_full(found, now + 0.2)
        excluded = {rng.choice(pool).endpoint_id} if rng.random() < 0.1 else set()
        domain = rng.choice(DOMAINS)
        found = choose(pool, stats, domain, now, excluded, unused)
        chosen.append(found.endpoint_id if found else "-")
        if found:
            stats.start_call(found)
            running.append((now + rng.uniform(0.02, 0.3), now, found))
    assert len(set(chosen)) >= 7
    text = " ".join(chosen).encode()
    assert hashlib.sha256(text).hexdigest()[:16] == digest
    assert unused.getstate() == state


def choose(pool, stats, domain, now, excluded, rng):
    needs = AttemptNeeds(may_repeat=False, failed_domain=DOMAINS[0])
    return choose_endpoint(
        pool, stats, domain, REGIONS, now, excluded, needs, rng, TrialBudget()
    )


def plays(machines, load, **arguments) -> tuple[Outcome, Outcome]:
    """Return the sums of several plays: by the present choice, and by pace."""
    sums = []
    for is_paced in (False, True):
        found = [
            Play(machines, load, seed, is_paced, **arguments).run() for seed in SEEDS
        ]
        counts = [sum(row[i] for row in found) for i in range(7)]
        calls = [sum(row) for row in zip(*(o.calls_of for o in found), strict=True)]
        sums.append(Outcome(*counts, calls, max(o.avoided_max for o in found)))
    return sums[0], sums[1]


def late(outcome: Outcome) -> float:
    return 1.0 - outcome.on_time / outcome.calls


def lost(outcome: Outcome) -> float:
    return 1.0 - outcome.served / outcome.calls


def test_uneven_pace_under_high_load():
    """Guards against queues at endpoints whose machines are slow at the moment.

    Two of six endpoints are 2.5 times as slow, and all paces change ten times per
    second.
    """
    slow = Machine(2.5)
    machines = [Machine(), Machine(), slow, Machine(), slow, Machine()]
    before, now = plays(machines, Load(calls_per_s=230.0, duration_s=20.0))
    assert now.served == now.calls
    assert late(now) < late(before)


@pytest.mark.parametrize(
    "machines",
    [
        [Machine()] * 6,
        [Machine(0.8), Machine(1.5), Machine(2.5), Machine(), Machine(4.0), Machine()],
        [Machine(3.0, 0.3, swing_s=s) if s else Machine() for s in (8, 0, 5, 0, 11, 0)],
    ],
    ids=["even", "uneven", "swinging"],
)
def test_pace_under_usual_load(machines):
    """Guards against a choice by pace that makes more calls late than before.

    A tenth of a nine is allowed for chance: 10^0.1 times the late calls.
    """
    before, now = plays(machines, Load(duration_s=60.0))
    assert now.served == now.calls
    assert late(now) <= 10**0.1 * late(before)


@pytest.mark.parametrize("calls_per_s", [106.0, 230.0])
def test_endpoints_that_fail_part_of_their_calls(calls_per_s):
    """Guards against callers that see the failures of two endpoints in good health.

    The target is one nine more of served calls than by the present choice.
    """
    bad = Machine(failing=0.3)
    machines = [Machine(), bad, Machine(), Machine(), bad, Machine()]
    load = Load(calls_per_s=calls_per_s, duration_s=60.0)
    before, now = plays(machines, load)
    assert lost(now) <= 0.1 * lost(before)
    assert late(now) <= 10**0.1 * late(before)
    assert now.second_attempts < before.second_attempts
    assert min(now.calls_of) > 0


def test_calls_that_must_not_be_repeated_weigh_failures_more():
    """Guards against losing such calls at endpoints that fail, to save a short wait."""
    bad = Machine(failing=0.1)
    machines = [Machine(), bad, Machine(), Machine(), bad, Machine()]
    load = Load(calls_per_s=230.0, once_share=0.3, duration_s=20.0)
    _, told = plays(machines, load)
    _, untold = plays(machines, load, tells_needs=False)
    lost_told = 1.0 - told.once_served / told.once_calls
    assert lost_told < 0.5 * (1.0 - untold.once_served / untold.once_calls)


def test_endpoint_that_states_a_usual_pace_and_responds_slowly():
    """Guards against believing a stated figure that the measured times contradict."""
    honest = [Machine(), Machine(), Machine()]
    liars = [Machine(4.0, stated=1.0), Machine(stated=1.0), Machine(stated=6.0)]
    before, now = plays([*liars, *honest], Load(duration_s=30.0))
    assert late(now) <= 10**0.1 * late(before)
    even = sum(now.calls_of) / 6
    assert now.calls_of[0] < 0.25 * even
    # One that overstates its slowdown is not excluded.
    assert now.calls_of[2] > 0.5 * even


def test_flapping_endpoints():
    """Guards against losing calls, or an endpoint, while failures come and go."""
    machines = [Machine()] * 4 + [Machine(failing=0.5, flapping_s=s) for s in (5, 10)]
    before, now = plays(machines, Load(duration_s=30.0))
    assert lost(now) < lost(before)
    assert min(now.calls_of) > 0


def test_requests_that_fail_everywhere_make_no_endpoint_an_outlier():
    """Guards against an empty service after requests that no endpoint can answer."""
    _, now = plays([Machine()] * 6, Load(unsound_share=0.06, duration_s=30.0))
    assert lost(now) < 0.08
    assert min(now.calls_of) > 0.5 * sum(now.calls_of) / 6


@pytest.mark.parametrize("failing", range(1, 7))
def test_at_most_half_of_the_endpoints_are_avoided(failing):
    """Guards against an overload of the endpoints that are left."""
    machines = [Machine(failing=0.3 if i < failing else 0.0) for i in range(6)]
    outcome = Play(machines, Load(duration_s=20.0), 1, True).run()
    assert outcome.avoided_max <= 3
    bad = FailureRecord(20.0, 20.0, 0.0)
    records = {f"i-{i}": bad if i < failing else FailureRecord(20.0) for i in range(7)}
    view = judge_failures(records, 0.0)
    assert view.outliers == {f"i-{i}" for i in range(failing if failing <= 3 else 0)}


def test_trials_are_a_bounded_share_of_the_calls():
    """Guards against calls that are spent on endpoints known to fail."""
    trials, spent = TrialBudget(), 0
    for _ in range(1000):
        trials.record_call()
        spent += trials.try_spend()
    assert spent == TRIAL_SHARE * 1000
    budget = TrialBudget()
    budget.saved = 1.0
    rows = [Candidate(endpoint(0), 0.1), Candidate(endpoint(1), 9.0, is_outlier=True)]
    once = AttemptNeeds(may_repeat=False)
    assert select_candidate(rows, once, None, budget).reason == "best"
    chosen = select_candidate(rows, AttemptNeeds(), None, budget)
    assert (chosen.endpoint, chosen.reason) == (endpoint(1), "trial")


def test_second_attempt():
    """Guards against a second attempt that shares the cause of the first failure."""
    again = AttemptNeeds(failed_domain=DOMAINS[0])
    near, other = endpoint(0), endpoint(1)
    assert near.failure_domain == DOMAINS[0] != other.failure_domain
    fast = Candidate(near, 0.1, has_lately_succeeded=True)
    slow = Candidate(other, 0.14, has_lately_succeeded=True)

    def second(*rows: Candidate) -> FleetEndpoint:
        return select_candidate(rows, again, random.Random(1), None).endpoint

    assert second(fast, slow) is other
    assert second(fast, slow._replace(expected_s=0.2)) is near
    assert second(fast, slow._replace(has_lately_succeeded=False)) is near
    assert (
        second(fast._replace(is_outlier=True), slow._replace(expected_s=0.5)) is other
    )
    assert second(fast._replace(is_outlier=True)) is near


def test_nodes_spread_over_nearly_equal_endpoints():
    """Guards against nodes that all fill the same free slot."""
    rng = random.Random(1)
    rows = [Candidate(endpoint(i), 0.1 + i / 1e4, 0.0, 3.0 - i) for i in range(4)]
    rows.append(Candidate(endpoint(4), 0.1, 0.012, 6.0))
    drawn = [select_candidate(rows, AttemptNeeds(), rng, None) for _ in range(600)]
    counts = [sum(c.endpoint is row.endpoint for c in drawn) for row in rows]
    assert counts[0] > counts[1] > counts[2] > 0
    # Without a free slot, or in a farther domain.
    assert counts[3] == counts[4] == 0


def test_stated_pace_is_smoothed_limited_and_aged():
    """Guards against a single odd or old figure that decides choices."""
    pace = EndpointPace()
    for step in range(100):
        pace = pace.with_slowdown(1.0 + step % 2, step * 0.1)
    assert 1.3 < pace.slowdown < 1.7
    odd = pace.with_slowdown(1e12, 10.0).with_answer(0.08, 1e-12, 10.0)
    assert odd.expected_s(0.08, 0.08, 10.0) < 20.0
    slow = EndpointPace().with_slowdown(4.0, 0.0).with_answer(0.4, 4.0, 0.0)
    assert slow.expected_s(0.1, 0.08, 0.0) == pytest.approx(0.4)
    assert slow.expected_s(0.1, 0.08, 300.0) == pytest.approx(0.1, rel=0.01)
    # Faster at the moment, with the same work.
    assert slow.with_slowdown(1.0, 0.1).expected_s(0.1, 0.08, 0.1) < 0.4


def test_calls_that_have_not_run_say_nothing_of_the_pace():
    """Guards against quick refusals, or another endpoint's load, that attract calls."""
    stats = EndpointStatsTable()
    stats.record_answer(endpoint(0), 0.4, True, 1.0, 1.0)
    before = stats.get(endpoint(0))
    stats.record_answer(endpoint(0), 0.001, True, 2.0, 1.0, not_run=True)
    after = stats.get(endpoint(0))
    assert (after.pace, after.failures) == (before.pace, before.failures)
    headers = {"Poplarfold-Server-Load": "0,0,8,50"}
    assert decode_answer_metadata(421, headers).load is None
    assert decode_answer_metadata(429, headers).load == EndpointLoad(0, 0, 8, 0.5)


def test_engine_with_a_new_role_keeps_only_its_stated_pace():
    """Guards against decode engines that are judged by the times of their prefills."""
    prefill = endpoint(0)._replace(role=EndpointRole.PREFILL)
    decode = prefill._replace(role=EndpointRole.DECODE)
    stats = EndpointStatsTable()
    stats.start_call(prefill)
    stats.record_load(prefill, EndpointLoad(1, 0, 6, 2.0), 1.0)
    stats.record_answer(prefill, 3.0, True, 1.0, 2.0)
    assert stats.get(decode).pace == EndpointPace().with_slowdown(2.0, 1.0)
    assert stats.get(decode).open_calls == 1
    stats.record_answer(prefill, 3.0, True, 1.5, 2.0)
    assert stats.get(decode).pace.answers == 0


def test_only_free_endpoint_of_a_large_pool_is_found():
    """Guards against a sample of the pool that consists of full endpoints."""
    pool = [endpoint(number) for number in range(48)]
    stats = EndpointStatsTable()
    for row in pool[1:]:
        stats.record_load(row, EndpointLoad(1, 0, 6, 1.0), 0.0)
        stats.mark_full(row, 9.0)
    rng = random.Random(1)
    for _ in range(20):
        assert choose(pool, stats, DOMAINS[1], 1.0, set(), rng) is pool[0]
