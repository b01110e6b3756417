"""Puts decoded records of the store's topics into force on this node."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from poplarfold._internal.core.fleet.accounts import compare_accounts
from poplarfold._internal.core.fleet.directory import EndpointChange
from poplarfold._internal.core.fleet.relays import Member
from poplarfold._internal.core.fleet.rows import FleetEndpoint, RouteTable
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.topic_records import DecodedRecord
from poplarfold._internal.platform import StoreTopic

__all__ = ["Effect", "TopicUpdates"]

UpdateParts = Callable[[Sequence[DecodedRecord]], None]
UpdateMembers = Callable[[dict[str, Member]], None]


class Effect(NamedTuple):
    """What a record has changed: a numbered event and its fields."""

    number: str
    fields: dict[str, Any]


class TopicUpdates:
    """Applies the records of each topic. The caller serializes the calls.

    ``update_members`` takes the members of the fleet, and ``update_parts`` the records
    of suspected parts of prompts.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.update_members: UpdateMembers = lambda members: None
        self.update_parts: UpdateParts = lambda records: None
        self.members: dict[str, Member] = {}

    def apply(
        self,
        topic: StoreTopic,
        records: Sequence[DecodedRecord],
        is_return: bool = False,
    ) -> list[Effect]:
        """Put records of one topic into force; return what they have changed.

        With ``is_return`` they are what differs in the older copy from which the store
        has come back.
        """
        if topic is StoreTopic.ROUTES:
            return self._apply_routes(records)
        if topic is StoreTopic.ENDPOINTS:
            return self._apply_endpoints(records, is_return)
        if topic is StoreTopic.NODES:
            if is_return:
                # Nodes that the copy lacks will announce themselves again.
                records = [row for row in records if row.record.value is not None]
            return self._apply_members(records, is_return)
        self.update_parts(records)
        return []

    def _apply_routes(self, records: Sequence[DecodedRecord]) -> list[Effect]:
        """Apply the newest configuration among the records."""
        effects = []
        for record, table, _ in records:
            if table is None:
                continue
            with self.fleet.lock:
                before = self.fleet.directory.route_table
                is_new = self.fleet.directory.apply_routes(table)
                self.fleet.changed.notify_all()
            if is_new:
                fields = {
                    "version": table.version,
                    "routes": len(table.routes),
                    "offset": record.offset,
                }
                effects.append(Effect("PF7106", fields))
                effects.extend(account_effects(before, table, record.offset))
        return effects

    def take_over_withheld(self, read_at: float) -> list[Effect]:
        """Take over the entries of a copy whose time is over; return the changes.

        The endpoints were last read at ``read_at``.
        """
        with self.fleet.lock:
            directory = self.fleet.directory
            rows = directory.take_over_withheld(read_at, self.fleet.clock())
            if rows:
                self.fleet.changed.notify_all()
        return [endpoint_effect(EndpointChange(None, row), -1) for row in rows]

    def _apply_endpoints(
        self, records: Sequence[DecodedRecord], is_return: bool
    ) -> list[Effect]:
        """Apply the newest entry of each endpoint."""
        changes = []
        with self.fleet.lock:
            now = self.fleet.clock()
            for found in records:
                changes.append((found, self._apply_entry(found, now, is_return)))
            self.fleet.remove_endpoint_stats([change for _, change in changes])
        effects = []
        for found, change in changes:
            if is_effective(change):
                effects.append(endpoint_effect(change, found.record.offset))
            if found.record.value is None and change.after is not None:
                fields = {
                    "endpoint": found.record.key,
                    "offset": found.record.offset,
                }
                effects.append(Effect("PF7108", fields))
        return effects

    def _apply_entry(
        self, found: DecodedRecord, now: float, is_return: bool
    ) -> EndpointChange:
        """Apply one entry. The fleet's lock must be held."""
        directory = self.fleet.directory
        endpoint_id = found.record.key
        if found.error is not None and not is_return:
            return directory.withdraw_endpoint(endpoint_id, now)
        # A malformed entry of an older copy counts as none: it may have been replaced.
        if is_return or directory.is_after_return(now):
            return directory.apply_returned(endpoint_id, found.row, now)
        return directory.apply_endpoint(endpoint_id, found.row, now)

    def _apply_members(
        self, records: Sequence[DecodedRecord], is_return: bool
    ) -> list[Effect]:
        """Apply the presence records of nodes.

        An older copy of the store may have the record of an earlier process, at whose
        addresses nobody is reached any more.
        """
        for record, member, _ in records:
            known = self.members.get(record.key)
            if member is None:
                self.members.pop(record.key, None)
            elif (
                not is_return
                or known is None
                or known.incarnation <= member.incarnation
            ):
                self.members[record.key] = member
        with self.fleet.lock:
            now = self.fleet.clock()
            presence = self.fleet.presence
            before = presence.node_count()
            offsets = {record.key: record.offset for record, _, _ in records}
            presence.update(offsets, now)
            nodes = presence.node_count()
            present = [key for key in presence.rows if key in self.members]
        self.update_members({key: self.members[key] for key in present})
        return [] if nodes == before else [Effect("PF6301", {"nodes": nodes})]


def account_effects(
    before: RouteTable | None, after: RouteTable, offset: int
) -> list[Effect]:
    """Return the event of a configuration with other accounts or keys, if it has."""
    accounts = None if before is None else before.accounts
    changes = compare_accounts(accounts, after.accounts)
    if changes is None:
        return []
    fields = {"version": after.version, **changes._asdict(), "offset": offset}
    return [Effect("PF1203", fields)]


def endpoint_effect(change: EndpointChange, offset: int) -> Effect:
    """Return the event of a changed endpoint, whose record is at an offset, or -1."""
    row = change.after or change.before
    assert row is not None
    state = "leaving" if row.is_leaving else "ready"
    fields = {
        "endpoint": row.endpoint_id,
        "service": row.service,
        "address": row.address,
        "role": row.role.value,
        "software_version": row.software_version,
        "born": row.incarnation,
        "state": "gone" if change.after is None else state,
        "offset": offset,
    }
    return Effect("PF7107", fields)


def is_effective(change: EndpointChange) -> bool:
    """Return whether a change is more than the progress of a cold start."""
    before, after = change
    if before is None or after is None:
        return before is not after
    return without_progress(before) != without_progress(after)


def without_progress(row: FleetEndpoint) -> FleetEndpoint:
    """Return a row without what changes while an endpoint starts."""
    return row._replace(cold_start_left_s=0.0, revision=0)
