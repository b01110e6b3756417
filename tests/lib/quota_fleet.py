"""A fleet of hosts that share quotas, under a clock that the test advances."""

import math
import random
from typing import NamedTuple

from poplarfold._internal.core.fleet.account_quota import HostQuota, QuotaRule
from poplarfold._internal.core.fleet.accounts import AccountLimit, UsageUnit
from poplarfold._internal.core.fleet.usage_window import account_key

TICK_S = 0.05
PERIOD_TICKS = 6
RULE = QuotaRule(window_s=8.0, over=0.1, slack=120_000.0)


def token_limit(rate_per_s: float) -> AccountLimit:
    """Return a limit like those of the first deployment: a burst of one second."""
    return AccountLimit(UsageUnit.TOKENS, rate_per_s, rate_per_s, 200.0)


class Ask(NamedTuple):
    """One call: when, for which account, how many units, and its outcome."""

    at: float
    account: str
    units: int
    admitted: bool
    retry_after_s: float


class SimulatedHost:
    """A host with the tick in its period at which it sends."""

    def __init__(
        self,
        name: str,
        region: str,
        rng: random.Random,
        rule: QuotaRule,
        unknown_until: float = -math.inf,
    ) -> None:
        self.name = name
        self.region = region
        self.quota = HostQuota(rule, rng, unknown_until)
        self.phase = rng.randrange(PERIOD_TICKS)
        self.is_cut = False
        self.paused_until = 0.0
        # A process that has just started is connected to no relay yet.
        self.connected_at = 0.0
        self.incarnation = 0
        self.place = 0
        self.cursors: dict[str, dict] = {}
        # The relays to which the connection has broken.
        self.broken: set[str] = set()


class QuotaFleet:
    """Hosts in two regions. Messages arrive one tick after they were sent."""

    def __init__(
        self,
        hosts: int,
        limits: dict[str, AccountLimit],
        seed: int,
        rule: QuotaRule = RULE,
    ) -> None:
        self.rng = random.Random(seed)
        self.rule = rule
        self.limits = dict(limits)
        self.now = 1000.0
        self.tick = 0
        self.hosts: dict[str, SimulatedHost] = {}
        self.nodes = 0
        self.has_region_link = True
        self.unavailable: set[str] = set()
        self.asks: list[Ask] = []
        self.mail: list = []
        for number in range(hosts):
            self.join(f"h{number}", "ab"[number % 2])

    def join(self, name: str, region: str) -> None:
        self.hosts[name] = SimulatedHost(name, region, self.rng, self.rule)
        self.hosts[name].place = self.nodes
        self.nodes += 1

    def end(self, name: str) -> None:
        """End a host; it counts as present until its record expires."""
        del self.hosts[name]

    def start_again(self, host: SimulatedHost, connect_s: float) -> None:
        """Start a new process of a host that has ended."""
        unknown_until = self.now + self.rule.window_s
        found = SimulatedHost(
            host.name, host.region, self.rng, self.rule, unknown_until
        )
        found.connected_at = self.now + connect_s
        found.incarnation = host.incarnation + 1
        # The host keeps its place in the order of the relays.
        found.place = host.place
        self.hosts[host.name] = found
        self.hosts = dict(sorted(self.hosts.items(), key=lambda row: row[1].place))

    def relays(self, region: str) -> list[SimulatedHost]:
        found = [h for h in self.hosts.values() if h.region == region]
        return [h for h in found if self._is_available(h)][:2]

    def _is_available(self, host: SimulatedHost) -> bool:
        return host.name not in self.unavailable and host.connected_at <= self.now

    def keyed_limits(self) -> dict[int, AccountLimit]:
        return {account_key(name): limit for name, limit in self.limits.items()}

    def ask(self, host: SimulatedHost, account: str, units: int) -> Ask:
        limit = self.limits[account]
        result = host.quota.admit(
            account_key(account), limit, units, self.nodes, self.now
        )
        wait_s = 0.0 if result.is_ok() else result.unwrap_err().remaining_s
        self.asks.append(Ask(self.now, account, units, result.is_ok(), wait_s))
        return self.asks[-1]

    def ask_at_random(self, rates: dict[str, float], units: int = 5270) -> None:
        """Make the calls of one tick; ``rates`` are units per second over all hosts."""
        active = [h for h in self.hosts.values() if h.paused_until <= self.now]
        for account, rate in rates.items():
            mean = rate * TICK_S / units
            calls = int(mean) + (self.rng.random() < mean - int(mean))
            for _ in range(calls):
                self.ask(self.rng.choice(active), account, units)

    def step(self) -> None:
        """Advance the clock by one tick: deliver messages, then send the next ones."""
        self.tick += 1
        self.now += TICK_S
        mail, self.mail = self.mail, []
        for receiver, deliver in mail:
            if receiver.paused_until > self.now:
                self.mail.append((receiver, deliver))
            elif receiver.name in self.hosts:
                deliver(self.now)
        for host in list(self.hosts.values()):
            due = (self.tick + host.phase) % PERIOD_TICKS == 0
            if due and host.paused_until <= self.now:
                self._report(host)
                if host in self.relays(host.region):
                    self._send_as_relay(host)

    def _report(self, host: SimulatedHost) -> None:
        if host.connected_at > self.now:
            return
        for relay in self.relays(host.region):
            if relay is host:
                continue
            name = f"{relay.name}/{relay.incarnation}"
            is_cut = relay.is_cut or host.is_cut
            if name in host.broken and not is_cut:
                host.broken.discard(name)
                host.quota.restart_reports(name)
            rows = host.quota.take_report(name, self.now)
            if is_cut:
                # The report goes into a connection that ends without an error.
                host.broken.add(name)
                continue
            unknown_s = host.quota.unknown_s(self.now)
            self.mail.append(
                (
                    relay,
                    lambda now, relay=relay, rows=rows, unknown_s=unknown_s: (
                        relay.quota.ledger.record_report(
                            host.name, rows, now, unknown_s
                        )
                    ),
                )
            )

    def _send_as_relay(self, relay: SimulatedHost) -> None:
        if relay.is_cut:
            return
        sent_at = self.now
        name = f"{relay.name}/{relay.incarnation}"
        rows = relay.quota.ledger.levels(self.keyed_limits(), self.nodes, sent_at)
        for host in self.hosts.values():
            if not relay.quota.ledger.is_settled(self.nodes, sent_at):
                break
            if host.region != relay.region or host is relay or host.is_cut:
                continue
            if host.connected_at > self.now:
                continue
            self.mail.append(
                (
                    host,
                    lambda now, host=host: host.quota.record_levels(
                        name, rows, sent_at, now
                    ),
                )
            )
        for other in self.relays("b" if relay.region == "a" else "a"):
            self._send_region(relay, other)

    def _send_region(self, relay: SimulatedHost, other: SimulatedHost) -> None:
        """Send the use of a region to the relays that get it from this relay."""
        name = f"{other.name}/{other.incarnation}"
        if not self.has_region_link or other.is_cut:
            relay.cursors.pop(name, None)
            return
        if relay is not self.relays(relay.region)[0]:
            return
        local = relay.quota.ledger.local
        is_snapshot = name not in relay.cursors
        if is_snapshot:
            relay.cursors[name] = local.window_cursor(self.now)
        rows = local.new_rows(relay.cursors[name])
        hosts = relay.quota.ledger.local_hosts(self.now)
        unknown = relay.quota.ledger.local_unknown(self.now)
        self.mail.append(
            (
                other,
                lambda now: other.quota.ledger.record_region(
                    relay.region, hosts, rows, is_snapshot, now, unknown
                ),
            )
        )

    def run(self, seconds: float, rates: dict[str, float], units: int = 5270) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.ask_at_random(rates, units)
            self.step()

    def highest_window(self, account: str, since: float = 0.0) -> int:
        """Return the most that was admitted within any window of the rule."""
        rows = [
            (ask.at, ask.units)
            for ask in self.asks
            if ask.account == account and ask.admitted and ask.at >= since
        ]
        highest = used = first = 0
        for at, units in rows:
            used += units
            while rows[first][0] <= at - self.rule.window_s:
                used -= rows[first][1]
                first += 1
            highest = max(highest, used)
        return highest

    def refusals_within_quota(self, account: str) -> int:
        """Count refused calls although all calls of their window were in the quota."""
        rows = [ask for ask in self.asks if ask.account == account]
        quota = self.rule.quota(self.limits[account])
        refused = used = first = 0
        for ask in rows:
            used += ask.units
            while rows[first].at <= ask.at - self.rule.window_s:
                used -= rows[first].units
                first += 1
            refused += not ask.admitted and used <= quota
        return refused
