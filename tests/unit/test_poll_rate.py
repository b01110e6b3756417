"""The rate at which a node polls an endpoint for its report."""

import pytest

from poplarfold._internal.core.commands import PollEndpoint
from poplarfold._internal.core.events import (
    EndpointPollFailed,
    EndpointReported,
    HostListReceived,
    HostListRow,
    WorkItem,
)
from poplarfold._internal.core.model import (
    EndpointRef,
    EndpointRole,
    HostKey,
    Identity,
)
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import health, leaving, membership
from poplarfold._internal.settings import DomainSettings, NodeSettings

STEP_S = 0.01
LEAVING_LIMIT_S = 3.0
IDLE = EndpointReported(
    address="d",
    incarnation=1,
    identity=Identity("studio", "llm", "v1"),
    role=EndpointRole.DECODE,
    slots=20,
    busy=0,
    queued_tokens=0,
    pieces_total=2000,
    pieces_free=2000,
    leaving=False,
    rejects_stale_fencing=True,
    knows_operations=False,
    work=(),
    cache_seq=0,
)
BUSY = IDLE._replace(busy=1, work=(WorkItem("a", HostKey("other", 5), "decode"),))


class NodeHarness:
    """A node with one endpoint, which answers each poll in the next step."""

    def __init__(self, policy="owner"):
        settings = NodeSettings(
            "me",
            "west-a",
            (DomainSettings("west-a", "west", 1),),
            policy=policy,
            strict_invariants=True,
        )
        self.node = Node(settings, 1, 7, (membership, health, leaving))
        self.node.state.catalogue_ready = True
        self.answer = IDLE
        self.polls = []
        self.events = []
        self.now = 0.0
        host = HostListRow("d", "d", "endpoint", "west-a", "llm", False)
        self.node.step(0.0, [HostListReceived(1, (host,))])

    def run(self, seconds):
        """Advance the time and return the times of the polls sent meanwhile."""
        ends_at = self.now + seconds
        before = len(self.polls)
        while self.now < ends_at:
            self.now += STEP_S
            commands = self.node.step(self.now, self.events)
            polls = [c for c in commands if isinstance(c, PollEndpoint)]
            self.polls.extend(self.now for _ in polls)
            self.events = [self.answer for _ in polls if self.answer is not None]
        return self.polls[before:]


@pytest.fixture
def harness():
    harness = NodeHarness()
    harness.run(5.0)
    return harness


def test_idle_endpoint_is_polled_about_once_a_second(harness):
    # Guards against the CPU time spent on polls of idle endpoints.
    assert 9 <= len(harness.run(10.0)) <= 14


def test_policies_without_owners_poll_idle_endpoints_at_the_full_rate():
    # Guards against placements by reports that are 1 s old, since these policies
    # place calls by reports alone.
    harness = NodeHarness("p2c")
    harness.run(5.0)
    assert len(harness.run(10.0)) >= 35


def test_work_of_another_node_restores_the_full_rate(harness):
    # Guards against late cancels of the work of a dead node.
    harness.answer = BUSY
    harness.run(1.1)
    assert len(harness.run(10.0)) >= 35


def test_lease_restores_the_full_rate_while_it_is_held(harness):
    # Guards against late reports of an endpoint that this node sends work to.
    ref = EndpointRef("d", 1)
    health.record_lease(harness.node.state, harness.now, ref)
    health.record_lease(harness.node.state, harness.now, ref)
    first = harness.run(1.0)[0]
    assert first - (harness.now - 1.0) <= health.POLL_PERIOD_S + 2 * STEP_S
    health.record_lease_end(harness.node.state, ref)
    assert len(harness.run(10.0)) >= 35
    health.record_lease_end(harness.node.state, ref)
    harness.run(1.0)
    assert len(harness.run(10.0)) <= 14


def test_lease_does_not_repeat_a_poll_in_flight(harness):
    # Guards against a second poll while the first one waits for its response.
    harness.answer = None
    for _ in range(200):
        if harness.run(STEP_S):
            break
    health.record_lease(harness.node.state, harness.now, EndpointRef("d", 1))
    assert harness.run(health.POLL_TIMEOUT_S - 0.1) == []


def test_failed_poll_of_an_idle_endpoint_is_repeated_at_the_full_rate(harness):
    # Guards against taking 3 s, at the idle rate, to mark a dead endpoint as silent.
    harness.answer = EndpointPollFailed("d", False)
    harness.run(1.0 + health.POLL_FAILURES_MAX * (health.POLL_PERIOD_S + 2 * STEP_S))
    row = harness.node.state.part(health.HealthState).endpoints["d"]
    assert health.usable_report(harness.node.state, harness.now, row)[1] == "silent"


@pytest.mark.parametrize("phase", [0.0, 0.2, 0.4, 0.6, 0.8, 0.99])
def test_idle_endpoint_that_reports_leaving_is_detected_in_time(harness, phase):
    # Guards against new work on a leaving endpoint (leaving-gets-nothing): a report
    # may be the only sign, and it lags by 0.5 s.
    harness.run(phase)
    harness.answer = IDLE._replace(leaving=True)
    harness.run(LEAVING_LIMIT_S - 0.5)
    ref = EndpointRef("d", 1)
    assert leaving.is_leaving(harness.node.state, harness.now, ref)


@pytest.mark.parametrize("phase", [0.0, 0.2, 0.4, 0.6, 0.8, 0.99])
def test_idle_endpoint_that_stops_responding_gets_no_work_in_time(harness, phase):
    # Guards against new work on a leaving endpoint (leaving-gets-nothing) that no
    # longer responds to polls.
    harness.run(phase)
    harness.answer = None
    harness.run(LEAVING_LIMIT_S + STEP_S)
    row = harness.node.state.part(health.HealthState).endpoints["d"]
    assert health.usable_report(harness.node.state, harness.now, row)[0] is None
