"""Tests of the right to give orders, over a store that may come back older."""

import random

import pytest
from result import Err
from tests.lib.platform_standin import StoreStandIn
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.roles import RoleChange
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import StoreUnavailableError
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.role_orders import RoleOrders
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.platform import StoreClient

LEASE_S = 3.0
STEP_S = 0.25
ENGINE = FleetEndpoint(
    "i-1", 1, "llm", "127.0.0.1:1", "lhr-a", EndpointRole.PREFILL, 4, False, 0.0, "v1"
)


class Time:
    """The clock of all hosts of a test."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Engines:
    """Stands in for the engines: takes each order down."""

    def __init__(self, clock):
        self.clock = clock
        self.orders = []

    def accepted_orders(self, engine, timeout_s):
        return len(self.orders)

    def order_role(self, engine, request, timeout_s):
        self.orders.append((request.holder, request.fencing_number, self.clock()))
        return 202


@pytest.fixture
def store():
    found = StoreStandIn()
    yield found
    found.stop()


class Fixture:
    """Hosts that share a store, an engine and a clock."""

    def __init__(self, store):
        self.store = store
        self.clock = Time()
        self.engines = Engines(self.clock)

    def host(self, name):
        """Return a host that has just started, and wants to change a role."""
        settings = host_settings(name, self.store.address)
        fleet = Fleet(settings, GatewaySettings(), len(name), self.clock)
        client = StoreClient(EndpointClient(0.3), self.store.address)
        found = RoleOrders(
            fleet, client, self.engines, lambda: 0, lambda number, call, fields: None
        )
        change = RoleChange(ENGINE, EndpointRole.DECODE, 2.0)
        found.plan_changes = lambda: [change]
        return found

    def run(self, hosts, duration_s):
        """Let hosts check their pools in turn for a while."""
        until = self.clock.now + duration_s
        while self.clock.now < until:
            for host in hosts:
                host.check_pool_sizes()
            self.clock.now += STEP_S


def assert_one_holder(orders):
    """Check that fencing numbers rise, and that holders do not alternate too fast."""
    for before, after in zip(orders, orders[1:], strict=False):
        if before[0] == after[0]:
            assert after[1] >= before[1], orders
            continue
        assert after[1] > before[1], orders
        assert after[2] - before[2] >= LEASE_S, orders


def test_fencing_number_is_not_given_twice_after_a_return(store):
    """Guards against two holders with one fencing number, whose orders an engine cannot
    tell apart (ONE)."""
    run = Fixture(store)
    old = run.host("front-lhr-a-1")
    run.run([old], 12.0)
    copy = store.copy()
    run.run([old], 30.0)
    assert len({fence for _, fence, _ in run.engines.orders}) >= 4
    store.return_to(copy)
    run.run([run.host("front-khi-a-1"), old], 60.0)
    assert len({holder for holder, _, _ in run.engines.orders}) == 2
    assert_one_holder(run.engines.orders)


def test_host_that_knows_a_lost_end_orders_again(store):
    """Guards against a host that gives no orders until the log has grown again."""
    run = Fixture(store)
    host = run.host("front-lhr-a-1")
    copy = store.copy()
    run.run([host], 40.0)
    store.return_to(copy)
    count = len(run.engines.orders)
    run.run([host], 25.0)
    assert len(run.engines.orders) > count


def test_host_that_starts_does_not_order_beside_a_lost_claim(store):
    """Guards against turns within the lease: the newest claim is lost, and a host that
    has just started sees an empty log."""
    run = Fixture(store)
    old = run.host("front-lhr-a-1")
    copy = store.copy()
    while not run.engines.orders:
        run.run([old], STEP_S)
    store.return_to(copy)
    run.run([run.host("front-khi-a-1")], 20.0)
    assert len({holder for holder, _, _ in run.engines.orders}) == 2
    assert_one_holder(run.engines.orders)


@pytest.mark.parametrize("seed", range(12))
def test_any_order_of_returns_and_starts_keeps_one_holder(store, seed):
    """Guards against two holders at once, by copies of any age, hosts that start and
    hosts that see a return late."""
    rng = random.Random(seed)
    run = Fixture(store)
    hosts = [run.host(f"front-{n}") for n in range(3)]
    copies = [store.copy()]
    for _ in range(40):
        awake = [host for host in hosts if rng.random() < 0.7]
        run.run(awake, rng.choice((0.25, 1.0, 4.0)))
        action = rng.random()
        if action < 0.3:
            copies.append(store.copy())
        elif action < 0.5:
            store.return_to(rng.choice(copies[-3:]))
        elif action < 0.65:
            hosts[rng.randrange(3)] = run.host(f"front-{rng.randrange(9)}")
    count = len(run.engines.orders)
    run.run(hosts, 25.0)
    assert len(run.engines.orders) > count
    assert_one_holder(run.engines.orders)


class LossyStore:
    """A store whose answers to claims are lost or old, and that executes some late."""

    def __init__(self, run, client, rng):
        self.run = run
        self.client = client
        self.rng = rng

    def read_end(self, *args):
        result = self.client.read_end(*args)
        self.run.return_at_random(self.rng, 0.05)
        return result

    def append_at(self, topic, end, record, timeout_s):
        action = self.rng.random()
        if action < 0.2:
            self.run.late.append((topic, end, record))
            return Err(StoreUnavailableError("no answer"))
        result = self.client.append_at(topic, end, record, timeout_s)
        # The answer of the era before arrives after the return.
        self.run.return_at_random(self.rng, 0.2)
        return Err(StoreUnavailableError("lost answer")) if action < 0.4 else result


class LossyFixture(Fixture):
    """Hosts whose claims are executed late, or in another era than they were made."""

    def __init__(self, store, rng):
        super().__init__(store)
        self.rng = rng
        self.late = []
        self.copies = [store.copy()]
        self.plain = StoreClient(EndpointClient(0.3), store.address)

    def host(self, name):
        found = super().host(name)
        found.store = LossyStore(self, found.store, self.rng)
        return found

    def return_at_random(self, rng, share):
        if rng.random() < share:
            self.store.return_to(rng.choice(self.copies[-3:]))

    def execute_late(self):
        """Execute the claims without an answer, if their condition still holds."""
        for topic, end, record in self.late:
            self.plain.append_at(topic, end, record, 0.3)
        self.late.clear()


@pytest.mark.parametrize("seed", range(12))
def test_late_claims_and_late_answers_over_returns_keep_one_holder(store, seed):
    """Guards against a claim that counts although it was executed in another era, or
    answered before a return and used after it."""
    rng = random.Random(seed)
    run = LossyFixture(store, rng)
    hosts = [run.host(f"front-{n}") for n in range(3)]
    for _ in range(40):
        awake = [host for host in hosts if rng.random() < 0.7]
        run.run(awake, rng.choice((0.25, 1.0, 4.0, 10.0)))
        action = rng.random()
        if action < 0.3:
            run.copies.append(store.copy())
        elif action < 0.6:
            run.execute_late()
        elif action < 0.7:
            hosts[rng.randrange(3)] = run.host(f"front-{rng.randrange(9)}")
    assert run.engines.orders
    assert_one_holder(run.engines.orders)
