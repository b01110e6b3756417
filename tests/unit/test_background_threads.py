"""Tests of the background threads of a gateway."""

import random
import time
from types import SimpleNamespace

from result import Ok
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.order_lease import LogEnd
from poplarfold._internal.core.fleet.roles import RoleChange
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway import threads
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.role_orders import RoleOrders
from poplarfold._internal.gateway.settings import GatewaySettings


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
        rng=random.Random(1),
    )

    def read_end(topic, offset, timeout_s):
        reads.append(now)
        return Ok(LogEnd(1))

    store = SimpleNamespace(read_end=read_end)
    orders = RoleOrders(
        fleet, store, None, lambda: 0, lambda number, call_id, fields: None
    )
    change = RoleChange(None, EndpointRole.DECODE, 1.0)
    monkeypatch.setattr(orders, "plan_changes", lambda: [change])
    monkeypatch.setattr(orders, "claim_and_order", lambda: None)
    # The first read finds another node's claim, which is in force for 9 s. It is made
    # at the start, so that the claim may be over when a role change is needed.
    for _ in range(10):
        orders.check_pool_sizes()
        now += 1.0
    assert reads == [100.0, 109.0]


def test_suspended_node_gives_no_order_under_an_expired_claim(monkeypatch):
    """Guards against an order that a host sends after it was suspended.

    Another node may have claimed the orders meanwhile. The steady clock of the host
    does not count the suspension.
    """
    clocks = {time.CLOCK_BOOTTIME: 1000.0, time.CLOCK_MONOTONIC: 1000.0}
    monkeypatch.setattr(time, "clock_gettime", lambda clock: clocks[clock])
    monkeypatch.setattr(time, "monotonic", lambda: clocks[time.CLOCK_MONOTONIC])
    fleet = Fleet(host_settings("a", "127.0.0.1:1"), GatewaySettings(), seed=1)
    sent, logged = [], []

    def accepted_orders(engine, timeout_s):
        clocks[time.CLOCK_BOOTTIME] += 5.0
        return 0

    engines = SimpleNamespace(
        accepted_orders=accepted_orders,
        order_role=lambda *arguments: sent.append(arguments),
    )
    orders = RoleOrders(
        fleet, None, engines, lambda: 0, lambda number, *_: logged.append(number)
    )
    endpoint = SimpleNamespace(address="127.0.0.1:2", endpoint_id="i-1")
    change = RoleChange(endpoint, EndpointRole.DECODE, 1.0)
    orders.send_order(change, fence=1, claimed_at=fleet.clock())
    assert not sent and logged == ["PF3502"]
