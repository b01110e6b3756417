"""The published routes, services and endpoints as this node knows them."""

from collections import Counter
from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import FleetEndpoint, Route, RouteTable
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.core.state import Table

__all__ = ["Directory", "EndpointChange"]

# The entries of living endpoints may expire during an outage of the store. Within this
# time after the outage, all living endpoints have announced themselves again.
EXPIRY_GRACE_S = 2.2
# Role changes are planned only after the store has answered for this long. That exceeds
# EXPIRY_GRACE_S, so that engines that stopped during an outage are not counted.
STORE_SETTLED_S = 4.0
# After the silence in which the store removes an entry, the time until a node knows it.
WITHHELD_MARGIN_S = 0.4
# Removed endpoints are remembered for longer than copies of the store are old. After a
# return, lost entries may be written again in their order for so long.
REMOVED_KEPT_S = 60.0


class EndpointChange(NamedTuple):
    """An endpoint before and after an update of its entry in the store.

    ``before`` is None for a new endpoint, ``after`` for a removed one.
    """

    before: FleetEndpoint | None
    after: FleetEndpoint | None


class DatedEndpoint(NamedTuple):
    """An endpoint's last entry, and when it was removed or withheld."""

    row: FleetEndpoint
    since: float


class Directory:
    """Routes and endpoints as last published. Times are seconds of the runtime's clock.

    While the process runs, an older configuration never replaces a newer one, even
    if the store returns an older one after a gap in its log.

    The store removes the entry of an endpoint that is silent for ``silence_s``. If a
    copy of the store lists an endpoint that was removed since, the entry is withheld
    for that time and ``WITHHELD_MARGIN_S``.
    """

    def __init__(self, silence_s: float) -> None:
        self.withheld_s = silence_s + WITHHELD_MARGIN_S
        self.route_table: RouteTable | None = None
        self.endpoints: Table[str, FleetEndpoint] = Table()
        # Ids of endpoints whose entries were deleted during or shortly after an outage
        # of the store.
        self.expired_ids: set[str] = set()
        # Endpoints that were removed a short time ago, the earliest first.
        self.removed: Table[str, DatedEndpoint] = Table()
        # Removed endpoints that a copy of the store lists again.
        self.withheld: Table[str, DatedEndpoint] = Table()
        # Cache of the usable endpoints by service and role, cleared by any change.
        self.usable_cache: dict[
            tuple[str, EndpointRole], tuple[FleetEndpoint, ...]
        ] = {}
        # The number of endpoints by service and software version, and when the last
        # endpoint of a version was removed.
        self.version_counts: Counter[tuple[str, str]] = Counter()
        self.version_left: dict[tuple[str, str], float] = {}
        # When the first endpoint of a version in service was added.
        self.version_joined: dict[tuple[str, str], float] = {}
        self.store_changed_at = 0.0
        self.is_store_up = False
        # Whether the store has failed to answer while this process ran. Before that,
        # nothing speaks for an outage in which entries may have expired.
        self.has_lost_store = False
        # When the store last came back from an older copy.
        self.returned_at: float | None = None

    def set_store_status(self, is_up: bool, now: float) -> bool:
        """Record whether the store answers; return whether that has changed."""
        self.has_lost_store |= not is_up
        if is_up == self.is_store_up:
            return False
        self.is_store_up = is_up
        self.store_changed_at = now
        return True

    def apply_routes(self, table: RouteTable) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if self.route_table is not None and table.version <= self.route_table.version:
            return False
        self.route_table = table
        return True

    def apply_endpoint(
        self, endpoint_id: str, found: FleetEndpoint | None, now: float
    ) -> EndpointChange:
        """Apply one entry of the store; ``found`` is None if it was deleted.

        During an outage of the store and shortly after it, a deleted endpoint is
        kept and only marked as expired.
        """
        before = self.endpoints.get(endpoint_id)
        self.withheld.pop(endpoint_id, None)
        if found is not None:
            self.expired_ids.discard(endpoint_id)
            self.endpoints.put(endpoint_id, found)
        elif before is not None:
            if self.is_expiry_grace_over(now):
                self._remove(endpoint_id, now)
            else:
                self.expired_ids.add(endpoint_id)
        after = self.endpoints.get(endpoint_id)
        if after != before:
            self.usable_cache.clear()
            self._count_versions(before, after, now)
        return EndpointChange(before, after)

    def note_store_return(self, now: float) -> None:
        """Record that the store has come back from an older copy.

        As after an outage, endpoints have EXPIRY_GRACE_S to announce themselves again.
        """
        self.has_lost_store = True
        self.store_changed_at = now
        self.returned_at = now

    def is_after_return(self, now: float) -> bool:
        """Return whether entries may be older than those known before a return."""
        return self.returned_at is not None and now - self.returned_at <= REMOVED_KEPT_S

    def apply_returned(
        self, endpoint_id: str, found: FleetEndpoint | None, now: float
    ) -> EndpointChange:
        """Apply an entry of the store after it has come back from an older copy.

        The entry is in that copy, or was lost and is written again. It must not undo
        what a later entry has said, such as that the endpoint leaves. An endpoint that
        was removed since is withheld for as long as the store takes to remove it again.
        """
        known = self.endpoints.get(endpoint_id)
        if found is not None and known is not None and not found.is_newer_than(known):
            # The removal that was held back is lost, too.
            self.expired_ids.discard(endpoint_id)
            return EndpointChange(known, known)
        removed = self.removed.get(endpoint_id)
        if found is not None and known is None and removed is not None:
            if not found.is_newer_than(removed.row):
                self.withheld.put(endpoint_id, DatedEndpoint(found, now))
                return EndpointChange(None, None)
        return self.apply_endpoint(endpoint_id, found, now)

    def take_over_withheld(self, read_at: float, now: float) -> list[FleetEndpoint]:
        """Add and return the withheld endpoints that the store still lists.

        The endpoints were last read at ``read_at``. While the store is away, and after
        a further return, it has not removed any.
        """
        if not self.is_store_up or read_at - self.store_changed_at < self.withheld_s:
            return []
        rows = [
            row
            for row, since in self.withheld.values()
            if read_at - since >= self.withheld_s
        ]
        for row in rows:
            self.apply_endpoint(row.endpoint_id, row, now)
        return rows

    def _remove(self, endpoint_id: str, now: float) -> FleetEndpoint | None:
        """Remove an endpoint, and remember it for a return of the store."""
        self.expired_ids.discard(endpoint_id)
        row = self.endpoints.pop(endpoint_id, None)
        for key, removed in self.removed.rows():
            if now - removed.since <= REMOVED_KEPT_S:
                break
            del self.removed[key]
        if row is not None:
            self.removed.pop(endpoint_id, None)
            self.removed.put(endpoint_id, DatedEndpoint(row, now))
        return row

    def withdraw_endpoint(self, endpoint_id: str, now: float) -> EndpointChange:
        """Remove an endpoint at once, because its newest entry is malformed.

        Expired entries are deleted, so this one was written now, whatever the state of
        the store. The endpoint is back in use with its next valid entry.
        """
        self.withheld.pop(endpoint_id, None)
        before = self._remove(endpoint_id, now)
        self.usable_cache.clear()
        self._count_versions(before, None, now)
        return EndpointChange(before, None)

    def _count_versions(
        self, before: FleetEndpoint | None, after: FleetEndpoint | None, now: float
    ) -> None:
        """Count an endpoint that has been added, changed or removed."""
        if after is not None:
            key = (after.service, after.software_version)
            self.version_counts[key] += 1
            self.version_joined.setdefault(key, now)
        if before is not None:
            key = (before.service, before.software_version)
            self.version_counts[key] -= 1
            if self.version_counts[key] <= 0:
                del self.version_counts[key]
                self.version_joined.pop(key, None)
                self.version_left[key] = now

    def versions(self, service: str) -> dict[str, int]:
        """Return the number of a service's endpoints by software version."""
        rows = self.version_counts.items()
        return {version: count for (name, version), count in rows if name == service}

    def joined_versions(self, service: str, since: float) -> set[str]:
        """Return the versions of a service that were first seen later than a time."""
        return {
            version
            for (name, version), at in self.version_joined.items()
            if name == service and at > since
        }

    def version_left_at(self, service: str, version: str) -> float:
        """Return when the last endpoint of a version was removed, or -inf."""
        return self.version_left.get((service, version), float("-inf"))

    def had_only_version(self, service: str, version: str, since: float) -> bool:
        """Return whether no endpoint of another version was known at any time since."""
        if set(self.versions(service)) - {version}:
            return False
        return not any(
            left_at >= since
            for (name, other), left_at in self.version_left.items()
            if name == service and other != version
        )

    def is_expiry_grace_over(self, now: float) -> bool:
        """Return whether living endpoints have had time to announce themselves again.

        That is so when the store has answered without a break for EXPIRY_GRACE_S, or
        since the start of the process.
        """
        if not self.has_lost_store:
            return self.is_store_up
        return self.is_store_up and now - self.store_changed_at >= EXPIRY_GRACE_S

    def is_store_settled(self, now: float) -> bool:
        """Return whether the store has answered without a break for STORE_SETTLED_S."""
        return self.is_store_up and now - self.store_changed_at >= STORE_SETTLED_S

    def remove_expired(self, now: float) -> list[FleetEndpoint]:
        """Remove and return expired endpoints that were not announced again in time."""
        if not self.expired_ids or not self.is_expiry_grace_over(now):
            return []
        rows = [self._remove(key, now) for key in list(self.expired_ids)]
        self.usable_cache.clear()
        found = [row for row in rows if row is not None]
        for row in found:
            self._count_versions(row, None, now)
        return found

    def match_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None."""
        if self.route_table is None:
            return None
        found: Route | None = None
        for route in self.route_table.routes:
            if route.host == host and path.startswith(route.path_prefix):
                if found is None or len(route.path_prefix) > len(found.path_prefix):
                    found = route
        return found

    def usable_endpoints(
        self, service: str, role: EndpointRole
    ) -> tuple[FleetEndpoint, ...]:
        """Return the endpoints of a role that may get new work of a service."""
        found = self.usable_cache.get((service, role))
        if found is None:
            found = self.usable_cache[service, role] = tuple(
                row
                for row in self.endpoints.values()
                if row.service == service and row.role is role and not row.is_leaving
            )
        return found

    def is_usable(self, endpoint: FleetEndpoint) -> bool:
        """Return whether an endpoint that was chosen earlier may still get new work."""
        row = self.endpoints.get(endpoint.endpoint_id)
        return (
            row is not None
            and not row.is_leaving
            and row.incarnation == endpoint.incarnation
        )
