"""Quotas of accounts over several router processes of two regions, on loopback."""

import http.client
import json
import time

import pytest
from tests.lib.gateway_nodes import Node
from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.relay_nodes import RelayNode
from tests.lib.waits import wait_until

START_LIMIT_S = 20.0
WINDOW_S = 8.0
RATE_PER_S, BURST, OVER, SLACK = 2.0, 4.0, 0.1, 10.0
QUOTA = RATE_PER_S * WINDOW_S + BURST
BOUND = QUOTA * (1 + OVER) + SLACK
BOUNDS = {"quota_window_s": WINDOW_S, "quota_over": OVER, "quota_slack": SLACK}


def account(name, **changes):
    return {
        "name": name,
        "api_keys": [f"key-{name}"],
        "rate_per_s": RATE_PER_S,
        "burst": BURST,
        **changes,
    }


@pytest.fixture
def store():
    found = StoreStandIn()
    yield found
    found.stop()


@pytest.fixture
def endpoint(store):
    found = EndpointStandIn("i-plain-1")
    store.put("keyed.servers", "i-plain-1", found.entry("registry"))
    yield found
    found.stop()


@pytest.fixture
def start(tmp_path, store):
    """A function that starts three processes with some accounts, in two regions."""
    nodes = []

    def run(accounts):
        changes = {} if accounts is None else {"tenants": accounts}
        store.put("keyed.op", "config", configuration(**changes))
        for name, zone in (("h1", "lhr-a"), ("h2", "lhr-a"), ("h3", "khi-a")):
            nodes.append(Node(tmp_path, name, zone, store, BOUNDS))
        return nodes

    yield run
    for node in nodes:
        node.process.kill()
        node.process.wait()


@pytest.mark.timeout(90)
def test_calls_over_several_hosts_are_limited_together(start, endpoint):
    """Guards against hosts that each grant a whole quota, against a host that gets
    only an equal share of it, and against refused calls that run."""
    accounts = [account(name) for name in ("spread", "single", "other")]
    nodes = start(accounts)
    wait_until(lambda: all(n.heard_hosts() == 3 for n in nodes), START_LIMIT_S)
    # Each node also has to know that there are no others.
    wait_until(lambda: all(n.logged("PF6301") for n in nodes), START_LIMIT_S)
    time.sleep(1.0)
    spread, single = [], []
    for number in range(72):
        spread.append(nodes[number % 3].call("key-spread"))
        single.append(nodes[2].call("key-single"))
        time.sleep(1 / 12)
    for answers in (spread, single):
        statuses = [answer.status for answer in answers]
        assert set(statuses) == {200, 429}
        assert statuses.count(200) <= BOUND
        assert statuses[: int(QUOTA * 0.8)].count(429) == 0
        refused = [answer for answer in answers if answer.status == 429]
        assert all(float(a.getheader("Retry-After")) > 0 for a in refused)
        assert json.loads(refused[0].data)["error"]["code"] == "quota_exceeded"
    served = sum(answer.status == 200 for answer in spread + single)
    assert len(endpoint.runs) == served
    assert all(node.call("key-other").status == 200 for node in nodes)


def call_or_fail(node):
    """Return whether a call is admitted; one to a process that is down is not."""
    try:
        return node.call("key-spread").status == 200
    except (OSError, http.client.HTTPException):
        return False


@pytest.mark.timeout(90)
def test_hosts_that_start_again_keep_the_quota(start, endpoint):
    """Guards against processes that admit anew what the former processes of their
    hosts have admitted within the window, when no relay has outlived these."""
    nodes = start([account("spread")])
    wait_until(lambda: all(n.heard_hosts() == 3 for n in nodes), START_LIMIT_S)
    wait_until(lambda: all(n.logged("PF6301") for n in nodes), START_LIMIT_S)
    time.sleep(1.0)
    started_at = time.monotonic()
    actions = [
        (2.2, nodes[0].kill), (2.6, nodes[1].kill),
        (2.7, lambda: nodes[0].start(bootstrap=False)),
        (3.0, lambda: nodes[1].start(bootstrap=False)),
    ]  # fmt: skip
    admitted = []
    number = 0
    while (now := time.monotonic() - started_at) < 14.0:
        if actions and now >= actions[0][0]:
            actions.pop(0)[1]()
        number += 1
        if call_or_fail(nodes[number % 3]):
            admitted.append(now)
        time.sleep(1 / 12)
    highest = max(sum(at - WINDOW_S < a <= at for a in admitted) for at in admitted)
    print(f"highest window {highest} of {BOUND:.0f}, {admitted}")
    assert highest <= BOUND
    # After a window nothing is kept for the former processes.
    assert admitted[-1] > 11.0


@pytest.mark.timeout(90)
def test_units_of_a_rejected_call_are_returned(start, endpoint, store):
    """Guards against calls without a usable endpoint that use up the quota."""
    nodes = start([account("spread"), account("free", rate_per_s=0)])
    wait_until(lambda: all(n.heard_hosts() == 3 for n in nodes), START_LIMIT_S)
    wait_until(lambda: nodes[0].call("key-spread").status == 200, START_LIMIT_S)
    entry = endpoint.entry("registry", state="draining")
    store.put("keyed.servers", "i-plain-1", entry)
    # Calls of the limited account that are served while the node does not know of the
    # drain would use up its quota before the check.
    wait_until(lambda: nodes[0].call("key-free").status == 503, START_LIMIT_S)
    statuses = {nodes[0].call("key-spread").status for _ in range(int(2 * BOUND))}
    assert statuses == {503}


@pytest.mark.timeout(90)
def test_lost_region_is_logged(start, endpoint):
    """Guards against a cut between regions that nobody can see in the log."""
    nodes = start([account("spread")])
    wait_until(lambda: all(n.heard_hosts() == 3 for n in nodes), START_LIMIT_S)
    nodes[2].process.kill()
    wait_until(lambda: all(n.logged("PF1214") for n in nodes[:2]), START_LIMIT_S)
    assert nodes[0].logged("PF1216")


@pytest.mark.parametrize("accounts", [None, [account("free", rate_per_s=0)]])
def test_nothing_is_exchanged_without_limits(store, endpoint, accounts):
    """Guards against messages and connections between regions that cost their bytes
    where no account is limited."""
    changes = {} if accounts is None else {"tenants": accounts}
    store.put("keyed.op", "config", configuration(**changes))
    regions = ["lahore", "lahore", "lahore", "karachi"]
    nodes = [RelayNode(f"n{n}", store, region=r) for n, r in enumerate(regions)]
    sent = []
    for node in nodes:
        for name in ("report", "region_snapshot", "region_changes"):
            setattr(node.usage, name, lambda *given, name=name: sent.append(name))
        node.start()
    try:
        wait_until(lambda: all(n.fleet.node_count() == 4 for n in nodes), START_LIMIT_S)
        time.sleep(2.0)
        assert sent == []
        assert all(node.usage.levels() is None for node in nodes)
        assert not any(node.link.region_link.sources for node in nodes)
    finally:
        for node in nodes:
            node.stop()
