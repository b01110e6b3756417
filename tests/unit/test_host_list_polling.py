"""The daemon's polls of the host list, and the pace of claims at scale."""

import threading

from result import Ok

from poplarfold._internal.core.events import HostListReceived
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import claim_batches, claims, membership
from poplarfold._internal.daemon.runtime import Runtime
from poplarfold._internal.settings import DomainSettings, NodeSettings


class StoppedRuntime:
    """What poll_hosts needs; stops when the lists are used up."""

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


def test_an_unchanged_host_list_is_not_folded_again(monkeypatch):
    """Guards against 17% of a core for an unchanged list of 4,000 endpoints."""
    monkeypatch.setattr("poplarfold._internal.daemon.runtime.HOST_LIST_PERIOD_S", 0.0)
    first, second = HostListReceived(1, ()), HostListReceived(2, ())
    runtime = StoppedRuntime(
        [first, HostListReceived(1, ()), second, HostListReceived(2, ())]
    )
    Runtime.poll_hosts(runtime)
    assert runtime.posted == [first, second]


def test_the_fleet_keeps_to_its_part_of_the_log(monkeypatch):
    """Guards against 400 nodes that append more than the log takes."""
    settings = NodeSettings("me", "a", (DomainSettings("a", "r", 400),))
    state: NodeState = Node(settings, 1, 1).state
    hosts = tuple(f"h{number}" for number in range(400))
    monkeypatch.setattr(membership, "all_live_hosts", lambda state: hosts)
    rate = len(hosts) / claim_batches.fair_interval(state)
    assert rate <= claim_batches.FLEET_APPENDS_PER_S
    assert claim_batches.fair_interval(state) < claims.CLAIM_TIMEOUT_S
