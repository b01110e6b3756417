"""A path finder with a clock, a fleet, peers and endpoints that a test sets."""

from functools import partial
from types import SimpleNamespace

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.tunnel_messages import TunnelOutcome
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.gateway.path_finder import PathFinder
from poplarfold._internal.gateway.peer_tunnels import OpenedTunnel

CONNECT_S = 0.3
PEER = "front-lhr-a-2"


def endpoint_at(address):
    return FleetEndpoint(
        f"i-{address}", 1, "registry", address, "lhr-a", EndpointRole.SERVICE, 4,
        False, 0.0,
    )  # fmt: skip


class FleetStandIn:
    """The part of a fleet that a path finder uses. All endpoints are of one service."""

    def __init__(self, addresses):
        self.now = 100.0
        self.endpoints = {address: endpoint_at(address) for address in addresses}
        self.settings = SimpleNamespace(connect_s=CONNECT_S)

    def clock(self):
        return self.now

    def endpoint_at(self, address):
        return self.endpoints.get(address)

    def service_addresses(self, address):
        return frozenset((address, *self.endpoints))

    def endpoint_addresses(self):
        return frozenset(self.endpoints)

    def is_usable(self, endpoint):
        found = self.endpoints.get(endpoint.address)
        return found == endpoint and not found.is_leaving

    def end_cooldown(self, address):
        pass


class TunnelsStandIn:
    """``count`` peers, which answer each question with ``outcome``.

    ``on_open`` is called before they answer.
    """

    def __init__(self):
        self.outcome = TunnelOutcome.OPEN
        self.is_unreached = False
        self.asked = []
        self.closed = []
        self.on_open = lambda: None
        self.count = 3
        self.peers = SimpleNamespace(count=lambda members: self.count)

    def members(self):
        return {}

    def open(self, endpoint, time_left_s=None):
        self.asked.append(endpoint.address)
        is_open = self.outcome is TunnelOutcome.OPEN
        self.on_open()
        close = partial(self.closed.append, endpoint.address)
        sock = SimpleNamespace(close=close) if is_open else None
        peer = None if self.outcome is None else PEER
        return OpenedTunnel(sock, peer, self.outcome, self.is_unreached)


class ProbedFinder(PathFinder):
    """A path finder whose own connections end as ``errors`` says, or hang.

    ``errors`` has the number of the error by address, 0 for a connection. ``probed``
    has the addresses of each probe.
    """

    def __init__(self, addresses):
        self.logged = []
        super().__init__(FleetStandIn(addresses), TunnelsStandIn(), self.log)
        self.errors = {}
        self.probed = []

    def log(self, number, call_id, fields):
        self.logged.append((number, fields))

    def _probe(self, addresses):
        self.probed.append(list(addresses))
        found = {row: self.errors[row] for row in addresses if row in self.errors}
        if len(found) < len(addresses):
            self.fleet.now += CONNECT_S
        for address, number in found.items():
            if not number:
                self.record_reached(address)
        return found


class WorkStandIn:
    """The event for which the thread of a finder waits; it ends after some waits.

    A wait takes its whole time, by the clock of the finder.
    """

    def __init__(self, finder, waits):
        self.finder = finder
        self.waits = waits

    def wait(self, timeout_s=None):
        assert timeout_s is not None, "the thread would never wake up"
        self.finder.fleet.now += timeout_s
        self.waits -= 1
        if self.waits <= 0:
            self.finder.stopping.set()

    def set(self):
        pass

    def clear(self):
        pass


class PollStandIn:
    """A poll of a connection on which nothing arrives, which takes no time.

    It goes on with the clock of the finder, and does the work of its thread. From
    ``cut_at`` on, the finder's own connections hang.
    """

    def __init__(self, finder, cut_at):
        self.finder = finder
        self.cut_at = cut_at

    def register(self, sock, events):
        pass

    def poll(self, timeout_ms):
        self.finder.fleet.now += timeout_ms / 1000
        if self.finder.fleet.now >= self.cut_at:
            self.finder.errors.clear()
        self.finder.verify_suspects()
        return []
