"""Tests of the fair order of waiting streams, and of the outlook on decode slots."""

import random

import pytest

from poplarfold._internal.core.fleet.admission_queue import (
    AdmissionPolicy,
    AdmissionQueue,
)
from poplarfold._internal.core.fleet.fair_order import StreamClass
from poplarfold._internal.core.fleet.relay_messages import CostReport
from poplarfold._internal.core.fleet.slot_outlook import (
    WAIT_HALF_LIFE_S,
    EngineRoom,
    SlotOutlook,
    SlotWaits,
)
from poplarfold._internal.core.fleet.slot_wait import plan_wait
from poplarfold._internal.core.fleet.stream_cost import StreamCost

POLICY = AdmissionPolicy(forecast_waits=1)


def add(queue, account, work=1_000.0, priority=5, is_late=False, on_time_until=99.0):
    kind = StreamClass(account, "r", priority, work)
    return queue.add("llm", is_late, 0.9, 1.0, kind, on_time_until)


def place_next(queue, now=2.0):
    """Give a slot to the first stream, and return its account."""
    rows = [r for r in queue.waiting.values() if queue.position(r.ticket, now) == 0]
    assert len(rows) == 1
    queue.record_placed(rows[0].ticket)
    queue.remove(rows[0].ticket)
    return rows[0].kind.account


@pytest.mark.parametrize("seed", range(3))
def test_no_account_gets_less_than_its_share(seed):
    """Guards against an account that crowds out others by number, size or priority."""
    rng = random.Random(seed)
    queue = AdmissionQueue(AdmissionPolicy(queue_max=1_000))
    counts = {"many": 5, "large": 1, "low": 1}
    priorities = {"many": 0, "large": 0, "low": 9}
    given = dict.fromkeys(counts, 0.0)
    for _ in range(400):
        for account, count in counts.items():
            queued = sum(r.kind.account == account for r in queue.waiting.values())
            for _ in range(count * 3 - queued):
                work = rng.uniform(500, 1_500) * (8 if account == "large" else 1)
                add(queue, account, work, priorities[account])
        before = dict(queue.waiting)
        place_next(queue)
        (ticket,) = before.keys() - queue.waiting.keys()
        given[before[ticket].kind.account] += before[ticket].kind.work
    # Up to one large stream may be under way.
    assert given["low"] >= 0.8 * max(given.values()) - 12_000
    assert given["large"] >= 0.9 * given["many"] - 12_000


def test_new_streams_go_before_retries_and_these_before_hopeless_ones():
    """Guards against retries that delay streams which can still be on time."""
    queue = AdmissionQueue(AdmissionPolicy())
    add(queue, "hopeless", on_time_until=1.5)
    add(queue, "retry", is_late=True)
    add(queue, "new", work=50_000.0, priority=9)
    assert [place_next(queue) for _ in range(3)] == ["new", "retry", "hopeless"]


def test_streams_that_request_a_lease_count_for_their_account():
    """Guards against an account that gets ahead by many requests at the same time."""
    queue = AdmissionQueue(POLICY)
    many = [add(queue, "many") for _ in range(3)]
    other = add(queue, "other")
    queue.set_requesting_lease(many[0].ticket, True)
    assert queue.position(other.ticket, 2.0) == 0
    assert queue.position(many[1].ticket, 2.0) == 1
    queue.set_requesting_lease(other.ticket, True)
    assert [queue.position(row.ticket, 2.0) for row in many[1:]] == [0, 1]


def test_full_queue_loses_streams_of_the_account_above_its_share():
    """Guards against one account that fills the queue for the others."""
    queue = AdmissionQueue(AdmissionPolicy(queue_max=6))
    rows = [add(queue, "many") for _ in range(7)]
    assert not queue.contains(rows[-1].ticket) and queue.contains(rows[0].ticket)
    others = [add(queue, f"a{number}") for number in range(3)]
    assert all(queue.contains(row.ticket) for row in others)
    assert len(queue.waiting) == 6


def test_pausing_stream_does_not_block_others():
    """Guards against streams that wait behind one that asks for no slot now."""
    queue = AdmissionQueue(POLICY)
    first, second = add(queue, None), add(queue, None)
    queue.delay(first.ticket, 3.0)
    assert queue.position(second.ticket, 2.0) == 0
    assert queue.position(second.ticket, 3.0) == 1


def test_expected_wait_counts_the_time_of_those_who_gave_up():
    """Guards against an estimate that falls when nobody gets a slot any more."""
    waits = SlotWaits()
    for _ in range(4):
        waits = waits.with_wait(0.1, True, 10.0)
    assert waits.expected_s == pytest.approx(0.1)
    for _ in range(4):
        waits = waits.with_wait(0.5, False, 10.0)
    assert waits.expected_s == pytest.approx(0.6)
    assert waits.placed_share == pytest.approx(0.5)
    assert waits.at_time(10.0 + 3 * WAIT_HALF_LIFE_S).expected_s is None
    # Engines without a free place give none before one of their streams ends.
    full = EngineRoom(2, 12.0, 12.0)
    assert SlotOutlook(waits, full, decode_s=12.0).expected_s == pytest.approx(1.0)
    assert SlotOutlook(SlotWaits(), EngineRoom(2, 3.0, 12.0)).expected_s == 0.0
    assert SlotOutlook(SlotWaits(), full, decode_s=12.0).expected_s is None


def test_limits_of_waits_without_and_with_what_was_learned():
    """Guards against waits beyond the deadline, and against guessed limits."""
    unknown, learned = SlotOutlook(), SlotOutlook(setup_s=0.2, decode_s=3.0)
    assert plan_wait(POLICY, unknown, 0.0, 14.0, 1.0, False).until == 0.55
    assert plan_wait(POLICY, unknown, 0.0, 14.0, 1.0, True).until == 0.55
    assert plan_wait(POLICY, learned, 0.0, 14.0, 1.0, False).until == 0.8
    assert plan_wait(POLICY, learned, 0.0, 9.0, 1.0, True).until == 1.5
    # There is no time to come back, so it waits on, but not beyond its deadline.
    assert plan_wait(POLICY, learned, 0.0, 5.0, 1.0, False).until == 1.5
    assert plan_wait(POLICY, learned, 0.0, 0.5, 1.0, False).until == 0.5
    assert plan_wait(POLICY, learned, 0.0, 3.0, 1.0, True).until == 0.0


def test_forecasts_are_off_without_accounts_unless_they_are_enabled():
    """Guards against deployments that change their behaviour without being asked."""
    found = [
        [AdmissionPolicy(forecast_waits=mode).uses_forecasts(has) for mode in range(3)]
        for has in (False, True)
    ]
    assert found == [[False, True, False], [True, True, False]]


def test_retry_after_is_spread_and_bounded_by_the_remaining_time():
    """Guards against callers that come back together, or later than they can."""
    rng = random.Random(1)
    busy = SlotOutlook(SlotWaits(5.0, 5.0, 5.0), decode_s=1.5)
    for outlook, usual_s in ((busy, 3.0), (SlotOutlook(), 4.0)):
        found = [outlook.retry_after_s(4.0, 2.0, 14.0, rng) for _ in range(200)]
        assert 0.7 * usual_s <= min(found) and max(found) <= usual_s
        assert max(found) - min(found) > 0.2 * usual_s
        assert outlook.retry_after_s(4.0, 2.0, 3.0, rng) <= 1.0


def test_reports_of_costs_carry_waits_and_ignore_them_as_costs():
    """Guards against a report with waits that cannot be read as a cost."""
    report = CostReport(1, 2, 3.0, 4.0, 5.0, 6.0, recent_placed=7.0)
    assert StreamCost.of_report(report).decode_s == 5.0
