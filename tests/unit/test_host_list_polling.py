"""The daemon's polls of the host list, and the rate of claims at scale."""

import threading

from result import Ok

from poplarfold._internal.core.events import HostListReceived
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import claim_batches, claims, membership
from poplarfold._internal.daemon.runtime import Runtime
from poplarfold._internal.settings import DomainSettings, NodeSettings


class StoppedRuntime:
    """A stub with the attributes that poll_hosts uses; stops after the last list."""

    def __init__(self, lists):
        self.lists = list(lists)
        self.posted = []
        self.stopping = threading.Event()
        self.hosts = self
        self.peers = None

    def fetch(self):
        found = self.lists.pop(0)
        if not self.lists:
            self.stopping.set()
        return Ok(found)

    def post(self, event):
        self.posted.append(event)


def test_an_unchanged_host_list_is_not_posted_again(monkeypatch):
    """Guards against 17% of a processor core spent on an unchanged host list.

    Processing a list of 4,000 endpoints in every period takes that much.
    """
    monkeypatch.setattr("poplarfold._internal.daemon.runtime.HOST_LIST_PERIOD_S", 0.0)
    first, second = HostListReceived(1, ()), HostListReceived(2, ())
    runtime = StoppedRuntime(
        [first, HostListReceived(1, ()), second, HostListReceived(2, ())]
    )
    Runtime.poll_hosts(runtime)
    assert runtime.posted == [first, second]


def test_the_fleet_stays_within_its_share_of_log_appends(monkeypatch):
    """Guards against 400 nodes that together exceed their share of log appends."""
    settings = NodeSettings("me", "a", (DomainSettings("a", "r", 400),))
    state: NodeState = Node(settings, 1, 1).state
    hosts = tuple(f"h{number}" for number in range(400))
    monkeypatch.setattr(membership, "all_live_hosts", lambda state: hosts)
    rate = len(hosts) / claim_batches.fair_interval(state)
    assert rate <= claim_batches.FLEET_APPENDS_PER_S
    assert claim_batches.fair_interval(state) < claims.CLAIM_TIMEOUT_S
