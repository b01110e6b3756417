"""Chooses the relays of a region: the nodes that read the store for the others.

If every node read the store, its calls and bytes would grow with nodes times
endpoints. Instead, each node subscribes to the first two available members of its
region, in an order that all nodes compute alike. A node that is one of these two by
its own knowledge, or that has subscribers, reads the store itself. Nodes need not agree
on the order: a disagreement only makes a few more nodes read. A node that hears nothing
recent from its relays reads the store itself, too.
"""

from collections.abc import Mapping
from typing import NamedTuple

from poplarfold._internal.core.state import Table
from poplarfold._internal.utils.backoff import NO_PAUSE, Pause
from poplarfold._internal.utils.rendezvous import rank_hosts

__all__ = ["Member", "RelayChoice"]

# With two relays, the failure of one delays nothing.
RELAYS_PER_REGION = 2
# A member that could not be reached or fell silent is not chosen for this long. The
# time doubles with each further failure, up to the maximum.
UNAVAILABLE_S = 2.0
UNAVAILABLE_MAX_S = 32.0


# Ranks the nodes by which of them gives orders to engines.
ORDERS_KEY = "orders"


class Member(NamedTuple):
    """A node of the fleet.

    ``address`` is that of its relay listener, if it has one, and ``tunnel_address``
    that at which it connects peers to endpoints. ``link_mbps`` is the rate of its
    host's network link in Mbit/s, or 0 if that is unknown.
    """

    host: str
    incarnation: int
    region: str
    address: str | None
    link_mbps: float = 0.0
    failure_domain: str = ""
    tunnel_address: str | None = None


class RelayChoice:
    """One node's choice of relays. Times are seconds of the runtime's clock.

    ``order_rank`` is the number of nodes that come before this one in giving orders,
    ``relay_rank`` that of its region's nodes that come before it as a relay.
    """

    def __init__(self, host: str, region: str) -> None:
        self.host = host
        self.region = region
        self.members: dict[str, Member] = {}
        # The members of the region that may be relays, the preferred ones first.
        self.ranked: tuple[Member, ...] = ()
        self.order_rank = 0
        self.relay_rank = 0
        self.unavailable: Table[str, Pause] = Table()

    @property
    def order(self) -> tuple[str, ...]:
        """The hosts of the region that may be relays, the preferred ones first."""
        return tuple(member.host for member in self.ranked)

    def update(self, members: Mapping[str, Member]) -> None:
        """Replace the known members of the fleet."""
        eligible = [
            member.host
            for member in members.values()
            if member.region == self.region and member.address is not None
        ]
        # A relay sends a large configuration to all nodes of its region, which takes a
        # slow link seconds. The sort is stable: equal links keep the hashed order.
        order = sorted(
            rank_hosts(self.region, eligible),
            key=lambda host: -members[host].link_mbps,
        )
        # Replaced at once, since other threads choose relays meanwhile.
        self.ranked = tuple(members[host] for host in order)
        self.members = dict(members)
        self.relay_rank = order.index(self.host) if self.host in order else 0
        hosts = rank_hosts(ORDERS_KEY, members)
        self.order_rank = hosts.index(self.host) if self.host in hosts else 0

    def record_failure(self, host: str, now: float) -> None:
        """Do not choose a member for a while, because it was unreachable or silent."""
        pause = self.unavailable.get(host, NO_PAUSE)
        pause = pause.lengthened(UNAVAILABLE_S, UNAVAILABLE_MAX_S, now)
        self.unavailable.put(host, pause)

    def record_success(self, host: str) -> None:
        """Forget the failures of a member that has sent current records."""
        self.unavailable.pop(host, None)

    def forget_failures(self) -> None:
        """Choose again among all members, as if none had failed."""
        self.unavailable.clear()

    def relays(self, now: float) -> list[Member]:
        """Return the relays to use, which may include this node itself."""
        available = [row for row in self.ranked if self.is_available(row.host, now)]
        return available[:RELAYS_PER_REGION]

    def is_available(self, host: str, now: float) -> bool:
        """Return whether a member may be chosen."""
        return self.unavailable.get(host, NO_PAUSE).until <= now

    def is_own_relay(self, now: float) -> bool:
        """Return whether this node must read the store by its own knowledge."""
        relays = self.relays(now)
        return not relays or any(member.host == self.host for member in relays)

    def is_first(self) -> bool:
        """Return whether this node is a relay if all members are available."""
        return self.host in self.order[:RELAYS_PER_REGION]

    def sources(self, now: float) -> list[Member]:
        """Return the members to subscribe to."""
        return [member for member in self.relays(now) if member.host != self.host]
