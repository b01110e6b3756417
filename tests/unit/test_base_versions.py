"""Tests of base versions around an outage and a return of the store."""

import math

import pytest
from tests.lib.origin_hosts import (
    SERVICE,
    TIMEOUT_S,
    Host,
    MemoryStore,
    endpoint,
    route_table,
)

from poplarfold._internal.core.fleet.rows import Service
from poplarfold._internal.core.fleet.stream_origins import next_base
from poplarfold._internal.gateway import base_versions
from poplarfold._internal.gateway.fleet import TopicKnowledge

START = 1000.0
HOSTS = 400
# The store answers 2,000 reading calls a second. In an outage, base versions may take a
# tenth of that, and a fifth while hosts that have started together are still in step.
CALLS_MAX = 200
CALLS_IN_STEP_MAX = 400
# The bounds of the rules hold again so long after the end of an outage.
STABLE_S = 4.0


def test_choice_that_a_return_overtakes_names_the_era_before(monkeypatch):
    """Guards against a base version that counts as confirmed in a new era, although
    records of streams that the store has lost are not written again yet."""
    store = MemoryStore()
    host = Host("front-1", lambda: 1000.0, store)
    host.learn({"i-1": endpoint("i-1", "v1")})
    bases = host.versions.bases
    assert bases.read()

    def return_meanwhile(*args):
        store.return_to(store.copy())
        assert bases.read()
        return next_base(*args)

    monkeypatch.setattr(base_versions, "next_base", return_meanwhile)
    assert bases.next(SERVICE, TIMEOUT_S).base.era == 1


@pytest.mark.parametrize("age_s", [0, 15, 30, 45, 55])
def test_base_version_outlasts_an_outage_that_begins_at_any_age_of_it(age_s):
    """Guards against streams that do not begin in a short outage, since it began just
    before the base version was due to be read again."""
    store, now = MemoryStore(), [1000.0]
    host = Host("front-1", lambda: now[0], store)
    engines = {"i-1": endpoint("i-1", "v1")}

    def wait(duration_s):
        for _ in range(duration_s):
            now[0] += 1.0
            host.learn(engines)
            host.step()

    wait(60)
    calls = store.calls
    wait(60 + age_s)
    assert store.calls - calls <= 4
    store.is_up = False
    wait(25)
    assert host.versions.bases.known(SERVICE) is not None


class Pauses:
    """Stands for the event that stops a thread, whose pauses move the clock instead.

    ``at_pause`` is called at each of them. The thread stops at ``until``.
    """

    def __init__(self, now, until):
        self.now = now
        self.until = until
        self.at_pause = lambda: None

    def is_set(self):
        return self.now[0] >= self.until

    def wait(self, duration_s):
        self.now[0] += duration_s
        self.at_pause()
        return self.is_set()


class Outage:
    """A host of a large fleet, whose thread runs through an outage of the store.

    The store returns ``up_at``, and a relay tells so ``heard_s`` later. A call that
    fails takes ``call_s``. Times are in seconds from the start.
    """

    def __init__(self, seed, up_at, until, heard_s=math.inf, call_s=0.0):
        self.now = [START]
        self.store = MemoryStore()
        self.host = Host("front-1", lambda: self.now[0], self.store)
        self.host.fleet.rng.seed(seed)
        self.host.fleet.node_count_assumed = lambda: HOSTS
        self.versions = self.host.versions
        self.up_at = up_at
        self.heard_at = up_at + heard_s
        self.call_s = call_s
        self.reads = []
        client = self.versions.bases.store
        self.read_newest = client.read_newest
        client.read_newest = self.read
        pauses = Pauses(self.now, START + until)
        pauses.at_pause = self.hear
        self.versions.stopping = self.versions.bases.stopping = pauses

    @property
    def time(self):
        return self.now[0] - START

    def read(self, topic, timeout_s, part=0):
        self.reads.append(self.time)
        self.store.is_up = self.time >= self.up_at
        if not self.store.is_up:
            self.now[0] += self.call_s
        return self.read_newest(topic, timeout_s, part)

    def hear(self):
        if self.time >= self.heard_at:
            known = TopicKnowledge(self.now[0], 0, "front-2")
            self.host.fleet.knowledge["endpoints"] = known

    def learn_services(self, count):
        """Learn a configuration of several services, as from a relay."""
        names = [f"{SERVICE}-{n}" for n in range(count)]
        services = {name: Service(name, 4, 80_000) for name in names}
        table = route_table()._replace(version=2, services=services)
        self.host.fleet.directory.apply_routes(table)

    def run(self):
        self.versions.run()
        return self


def check_rate(reads, since, until):
    """Check how many reads there are in a second, on average and at most."""
    seconds = [int(at) for at in reads if since <= at < until]
    assert len(seconds) / (until - since) <= CALLS_MAX
    assert max(map(seconds.count, range(since, until))) <= CALLS_IN_STEP_MAX


@pytest.mark.parametrize("services", [1, 3])
def test_hosts_that_start_in_an_outage_make_no_crowd(services):
    """Guards against 400 hosts that read the base versions every 0.3 s, and again for
    each service, for as long as the store is away."""
    reads = []
    for seed in range(HOSTS):
        outage = Outage(seed, up_at=math.inf, until=25.0)
        outage.learn_services(services)
        reads += outage.run().reads
    check_rate(reads, 10, 25)


def test_hosts_whose_base_versions_are_old_make_no_crowd():
    """Guards against hosts that read the base versions again every second, for each
    service, once an outage has lasted for a minute."""
    reads = []
    for seed in range(HOSTS):
        outage = Outage(seed, up_at=0.0, until=110.0)
        outage.learn_services(3)
        assert outage.versions.bases.read()
        outage.up_at = math.inf
        reads += outage.run().reads
    check_rate(reads, 90, 110)


@pytest.mark.parametrize("call_s", [0.0, 0.8])
@pytest.mark.parametrize("lasted_s", [1.0, 20.0, 21.0, 22.0])
def test_base_versions_are_read_in_time_after_an_outage(lasted_s, call_s):
    """Guards against pauses that outlast the time in which the store counts as just
    returned, also for a host that hears nothing from its relays."""
    for seed in range(50):
        outage = Outage(seed, lasted_s, until=lasted_s + 6.0, call_s=call_s).run()
        assert outage.versions.bases.has_been_read()
        read_at = outage.versions.bases.first_read_at - START
        assert read_at - lasted_s <= STABLE_S


def test_return_that_relays_tell_ends_the_pause_at_random_times():
    """Guards against hosts that learn the base versions seconds after their relays have
    read the store, and against a crowd of all hosts when these tell it."""
    delays = []
    for seed in range(HOSTS):
        outage = Outage(seed, 20.0, until=26.0, heard_s=0.0).run()
        delays.append(outage.versions.bases.first_read_at - START - 20.0)
    # The spread of reads is 0.5 s, and a host looks every 0.1 s.
    assert max(delays) <= 0.7
    tenths = [int(10 * delay) for delay in delays]
    assert max(map(tenths.count, tenths)) <= CALLS_MAX


def test_store_that_turns_one_host_away_gets_few_reads():
    """Guards against a read at each answer that the store gives to the relays, while it
    turns this host away."""
    outage = Outage(1, up_at=0.0, until=40.0, heard_s=0.0)
    outage.store.cut_off.add("front-1")
    outage.run()
    # One in each pause of 2.25 to 3 s, and those before it has grown.
    assert 8 <= len(outage.reads) <= 40.0 / 2.25 + 5
