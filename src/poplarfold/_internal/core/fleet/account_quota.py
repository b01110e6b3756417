"""Quotas of client accounts over all hosts: decisions without network.

Within each window, the units of an account that all hosts admit have an upper bound.
Hosts report what they admit to the relays of their region, and the relays of different
regions tell each other. A relay sends back the room that is left of an account, if
little is left. What the hosts ask for before they learn of each other would exceed
the room, so a host admits only a share of the calls when the room is about to be used
up within that time.

Hosts that a relay doesn't hear may use an equal share of the bound each, which the
relay keeps free for them. A host that hears no relay decides by its own ledger, in
which all other hosts are unheard.

What a process has admitted may be unknown after its end, if all relays that it has
reported to have ended as well. A relay that hears the next process of that host, and
has not heard the one before, keeps the equal share of the former one until its calls
have left the window. So does a host that has just started, for itself.
"""

import math
import random
from collections.abc import Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.accounts import AccountLimit
from poplarfold._internal.core.fleet.sent_reports import SentReports
from poplarfold._internal.core.fleet.usage_window import (
    SLOT_S,
    UsageCounter,
    UsageRow,
)
from poplarfold._internal.exceptions import QuotaExceededError

__all__ = [
    "FRESH_S",
    "LEVELS_EXPECTED_S",
    "REGION_ROWS_MAX",
    "RETRY_JITTER",
    "HostQuota",
    "LevelRow",
    "QuotaRule",
    "RelayLedger",
    "Room",
    "UnknownUse",
]

# A host does not rely on levels that are older than this.
FRESH_S = 1.5
# A host that has not reported for this long counts as unheard. Reports come every
# 0.3 s, so two may be late. A region counts as unheard earlier: many hosts go on
# without knowing, and keeping its share free costs no calls under usual load.
HEARD_S = 0.75
REGION_HEARD_S = 0.5
# A relay that begins to serve a region knows the use of its hosts after this time, or
# when it hears this share of the fleet. Before that, its levels would be too low.
SETTLE_S = 0.75
SETTLED_SHARE = 0.9
# Within this time after its start, or after its last levels became too old, a host has
# levels of its relays unless it is cut off from them: a relay settles for up to
# SETTLE_S, a report, an exchange between regions and a level take 0.9 s at most, and
# the rest is for finding the relay.
LEVELS_EXPECTED_S = 2.0
# How long a count of the heard hosts is used again.
COUNTED_S = 0.1
# From this age on, levels count as overdue: it is assumed that what was asked for last
# is still asked for, and used.
OVERDUE_S = 0.4
# The time from the admission of a call until all hosts know of it: a report, an
# exchange between regions and a level take 0.45 s in the mean and 0.9 s at most. With
# 0.5 s, a simulated surge of 7.5 times the usual load exceeded the bound by 2%.
KNOWN_AFTER_S = 0.75
# The part of what the rule allows beyond the quota that relays give out. The rest
# covers what was admitted by hosts that ended before they reported it.
SPARE_SHARE = 0.55
# A host that starts again is down for about two seconds. A relay that has heard it
# within this time knows what its former process has admitted.
RESTART_S = 4.0
# The part of the spare units that may be used in place of a former process's share, so
# that hosts that start together serve some calls at once.
FORMER_SPARE_SHARE = 0.25
# A relay sends the level of an account if less than this share of its bound is left,
# or less than is asked for in this time.
LISTED_SHARE = 0.5
LISTED_DEMAND_S = 3.0
# The most rows of one message, which bounds its bytes; see the design page. Levels take
# turns.
REPORT_ROWS_MAX = 16
LEVEL_ROWS_MAX = 10
REGION_ROWS_MAX = 100
# A refused call may be repeated when this share of the bound is expected to be free.
RETRY_SHARE = 0.05
RETRY_JITTER = 0.5
# A share of the bound that is smaller than one call is used by chance. This factor
# keeps the sum of many hosts within the bound despite its variance.
CHANCE_FACTOR = 0.5


class QuotaRule(NamedTuple):
    """The platform's rule for the units that may be admitted in each window."""

    window_s: float
    over: float
    slack: float

    def quota(self, limit: AccountLimit) -> float:
        """Return the units per window that a limit grants."""
        return limit.rate_per_s * self.window_s + limit.burst

    def bound(self, limit: AccountLimit) -> float:
        """Return the units per window that must never be exceeded."""
        return self.quota(limit) * (1.0 + self.over) + self.slack

    def usable(self, limit: AccountLimit) -> float:
        """Return the units per window that hosts and relays give out."""
        quota = self.quota(limit)
        return quota + SPARE_SHARE * (self.bound(limit) - quota)

    def spare(self, limit: AccountLimit) -> float:
        """Return the units per window that are not given out."""
        return self.bound(limit) - self.usable(limit)


class UnknownUse(NamedTuple):
    """Hosts whose former processes may have admitted calls that nobody knows of.

    ``left_s`` is the sum of the times until the last of these calls leave the window.
    """

    hosts: int = 0
    left_s: float = 0.0


NOTHING_UNKNOWN = UnknownUse()


class Room(NamedTuple):
    """What is left of an account's bound, its demand, and when more is free."""

    units: float
    demand_per_s: float
    wait_s: float


class LevelRow(NamedTuple):
    """The room of an account in a message: whole units, and tenths of a second."""

    key: int
    room: int
    demand_per_s: int
    wait_tenths: int


class RegionUse:
    """The use of another region, as one of its relays has reported it."""

    def __init__(self, window_s: float) -> None:
        self.counter = UsageCounter(window_s)
        self.hosts = 0
        self.unknown = NOTHING_UNKNOWN
        self.heard_at = -math.inf


class RelayLedger:
    """A relay's account of what all hosts have admitted.

    ``local`` counts the hosts of the relay's own region, including its own. Every node
    keeps a ledger; on those that are no relay, it has only the node's own use. What the
    former process of the own host has admitted may count until ``unknown_until``.
    """

    def __init__(self, rule: QuotaRule, unknown_until: float = -math.inf) -> None:
        self.rule = rule
        self.unknown_until = unknown_until
        # Until when the unknown use of other hosts' former processes may count.
        self.unknown_hosts: dict[str, float] = {}
        self.local = UsageCounter(rule.window_s)
        # When each host of the region last reported.
        self.heard: dict[str, float] = {}
        self.serving_since = math.inf
        # The number of hosts that were heard at a time.
        self.heard_count = 0
        self.counted_at = -math.inf
        # When the level of each account was last sent.
        self.listed_at: dict[int, float] = {}
        self.regions: dict[str, RegionUse] = {}

    def record_report(
        self, host: str, rows: list[UsageRow], now: float, unknown_s: float = 0.0
    ) -> None:
        """Count what a host of the own region has admitted since its last report.

        What its former process has admitted may count for ``unknown_s``.
        """
        if self.local_hosts(now) == 1:
            self.serving_since = now
        unheard_s = now - self.heard.get(host, -math.inf)
        if unknown_s > 0.0 and unheard_s >= RESTART_S:
            self.unknown_hosts[host] = now + min(unknown_s, self.rule.window_s)
        # The first report has all of the window.
        is_recent = unheard_s < self.rule.window_s
        self.heard[host] = now
        self.counted_at = -math.inf
        for row in rows:
            self.local.add(row, now, is_recent)

    def record_region(
        self,
        region: str,
        hosts: int,
        rows: list[UsageRow],
        is_snapshot: bool,
        now: float,
        unknown: UnknownUse = NOTHING_UNKNOWN,
    ) -> None:
        """Count what another region has admitted, or all of its window at once.

        ``unknown`` is what the region's relay returns as ``local_unknown``.
        """
        use = self.regions.setdefault(region, RegionUse(self.rule.window_s))
        if is_snapshot:
            use.counter.reset()
        use.hosts, use.unknown, use.heard_at = hosts, unknown, now
        for row in rows:
            use.counter.add(row, now, not is_snapshot)

    def local_hosts(self, now: float) -> int:
        """Return how many hosts of the region are heard, this one included."""
        if abs(now - self.counted_at) >= COUNTED_S:
            self.counted_at = now
            self.heard_count = sum(now - at < HEARD_S for at in self.heard.values())
        return 1 + self.heard_count

    def heard_hosts(self, now: float) -> int:
        """Return how many hosts of all regions are heard."""
        return self.local_hosts(now) + sum(
            region.hosts
            for region in self.regions.values()
            if now - region.heard_at < REGION_HEARD_S
        )

    def local_unknown(self, now: float) -> UnknownUse:
        """Return the hosts of the region whose former processes may have such use."""
        heard = [
            until
            for host, until in self.unknown_hosts.items()
            if now - self.heard.get(host, -math.inf) < HEARD_S
        ]
        left = [until - now for until in (self.unknown_until, *heard) if until > now]
        return UnknownUse(len(left), sum(left))

    def unknown(self, now: float) -> UnknownUse:
        """Return the heard hosts whose former processes may have unknown use."""
        found = self.local_unknown(now)
        regions = [
            region.unknown
            for region in self.regions.values()
            if now - region.heard_at < REGION_HEARD_S
        ]
        return UnknownUse(
            found.hosts + sum(max(0, row.hosts) for row in regions),
            found.left_s + sum(max(0.0, row.left_s) for row in regions),
        )

    def kept_units(
        self, limit: AccountLimit, unknown: UnknownUse, nodes: int
    ) -> tuple[float, float]:
        """Return the least and the most units that are kept for former processes.

        The most is an equal share for each of them. The least falls evenly with time,
        as it does if their calls are evenly distributed over the window.
        """
        spare = FORMER_SPARE_SHARE * self.rule.spare(limit)
        share = max(0.0, self.rule.usable(limit) - spare) / max(1, nodes)
        return share * unknown.left_s / self.rule.window_s, share * unknown.hosts

    def silent_regions(self, now: float) -> frozenset[str]:
        """Return the other regions whose relays have fallen silent."""
        return frozenset(
            name
            for name, region in self.regions.items()
            if now - region.heard_at >= FRESH_S
        )

    def is_settled(self, nodes: int, now: float) -> bool:
        """Return whether this node serves hosts, and knows what they have admitted."""
        if self.local_hosts(now) == 1:
            return False
        is_complete = self.heard_hosts(now) >= SETTLED_SHARE * nodes
        return is_complete or now - self.serving_since >= SETTLE_S

    def room(self, key: int, limit: AccountLimit, nodes: int, now: float) -> Room:
        """Return the room of an account, if the fleet has that many nodes."""
        used = float(self.local.window_sum(key, now))
        demand = self.local.demand_per_s(key, now)
        unheard_used = 0.0
        for region in self.regions.values():
            region_used = float(region.counter.window_sum(key, now))
            age_s = now - region.heard_at
            if age_s < self.rule.window_s:
                # The region's hosts go on until they know that they are cut off.
                used_per_s = region.counter.used_per_s(key, region.heard_at)
                region_used += used_per_s * min(age_s, FRESH_S)
            if age_s < REGION_HEARD_S:
                used += region_used
                demand += region.counter.demand_per_s(key, region.heard_at)
            else:
                unheard_used += region_used
        usable = self.rule.usable(limit)
        # Each host that is not heard may use an equal share.
        unheard_share = max(0, nodes - self.heard_hosts(now)) / max(1, nodes)
        usable_here = usable - max(unheard_used, usable * unheard_share)
        usable_here -= self._kept(key, limit, usable_here, nodes, now)
        room = usable_here - used
        wait_s = 0.0
        missing = RETRY_SHARE * usable - room
        if missing > 0:
            counters = [self.local, *(r.counter for r in self.regions.values())]
            total = max(1.0, used + unheard_used)
            # Each region frees its part of what is missing.
            wait_s = max(
                counter.release_s(
                    key, missing * counter.window_sum(key, now) / total, now
                )
                for counter in counters
            )
        return Room(room, demand, wait_s)

    def _kept(
        self, key: int, limit: AccountLimit, usable: float, nodes: int, now: float
    ) -> float:
        """Return the units of ``usable`` that are kept for former processes.

        An account that asks for more than the others' part is likely to have done so
        before, all at once. Then its former use does not fall evenly with time.
        """
        unknown = self.unknown(now)
        if unknown.hosts == 0:
            return 0.0
        least, most = self.kept_units(limit, unknown, nodes)
        counters = [self.local, *(r.counter for r in self.regions.values())]
        asked = sum(counter.asked_sum(key, now) for counter in counters)
        return min(most, least + max(0.0, asked - (usable - least)))

    def levels(
        self, limits: Mapping[int, AccountLimit], nodes: int, now: float
    ) -> list[LevelRow]:
        """Return the levels of the accounts that have little room left.

        Of too many, those are returned that were not sent for the longest time.
        """
        tables = [self.local.uses, *(r.counter.uses for r in self.regions.values())]
        heard_hosts = self.heard_hosts(now)
        heard_share = min(1.0, heard_hosts / max(1, nodes))
        unknown = self.unknown(now)
        rows = []
        for key, limit in limits.items():
            used = asked = 0
            for uses in tables:
                use = uses.get(key)
                if use is not None:
                    used += use.in_window
                    asked += use.asked + use.asked_before
            least, most = self.kept_units(limit, unknown, nodes)
            room = self.rule.usable(limit) * heard_share - most - used
            usable = self.rule.usable(limit) - least
            # Most accounts have more room than the exact figures could tell.
            if room >= max(LISTED_SHARE * usable, LISTED_DEMAND_S * asked / SLOT_S):
                continue
            found = self.room(key, limit, nodes, now)
            if found.units < max(
                LISTED_SHARE * usable, LISTED_DEMAND_S * found.demand_per_s
            ):
                rows.append(
                    LevelRow(
                        key,
                        math.floor(found.units),
                        round(found.demand_per_s),
                        math.ceil(10 * found.wait_s),
                    )
                )
        rows.sort(key=lambda row: self.listed_at.get(row.key, -math.inf))
        del rows[LEVEL_ROWS_MAX:]
        self.listed_at.update((row.key, now) for row in rows)
        return rows

    def keep(self, limits: Mapping[int, AccountLimit], now: float) -> None:
        """Forget accounts that the configuration does not limit any more."""
        for counter in [self.local, *(r.counter for r in self.regions.values())]:
            counter.keep(limits, now)
        for key in self.listed_at.keys() - limits.keys():
            del self.listed_at[key]
        for host, at in list(self.heard.items()):
            if now - at >= self.rule.window_s:
                del self.heard[host]
        for host, until in list(self.unknown_hosts.items()):
            if until <= now:
                del self.unknown_hosts[host]


class KnownLevel(NamedTuple):
    """A relay's level of an account, and the host's own use that it includes."""

    room: Room
    own_admitted: int
    at: float


class RelayLevels:
    """What one relay has sent to this host."""

    def __init__(self) -> None:
        self.rows: dict[int, KnownLevel] = {}
        self.heard_at = -math.inf

    def describe(self, key: int, now: float) -> dict[str, float] | None:
        """Return the level of an account for the log, or None without one."""
        row = self.rows.get(key)
        if row is None:
            return None
        return {
            "room": row.room.units,
            "demand_per_s": row.room.demand_per_s,
            "age_s": round(now - row.at, 3),
        }


class HostQuota:
    """One host's decisions, by the levels of its relays or by its own ledger.

    What a former process of the host has admitted may count until ``unknown_until``.
    The process has started at ``started_at``.
    """

    def __init__(
        self,
        rule: QuotaRule,
        rng: random.Random,
        unknown_until: float = -math.inf,
        started_at: float = -math.inf,
    ) -> None:
        self.rule = rule
        self.rng = rng
        self.own = UsageCounter(rule.window_s)
        self.ledger = RelayLedger(rule, unknown_until)
        self.levels: dict[str, RelayLevels] = {}
        # When the host started, or its last levels became too old.
        self.without_levels_since = started_at
        # By relay: what has been reported to it, and when that was done last.
        self.reports: dict[str, SentReports] = {}
        self.reported_at: dict[str, float] = {}

    def admit(
        self, key: int, limit: AccountLimit, units: int, nodes: int, now: float
    ) -> Result[None, QuotaExceededError]:
        """Count a call's units if the account has room for them."""
        if units == 0:
            return Ok(None)
        room = self.room(key, limit, nodes, now)
        if nodes <= 1:
            # Nothing is admitted that this host does not know of.
            room = room._replace(demand_per_s=0.0)
        if self._is_admitted(key, units, room, now):
            self._count(UsageRow(key, units, 0), now)
            return Ok(None)
        wait_s = room.wait_s
        if units <= self.rule.usable(limit):
            # Units that never fit are no demand that the other calls compete with.
            self._count(UsageRow(key, 0, units), now)
            wait_s = min(wait_s, self.levels_wait_s(nodes, now))
        wait_s = max(wait_s, KNOWN_AFTER_S)
        wait_s *= 1.0 + RETRY_JITTER * self.rng.random()
        return Err(QuotaExceededError("the account's quota is used up", wait_s))

    def room(self, key: int, limit: AccountLimit, nodes: int, now: float) -> Room:
        """Return the lowest room that is known of an account."""
        relays = self.fresh_relays(now)
        rooms = []
        is_overdue = all(
            key in levels.rows and now - levels.heard_at >= HEARD_S for levels in relays
        )
        # An account with little room keeps to the equal share while relays change.
        if is_overdue or self.ledger.is_settled(nodes, now):
            rooms.append(self.ledger.room(key, limit, nodes, now))
        use = self.own.uses.get(key)
        own_admitted = 0 if use is None else use.admitted
        for levels in relays:
            row = levels.rows.get(key)
            if row is not None and now - row.at < FRESH_S:
                own_use = own_admitted - row.own_admitted
                overdue_s = max(0.0, now - row.at - OVERDUE_S)
                used = max(own_use, overdue_s * row.room.demand_per_s)
                rooms.append(row.room._replace(units=row.room.units - used))
        return min(rooms, default=Room(math.inf, 0.0, 0.0))

    def levels_wait_s(self, nodes: int, now: float) -> float:
        """Return how soon levels are expected that replace the host's own share.

        Infinity if there are levels, or if the host may be cut off from its relays.
        """
        left_s = self.without_levels_since + LEVELS_EXPECTED_S - now
        if nodes <= 1 or left_s <= 0 or self.fresh_relays(now):
            return math.inf
        return math.inf if self.ledger.is_settled(nodes, now) else left_s

    def give_back(self, key: int, units: int, now: float, age_s: float = 0.0) -> None:
        """Return the units of a call, admitted ``age_s`` ago, that has not run."""
        for counter in (self.own, self.ledger.local):
            counter.give_back(key, units, now - age_s, now)

    def record_levels(
        self, relay: str, rows: list[LevelRow], sent_at: float, now: float
    ) -> None:
        """Take over a relay's levels; those that are too old are discarded."""
        if now - sent_at >= FRESH_S:
            return
        known = self.levels.setdefault(relay, RelayLevels())
        known.heard_at = max(known.heard_at, sent_at)
        self.without_levels_since = max(self.without_levels_since, sent_at + FRESH_S)
        reports = self.reports.get(relay)
        if reports is not None:
            reports.record_level(sent_at)
        # What has been reported since is not in these levels.
        cursor = {} if reports is None else reports.arrived
        for key, level in list(known.rows.items()):
            if sent_at - level.at >= FRESH_S:
                # The relay no longer sends the account's level.
                del known.rows[key]
        for row in rows:
            admitted = cursor.get(row.key, (0, 0))[0]
            room = Room(row.room, row.demand_per_s, row.wait_tenths / 10)
            known.rows[row.key] = KnownLevel(room, admitted, sent_at)

    def take_report(self, relay: str, now: float) -> list[UsageRow]:
        """Return what was admitted since the last report to a relay.

        A relay that has got none within the window gets all of the window.
        """
        reported_at = self.reported_at.get(relay, -math.inf)
        rows_max: int | None = REPORT_ROWS_MAX
        if now - reported_at >= self.rule.window_s:
            self.reports[relay] = SentReports(self.own.window_cursor(now))
            rows_max = None
        self.reported_at[relay] = now
        reports = self.reports[relay]
        rows = self.own.new_rows(reports.cursor, rows_max)
        reports.record_sent(now)
        return rows

    def restart_reports(self, relay: str) -> None:
        """Report again what may not have reached a relay over an earlier connection."""
        if relay in self.reports:
            self.reports[relay].restart()

    def unknown_s(self, now: float) -> float:
        """Return how long calls of this host's former process may still count."""
        return max(0.0, self.ledger.unknown_until - now)

    def fresh_relays(self, now: float) -> list[RelayLevels]:
        """Return what those relays have sent that are heard."""
        return [
            levels for levels in self.levels.values() if now - levels.heard_at < FRESH_S
        ]

    def keep(self, limits: Mapping[int, AccountLimit], now: float) -> None:
        """Forget accounts without a limit, and relays that are not heard any more."""
        self.own.keep(limits, now)
        self.ledger.keep(limits, now)
        for relay, levels in list(self.levels.items()):
            if now - levels.heard_at >= FRESH_S:
                del self.levels[relay]
        for relay, at in list(self.reported_at.items()):
            if now - at >= self.rule.window_s:
                del self.reported_at[relay], self.reports[relay]

    def _is_admitted(self, key: int, units: int, room: Room, now: float) -> bool:
        if units > room.units:
            # Without a relay, a host's share may be smaller than any call.
            if self.fresh_relays(now) or self.own.window_sum(key, now) > 0:
                return False
            return self.rng.random() < CHANCE_FACTOR * room.units / units
        expected = room.demand_per_s * KNOWN_AFTER_S
        return room.units >= expected or self.rng.random() < room.units / expected

    def _count(self, row: UsageRow, now: float) -> None:
        self.own.add(row, now)
        self.ledger.local.add(row, now)
