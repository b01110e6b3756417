"""Limits, retries, endpoint health, role orders, prefix index and bench bound."""

import json
import random

import pytest
from test_cell_owner import LLM, entry, listed, report

from poplarfold._internal.bench.bound import Job, max_calls_in_time
from poplarfold._internal.bench.decisions import CALLS, decision_cost
from poplarfold._internal.bench.goodput import GoodputRun, run_goodput
from poplarfold._internal.core.commands import AppendLog, FinishCall, SendOrder
from poplarfold._internal.core.events import (
    AttemptEnded,
    CacheEvent,
    CallArrived,
    CallEnded,
    CallPlaced,
    EntryRevisionApplied,
    LogReadCompleted,
    LogRecord,
    OrderAnswered,
)
from poplarfold._internal.core.model import (
    CallClass,
    EndpointRef,
    EndpointRole,
    EntryKind,
    EntryLimits,
    Placement,
)
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.prefix_index import PrefixIndex
from poplarfold._internal.core.state import CallRow, NodeState
from poplarfold._internal.core.systems import (
    admission,
    calls,
    health,
    leaving,
    limits,
    membership,
    orders,
    retries,
)
from poplarfold._internal.core.systems.health import HealthState
from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.settings import DomainSettings, NodeSettings

DOMAINS = (
    DomainSettings("west-a", "west", 3),
    DomainSettings("west-b", "west", 2),
    DomainSettings("east-a", "east", 2),
)


def settings(domain="west-a", slot=0, host="me"):
    return NodeSettings(host, domain, DOMAINS, slot, strict_invariants=True)


def all_states():
    return [
        NodeState(settings(domain.name, slot), 1, 1)
        for domain in DOMAINS
        for slot in range(domain.host_slots)
    ]


def arrival(call_id, entry="captions", deadline=30.0):
    return CallArrived(
        call_id, "a", entry, True, 1000, 4000, (), 10, deadline, idempotency_key="k"
    )


def open_call(state, call_id, name="captions"):
    state.calls.put(call_id, CallRow(arrival(call_id, name), 0.0, "placing"))
    return limits.reserve_call(state, 0.0, call_id)


@pytest.mark.parametrize("limit", [1, 2, 7, 10, 100])
def test_shares_of_all_nodes_add_up_to_the_limit(limit):
    """Guards against shares whose sum is above or below the limit."""
    shares = [limits.integer_share(state, limit) for state in all_states()]
    assert sum(shares) == limit


def test_after_a_change_the_smaller_limit_applies_for_five_seconds():
    """Guards against nodes whose shares together exceed a limit during a change.

    Nodes learn of the change at different times, so that for some seconds old and new
    shares are in use together.
    """
    state = NodeState(settings(), 1, 1)
    wide = entry("captions")._replace(limits=EntryLimits(concurrency=63))
    state.entries.put("captions", wide)
    for number in range(7):
        assert open_call(state, f"c{number}").is_ok()
    assert open_call(state, "c7").is_err()
    raised = wide._replace(limits=EntryLimits(concurrency=630))
    state.entries.put("captions", raised)
    limits.on_event(EntryRevisionApplied("captions", 2), state, 10.0)
    assert limits.reserve_call(state, 14.9, "c7").is_err()
    assert limits.reserve_call(state, 15.0, "c7").is_ok()
    state.entries.put("captions", wide)
    limits.on_event(EntryRevisionApplied("captions", 3), state, 20.0)
    limits.on_event(CallEnded("c0", None, False), state, 20.0)
    assert limits.check_shares(state, 20.0) is None
    assert open_call(state, "c8").is_err()


def test_bytes_across_regions_stay_below_the_link_rate():
    """Guards against bursts of all nodes that exceed the link rate in any second."""
    rate = settings().link_bytes_per_s
    sent = []
    rng = random.Random(3)
    for state in all_states():
        state.entries.put("captions", entry("captions"))
        now = 0.0
        while now < 5.0:
            now += rng.random() * 0.02
            size = rng.randrange(1000, 40_000)
            row = state.entries["captions"]
            if limits.reserve_bytes(state, now, row, size, 10).is_ok():
                sent.append((now, size))
    for start, _ in sent:
        window = sum(size for at, size in sent if start <= at < start + 1.0)
        assert window <= rate


def retry_node(call_class=CallClass.INTERACTIVE):
    node = Node(settings(), 1, 1, (calls, retries))
    node.state.catalogue_ready = True
    row = entry("captions", call_class, EntryKind.MODEL)
    node.state.entries.put("captions", row)
    return node


def fail(node, now, call_id, sent, number=0, knows=False, phase="placing"):
    ref = EndpointRef("s", 1)
    lease = Placement(ref, None, f"l-{call_id}-{number}", now, 0, False, knows)
    node.step(now, [CallPlaced(call_id, lease)])
    ended = AttemptEnded(
        f"a-{call_id}-{number}", EndpointError("reset"), sent, 0, failed_endpoint="s"
    )
    return [c for c in node.step(now, [ended]) if isinstance(c, FinishCall)]


def test_retries_stop_at_the_budget():
    """Guards against retries that double the load of a failing fleet."""
    node = retry_node()
    refused = 0
    for number in range(100):
        node.step(0.0, [arrival(f"c{number}")])
        refused += len(fail(node, 0.0, f"c{number}", False))
    assert 100 - refused <= retries.RETRY_BUDGET_MAX + 100 * retries.RETRY_BUDGET_SHARE


@pytest.mark.parametrize("knows", [False, True])
def test_a_sent_filing_is_never_sent_elsewhere(knows):
    """Guards against a filing that runs twice.

    It may be repeated only at the process that recognises its operation id.
    """
    node = retry_node(CallClass.NON_REPEATABLE)
    node.step(0.0, [arrival("c")])
    call = node.state.calls["c"]
    node.state.calls.put(
        "c", call._replace(phase="placing", operation_id="op", fencing=4)
    )
    finished = fail(node, 0.0, "c", True, knows=knows)
    if knows:
        assert not finished
        ((_, _, only),) = node.state.part(retries.RetryState).due
        assert only == EndpointRef("s", 1)
    else:
        assert finished[0].error.code == "outcome_unknown"


def pool(count):
    node = Node(settings(), 1, 1, (membership, health))
    names = [f"d{number}" for number in range(count)]
    node.step(0.0, [listed(*names)])
    node.step(0.1, [report(name, EndpointRole.DECODE) for name in names])
    return node.state


@pytest.mark.parametrize("cause", ["failures", "slow"])
def test_ejection_probation_and_recovery(cause):
    """Guards against a bad endpoint that stays in use.

    An endpoint that works again must return to use after its probation.
    """
    state = pool(6)
    bad = EndpointRef("d0", 1)
    for number in range(1, 6):
        for _ in range(5):
            health.record_outcome(state, 1.0, EndpointRef(f"d{number}", 1), "", 0.02)
    for _ in range(5):
        code, interval = ("endpoint_error", 0.0) if cause == "failures" else ("", 0.05)
        health.record_outcome(state, 1.0, bad, code, interval)
    rows = state.part(HealthState).health
    assert rows[bad].status == "ejected"
    health.on_tick(state, 1.0 + health.EJECT_MIN_S)
    assert rows[bad].status == "probation"
    for _ in range(health.PROBATION_SUCCESSES):
        health.record_outcome(state, 7.0, bad, "", 0.02)
    assert rows[bad].status == "healthy"


def test_no_more_than_a_third_of_a_pool_is_ejected():
    """Guards against a network fault that ejects all endpoints."""
    state = pool(6)
    for number in range(6):
        for _ in range(5):
            ref = EndpointRef(f"d{number}", 1)
            health.record_outcome(state, 1.0, ref, "endpoint_stalled")
    rows = state.part(HealthState).health.values()
    assert sum(row.status == "ejected" for row in rows) == 2


def test_a_gap_in_cache_events_clears_the_index():
    """Guards against hits on blocks whose eviction event was lost."""
    index = PrefixIndex()
    index.apply(0.0, (CacheEvent(2, True, "b"), CacheEvent(1, True, "a")), 1)
    assert index.cached_blocks(("a", "b", "c"), 0.0) == 2
    index.apply(1.0, (CacheEvent(1, False, "a"),), 1)
    assert index.cached_blocks(("a", "b"), 1.0) == 2
    index.apply(2.0, (CacheEvent(9, True, "z"),), 9)
    assert index.cached_blocks(("a",), 2.0) == 0
    index.add_expected(3.0, ("q",))
    assert index.cached_blocks(("q",), 3.0) == 1
    assert index.cached_blocks(("q",), 60.0) == 0


def order_node():
    systems = (membership, health, leaving, admission, orders)
    node = Node(settings(), 1, 1, systems)
    node.state.entries.put(
        "captions", entry("captions")._replace(identity=LLM._replace(version="v2"))
    )
    node.state.catalogue_ready = True
    node.step(0.0, [listed("d")])
    # A new node owns cells only some time after its first host list.
    node.step(0.7, [])
    return node


def read(node, now, *bodies):
    part = node.state.part(orders.OrderState)
    first = part.next_offset
    records = tuple(
        LogRecord(first + number, str(number), json.dumps(body).encode())
        for number, body in enumerate(bodies)
    )
    event = LogReadCompleted("leases", first, 0, first + len(records), records)
    return node.step(now, [event, report("d", EndpointRole.DECODE)])


def test_orders_need_the_lease_and_a_fresh_read_of_the_log():
    """Guards against orders from a node that lost its lease or is partitioned."""
    node = order_node()
    commands = read(node, 1.0) + node.step(2.0, [])
    (append,) = [c for c in commands if isinstance(c, AppendLog)]
    own = json.loads(append.data)
    read(node, 3.0, own)
    sent = []
    for second in range(4, 12):
        sent += node.step(second, [report("d", EndpointRole.DECODE)])
    found = [c for c in sent if isinstance(c, SendOrder)]
    assert found and {c.fencing for c in found} == {0}
    assert {c.order_id for c in found} == {found[0].order_id}
    late = node.step(13.0, [report("d", EndpointRole.DECODE)])
    assert not [c for c in late if isinstance(c, SendOrder)]
    read(node, 14.0, {**own, "host": "rival", "replaces": 0})
    lease = node.state.part(orders.OrderState).leases[own["name"]]
    assert lease == ("rival", 1, 1)
    # A record that replaces an outdated record has no effect.
    read(node, 15.0, {**own, "replaces": 0})
    assert node.state.part(orders.OrderState).leases[own["name"]] == lease


def test_a_refused_fencing_number_ends_the_order():
    """Guards against an order that continues after another node got the lease."""
    node = order_node()
    commands = read(node, 1.0) + node.step(2.0, [])
    (append,) = [c for c in commands if isinstance(c, AppendLog)]
    read(node, 3.0, json.loads(append.data))
    node.step(4.0, [report("d", EndpointRole.DECODE)])
    (own,) = node.state.part(orders.OrderState).cells.values()
    order = own.order
    node.step(5.0, [OrderAnswered(order.order_id, "d", False, True)])
    assert own.order is None


def max_jobs_in_time(jobs):
    """Return the largest number of jobs that can all be done in time.

    Tries all subsets. A subset fits if preemptive scheduling by the earliest due date
    on one machine finishes each of its jobs in time.
    """
    best = 0
    for mask in range(1 << len(jobs)):
        chosen = [job for bit, job in enumerate(jobs) if mask >> bit & 1]
        windows = [(a.release_at, b.due_at) for a in chosen for b in chosen]
        feasible = all(
            sum(j.work_s for j in chosen if s <= j.release_at and j.due_at <= t)
            <= max(0.0, t - s) + 1e-9
            for s, t in windows
        )
        if feasible:
            best = max(best, len(chosen))
    return best


def test_the_bound_is_never_below_the_best_schedule():
    """Guards against a bound that an optimal schedule exceeds."""
    rng = random.Random(5)
    for _ in range(60):
        jobs = []
        for _ in range(8):
            release = rng.random() * 3
            due = release + 0.2 + rng.random()
            jobs.append(Job(release, due, 0.05 + rng.random() * 0.5))
        assert max_calls_in_time(jobs) >= max_jobs_in_time(jobs)


@pytest.mark.parametrize("deployment", ["association", "glasscairn"])
def test_goodput_is_reproducible_and_uses_own_endpoints_only(deployment):
    """Guards against runs that differ with the same seed.

    Also guards against calls to endpoints of other owners, and traffic above the
    link rate.
    """
    run = GoodputRun(deployment, "owner", 0.7, 2, seconds=6.0, faults=True)
    first, again = run_goodput(run), run_goodput(run)
    assert json.dumps(first) == json.dumps(again)
    assert first["calls_to_others"] == 0
    assert all(link["peak_share"] <= 1.0 for link in first["links"].values())


def test_the_decision_bench_measures_placements():
    """Guards against a cost per decision that is measured on rejected calls."""
    assert decision_cost(200)["placed"] == CALLS
