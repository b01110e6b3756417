"""The usage of accounts on this node: its admissions, and messages to other nodes."""

import math
import random
import threading
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from result import Ok, Result

from poplarfold._internal.core.fleet.account_quota import (
    REGION_ROWS_MAX,
    HostQuota,
    LevelRow,
    QuotaRule,
    UnknownUse,
)
from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    AccountTable,
    ClientAccount,
)
from poplarfold._internal.core.fleet.relay_messages import (
    RegionUsage,
    UsageLevels,
    UsageReport,
)
from poplarfold._internal.core.fleet.usage_rows import pack_rows, unpack_rows
from poplarfold._internal.core.fleet.usage_window import UsageRow, account_key
from poplarfold._internal.exceptions import QuotaExceededError
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.logs.writer import WriteLog

__all__ = ["AccountUsage", "UsageCursor"]

# What has been sent of the use of each account, see ``UsageCounter.new_rows``.
UsageCursor = dict[int, tuple[int, int]]
# The largest number of units that one call can have.
UNITS_MAX = 2**40


class KnownUse(NamedTuple):
    """What a node knows of an account's use, for the log.

    ``room`` is None if nothing limits the account here. ``relays`` has each relay's
    last level of the account, or None. For ``unknown_s``, calls of a former process of
    this host may count that it does not know of.
    """

    room: int | None
    demand_per_s: int
    own_units: int
    relays: dict[str, dict[str, float] | None]
    heard_hosts: int
    nodes: int
    unknown_s: float


class AccountUsage:
    """Admits calls within the quotas of their accounts. Thread-safe.

        result = usage.admit(account, units)
        usage.give_back(account, units)

    It does nothing as long as no account of the configuration has a limit.
    """

    def __init__(
        self, fleet: Fleet, metrics: GatewayMetrics, write_log: WriteLog
    ) -> None:
        bounds = fleet.host.bounds
        rule = QuotaRule(bounds.quota_window_s, bounds.quota_over, bounds.quota_slack)
        self.fleet = fleet
        self.metrics = metrics
        self.write_log = write_log
        self.lock = threading.Lock()
        # What a former process of this host has admitted is not known.
        started_at = fleet.clock()
        unknown_until = started_at + rule.window_s
        if fleet.host.is_first_start:
            unknown_until = -math.inf
        self.quota = HostQuota(
            rule, random.Random(fleet.rng.getrandbits(64)), unknown_until, started_at
        )
        # The limits by the account's number, for the table that they were taken from.
        self.table: AccountTable | None = None
        self.keyed_limits: dict[int, AccountLimit] = {}
        self.has_levels = False
        self.silent_regions: frozenset[str] = frozenset()

    def admit(
        self, account: ClientAccount, units: float
    ) -> Result[None, QuotaExceededError]:
        """Count a call's units, or return when the account has units again."""
        if account.limit is None:
            return Ok(None)
        count = whole_units(units)
        nodes = self.fleet.node_count_assumed()
        with self.lock:
            result = self.quota.admit(
                account_key(account.name),
                account.limit,
                count,
                nodes,
                self.fleet.clock(),
            )
        outcome = "admitted" if result.is_ok() else "refused"
        self.metrics.count_account_units(account.name, outcome, count)
        return result

    def give_back(
        self, account: ClientAccount, units: float, age_s: float = 0.0
    ) -> None:
        """Return the units of a call that has certainly not run.

        It was admitted ``age_s`` ago.
        """
        if account.limit is None:
            return
        count = whole_units(units)
        with self.lock:
            key, now = account_key(account.name), self.fleet.clock()
            self.quota.give_back(key, count, now, age_s)
        self.metrics.count_account_units(account.name, "returned", count)

    def describe(self, account: ClientAccount) -> KnownUse:
        """Return what this node knows of a limited account's use, for the log."""
        key = account_key(account.name)
        assert account.limit is not None
        nodes = self.fleet.node_count_assumed()
        with self.lock:
            now = self.fleet.clock()
            found = self.quota.room(key, account.limit, nodes, now)
            return KnownUse(
                round(found.units) if math.isfinite(found.units) else None,
                round(found.demand_per_s),
                self.quota.own.window_sum(key, now),
                {
                    relay: levels.describe(key, now)
                    for relay, levels in self.quota.levels.items()
                },
                self.quota.ledger.heard_hosts(now),
                nodes,
                round(self.quota.unknown_s(now), 3),
            )

    def limits(self) -> Mapping[int, AccountLimit]:
        """Return the limits of the configuration in force, by the account's number."""
        with self.fleet.lock:
            routes = self.fleet.directory.route_table
            table = None if routes is None else routes.accounts
        with self.lock:
            if table is not self.table:
                self.table = table
                rows = {} if table is None else table.limits()
                self.keyed_limits = {
                    account_key(name): limit for name, limit in rows.items()
                }
            return self.keyed_limits

    def is_active(self) -> bool:
        """Return whether any account has a limit."""
        return bool(self.limits())

    def report(self, relay: str) -> UsageReport:
        """Return what this host has admitted since its last report to a relay."""
        with self.lock:
            now = self.fleet.clock()
            rows = self.quota.take_report(relay, now)
            unknown_s = self.quota.unknown_s(now)
        return UsageReport(pack_rows(rows), unknown_s)

    def restart_reports(self, relay: str) -> None:
        """Report again what a relay may not have got over an earlier connection."""
        with self.lock:
            self.quota.restart_reports(relay)

    def record_report(self, host: str, message: UsageReport) -> bool:
        """Count a subscriber's report; return whether its host was not heard before.

        Raises PeerProtocolError.
        """
        rows = usage_rows(message.rows)
        with self.lock:
            now = self.fleet.clock()
            before = self.quota.ledger.local_hosts(now)
            self.quota.ledger.record_report(host, rows, now, message.unknown_s)
            return self.quota.ledger.local_hosts(now) > before

    def levels(self) -> UsageLevels | None:
        """Return the levels for all subscribers, or None before they are reliable."""
        limits = self.limits()
        nodes = self.fleet.node_count_assumed()
        with self.lock:
            now = self.fleet.clock()
            if not limits or not self.quota.ledger.is_settled(nodes, now):
                return None
            rows = self.quota.ledger.levels(limits, nodes, now)
        return UsageLevels(now, pack_rows(rows))

    def record_levels(
        self, relay: str, message: UsageLevels, sent_at: float | None
    ) -> None:
        """Take over a relay's levels, sent at a time of this node's clock.

        Raises PeerProtocolError.
        """
        columns = len(LevelRow._fields) - 1
        rows = [LevelRow(*row) for row in unpacked(message.rows, columns)]
        if sent_at is None:
            # The difference of the clocks is not known yet.
            return
        with self.lock:
            self.quota.record_levels(relay, rows, sent_at, self.fleet.clock())

    def region_snapshot(self) -> tuple[RegionUsage, UsageCursor]:
        """Return all use of the region, and the cursor for what follows."""
        with self.lock:
            cursor = self.quota.ledger.local.window_cursor(self.fleet.clock())
            return self._region_usage(cursor, None, True), cursor

    def region_changes(self, cursor: UsageCursor) -> RegionUsage:
        """Return the use of the region since the cursor, which is moved on."""
        with self.lock:
            return self._region_usage(cursor, REGION_ROWS_MAX, False)

    def record_region(self, region: str, message: RegionUsage) -> None:
        """Count what another region has admitted. Raises PeerProtocolError."""
        rows = usage_rows(message.rows)
        with self.lock:
            self.quota.ledger.record_region(
                region,
                max(0, message.hosts),
                rows,
                message.is_snapshot,
                self.fleet.clock(),
                UnknownUse(message.unknown_hosts, message.unknown_s),
            )

    def update(self, is_relay: bool) -> None:
        """Forget what is no longer needed, and log which messages are missing.

        To be called periodically.
        """
        limits = self.limits()
        with self.lock:
            now = self.fleet.clock()
            self.quota.keep(limits, now)
            has_levels = bool(self.quota.fresh_relays(now))
            silent = self.quota.ledger.silent_regions(now) if is_relay else frozenset()
            hosts = self.quota.ledger.heard_hosts(now)
        self.metrics.set_quota_hosts(hosts if limits else 0)
        if not limits:
            return
        if has_levels != self.has_levels and not is_relay:
            self.has_levels = has_levels
            self.write_log("PF1213" if has_levels else "PF1212", None, {})
        for region in sorted(silent ^ self.silent_regions):
            number = "PF1214" if region in silent else "PF1215"
            self.write_log(number, None, {"region": region})
        self.silent_regions = silent

    def _region_usage(
        self, cursor: UsageCursor, rows_max: int | None, is_snapshot: bool
    ) -> RegionUsage:
        """Return the message for another region. The lock must be held."""
        ledger = self.quota.ledger
        rows = ledger.local.new_rows(cursor, rows_max)
        now = self.fleet.clock()
        hosts = ledger.local_hosts(now)
        unknown = ledger.local_unknown(now)
        return RegionUsage(hosts, is_snapshot, pack_rows(rows), *unknown)


def whole_units(units: float) -> int:
    """Return a number of units as it is counted: rounded up, and bounded."""
    return math.ceil(min(max(0.0, units), UNITS_MAX))


def usage_rows(data: bytes) -> list[UsageRow]:
    """Decode rows of usage. Raises PeerProtocolError."""
    return [UsageRow(*row) for row in unpacked(data, len(UsageRow._fields) - 1)]


def unpacked(data: bytes, counts: int) -> Sequence[tuple[int, ...]]:
    """Decode packed rows. Raises PeerProtocolError."""
    result = unpack_rows(data, counts)
    if result.is_err():
        raise result.unwrap_err()
    return result.unwrap()
