"""Tests of the background threads of a gateway."""

import random
from types import SimpleNamespace

from result import Ok

from poplarfold._internal.core.fleet.roles import StreamCost
from poplarfold._internal.gateway import threads
from poplarfold._internal.gateway.role_orders import RoleOrders


def test_thread_restarts_after_an_unexpected_exception(monkeypatch):
    """Guards against a node that silently keeps old routes after its store reader
    has failed."""
    monkeypatch.setattr(threads, "RESTART_DELAY_S", 0.0)
    logged = []
    attempts = iter([ValueError("odd record"), None])

    def run():
        error = next(attempts)
        if error is not None:
            raise error

    def write_log(number, call_id, fields):
        logged.append((number, "odd record" in fields["traceback"]))

    threads.start_thread("reader", run, write_log).join(5.0)
    assert logged == [("PF9002", True)]
    assert next(attempts, "ended") == "ended"


def test_needed_role_change_reads_the_store_once_per_claim(monkeypatch):
    """Guards against one store read per second by each node while a role change is
    needed."""
    now = 100.0
    reads = []
    fleet = SimpleNamespace(
        host=SimpleNamespace(bounds=SimpleNamespace(lease_s=3.0)),
        clock=lambda: now,
        cost=StreamCost(),
        rng=random.Random(1),
    )

    def read_end(topic, offset, timeout_s):
        reads.append(now)
        return Ok(1)

    store = SimpleNamespace(read_end=read_end)
    orders = RoleOrders(fleet, store, None, lambda number, call_id, fields: None)
    monkeypatch.setattr(orders, "plan_changes", lambda: ["change"])
    monkeypatch.setattr(orders, "claim_and_order", lambda: None)
    # The first read finds another node's claim, which is in force for 9 s.
    for _ in range(11):
        orders.check_pool_sizes()
        now += 1.0
    assert reads == [102.0]
