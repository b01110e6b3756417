"""Tests of the shares of limits that endpoints name."""

import random
from collections import deque

import pytest
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.server_limits import (
    ENDPOINTS_MAX,
    LimitHosts,
    ServerLimits,
)
from poplarfold._internal.core.fleet.server_signals import RETURN_SPREAD
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import EndpointsAwayError
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.platform import caller_answer_headers, decode_answer_metadata

# The platform's rule, see docs/incidents/server-limits.md.
STABLE_S = 4.0
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5
TICK_S = 0.02


def endpoint(name="i-1", born=7, role=EndpointRole.SERVICE):
    return FleetEndpoint(name, born, "s", "10.0.0.1:80", "a", role, 4, False, 0.0)


class Host:
    """A host that calls the limited endpoint whenever its share allows that."""

    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self.limits = ServerLimits()
        # The names of the hosts that it knows, which may be out of date.
        self.known = frozenset()
        self.told_at = None
        self.paused_until = 0.0

    def call(self, target, limit, now):
        """Call if that is allowed; return how many calls the endpoint gets."""
        hosts = LimitHosts(self.name, self.known, 400)
        if not self.limits.may_use(target, hosts, now):
            return 0
        calls = 2 if target.role is EndpointRole.DECODE else 1
        for _ in range(calls):
            self.limits.charge(target, hosts, now)
        self.limits.record(target, limit, now, now, self.rng.random())
        self.told_at = now if self.told_at is None else self.told_at
        return calls


class LimitedFleet:
    """Hosts that press on one limited endpoint, under a clock that is advanced.

    ``counted`` has the calls that count by the rule, as (time, number).
    """

    def __init__(self, count, limit, seed, role=EndpointRole.SERVICE):
        self.rng = random.Random(seed)
        self.limit = limit
        self.target = endpoint(role=role)
        self.now = 1000.0
        self.named = 0
        self.counted = deque()
        self.most = 0
        self.hosts = {}
        for _ in range(count):
            self.join()
        self.publish()

    def join(self):
        name = f"front-{self.named}"
        self.named += 1
        self.hosts[name] = Host(name, self.rng)

    def publish(self, share=1.0):
        """Tell a share of the hosts who is there now."""
        names = frozenset(self.hosts)
        for host in self.hosts.values():
            if not host.known or self.rng.random() < share:
                host.known = names

    def run(self, seconds, demand=1.0):
        """Let the hosts call for a time; ``demand`` is the chance of a tick's call."""
        for _ in range(int(seconds / TICK_S)):
            self.now += TICK_S
            hosts = list(self.hosts.values())
            self.rng.shuffle(hosts)
            for host in hosts:
                if host.paused_until <= self.now and self.rng.random() < demand:
                    self.count(host, host.call(self.target, self.limit, self.now))

    def count(self, host, calls):
        began_at = 1000.0 + STABLE_S
        if not calls or self.now < began_at or host.told_at > self.now - 0.5:
            return
        self.counted.append((self.now, calls))
        while self.counted[0][0] <= self.now - WINDOW_S:
            self.counted.popleft()
        self.most = max(self.most, sum(number for _, number in self.counted))

    def allowed(self):
        return OVER * self.limit * WINDOW_S + SLACK


LIMITS = (0.0, 0.4, 1.0, 3.3, 8.0, 40.0)


@pytest.mark.parametrize("count", [1, 3, 9, 66])
@pytest.mark.parametrize("limit", LIMITS)
def test_all_hosts_together_keep_to_a_limit(count, limit):
    """Guards against shares whose sum exceeds what an endpoint takes."""
    fleet = LimitedFleet(count, limit, seed=1)
    fleet.run(20.0)
    assert fleet.most <= fleet.allowed()


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("seed", range(4))
def test_limit_holds_while_hosts_come_and_go(limit, seed):
    """Guards against a sum that is exceeded while hosts join, end, pause, or know
    others who have ended."""
    fleet = LimitedFleet(9, limit, seed)
    fleet.run(5.0)
    for step in range(12):
        action = fleet.rng.choice(("join", "end", "pause", "rest"))
        hosts = list(fleet.hosts.values())
        if action == "join":
            fleet.join()
        elif action == "end" and len(hosts) > 4:
            del fleet.hosts[fleet.rng.choice(hosts).name]
        elif action == "pause":
            # What has been saved up before a pause or a rest is there after it.
            for host in fleet.rng.sample(hosts, len(hosts) // 2):
                host.paused_until = fleet.now + 3.0
        fleet.run(1.5, demand=0.0 if action == "rest" else 1.0)
        fleet.publish(share=0.5 if step % 2 else 1.0)
        fleet.run(1.5)
    assert fleet.most <= fleet.allowed()


@pytest.mark.parametrize("limit", [0.4, 3.3, 8.0])
def test_leases_count_towards_the_limit_of_an_engine(limit):
    """Guards against streams whose leases are not counted."""
    fleet = LimitedFleet(9, limit, seed=1, role=EndpointRole.DECODE)
    fleet.run(30.0)
    assert fleet.most <= fleet.allowed()


def test_limit_is_used():
    """Guards against shares that leave an endpoint idle although calls wait for it."""
    fleet = LimitedFleet(9, 3.3, seed=1)
    fleet.run(STABLE_S)
    used = 0
    for _ in range(int(30.0 / TICK_S)):
        fleet.now += TICK_S
        for host in fleet.hosts.values():
            used += host.call(fleet.target, fleet.limit, fleet.now)
    assert used >= 0.8 * 3.3 * 30.0


def test_hosts_without_a_share_learn_that_a_limit_has_ended():
    """Guards against an endpoint that most hosts avoid for good."""
    fleet = LimitedFleet(30, 3.3, seed=1)
    fleet.run(10.0)
    fleet.limit = None
    began_at = fleet.now
    for _ in range(int(120.0 / TICK_S)):
        fleet.now += TICK_S
        for host in fleet.hosts.values():
            host.call(fleet.target, None, fleet.now)
        if not any(host.limits.rows for host in fleet.hosts.values()):
            break
    assert fleet.now - began_at < 100.0


def test_limit_holds_for_its_incarnation_until_an_answer_without_one():
    """Guards against a limit of an earlier process, and one that is ended by an answer
    from before it was named."""
    limits, hosts = ServerLimits(), LimitHosts("a", frozenset("ab"), 2)
    assert limits.record(endpoint(), 2.0, 10.0, 10.1)
    assert not limits.may_use(endpoint(), hosts, 10.2)
    assert limits.may_use(endpoint(born=8), hosts, 10.2)
    assert not limits.record(endpoint(), None, 10.0, 10.3)
    assert not limits.record(endpoint(), 2.0, 10.2, 10.3)
    assert limits.record(endpoint(), 4.0, 10.2, 10.4)
    assert limits.record(endpoint(), None, 10.5, 10.6)
    assert limits.may_use(endpoint(), hosts, 10.6)
    limits.record(endpoint(born=8), 1.0, 11.0, 11.0)
    assert not limits.record(endpoint(), None, 12.0, 12.0)
    assert not limits.may_use(endpoint(born=8), hosts, 12.0)


def test_host_that_knows_no_others_takes_no_share():
    """Guards against hosts that each take all of a limit after their start."""
    limits, hosts = ServerLimits(), LimitHosts("a", frozenset(), 400)
    limits.record(endpoint(), 3.3, 0.0, 0.0)
    share = limits.share(endpoint(), hosts)
    assert share.is_trial
    assert share.calls_per_s < 3.3 / 400


def test_limits_are_bounded():
    """Guards against memory that grows with each replaced endpoint."""
    limits = ServerLimits()
    for number in range(ENDPOINTS_MAX + 10):
        limits.record(endpoint(f"i-{number}"), 1.0, 0.0, 0.0)
    assert len(limits.rows) == ENDPOINTS_MAX
    limits.remove_except({"i-20"})
    assert list(limits.rows) == ["i-20"]


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        ("3.3", 3.3),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("1e400", None),
        ("many", None),
        ("", None),
        (None, None),
    ],
)
@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_limit_is_read_from_any_answer(status, value, limit_per_s):
    """Guards against a malformed limit that stops all calls, and one that is missed in
    an answer with an error."""
    headers = {} if value is None else {"Server-Limit": value}
    assert decode_answer_metadata(status, headers).signal.limit_per_s == limit_per_s


def test_limit_is_not_passed_on():
    """Guards against callers that are told the limit of one endpoint, and against one
    that another endpoint at the address has named."""
    headers = {"Server-Limit": "3.3", "X-A": "b"}
    assert caller_answer_headers(headers.items()) == [("X-A", "b")]
    assert decode_answer_metadata(421, headers).signal.limit_per_s is None


class LimitedPool:
    """A fleet with endpoints of one service, under a clock that stands still."""

    def __init__(self, *limits):
        host = host_settings("front-0", "127.0.0.1:1")
        self.fleet = Fleet(host, GatewaySettings(), 1, lambda: 100.0)
        self.fleet.presence.update({"front-0": 1}, 100.0)
        for number, limit in enumerate(limits):
            row = endpoint(f"i-{number}")
            self.fleet.directory.apply_endpoint(row.endpoint_id, row, 100.0)
            self.fleet.record_limit(row, limit, 100.0)

    def check(self, within_s):
        self.fleet.check_pool("s", EndpointRole.SERVICE, within_s)


@pytest.mark.parametrize("within_s", [-0.01, 0.0, 1.0])
def test_pool_with_room_is_not_rejected(within_s):
    """Guards against a stream that is told of limits, although its wait is over."""
    LimitedPool(1.0, None).check(within_s)


def test_pool_whose_limits_leave_no_room_is_rejected():
    """Guards against calls that wait for room which comes too late, and callers who are
    told to come back before it does."""
    pool = LimitedPool(1.0, 4.0)
    assert pool.fleet.pick("s", EndpointRole.SERVICE) is None
    with pytest.raises(EndpointsAwayError) as caught:
        pool.check(0.2)
    # One host has both limits for itself.
    assert 0.25 <= caught.value.remaining_s <= 0.25 * (1 + RETURN_SPREAD)
    pool.check(0.3)
