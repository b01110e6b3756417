"""The validated settings that the core of a node uses."""

from typing import NamedTuple

__all__ = ["DomainSettings", "NodeSettings", "Policy"]

Policy = str
"""Name of a placement policy: owner, p2c, fixed, random, round-robin, least-loaded."""


class DomainSettings(NamedTuple):
    """One failure domain. ``host_slots`` is the number of its entry hosts."""

    name: str
    region: str
    host_slots: int


class NodeSettings(NamedTuple):
    """The settings of the core of one node.

    ``host_slot`` numbers the entry hosts of a domain from 0; it selects this
    node's share of each limit. ``peers`` are (host, address, domain) of the entry
    hosts to ask when the host list does not respond. Link rates are in bytes per
    second.
    """

    host: str
    domain: str
    domains: tuple[DomainSettings, ...]
    host_slot: int = 0
    policy: Policy = "owner"
    link_bytes_per_s: int = 15_000_000 // 8
    claim_horizon_s: float = 7 * 86400.0
    endpoint_rules: tuple[tuple[str, bool, bool], ...] = ()
    strict_invariants: bool = False
    peers: tuple[tuple[str, str, str], ...] = ()
    health_across_incarnations: bool = False

    @property
    def region(self) -> str:
        """Return the region of this node's failure domain."""
        return self.region_of(self.domain)

    def region_of(self, domain: str) -> str:
        """Return the region of ``domain``, or an empty string if unknown."""
        for row in self.domains:
            if row.name == domain:
                return row.region
        return ""

    @property
    def share(self) -> float:
        """Return this node's fixed share of each limit, between 0 and 1.

        Each domain holds an equal part of a limit, however many entry hosts it
        has, so that it can serve calls alone during a partition.
        """
        for row in self.domains:
            if row.name == self.domain:
                return 1.0 / (len(self.domains) * max(1, row.host_slots))
        return 0.0
