"""Quotas of accounts over simulated hosts: the bound, and calls within the quota."""

import random

import pytest
from tests.lib.quota_fleet import RULE, QuotaFleet, token_limit

from poplarfold._internal.core.fleet.account_quota import (
    FRESH_S,
    LEVELS_EXPECTED_S,
    RETRY_JITTER,
    HostQuota,
    LevelRow,
    QuotaRule,
)
from poplarfold._internal.core.fleet.accounts import AccountLimit, UsageUnit
from poplarfold._internal.core.fleet.relay_messages import (
    UsageLevels,
    UsageReport,
    pack,
)
from poplarfold._internal.core.fleet.usage_rows import pack_rows, unpack_rows
from poplarfold._internal.core.fleet.usage_window import UsageRow, account_key

LARGE_RATE = 171_315.0
# The quotas are 1.8 times the usual use of an account.
USUAL_SHARE = 1 / 1.8
SURGE_FACTOR = 7.5
SMALL_RATES = [2_000.0 + 1_500.0 * number for number in range(15)]
LIMITS = {"large": token_limit(LARGE_RATE)} | {
    f"small-{number}": token_limit(rate) for number, rate in enumerate(SMALL_RATES)
}
USUAL = {name: limit.rate_per_s * USUAL_SHARE for name, limit in LIMITS.items()}
SURGE = USUAL | {"large": USUAL["large"] * SURGE_FACTOR}
BOUND = RULE.bound(LIMITS["large"])
KEY = account_key("large")


def settled_fleet(seed, hosts=82):
    """Return a fleet whose hosts hear their relays, under usual load."""
    fleet = QuotaFleet(hosts, LIMITS, seed)
    fleet.run(2.0, {})
    fleet.run(9.0, USUAL)
    return fleet


def test_nothing_is_refused_under_usual_load():
    """Guards against small accounts that lose calls because a host's share of their
    quota is less than one call."""
    fleet = settled_fleet(seed=1)
    fleet.run(20.0, USUAL)
    assert all(ask.admitted for ask in fleet.asks)


@pytest.mark.parametrize("seed", range(4))
def test_surge_of_one_account(seed):
    """Guards against a surge that exceeds the bound before all hosts know of it, that
    costs other accounts calls, or that is cut below the quota."""
    fleet = settled_fleet(seed)
    fleet.run(5.0 + 2.0 * seed, SURGE)
    fleet.run(9.0, USUAL)
    others = [ask for ask in fleet.asks if ask.account != "large"]
    own = [ask for ask in fleet.asks if ask.account == "large"]
    within = fleet.refusals_within_quota("large")
    print(f"seed {seed}: highest window {fleet.highest_window('large') / BOUND:.3f},")
    print(f"own refused within the quota {within} of {len(own)},")
    print(f"others {sum(not ask.admitted for ask in others)} of {len(others)}")
    assert fleet.highest_window("large") <= BOUND
    assert all(ask.admitted for ask in others)
    assert within < 0.01 * len(own)


def end_hosts(fleet):
    """End a third of the hosts right after they have admitted calls."""
    for name in list(fleet.hosts)[4::3]:
        fleet.ask(fleet.hosts[name], "large", 5270)
        fleet.end(name)


def end_relays(fleet):
    for region in "ab":
        for relay in fleet.relays(region):
            fleet.end(relay.name)


def change_relays(fleet):
    fleet.unavailable = {r.name for region in "ab" for r in fleet.relays(region)}


def pause_hosts(fleet):
    for host in list(fleet.hosts.values())[::2]:
        host.paused_until = fleet.now + 4.0


def cut_hosts(fleet):
    for host in list(fleet.hosts.values())[4::4]:
        host.is_cut = True


def cut_region(fleet):
    fleet.has_region_link = False


def join_hosts(fleet):
    for number in range(30):
        fleet.join(f"new-{number}", "ab"[number % 2])


FAILURES = [
    end_hosts, end_relays, change_relays, pause_hosts, cut_hosts, cut_region, join_hosts
]  # fmt: skip


@pytest.mark.parametrize("fail", FAILURES)
@pytest.mark.parametrize("before_s", [0.0, 0.6, 2.0])
def test_failure_during_a_surge_keeps_the_bound(fail, before_s, seed=7):
    """Guards against a failure at the start, on the way or after the end of the room
    in which hosts admit more together than the rule allows."""
    fleet = settled_fleet(seed)
    fleet.run(before_s, SURGE)
    fail(fleet)
    fleet.run(11.0, SURGE)
    fleet.has_region_link = True
    fleet.unavailable = set()
    for host in fleet.hosts.values():
        host.is_cut = False
    fleet.run(9.0, SURGE)
    assert fleet.highest_window("large") <= BOUND


@pytest.mark.parametrize(
    ("fail", "before_s", "seed"),
    [(cut_region, 0.9, 21), (cut_region, 0.6, 31), (end_hosts, 1.2, 21)],
)
def test_found_failures_keep_the_bound(fail, before_s, seed):
    """Guards against the cases that exceeded the bound by up to 2% in trials, when a
    silent region counted as unused and less was kept for ended hosts."""
    test_failure_during_a_surge_keeps_the_bound(fail, before_s, seed)


@pytest.mark.parametrize("seed", range(6))
def test_random_failures_keep_the_bound(seed):
    """Guards against sequences of failures that no other test names."""
    fleet = settled_fleet(seed, hosts=24)
    choice = random.Random(seed)
    for _ in range(10):
        choice.choice(FAILURES)(fleet)
        fleet.run(choice.uniform(0.2, 4.0), choice.choice([USUAL, SURGE]))
        for host in fleet.hosts.values():
            host.is_cut = host.is_cut and choice.random() < 0.5
        fleet.has_region_link = choice.random() < 0.7
        fleet.unavailable = set()
        if len(fleet.hosts) < 12:
            join_hosts(fleet)
    assert fleet.highest_window("large") <= BOUND


HEAVY = {"heavy": AccountLimit(UsageUnit.TOKENS, 900.0, 1800.0, 200.0)}
HEAVY_RULE = QuotaRule(window_s=8.0, over=0.1, slack=3000.0)
HEAVY_LOAD = {"heavy": 3600.0}


@pytest.mark.parametrize(("hosts", "stops"), [(3, 2), (4, 2), (6, 3), (6, 4), (12, 6)])
@pytest.mark.parametrize("seed", range(8))
def test_overlapping_stops_keep_the_bound(hosts, stops, seed):
    """Guards against hosts that admit anew what their former processes have admitted
    within the window, if all relays that knew of it have ended as well."""
    fleet = QuotaFleet(hosts, HEAVY, seed, HEAVY_RULE)
    choice = random.Random(seed)
    fleet.run(2.0, {})
    fleet.run(9.0, {"heavy": 900.0}, 300)
    fleet.run(choice.uniform(0.5, 4.0), HEAVY_LOAD, 300)
    for _ in range(3):
        ended = []
        for name in choice.sample(sorted(fleet.hosts), stops):
            ended.append((fleet.now + choice.uniform(1.0, 3.0), fleet.hosts[name]))
            fleet.end(name)
            fleet.run(choice.uniform(0.0, 1.5), HEAVY_LOAD, 300)
        for at, host in sorted(ended, key=lambda row: row[0]):
            fleet.run(max(0.0, at - fleet.now), HEAVY_LOAD, 300)
            fleet.start_again(host, choice.uniform(0.3, 1.2))
        fleet.run(choice.uniform(2.0, 9.0), HEAVY_LOAD, 300)
    assert fleet.highest_window("heavy") <= HEAVY_RULE.bound(HEAVY["heavy"])


def end_and_start_all(fleet):
    """End all hosts at once, and start them again two seconds later."""
    ended = list(fleet.hosts.values())
    for host in ended:
        fleet.end(host.name)
    for _ in range(40):
        fleet.step()
    for host in ended:
        fleet.start_again(host, fleet.rng.uniform(0.3, 0.8))


@pytest.mark.parametrize("before_s", [1.5, 3.0, 6.0])
def test_start_of_all_hosts_during_a_surge_keeps_the_bound(before_s):
    """Guards against a fleet that has lost all that was admitted, and admits as much
    again within the window."""
    fleet = settled_fleet(seed=1)
    fleet.run(before_s, SURGE)
    end_and_start_all(fleet)
    fleet.run(10.0, SURGE)
    assert fleet.highest_window("large") <= BOUND


def test_start_of_all_hosts_refuses_little_of_the_usual_load():
    """Guards against a fleet that refuses most calls for a whole window after all of
    its hosts have started again, though the accounts are far from their quotas."""
    fleet = settled_fleet(seed=1)
    end_and_start_all(fleet)
    fleet.run(1.5, USUAL)
    since = len(fleet.asks)
    fleet.run(10.0, USUAL)
    refused = sum(not ask.admitted for ask in fleet.asks[since:])
    print(f"refused {refused} of {len(fleet.asks) - since}")
    assert refused <= 0.05 * (len(fleet.asks) - since)


@pytest.mark.parametrize(("unheard_s", "kept_hosts"), [(2.0, 0), (5.0, 1), (20.0, 1)])
def test_relay_keeps_nothing_for_a_process_that_it_has_heard(unheard_s, kept_hosts):
    """Guards against a relay that counts the use of a former process twice, and one
    that takes a former process for known that it has not heard for long."""
    ledger = HostQuota(RULE, random.Random(1)).ledger
    ledger.record_report("h", [UsageRow(KEY, 900, 0)], 10.0)
    ledger.record_report("h", [], 10.0 + unheard_s, RULE.window_s)
    assert ledger.local_unknown(10.0 + unheard_s).hosts == kept_hosts


def test_first_use_of_a_process_is_kept_for_one_window():
    """Guards against a share that is kept for longer than the calls count."""
    quota = HostQuota(RULE, random.Random(1), unknown_until=18.0)
    ledger, limit = quota.ledger, LIMITS["large"]
    rooms = [ledger.room(KEY, limit, 1, now).units for now in (10.0, 14.0, 18.0)]
    assert rooms[0] < rooms[1] < rooms[2] == RULE.usable(limit)


def test_lowered_limit_is_binding_one_window_later():
    """Guards against hosts that go on with the room of the former limit."""
    fleet = settled_fleet(seed=3)
    fleet.limits["large"] = lowered = token_limit(LARGE_RATE / 4)
    changed_at = fleet.now
    fleet.run(20.0, SURGE)
    highest = fleet.highest_window("large", since=changed_at + RULE.window_s)
    assert highest <= RULE.bound(lowered)


def test_disagreeing_relays_count_by_the_lower_level():
    """Guards against a relay that has lost reports and grants too much."""
    quota = HostQuota(RULE, random.Random(1))
    for relay, room in (("r1", 1_000_000), ("r2", 0)):
        quota.record_levels(relay, [LevelRow(KEY, room, 100, 5)], 10.0, 10.0)
    refused = quota.admit(KEY, LIMITS["large"], 100, 82, 10.0)
    assert refused.is_err()
    # Never earlier than the relay expects room.
    assert refused.unwrap_err().remaining_s >= 0.5


def test_call_is_asked_to_come_back_once_levels_are_expected():
    """Guards against callers who wait until a host's small share is free again, though
    the host has just started and has the relays' levels within two seconds."""
    quota = HostQuota(RULE, random.Random(1), unknown_until=18.0, started_at=10.0)
    limit = LIMITS["large"]
    assert quota.admit(KEY, limit, 1_500, 82, 10.4).is_ok()
    assert quota.room(KEY, limit, 82, 10.5).wait_s >= 7.0
    refused = quota.admit(KEY, limit, 10_000, 82, 10.5)
    levels_at = 10.0 + LEVELS_EXPECTED_S
    longest_s = (levels_at - 10.5) * (1.0 + RETRY_JITTER)
    assert levels_at - 10.5 <= refused.unwrap_err().remaining_s <= longest_s
    # Levels are late, so the host may be cut off from its relays.
    refused = quota.admit(KEY, limit, 10_000, 82, levels_at)
    assert refused.unwrap_err().remaining_s >= quota.room(KEY, limit, 82, 12.0).wait_s


def test_call_is_asked_to_come_back_once_a_new_relay_is_expected():
    """Guards against callers who wait for a host's small share after its relay has
    ended, and against short waits for a relay whose levels say more."""
    quota = HostQuota(RULE, random.Random(1), started_at=0.0)
    limit = LIMITS["large"]
    share = int(RULE.usable(limit) / 82)
    quota.record_levels("r1", [], sent_at=10.0, now=10.0)
    assert quota.admit(KEY, limit, share - 100, 82, 10.1).is_ok()
    gone_at = 10.0 + FRESH_S
    refused = quota.admit(KEY, limit, 10_000, 82, gone_at)
    longest_s = LEVELS_EXPECTED_S * (1.0 + RETRY_JITTER)
    assert refused.unwrap_err().remaining_s <= longest_s
    quota.record_levels("r2", [LevelRow(KEY, 0, 100, 60)], gone_at + 0.5, gone_at + 0.5)
    refused = quota.admit(KEY, limit, 10_000, 82, gone_at + 0.5)
    assert refused.unwrap_err().remaining_s >= 6.0


def test_call_that_never_fits_is_not_asked_back_soon():
    """Guards against retries of a call that is larger than the account's quota."""
    quota = HostQuota(RULE, random.Random(1), unknown_until=18.0, started_at=10.0)
    limit = LIMITS["large"]
    units = int(RULE.usable(limit)) + 1
    assert quota.admit(KEY, limit, 1_500, 82, 10.4).is_ok()
    refused = quota.admit(KEY, limit, units, 82, 10.5)
    assert refused.unwrap_err().remaining_s >= 7.0


def test_paused_host_discards_old_levels():
    """Guards against a host that admits by the room of before its pause."""
    quota = HostQuota(RULE, random.Random(1))
    quota.record_levels("r1", [], sent_at=10.0, now=10.0 + FRESH_S)
    share = int(0.8 * BOUND / 82)
    assert quota.admit(KEY, LIMITS["large"], share, 82, 11.5).is_ok()
    assert quota.admit(KEY, LIMITS["large"], share, 82, 11.5).is_err()


def test_returned_units_are_free_again():
    """Guards against calls that have not run and still use up the quota, here and at
    a relay that knows of them."""
    quota, relay = (HostQuota(RULE, random.Random(1)) for _ in range(2))
    limit, units = LIMITS["large"], 1_500_000
    for now in (10.0, 11.0):
        assert quota.admit(KEY, limit, units, 1, now).is_ok()
        relay.ledger.record_report("h", quota.take_report("r", now), now)
        quota.give_back(KEY, units, now)
    relay.ledger.record_report("h", quota.take_report("r", 11.0), 11.0)
    assert relay.ledger.local.window_sum(KEY, 11.0) == 0


@pytest.mark.parametrize("age_s", [3.0, 9.0])
def test_returned_units_make_no_room_beyond_the_window(age_s):
    """Guards against units that are returned late, whose call has left the window, or
    does so before the return: they would make room for as many more."""
    quota, relay = (HostQuota(RULE, random.Random(1)) for _ in range(2))
    for now in (10.0, 10.0 + age_s):
        assert quota.admit(KEY, LIMITS["large"], 5_000, 1, now).is_ok()
        relay.ledger.record_report("h", quota.take_report("r", now), now)
    quota.give_back(KEY, 5_000, now, age_s)
    for later in (now, now + 4.0, now + 8.0):
        relay.ledger.record_report("h", quota.take_report("r", later), later)
        for counter in (quota.own, quota.ledger.local, relay.ledger.local):
            assert counter.window_sum(KEY, later) == 5_000


def test_call_without_units_is_admitted():
    """Guards against calls that fail because they are counted as no units, as plain
    calls are without a number of tokens in the configuration."""
    quota = HostQuota(RULE, random.Random(1))
    quota.ledger.record_report("h", [UsageRow(KEY, 10_000_000, 0)], 10.0)
    assert quota.admit(KEY, LIMITS["large"], 0, 82, 10.1).is_ok()


def test_new_relay_learns_the_whole_window():
    """Guards against a new relay that grants what its hosts have used before."""
    quota, relay = (HostQuota(RULE, random.Random(1)) for _ in range(2))
    quota.admit(KEY, LIMITS["large"], 5_000, 1, 10.0)
    quota.take_report("former", 10.3)
    quota.admit(KEY, LIMITS["large"], 700, 1, 12.0)
    relay.ledger.record_report("h", quota.take_report("new", 12.0), 12.0)
    assert relay.ledger.local.window_sum(KEY, 12.0) == 5_700


def test_use_that_a_lost_report_told_is_told_again():
    """Guards against use that a relay never counts, since the report of it went into a
    connection that had broken (QUOTA), and against use that is told again for good."""
    quota = HostQuota(RULE, random.Random(1))
    quota.admit(KEY, LIMITS["large"], 50, 1, 10.0)
    assert quota.take_report("r", 10.0) == [UsageRow(KEY, 50, 0)]
    quota.admit(KEY, LIMITS["large"], 70, 1, 10.2)
    quota.take_report("r", 10.3)
    # This level includes the first report only.
    quota.record_levels("r", [], sent_at=10.3, now=10.35)
    quota.restart_reports("r")
    assert quota.take_report("r", 10.6) == [UsageRow(KEY, 70, 0)]
    quota.record_levels("r", [], sent_at=10.8, now=10.85)
    quota.restart_reports("r")
    assert quota.take_report("r", 10.9) == []


def test_level_is_offset_against_what_it_includes():
    """Guards against a host that admits more than there is room for, since its latest
    report had left, but not arrived, when the relay sent a level."""
    quota = HostQuota(RULE, random.Random(1))
    quota.take_report("r", 9.0)
    quota.admit(KEY, LIMITS["large"], 500, 1, 10.0)
    quota.take_report("r", 10.0)
    quota.record_levels("r", [LevelRow(KEY, 600, 0, 5)], sent_at=10.01, now=10.05)
    assert quota.room(KEY, LIMITS["large"], 1, 10.05).units == 100
    quota.record_levels("r", [LevelRow(KEY, 100, 0, 5)], sent_at=10.2, now=10.25)
    assert quota.room(KEY, LIMITS["large"], 1, 10.25).units == 100


def test_region_snapshot_is_not_counted_twice():
    """Guards against a new connection between regions that repeats what is known."""
    ledger = HostQuota(RULE, random.Random(1)).ledger
    for at in (10.0, 11.0):
        ledger.record_region("b", 41, [UsageRow(KEY, 900, 0)], True, at)
    assert ledger.regions["b"].counter.window_sum(KEY, 11.0) == 900


def test_call_is_admitted_after_the_stated_wait():
    """Guards against callers that are told to repeat a call too early."""
    quota, limit = HostQuota(RULE, random.Random(1)), LIMITS["large"]
    now = 10.0
    while (result := quota.admit(KEY, limit, 5_270, 1, now)).is_ok():
        now += 0.01
    now += result.unwrap_err().remaining_s
    assert quota.admit(KEY, limit, 5_270, 1, now).is_ok()


@pytest.mark.parametrize("fail", [end_relays, change_relays, cut_region, join_hosts])
def test_calm_failure_refuses_nothing(fail):
    """Guards against new relays whose first levels are too low, since they do not hear
    all hosts yet."""
    fleet = settled_fleet(seed=5)
    fail(fleet)
    fleet.run(5.0, USUAL)
    refused = [ask for ask in fleet.asks if not ask.admitted]
    # A host that has joined has no levels yet in its first moments.
    allowed = fleet.nodes - 82
    assert len(refused) <= allowed


def test_messages_stay_within_the_control_traffic():
    """Guards against messages of more than 3 KB/s per node, with 1,200 accounts at 400
    nodes. Each message has 8 bytes of framing and 52 of TCP and IP."""
    ledger = HostQuota(RULE, random.Random(1))
    limits = {}
    for number in range(1200):
        name = f"account-{number}"
        limits[account_key(name)] = token_limit(30_000.0)
        ledger.admit(account_key(name), token_limit(30_000.0), 330_000, 1, 10.0)
    report = ledger.take_report("r", 10.0) and ledger.take_report("r", 10.1)
    assert report == []
    for key, limit in limits.items():
        ledger.admit(key, limit, 5_270, 1, 10.2)
    rows = ledger.take_report("r", 10.3)
    levels = ledger.ledger.levels(limits, 1, 10.3)
    sizes = [
        len(pack(UsageReport(pack_rows(rows)))),
        len(pack(UsageLevels(10.3, pack_rows(levels)))),
    ]
    print(f"report {sizes[0]}, levels {sizes[1]} bytes")
    assert len(levels) == 10
    assert sum(size + 60 for size in sizes) * 2 / 0.3 <= 3_000
    assert unpack_rows(pack_rows(rows), 2).unwrap() == rows
