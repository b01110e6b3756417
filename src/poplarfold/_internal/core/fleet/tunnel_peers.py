"""Chooses the peers through which a node reaches endpoints that are cut off from it."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.state import Table
from poplarfold._internal.utils.backoff import NO_PAUSE, Pause

__all__ = ["TunnelPeers"]

# A peer that could not help is not asked again for this long. The time doubles with
# each further failure, up to the maximum.
UNAVAILABLE_S = 1.0
UNAVAILABLE_MAX_S = 8.0
# A peer that did not reach an endpoint is asked for it last for this long. It is more
# than the longest pause of an endpoint, so that other peers are asked after that.
MISSED_KEPT_S = 10.0


class Unavailability(NamedTuple):
    """How long a process is not asked again."""

    incarnation: int
    pause: Pause


class TunnelPeers:
    """One node's choice of peers. Times are seconds of the runtime's clock.

    Near peers come first, and equal ones in random order, so that the load spreads. A
    failure domain of which a peer could not help is asked last, as its other nodes
    may have lost the same links. A peer that does not reach one service may reach
    others.

    A peer that does not reach an endpoint may have lost its links, or the endpoint may
    be down. Until another peer reaches it, the one is asked last for this endpoint,
    and as before for others.
    """

    def __init__(self, host: str, failure_domain: str, region: str) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.region = region
        # By the host and the service, or "" if the host does not answer.
        self.unavailable: Table[tuple[str, str], Unavailability] = Table()
        # When processes last did not reach incarnations of endpoints, the oldest first.
        self.missed: Table[tuple[str, int, str, int], float] = Table()

    def candidates(
        self,
        members: Mapping[str, Member],
        endpoint: FleetEndpoint,
        now: float,
        rng: random.Random,
    ) -> list[Member]:
        """Return the members that may be asked for an endpoint, the best first."""
        self._forget_missed(now)
        rows = self._peers(members)
        away = {
            row.host
            for row in rows
            if not self._is_available(row, endpoint.service, now)
        }
        missed = {row.host for row in rows if missed_key(row, endpoint) in self.missed}
        suspect = {row.failure_domain for row in rows if row.host in away | missed}
        rows = [row for row in rows if row.host not in away]
        rng.shuffle(rows)
        rows.sort(
            key=lambda row: (
                row.host in missed,
                row.failure_domain in suspect,
                self._distance(row),
            ),
        )
        return rows

    def record_missed(self, peer: Member, endpoint: FleetEndpoint, now: float) -> None:
        """Ask a peer last for an endpoint that it does not reach."""
        key = missed_key(peer, endpoint)
        self.missed.pop(key, None)
        self.missed.put(key, now)

    def record_failure(
        self, peer: Member, service: str, asked_at: float, now: float
    ) -> None:
        """Do not ask a peer for a service for a while, or for any if that is "".

        Several calls may have asked it before the first one has failed. That counts as
        one failure.
        """
        pause = self._pause(peer, service)
        if asked_at < pause.until:
            return
        pause = pause.lengthened(UNAVAILABLE_S, UNAVAILABLE_MAX_S, now)
        found = Unavailability(peer.incarnation, pause)
        self.unavailable.put((peer.host, service), found)

    def record_success(self, peer: Member, endpoint: FleetEndpoint) -> None:
        """Forget the failures of a peer that has helped."""
        self.unavailable.pop((peer.host, endpoint.service), None)
        self.unavailable.pop((peer.host, ""), None)
        self.missed.pop(missed_key(peer, endpoint), None)

    def count(self, members: Mapping[str, Member]) -> int:
        """Return the number of members that serve tunnels, but for this node."""
        return len(self._peers(members))

    def _peers(self, members: Mapping[str, Member]) -> list[Member]:
        return [
            row
            for row in members.values()
            if row.host != self.host and row.tunnel_address is not None
        ]

    def _forget_missed(self, now: float) -> None:
        for key, at in self.missed.rows():
            if at > now - MISSED_KEPT_S:
                return
            del self.missed[key]

    def _is_available(self, peer: Member, service: str, now: float) -> bool:
        return all(self._pause(peer, name).until <= now for name in (service, ""))

    def _pause(self, peer: Member, service: str) -> Pause:
        """Return the pause of a peer, none for that of an earlier process."""
        row = self.unavailable.get((peer.host, service))
        if row is None or row.incarnation != peer.incarnation:
            return NO_PAUSE
        return row.pause

    def _distance(self, member: Member) -> int:
        """Return 0 for the own failure domain, 1 for the own region, and 2 else."""
        if member.failure_domain == self.failure_domain:
            return 0
        return 1 if member.region == self.region else 2


def missed_key(peer: Member, endpoint: FleetEndpoint) -> tuple[str, int, str, int]:
    """Return what stands for the processes of a peer and an endpoint."""
    return (peer.host, peer.incarnation, endpoint.endpoint_id, endpoint.incarnation)
