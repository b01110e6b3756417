"""Which endpoints a node reaches over its own links, and which only through peers.

A connection that fails says nothing of its cause: the endpoint may be down, or the path
between the two. A peer that reaches the endpoint tells them apart. An endpoint counts
as cut off from this node once a connection of its own has failed and a peer has reached
it, until a connection of its own succeeds again.

If that is so of several endpoints of a service, and none of it has been reached since,
the node takes itself for cut off from the whole service, and tries no further ones in
vain.

    paths = EndpointPaths()
    paths.record_failure("10.0.0.1:80", now=5.0)
    paths.record_cut("10.0.0.1:80", is_refused=False, now=5.3)
    paths.uses_peers("10.0.0.1:80", service=("10.0.0.1:80", "10.0.0.2:80"))
"""

from collections.abc import Collection
from typing import NamedTuple

from poplarfold._internal.core.state import Table
from poplarfold._internal.utils.backoff import NO_PAUSE, Pause

__all__ = ["STALL_RETRY_S", "CutPath", "EndpointPaths"]

# So many endpoints without a path show that the node, and not each path, is cut off.
CUT_OFF_MIN = 2
# Failed connections of this age still count towards that.
FAILURE_KEPT_S = 1.5
# A stalled endpoint that was reached is not tried again for this long.
STALL_RETRY_S = 1.0
# How often it is tried whether an endpoint that is cut off can be reached again.
PROBE_PERIOD_S = 0.5
# Peers are not asked again for an endpoint that they do not reach either, since it is
# likely down. The time doubles with each time that they do not, up to the maximum.
UNREACHED_S = 1.0
UNREACHED_MAX_S = 8.0


class CutPath(NamedTuple):
    """An endpoint that peers reach and this node does not, since a time.

    If new connections are refused, kept ones may still work (``is_refused``). ``since``
    is when it was found out which of both is so.
    """

    since: float
    is_refused: bool
    probe_at: float


class EndpointPaths:
    """The paths from this node to the endpoints, by address. Times are in seconds.

    ``service`` stands for the addresses of all endpoints of a service.
    """

    def __init__(self) -> None:
        self.cut: Table[str, CutPath] = Table()
        # When the last connection to an address failed, of those not reached since.
        self.failed: Table[str, float] = Table()
        # How long peers are not asked for the endpoints that they do not reach.
        self.unreached: Table[str, Pause] = Table()
        # When the endpoints were reached last.
        self.reached: Table[str, float] = Table()
        # When the paths to endpoints that do not answer were tried last.
        self.stalled: Table[str, float] = Table()

    def record_reached(self, address: str, now: float) -> CutPath | None:
        """Record a connection of this node; return the cut that it ends, if any."""
        self.reached.put(address, now)
        self.failed.pop(address, None)
        self.unreached.pop(address, None)
        return self.cut.pop(address, None)

    def record_failure(self, address: str, now: float) -> None:
        """Record that a connection of this node has failed."""
        self.failed.put(address, now)

    def record_stall(self, address: str, now: float) -> bool:
        """Record a call without an answer; return whether to try its path now."""
        tried_at = self.stalled.get(address, float("-inf"))
        if now - tried_at < STALL_RETRY_S or not self.may_use_kept(address):
            return False
        self.stalled.put(address, now)
        return True

    def record_cut(self, address: str, is_refused: bool, now: float) -> bool:
        """Record that a peer reaches what this node does not; return if that is new.

        A path on which connections were refused may fall silent.
        """
        self.unreached.pop(address, None)
        row = self.cut.get(address)
        if row is not None and (is_refused or not row.is_refused):
            return False
        self.cut.put(address, CutPath(now, is_refused, now + PROBE_PERIOD_S))
        return True

    def record_unreached(
        self, address: str, asked_at: float, is_sure: bool, now: float
    ) -> None:
        """Record that no peer was found that reaches an endpoint.

        It is sure that none does if all that were to be asked have tried in vain.
        Several calls may have asked before the first one was told, which counts once.
        """
        pause = self.unreached.get(address, NO_PAUSE)
        if asked_at < pause.until:
            return
        if is_sure:
            pause = pause.lengthened(UNREACHED_S, UNREACHED_MAX_S, now)
        else:
            pause = pause._replace(until=now + UNREACHED_S)
        self.unreached.put(address, pause)

    def uses_peers(self, address: str, service: Collection[str]) -> bool:
        """Return whether to reach an endpoint through a peer first."""
        return address in self.cut or self.is_cut_off(service)

    def is_cut_off(self, service: Collection[str]) -> bool:
        """Return whether this node takes itself for cut off from a service."""
        reached_at = self._reached_at(service)
        cut = [
            row
            for address, row in self.cut.items()
            if row.since > reached_at and address in service
        ]
        return len(cut) >= CUT_OFF_MIN

    def looks_cut_off(self, service: Collection[str], now: float) -> bool:
        """Return whether connections fail as if this node were cut off."""
        reached_at = max(self._reached_at(service), now - FAILURE_KEPT_S)
        failed = [
            address
            for address, at in self.failed.items()
            if at > reached_at and address in service
        ]
        return len(failed) >= CUT_OFF_MIN or self.is_cut_off(service)

    def _reached_at(self, service: Collection[str]) -> float:
        """Return when any endpoint of a service was reached last."""
        reached = (self.reached.get(row, float("-inf")) for row in service)
        return max(reached, default=float("-inf"))

    def may_ask(self, address: str, now: float) -> bool:
        """Return whether peers may be asked for an endpoint."""
        return self.unreached.get(address, NO_PAUSE).until <= now

    def may_use_kept(self, address: str) -> bool:
        """Return whether a kept connection to an endpoint may still work."""
        row = self.cut.get(address)
        return row is None or row.is_refused

    def due_probes(self, now: float) -> list[str]:
        """Return the addresses to which a connection should be tried now."""
        due = [address for address, row in self.cut.items() if row.probe_at <= now]
        for address in due:
            row = self.cut[address]
            self.cut.put(address, row._replace(probe_at=now + PROBE_PERIOD_S))
        return due

    def remove_except(self, addresses: Collection[str]) -> None:
        """Forget the endpoints that are gone."""
        for table in (
            self.cut,
            self.failed,
            self.unreached,
            self.reached,
            self.stalled,
        ):
            for address in [key for key in table if key not in addresses]:
                del table[address]

    def remove_old(self, now: float) -> None:
        """Forget failures and stalls that no longer count."""
        kept = ((self.failed, FAILURE_KEPT_S), (self.stalled, STALL_RETRY_S))
        for table, kept_s in kept:
            for address in [key for key, at in table.items() if now - at >= kept_s]:
                del table[address]
