"""Plays calls of many nodes to uneven endpoints, without a network.

Each node has its own statistics, chooses by them and repeats failed calls as
``gateway/plain_calls.py`` does. The clock advances from event to event.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from typing import NamedTuple

from poplarfold._internal.core.fleet.budget import RetryBudget
from poplarfold._internal.core.fleet.choice import (
    EndpointStatsTable,
    make_choice,
    pool_view,
)
from poplarfold._internal.core.fleet.outliers import TrialBudget
from poplarfold._internal.core.fleet.paced_choice import AttemptNeeds
from poplarfold._internal.core.fleet.rows import EndpointLoad, FleetEndpoint
from poplarfold._internal.core.model import EndpointRole

DOMAINS = ("lhr-a", "lhr-b", "lhr-c", "khi-a", "khi-b", "khi-c")
REGIONS = {name: name[:3] for name in DOMAINS}
NODES = 37
SLOTS = 6
CALLS_PER_S = 106.0
WORK_S = 0.08
TARGET_S = 0.3
# The machines' pace changes this often, many times per second.
PACE_PERIOD_S = 0.1


class Machine(NamedTuple):
    """How an endpoint behaves.

    Its pace varies around ``slowdown``, by the standard deviation ``spread`` of the
    logarithm; in every other period of ``swing_s`` it varies around 1. It fails
    ``failing`` of its calls in ``WORK_S / 4``, but none in every other period of
    ``flapping_s``. ``stated`` is the slowdown that it states, whatever its pace is, or
    None if it states the pace.
    """

    slowdown: float = 1.0
    spread: float = 0.5
    swing_s: float = math.inf
    failing: float = 0.0
    flapping_s: float = math.inf
    stated: float | None = None


class Outcome(NamedTuple):
    """Calls by what their callers got, and what the nodes did."""

    calls: int
    served: int
    on_time: int
    once_calls: int
    once_served: int
    second_attempts: int
    second_failed: int
    calls_of: list[int]
    avoided_max: int


class Server:
    """An endpoint with a queue in the order of arrival."""

    def __init__(self, number: int, machine: Machine, rng: random.Random) -> None:
        self.row = FleetEndpoint(
            f"i-{number}", 1, "s", f"10.0.0.{number}:80", DOMAINS[number % 6],
            EndpointRole.SERVICE, SLOTS, False, 0.0,
        )  # fmt: skip
        self.machine = machine
        self.rng = rng
        self.paces: dict[int, float] = {}
        self.ends: list[float] = []
        self.calls = 0

    def pace(self, now: float) -> float:
        """Return the slowdown at a time."""
        step = int(now / PACE_PERIOD_S)
        if step not in self.paces:
            change = math.exp(self.rng.gauss(0.0, self.machine.spread))
            is_slow = int(now / self.machine.swing_s) % 2 == 0
            self.paces[step] = change * (self.machine.slowdown if is_slow else 1.0)
        return self.paces[step]

    def serve(self, now: float, is_sound: bool) -> tuple[float, bool]:
        """Return when a call that arrives now ends, and whether it succeeds.

        A call that is not sound fails at every endpoint.
        """
        self.calls += 1
        machine = self.machine
        self.ends = sorted(end for end in self.ends if end > now)
        start = now if len(self.ends) < SLOTS else self.ends[-SLOTS]
        is_bad = int(now / machine.flapping_s) % 2 == 0
        ok = is_sound and not (is_bad and self.rng.random() < machine.failing)
        work_s = WORK_S * math.exp(self.rng.gauss(0.0, 0.3)) if ok else WORK_S / 4
        end = start + work_s * self.pace(start)
        self.ends.append(end)
        return end, ok

    def load(self, now: float) -> EndpointLoad:
        """Return what the endpoint states in a response."""
        count = sum(end > now for end in self.ends)
        stated = self.machine.stated or self.pace(now)
        running = min(SLOTS, count)
        return EndpointLoad(running, count - running, SLOTS, round(stated, 2))


class Node:
    """One node's statistics and budgets."""

    def __init__(self, number: int) -> None:
        self.domain = DOMAINS[number % 6]
        self.stats = EndpointStatsTable()
        self.trials = TrialBudget()
        self.budget = RetryBudget(0.2, 204.0, 10.0)


class Call(NamedTuple):
    """One attempt of a call at a server."""

    arrived_at: float
    started_at: float
    may_repeat: bool
    is_sound: bool
    node: Node
    server: Server
    tried: tuple[FleetEndpoint, ...]


class Load(NamedTuple):
    """The calls of a play.

    ``once_share`` of the calls must not be repeated, and ``unsound_share`` fail at
    every endpoint.
    """

    calls_per_s: float = CALLS_PER_S
    once_share: float = 0.1
    unsound_share: float = 0.0
    duration_s: float = 60.0


class Play:
    """One play of a load.

    Without ``is_paced`` the nodes do not see what endpoints state, as before four
    figures were decoded. Without ``tells_needs`` the choice does not know which
    calls must not be repeated.
    """

    def __init__(
        self,
        machines: list[Machine],
        load: Load,
        seed: int,
        is_paced: bool,
        tells_needs: bool = True,
    ) -> None:
        rng = self.rng = random.Random(seed)
        self.load = load
        self.is_paced = is_paced
        self.tells_needs = tells_needs
        self.servers = [Server(i, row, rng) for i, row in enumerate(machines)]
        self.by_id = {server.row.endpoint_id: server for server in self.servers}
        self.rows = [server.row for server in self.servers]
        self.nodes = [Node(number) for number in range(NODES)]
        self.events: list[tuple[float, int, bool, Call | None]] = []
        self.ticket = itertools.count()
        self.counts: Counter[str] = Counter()
        self.avoided_max = 0

    def run(self) -> Outcome:
        """Play the whole load and return what callers got."""
        self.push(0.0, True, None)
        while self.events:
            now, _, ok, call = heapq.heappop(self.events)
            if call is not None:
                self.end(now, ok, call)
            elif now < self.load.duration_s:
                self.push(now + self.rng.expovariate(self.load.calls_per_s), True, None)
                self.arrive(now)
        counts = self.counts
        return Outcome(
            counts["calls"], counts["served"], counts["on_time"], counts["once"],
            counts["once_served"], counts["second"], counts["second_failed"],
            [server.calls for server in self.servers], self.avoided_max,
        )  # fmt: skip

    def push(self, at: float, ok: bool, call: Call | None) -> None:
        """Add an event: the end of an attempt, or an arrival if ``call`` is None."""
        heapq.heappush(self.events, (at, next(self.ticket), ok, call))

    def arrive(self, now: float) -> None:
        """Have a caller's request arrive at a node."""
        rng = self.rng
        node = rng.choice(self.nodes)
        node.budget.record_request(now)
        may_repeat = rng.random() >= self.load.once_share
        is_sound = rng.random() >= self.load.unsound_share
        self.counts["calls"] += 1
        self.counts["once"] += not may_repeat
        self.send(now, Call(now, now, may_repeat, is_sound, node, self.servers[0], ()))

    def send(self, now: float, call: Call) -> None:
        """Send the next attempt of a call."""
        node = call.node
        has_repeat = call.may_repeat and not call.tried
        needs = AttemptNeeds(
            has_repeat or not self.tells_needs,
            call.tried[-1].failure_domain if call.tried else None,
        )
        choice = make_choice(
            self.rows, node.stats, node.domain, REGIONS, now,
            {row.endpoint_id for row in call.tried}, needs,
            self.rng if self.is_paced else None, node.trials,
        )  # fmt: skip
        assert choice is not None
        server = self.by_id[choice.endpoint.endpoint_id]
        node.stats.start_call(server.row)
        end, ok = server.serve(now, call.is_sound)
        tried = (*call.tried, server.row)
        self.push(end, ok, call._replace(started_at=now, server=server, tried=tried))

    def end(self, now: float, ok: bool, call: Call) -> None:
        """Record the end of an attempt, and send another if it failed."""
        node, row = call.node, call.server.row
        node.stats.finish_call(row)
        load = call.server.load(now) if self.is_paced else None
        node.stats.record_load(row, load, now)
        slowdown = load.slowdown if load else None
        node.stats.record_answer(row, now - call.started_at, ok, now, slowdown)
        counts = self.counts
        counts["ends"] += 1
        if counts["ends"] % 5 == 0:
            self.check_avoided(node, now)
        counts["served"] += ok
        counts["once_served"] += ok and not call.may_repeat
        counts["on_time"] += ok and now - call.arrived_at <= TARGET_S
        if not ok and len(call.tried) == 2:
            counts["second_failed"] += 1
            node.stats.forgive_failures(call.tried, now)
        elif not ok and call.may_repeat and node.budget.try_spend(NODES, now):
            counts["second"] += 1
            self.send(now, call)

    def check_avoided(self, node: Node, now: float) -> None:
        """Note how many endpoints a node avoids."""
        view = pool_view([(row, node.stats.get(row)) for row in self.rows], now)
        if view is not None:
            count = len(view.failures.outliers)
            self.avoided_max = max(self.avoided_max, count)
