"""Tests of decisions about the fleet, without sockets and with a simulated clock."""

import math
import random

import pytest

from poplarfold._internal.core.fleet.admission_queue import (
    AdmissionPolicy,
    AdmissionQueue,
    is_retry_call,
)
from poplarfold._internal.core.fleet.budget import RetryBudget
from poplarfold._internal.core.fleet.choice import (
    CANDIDATES_MAX,
    EndpointStatsTable,
    choose_endpoint,
    sample_candidates,
)
from poplarfold._internal.core.fleet.directory import Directory
from poplarfold._internal.core.fleet.order_lease import LogEnd, OrderLease
from poplarfold._internal.core.fleet.outputs import OutputForecast
from poplarfold._internal.core.fleet.own_prefill import (
    OwnPrefillPolicy,
    PrefillOutlook,
)
from poplarfold._internal.core.fleet.presence import PRESENCE_TIMEOUT_S, Presence
from poplarfold._internal.core.fleet.roles import (
    DECODE_GAIN_RATIO_MIN,
    plan_role_changes,
    streams_per_s,
)
from poplarfold._internal.core.fleet.rows import (
    CallKind,
    EndpointLoad,
    FleetEndpoint,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from poplarfold._internal.core.fleet.stream_cost import (
    StreamCost,
    expected_stream_s,
    merge_costs,
)
from poplarfold._internal.core.model import EndpointRole

REGIONS = {"lhr-a": "lahore", "lhr-b": "lahore", "khi-a": "karachi"}
# After this silence of an endpoint, the store removes its entry.
SILENCE_S = 3.6
ENGINES = Service("llm", slots=12, memory_tokens=85_406, lease_max_s=2.0)
# Streams of 5,000 prompt tokens that occupy a decode engine for 3.3 s.
LEARNED = StreamCost(
    prefill_count=100,
    stream_count=100,
    prompt_tokens=5_000.0,
    prefill_tokens_per_s=50_000.0,
    decode_s=3.3,
    reserved_tokens=12_000.0,
)


def endpoint(name, domain="lhr-a", role=EndpointRole.SERVICE, slots=4, born=1):
    return FleetEndpoint(
        name, born, "llm", f"10.0.0.1:{8000 + len(name)}", domain, role, slots, False, 0
    )


def table(version, prefix="/a/"):
    route = Route(
        "r", "h", prefix, CallKind.IDEMPOTENT, (WeightedService("llm", 1.0),),
        1.5, 0.3, 2, False, False,
    )  # fmt: skip
    return RouteTable(version, (route,), {})


def test_older_configuration_is_never_put_in_force():
    """Guards against a return to an older configuration after a gap in the log."""
    directory = Directory(SILENCE_S)
    assert directory.apply_routes(table(7))
    assert not directory.apply_routes(table(5, "/b/"))
    assert not directory.apply_routes(table(7, "/b/"))
    assert directory.match_route("h", "/a/x") is not None


def test_longest_prefix_of_the_host_wins():
    """Guards against a route that is hidden by another with a shorter prefix."""
    directory = Directory(SILENCE_S)
    short, long = table(1).routes[0], table(1, "/a/b/").routes[0]
    long = long._replace(name="long")
    directory.apply_routes(table(1)._replace(routes=(short, long)))
    assert directory.match_route("h", "/a/b/c").name == "long"
    assert directory.match_route("h", "/a/c").name == "r"
    assert directory.match_route("other", "/a/c") is None


def test_choice_in_a_large_pool_compares_a_sample_and_reaches_all():
    """Guards against a choice whose time grows with the size of the fleet.

    Comparing 1,000 endpoints per call took 7% of a core on one node.
    """
    rng = random.Random(1)
    pool = [endpoint(f"i-{number}") for number in range(1000)]
    assert sample_candidates(pool[:CANDIDATES_MAX], rng) == pool[:CANDIDATES_MAX]
    seen = set()
    for _ in range(300):
        found = sample_candidates(pool, rng)
        assert len(found) == CANDIDATES_MAX
        seen |= {row.endpoint_id for row in found}
    assert len(seen) == len(pool)


def test_usable_endpoints_are_current_after_each_change():
    """Guards against a stale cache: choosing endpoints that left or changed."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 0.0)
    first, second = endpoint("i-1"), endpoint("i-2")
    directory.apply_endpoint("i-1", first, 0.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == (first,)
    directory.apply_endpoint("i-2", second, 0.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == (first, second)
    directory.apply_endpoint("i-1", first._replace(is_leaving=True), 1.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == (second,)
    directory.apply_endpoint("i-2", None, 9.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == ()
    directory.apply_endpoint("i-2", second, 10.0)
    directory.set_store_status(False, 11.0)
    directory.set_store_status(True, 12.0)
    directory.apply_endpoint("i-2", None, 12.5)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == (second,)
    directory.remove_expired(15.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == ()


def test_entry_deleted_in_normal_operation_is_removed_at_once():
    """Guards against new work for an endpoint that left without draining."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 0.0)
    directory.apply_endpoint("i-1", endpoint("i-1"), 1.0)
    directory.apply_endpoint("i-1", None, 10.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == ()


def test_entry_that_expired_in_an_outage_stays_for_the_grace_time():
    """Guards against losing all endpoints in an outage of the store."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 0.0)
    directory.apply_endpoint("i-1", endpoint("i-1"), 1.0)
    directory.set_store_status(False, 20.0)
    directory.set_store_status(True, 25.0)
    directory.apply_endpoint("i-1", None, 25.0)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE)
    assert directory.remove_expired(26.0) == []
    assert [row.endpoint_id for row in directory.remove_expired(27.5)] == ["i-1"]
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == ()


def test_entry_deleted_after_the_grace_time_is_removed_at_once():
    """Guards against work for an endpoint that left 3 s after an outage.

    If its entry were kept like one that expired in the outage, the endpoint would
    still get work 2.5 s after it left.
    """
    directory = Directory(SILENCE_S)
    directory.apply_endpoint("i-1", endpoint("i-1"), 1.0)
    directory.set_store_status(True, 11.83)
    directory.apply_endpoint("i-1", None, 14.86)
    assert directory.usable_endpoints("llm", EndpointRole.SERVICE) == ()


def test_expired_entry_that_is_announced_again_stays():
    """Guards against removing a living endpoint after an outage."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 0.0)
    directory.apply_endpoint("i-1", endpoint("i-1"), 1.0)
    directory.set_store_status(False, 20.0)
    directory.set_store_status(True, 25.0)
    directory.apply_endpoint("i-1", None, 25.0)
    directory.apply_endpoint("i-1", endpoint("i-1"), 26.5)
    assert directory.remove_expired(30.0) == []
    assert directory.is_usable(endpoint("i-1"))


def test_restarted_endpoint_starts_with_new_statistics():
    """Guards against using the load and failures of an earlier incarnation."""
    directory = Directory(SILENCE_S)
    directory.apply_endpoint("i-1", endpoint("i-1", born=2), 1.0)
    assert not directory.is_usable(endpoint("i-1", born=1))
    endpoint_stats = EndpointStatsTable()
    endpoint_stats.start_cooldown(endpoint("i-1", born=1), 1.0)
    assert endpoint_stats.get(endpoint("i-1", born=2)).cooldown_until == 0.0


def test_late_end_of_a_call_to_an_earlier_incarnation_leaves_no_trace():
    """Guards against statistics that a call to a restarted endpoint deletes."""
    old, new = endpoint("i-1", born=1), endpoint("i-1", born=2)
    endpoint_stats = EndpointStatsTable()
    endpoint_stats.start_call(old)
    endpoint_stats.start_call(new)
    endpoint_stats.start_cooldown(new, 1.0)
    before = endpoint_stats.get(new)
    endpoint_stats.finish_call(old)
    endpoint_stats.record_answer(old, 0.0, False, 1.0)
    endpoint_stats.record_load(old, EndpointLoad(9, 9, 4, 5.0), 1.0)
    endpoint_stats.forgive_failures([old], 1.0)
    assert endpoint_stats.get(new) == before


def test_near_endpoint_is_chosen_until_it_is_busy():
    """Guards against needless traffic between domains, which is charged for."""
    near, far = endpoint("near"), endpoint("far", "khi-a")
    endpoint_stats = EndpointStatsTable()
    for _ in range(4):
        found = choose_endpoint([far, near], endpoint_stats, "lhr-a", REGIONS, 0.0)
        assert found is near
        endpoint_stats.start_call(found)
    endpoint_stats.start_call(near)
    endpoint_stats.start_call(near)
    assert choose_endpoint([far, near], endpoint_stats, "lhr-a", REGIONS, 0.0) is far


def test_reported_load_of_other_nodes_counts_until_it_is_outdated():
    """Guards against a node that considers only its own calls."""
    one, two = endpoint("one"), endpoint("two")
    endpoint_stats = EndpointStatsTable()
    endpoint_stats.record_load(one, EndpointLoad(4, 3, 4), 10.0)
    assert choose_endpoint([one, two], endpoint_stats, "lhr-a", REGIONS, 10.0) is two
    endpoint_stats.start_call(two)
    assert choose_endpoint([one, two], endpoint_stats, "lhr-a", REGIONS, 12.0) is one


def test_endpoint_that_fails_calls_but_reports_good_health_is_avoided():
    """Guards against preferring an endpoint that fails many calls, but fast."""
    failing, healthy = endpoint("failing"), endpoint("healthy", "khi-a")
    endpoint_stats = EndpointStatsTable()
    for _ in range(4):
        endpoint_stats.record_answer(failing, 0.01, False, 0.0)
    assert (
        choose_endpoint([failing, healthy], endpoint_stats, "lhr-a", REGIONS, 0.0)
        is healthy
    )
    assert (
        choose_endpoint([failing, healthy], endpoint_stats, "lhr-a", REGIONS, 30.0)
        is failing
    )


def test_cooldown_of_unresponsive_endpoint_doubles():
    """Guards against a crashed engine that is tried, and blocks the queue, every
    second."""
    crashed, full = endpoint("crashed"), endpoint("full")
    endpoint_stats = EndpointStatsTable()
    endpoint_stats.start_cooldown(crashed, 0.0)
    endpoint_stats.mark_full(full, 5.0)
    assert (
        choose_endpoint([crashed, full], endpoint_stats, "lhr-a", REGIONS, 0.5) is None
    )
    assert (
        choose_endpoint([crashed, full], endpoint_stats, "lhr-a", REGIONS, 1.1)
        is crashed
    )
    endpoint_stats.start_cooldown(crashed, 1.1)
    assert (
        choose_endpoint([crashed, full], endpoint_stats, "lhr-a", REGIONS, 2.5) is None
    )
    assert (
        choose_endpoint([crashed, full], endpoint_stats, "lhr-a", REGIONS, 3.2)
        is crashed
    )


def test_engine_that_refuses_streams_with_a_lease_is_avoided():
    """Guards against prefills for a decode engine that refuses all streams.

    An engine that is changing its role may grant leases for 6 s and then refuse
    their streams; 45 prefills were wasted that way.
    """
    changing, healthy = endpoint("changing"), endpoint("healthy", "khi-a")
    prefill = endpoint("p", role=EndpointRole.PREFILL)
    endpoint_stats = EndpointStatsTable()
    for now in (0.0, 0.2):
        endpoint_stats.record_refusal(changing, now)
        endpoint_stats.record_refusal(prefill, now)
        endpoint_stats.record_stream_start(healthy)
        endpoint_stats.record_stream_start(prefill)
    assert (
        choose_endpoint([changing, healthy], endpoint_stats, "lhr-a", REGIONS, 0.3)
        is healthy
    )
    assert endpoint_stats.get(prefill).cooldown_until == 0.0


def test_unresponsive_endpoint_is_used_if_there_is_no_other():
    """Guards against rejecting all calls after one lost connection."""
    crashed = endpoint("crashed")
    endpoint_stats = EndpointStatsTable()
    endpoint_stats.start_cooldown(crashed, 0.0)
    assert choose_endpoint([crashed], endpoint_stats, "lhr-a", REGIONS, 0.1) is crashed


@pytest.mark.parametrize("nodes", [6, 82, 400])
def test_retry_budget_of_all_nodes_holds_in_every_window(nodes):
    """Guards against nodes that together retry more often than the fleet may.

    Every call fails in this test.
    """
    ratio, slack, window_s = 0.2, 52.0, 10.0
    budgets = [RetryBudget(ratio, slack, window_s) for _ in range(nodes)]
    retries, requests = [], []
    for tick in range(400):
        now = tick * 0.05
        for number, budget in enumerate(budgets):
            if (tick + number) % 14 == 0:
                budget.record_request(now)
                requests.append(now)
                if budget.try_spend(nodes, now):
                    retries.append(now)
    for start in range(11):
        retry_count = sum(start <= at < start + window_s for at in retries)
        request_count = sum(start <= at < start + window_s for at in requests)
        assert retry_count <= ratio * request_count + slack
    assert retries


def test_nodes_are_counted_from_their_records():
    """Guards against many nodes that each spend the whole slack."""
    presence = Presence(assumed_count=400)
    assert presence.node_count() == 400
    presence.update({"a": 1, "b": 2, "c": 3}, 0.0)
    assert presence.node_count() == 3
    presence.update({"a": 4, "b": 5, "c": 3}, 0.6 * PRESENCE_TIMEOUT_S)
    assert presence.node_count() == 3
    presence.update({"a": 6, "b": 7, "c": 3}, 1.1 * PRESENCE_TIMEOUT_S)
    assert presence.node_count() == 2


def test_rejected_calls_spend_the_budget():
    """Guards against rejected prefills that do not count towards the budget."""
    budget = RetryBudget(0.2, 400.0, 10.0)
    for _ in range(100):
        budget.record_request(0.0)
    for _ in range(16):
        budget.count_retry(0.0)
    assert not budget.try_spend(400, 0.0)
    assert budget.try_spend(400, 11.0)


def test_streams_on_time_go_before_late_ones():
    """Guards against late calls that take the slots of calls still on time."""
    queue = AdmissionQueue(AdmissionPolicy())
    late = queue.add("llm", True, 0.9, 0.0)
    first = queue.add("llm", False, 0.9, 0.1)
    second = queue.add("llm", False, 0.9, 0.2)
    other = queue.add("other", False, 0.9, 0.3)
    assert [queue.position(row.ticket) for row in (first, second, late)] == [0, 1, 2]
    assert queue.position(other.ticket) == 0
    queue.remove(first.ticket)
    assert queue.position(second.ticket) == 0


def test_longest_wait_depends_on_the_target_of_the_route():
    """Guards against a fixed wait that is too long for a short latency target."""
    queue = AdmissionQueue(AdmissionPolicy())
    short = queue.add("llm", False, 0.3, 10.0)
    long = queue.add("llm", False, 3.0, 10.0)
    assert queue.rejection_time(short) < 10.3 - 0.1
    assert 11.0 < queue.rejection_time(long) < 13.0


def test_retry_is_detected_by_the_time_left():
    """Guards against retries that count as new calls."""
    assert is_retry_call(9.4, 14.0, 4.0)
    assert not is_retry_call(13.9, 14.0, 4.0)


def test_impatient_caller_is_no_retry():
    """Guards against first calls that wait behind others as if they were late.

    Callers wait for 85 to 100% of the route's timeout.
    """
    for share in (0.85, 0.9, 0.96):
        assert not is_retry_call(14.0 * share, 14.0, 4.0)


def test_stream_that_requests_a_lease_does_not_block_the_queue():
    """Guards against a queue blocked while its first stream asks a crashed engine."""
    queue = AdmissionQueue(AdmissionPolicy())
    head = queue.add("llm", False, 0.9, 0.0)
    following = queue.add("llm", False, 0.9, 0.1)
    queue.set_requesting_lease(head.ticket, True)
    assert queue.position(following.ticket) == 0
    queue.set_requesting_lease(head.ticket, False)
    assert queue.position(following.ticket) == 1


def pool(prefill, decode):
    return [
        *(endpoint(f"p{n}", role=EndpointRole.PREFILL) for n in range(prefill)),
        *(endpoint(f"d{n}", role=EndpointRole.DECODE) for n in range(decode)),
    ]


def test_idle_prefill_engines_become_decode_engines():
    """Guards against full decode engines while prefill engines are idle.

    At first, three of nine engines prefill, which is more than the streams need.
    """
    changes = plan_role_changes(pool(3, 6), ENGINES, LEARNED)
    assert [change.role for change in changes] == [EndpointRole.DECODE]
    assert changes[0].endpoint.role is EndpointRole.PREFILL


def test_nothing_is_ordered_before_the_cost_of_a_stream_is_known():
    """Guards against a plan by default costs, which describe other engines.

    On engines with less memory, such a plan turned nine of ten prefill engines into
    decode engines before the first call.
    """
    for prefill, decode in ((1, 2), (2, 3), (3, 6), (10, 20)):
        assert not plan_role_changes(pool(prefill, decode), ENGINES, StreamCost())
        first = StreamCost().with_prefill(0.1, 5000).with_stream(3.0, 9000)
        assert not plan_role_changes(pool(prefill, decode), ENGINES, first)


@pytest.mark.parametrize(
    ("service", "cost", "prefill", "decode"),
    [
        # Slots limit the decode engines.
        (
            Service("slots", slots=4, memory_tokens=1_000_000),
            LEARNED._replace(reserved_tokens=2_000.0),
            3,
            7,
        ),
        # Memory limits the decode engines.
        (
            Service("memory", slots=64, memory_tokens=26_321),
            LEARNED._replace(
                prompt_tokens=3_200.0,
                prefill_tokens_per_s=30_000.0,
                reserved_tokens=4_600.0,
            ),
            10,
            20,
        ),
        # Prefill limits the service.
        (
            Service("prefill", slots=64, memory_tokens=1_000_000),
            LEARNED._replace(
                prefill_tokens_per_s=10_000.0, decode_s=1.0, prefill_wait_s=3.0
            ),
            30,
            30,
        ),
    ],
    ids=["slots", "memory", "prefill"],
)
def test_pools_settle_by_what_limits_the_engines(service, cost, prefill, decode):
    """Guards against a plan that suits only engines of one kind.

    Both pools together must reach the best throughput, but for the gain that does not
    justify a change.
    """
    engines = pool(prefill, decode)
    for _ in range(len(engines)):
        for change in plan_role_changes(engines, service, cost):
            engines.remove(change.endpoint)
            engines.append(change.endpoint._replace(role=change.role))
    total = len(engines)
    settled = sum(row.role is EndpointRole.PREFILL for row in engines)
    best = max(streams_per_s(n, total - n, service, cost) for n in range(1, total))
    reached = streams_per_s(settled, total - settled, service, cost)
    assert reached >= best / DECODE_GAIN_RATIO_MIN


def test_large_pools_are_balanced_in_one_batch():
    """Guards against a plan that stops because one more engine would gain little.

    Such a plan changes only one of seven prefill engines.
    """
    changes = plan_role_changes(pool(7, 12), ENGINES, LEARNED)
    assert len(changes) >= 3


def test_plan_is_stable():
    """Guards against engines that change their role back and forth."""
    for total in range(3, 20):
        engines = pool(total // 2, total - total // 2)
        for _ in range(total):
            changes = plan_role_changes(engines, ENGINES, LEARNED)
            if not changes:
                break
            for change in changes:
                engines.remove(change.endpoint)
                engines.append(change.endpoint._replace(role=change.role))
        assert not plan_role_changes(engines, ENGINES, LEARNED)


def test_last_prefill_engine_stays():
    """Guards against decode engines whose streams stall at every prefill."""
    cost = LEARNED._replace(prefill_tokens_per_s=20_000.0)
    for change in plan_role_changes(pool(1, 5), ENGINES, cost):
        assert change.role is not EndpointRole.DECODE
    assert streams_per_s(0, 6, ENGINES, cost) < streams_per_s(1, 5, ENGINES, cost)


def test_few_decode_engines_change_at_a_time():
    """Guards against taking much room from the streams for an uncertain gain.

    Prefill engines that are not needed may change all at once.
    """
    slow = LEARNED._replace(prefill_tokens_per_s=5_000.0, prefill_wait_s=3.0)
    to_prefill = plan_role_changes(pool(4, 20), ENGINES, slow)
    assert [change.role for change in to_prefill] == [EndpointRole.PREFILL] * 3
    to_decode = plan_role_changes(pool(12, 12), ENGINES, LEARNED)
    assert len(to_decode) > 3
    assert {change.role for change in to_decode} == {EndpointRole.DECODE}


def test_decode_engines_stay_in_a_burst_that_fills_both_pools():
    """Guards against prefills that are lost because their decode engine has left.

    In a burst, prefills queue and look slow, and streams wait for slots as well.
    """
    slow = LEARNED._replace(prefill_tokens_per_s=5_000.0)
    burst = slow._replace(prefill_wait_s=2.0, slot_wait_s=1.5)
    assert not plan_role_changes(pool(1, 8), ENGINES, slow)
    assert not plan_role_changes(pool(1, 8), ENGINES, burst)
    assert plan_role_changes(pool(1, 8), ENGINES, burst._replace(slot_wait_s=0.1))
    assert plan_role_changes(pool(0, 9), ENGINES, slow)


def test_queued_prefills_do_not_count_as_slow_engines():
    """Guards against mistaking the queueing in a burst for slow prefill engines.

    Otherwise an engine may be ordered to prefill during a burst, and the change
    wastes prefills: 85 in one case.
    """
    cost = StreamCost()
    for _ in range(5):
        cost = cost.with_prefill(0.1, 5000)
    for _ in range(15):
        cost = cost.with_prefill(0.12, 5000)
    for _ in range(50):
        cost = cost.with_prefill(0.9, 5000)
    assert cost.prefill_s < 0.13


def test_cached_prompts_do_not_count_as_fast_engines():
    """Guards against too few prefill engines because of cached prompts.

    A prefill of a cached prompt takes about 8 ms. If it counted fully, one prefill
    engine would seem enough for eight decode engines, and prompts would wait 0.5 s.
    """
    cost = StreamCost()
    for number in range(200):
        cost = cost.with_prefill(0.008 if number % 20 == 0 else 0.1, 5000)
        assert number < 3 or cost.prefill_s > 0.085


def test_prefill_rate_of_slower_engines_is_learned():
    """Guards against estimates that start from one kind of engine."""
    cost = StreamCost()
    assert cost.prefill_s == 0.0
    for number in range(2000):
        cost = cost.with_prefill(0.9 + 0.1 * (number % 5), 5000)
        assert 0.8 < cost.prefill_s < 1.1


def test_pace_of_a_stream_that_adds_no_event_is_unknown():
    """Guards against a stream that fails at its end with a division by zero.

    Its first bytes held all of its events, and the last ones complete none.
    """
    assert expected_stream_s(0.2, 0.5, 0, 70) is None
    assert expected_stream_s(0.2, 0.5, 10, 70) == pytest.approx(3.7)


def test_nodes_that_see_few_streams_learn_from_each_other():
    """Guards against large fleets in which no node ever learns the cost of a stream."""
    node = StreamCost().with_prefill(0.1, 5000).with_stream(3.0, 9000)
    other = StreamCost().with_prefill(0.1, 2500).with_stream(1.0, 5000)
    merged = merge_costs([node] * 10 + [other] * 10)
    assert not node.is_learned and merged.is_learned
    assert merged.prompt_tokens == pytest.approx(3750)
    assert merged.decode_s == pytest.approx(2.0)
    assert StreamCost.of_report(merged.report()).prefill_s == merged.prefill_s
    assert merge_costs([]) == StreamCost()


def test_few_streams_exceed_their_lease_without_much_memory_reserved():
    """Guards against preempted streams and against reserving the whole limit.

    The outputs vary by about half, and so do the hints around them. Reserving 1.8
    times the hint gives leases of 7,130 outputs on average, which 12% of the streams
    exceed.
    """
    rng = random.Random(5)
    forecast = OutputForecast()
    reserved, exceeded = [], 0
    for number in range(4000):
        outputs = min(9360, int(4464 * math.exp(rng.gauss(0, 0.47))))
        hint = int(outputs * math.exp(rng.gauss(0, 0.5)))
        forecast = forecast.with_hint(hint)
        lease = forecast.outputs_to_reserve(hint, 9360)
        forecast = forecast.with_outputs(outputs, hint, 9360)
        if number >= 100:
            reserved.append(lease)
            exceeded += outputs > lease
    assert exceeded / len(reserved) < 0.08
    assert sum(reserved) / len(reserved) < 7500


def test_call_without_a_hint_reserves_its_limit():
    """Guards against a lease without memory if the caller gives no hint."""
    assert OutputForecast().outputs_to_reserve(0, 500) == 500
    assert 160 < OutputForecast().with_hint(0).outputs_to_reserve(100, 500) < 175


def test_decode_engine_prefills_only_short_prompts_and_not_two_in_a_row():
    """Guards against prefills that stall the engine's other streams for too long."""
    policy = OwnPrefillPolicy()
    endpoint_stats = EndpointStatsTable()
    engine = endpoint("d", role=EndpointRole.DECODE)
    row = endpoint_stats.get(engine)
    queued = PrefillOutlook(wait_s=0.5, own_s=0.2, target_s=0.9, pause_s=0.3)
    assert policy.is_better(queued, row, 10.0)
    assert not policy.is_better(queued._replace(wait_s=0.1), row, 10.0)
    assert not policy.is_better(queued._replace(own_s=0.26), row, 10.0)
    assert policy.is_better(queued._replace(wait_s=None, own_s=0.26), row, 10.0)
    endpoint_stats.record_own_prefill(engine, 10.0)
    assert not policy.is_better(queued, endpoint_stats.get(engine), 10.4)
    assert policy.is_better(queued, endpoint_stats.get(engine), 10.6)


def test_only_one_node_gives_orders_within_the_claim_interval():
    """Guards against two nodes that give role orders alternately."""
    winner = OrderLease(claim_interval_s=9.0, claim_valid_s=1.0)
    other = OrderLease(claim_interval_s=9.0, claim_valid_s=1.0)
    # A node that has just started does not know when the lease was claimed.
    assert not winner.may_claim(0.0)
    winner = winner.with_end(LogEnd(0), -9.0)
    other = other.with_end(LogEnd(0), -9.0)
    assert winner.may_claim(0.0) and other.may_claim(0.0)
    winner = winner.with_end(LogEnd(1), 0.0)
    other = other.with_end(LogEnd(1), 0.5)
    assert not other.may_claim(9.0)
    assert other.may_claim(9.5)
    assert winner.may_order(claimed_at=0.0, now=0.9)
    assert not winner.may_order(claimed_at=0.0, now=1.1)


def test_deletion_takes_effect_at_once_unless_the_store_was_lost():
    """Guards against calls to a removed endpoint by a node that has just started."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 10.0)
    directory.apply_endpoint("a", endpoint("a"), 10.0)
    directory.apply_endpoint("a", None, 10.1)
    assert not directory.endpoints
    lost_first = Directory(SILENCE_S)
    lost_first.set_store_status(False, 9.0)
    lost_first.set_store_status(True, 10.0)
    lost_first.apply_endpoint("a", endpoint("a"), 10.0)
    lost_first.apply_endpoint("a", None, 10.1)
    assert set(lost_first.endpoints) == {"a"}


def test_malformed_entry_takes_an_endpoint_out_of_use_during_an_outage():
    """Guards against calls to an endpoint whose newest entry names none.

    Entries that expire in an outage are deleted, and do not become malformed.
    """
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 0.0)
    directory.apply_endpoint("a", endpoint("a"), 10.0)
    directory.set_store_status(False, 11.0)
    change = directory.withdraw_endpoint("a", 0.0)
    assert change.before is not None and change.after is None
    assert not directory.endpoints
    assert directory.withdraw_endpoint("a", 0.0) == (None, None)


def test_copy_of_the_store_does_not_undo_what_an_endpoint_said():
    """Guards against requests to an endpoint that leaves or has gone, by an older entry
    in the copy from which the store has come back."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 10.0)
    ready, leaving = endpoint("a"), endpoint("a")._replace(is_leaving=True, revision=2)
    gone = endpoint("b")._replace(revision=3)
    directory.apply_endpoint("a", ready, 10.0)
    directory.apply_endpoint("a", leaving, 10.1)
    directory.apply_endpoint("b", gone, 10.1)
    directory.apply_endpoint("b", None, 10.2)
    directory.note_store_return(11.0)
    directory.apply_returned("a", ready, 11.0)
    directory.apply_returned("b", gone, 11.0)
    assert directory.endpoints == {"a": leaving}
    # A new entry of the same incarnation, and a new incarnation, are taken over.
    directory.apply_returned("b", gone._replace(revision=4), 11.1)
    directory.apply_returned("a", ready._replace(incarnation=99), 11.1)
    assert set(directory.endpoints) == {"a", "b"}
    assert not directory.endpoints["a"].is_leaving


def test_endpoint_that_a_copy_still_lists_is_back_if_it_lives():
    """Guards against an endpoint that is never used again: its entry had expired, and
    the copy has it unchanged, so that it writes no other one."""
    directory = Directory(SILENCE_S)
    directory.set_store_status(True, 10.0)
    for key in ("a", "b"):
        directory.apply_endpoint(key, endpoint(key), 10.0)
        directory.apply_endpoint(key, None, 10.1)
    directory.note_store_return(11.0)
    for key in ("a", "b"):
        directory.apply_returned(key, endpoint(key), 11.0)
    directory.apply_endpoint("b", None, 12.0)
    assert directory.take_over_withheld(read_at=14.9, now=99.0) == []
    found = directory.take_over_withheld(read_at=15.0, now=15.0)
    assert [row.endpoint_id for row in found] == ["a"]
    assert set(directory.endpoints) == {"a"} and not directory.withheld
