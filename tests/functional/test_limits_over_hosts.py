"""Limits that endpoints name, over several router processes on loopback."""

import bisect
import time

import pytest
from tests.lib.gateway_nodes import Node
from tests.lib.platform_standin import EndpointStandIn, StoreStandIn, configuration
from tests.lib.waits import wait_until

START_LIMIT_S = 20.0
# The platform's rule: from this time after a limit was first named, its endpoint gets
# at most OVER times the limit and SLACK calls in each window.
STABLE_S = 4.0
WINDOW_S = 4.0
OVER = 1.5
SLACK = 5
CALLS_PER_S = 30
MEASURED_S = 10.0
# A rejected call is told at once, on a busy machine too.
REJECTED_WITHIN_S = 1.0


class LimitedEndpoint(EndpointStandIn):
    """An endpoint that names a limit, and records when each call arrived."""

    def __init__(self, endpoint_id, limit_per_s=None):
        super().__init__(endpoint_id)
        self.limit_per_s = limit_per_s
        self.arrivals = []
        if limit_per_s is not None:
            self.answer_headers["Server-Limit"] = str(limit_per_s)

    def serve(self, request, body):
        self.arrivals.append(time.monotonic())
        super().serve(request, body)

    def most_in_a_window(self, since):
        """Return the most calls in any window that begins after a time."""
        times = sorted(at for at in list(self.arrivals) if at >= since)
        ends = (bisect.bisect_right(times, at + WINDOW_S) for at in times)
        return max((end - n for n, end in enumerate(ends)), default=0)

    def allowed(self):
        return OVER * self.limit_per_s * WINDOW_S + SLACK


@pytest.fixture
def store():
    found = StoreStandIn()
    found.put("keyed.op", "config", configuration())
    yield found
    found.stop()


@pytest.fixture
def announce(store):
    """A function that starts endpoints of the plain service with some limits."""
    endpoints = []

    def run(*limits):
        for number, limit in enumerate(limits):
            found = LimitedEndpoint(f"i-plain-{number}", limit)
            endpoints.append(found)
            entry = found.entry("registry")
            store.put("keyed.servers", found.endpoint_id, entry)
        return endpoints

    yield run
    for endpoint in endpoints:
        endpoint.stop()


@pytest.fixture
def nodes(tmp_path, store):
    zones = {"h1": "lhr-a", "h2": "lhr-a", "h3": "khi-a"}
    found = [Node(tmp_path, name, zone, store, {}) for name, zone in zones.items()]
    yield found
    for node in found:
        node.process.kill()
        node.process.wait()


def call_all(nodes):
    """Call all nodes in turn; return the answers, and the longest rejection in s."""
    for node in nodes:
        wait_until(lambda node=node: is_ready(node), START_LIMIT_S)
        wait_until(lambda node=node: b'"nodes": 3' in as_json(node), START_LIMIT_S)
    answers, longest_s = [], 0.0
    begins_at = time.monotonic()
    for number in range(int((STABLE_S + MEASURED_S) * CALLS_PER_S)):
        due_at = begins_at + number / CALLS_PER_S
        time.sleep(max(0.0, due_at - time.monotonic()))
        sent_at = time.monotonic()
        answers.append(nodes[number % len(nodes)].call())
        if answers[-1].status != 200:
            longest_s = max(longest_s, time.monotonic() - sent_at)
    return answers, longest_s, begins_at + STABLE_S


def as_json(node):
    return node.log.read_bytes().replace(b'"nodes":', b'"nodes": ')


def is_ready(node):
    try:
        return node.request("ready", "/v1/readyz").status == 200
    except OSError:
        return False


@pytest.mark.timeout(90)
def test_limited_endpoint_gets_no_more_than_it_takes_from_all_hosts(announce, nodes):
    """Guards against hosts that ignore a limit, or that each take all of it."""
    limited, _ = announce(3.3, None)
    answers, _, since = call_all(nodes)
    assert limited.most_in_a_window(since) <= limited.allowed()
    assert {answer.status for answer in answers} == {200}


@pytest.mark.timeout(90)
def test_calls_beyond_all_limits_are_rejected_at_once(announce, nodes):
    """Guards against calls that wait in vain, and endpoints whose limits are unused."""
    endpoints = announce(2.0, 3.5)
    answers, longest_s, since = call_all(nodes)
    for endpoint in endpoints:
        assert endpoint.most_in_a_window(since) <= endpoint.allowed()
    rejected = [answer for answer in answers if answer.status != 200]
    assert {answer.status for answer in rejected} == {503}
    assert all(float(answer.getheader("Retry-After")) > 0 for answer in rejected)
    assert longest_s < REJECTED_WITHIN_S
    # Half of what the endpoints take by their limits.
    limits = sum(endpoint.limit_per_s for endpoint in endpoints)
    assert len(answers) - len(rejected) >= 0.5 * limits * MEASURED_S
