"""The load of the Association's heaviest day, played against the decisions.

Six nodes, each with its own view, ask eight decode engines for slots. Streams
come at 9 a second, 2.2 times as many from 17 to 21 s and twice as many again
from 17.7 to 22.7 s. Time advances in steps, without sockets or threads.
"""

import math
import random
from typing import NamedTuple

import pytest

from poplarfold._internal.core.fleet.choice import UseTable, choose
from poplarfold._internal.core.fleet.door import Door, DoorPolicy
from poplarfold._internal.core.fleet.outputs import OutputForecast
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole

STEP_S = 0.01
DAY_S = 34.0
NODES = 6
DOMAINS = ("lhr-a", "lhr-b", "khi-a")
REGIONS = {"lhr-a": "lahore", "lhr-b": "lahore", "khi-a": "karachi"}
ENGINES = 8
SLOTS = 12
MEMORY_TOKENS = 85_406
OUTPUT_LIMIT = 9_360
SECONDS_PER_OUTPUT = 0.048 / 72
TARGET_S = 0.9
# Prefill and the way there take about a third of the target of 0.9 s.
ON_TIME_WAIT_S = 0.6


class Stream(NamedTuple):
    """A caller's stream; ``is_late`` marks one that came back."""

    arrived_at: float
    prompt: int
    outputs: int
    hint: int
    is_late: bool


class Engine:
    """A decode engine that admits what fits into its slots and memory."""

    def __init__(self, number):
        self.row = FleetEndpoint(
            f"d{number}", 1, "llm", f"10.0.0.{number + 1}:80",
            DOMAINS[number % 3], EndpointRole.DECODE, SLOTS, False, 0.0,
        )  # fmt: skip
        self.running = []

    def admit(self, tokens, until, now):
        self.running = [run for run in self.running if run[1] > now]
        held = sum(run[0] for run in self.running)
        if len(self.running) >= SLOTS or held + tokens > MEMORY_TOKENS:
            return False
        self.running.append((tokens, until))
        return True


class Node:
    """One node's door, and the streams that wait there."""

    def __init__(self, number, policy):
        self.domain = DOMAINS[number % 3]
        self.door = Door(policy)
        self.uses = UseTable()
        self.forecast = OutputForecast()
        self.waiting = {}
        self.ends = []


def rate_at(now):
    rate = 9.0
    if 6 <= now < 11 or 27 <= now < 31:
        rate *= 1.8
    if 17 <= now < 21:
        rate *= 2.2
    if 17.7 <= now < 22.7:
        rate *= 2.0
    return rate


def new_stream(rng, now):
    outputs = min(OUTPUT_LIMIT, int(4464 * math.exp(rng.gauss(0, 0.47))))
    hint = int(outputs * math.exp(rng.gauss(0, 0.5)))
    prompt = min(11_000, int(5_000 * math.exp(rng.gauss(-0.12, 0.5))))
    return Stream(now, prompt, outputs, hint, False)


class Outcome(NamedTuple):
    """What callers got: counts, and the longest wait of a refused one."""

    asked: int
    on_time: int
    late: int
    refused_twice: int
    longest_refusal_s: float


def play(seed, policy):
    """Play the day and return what callers got."""
    rng = random.Random(seed)
    engines = [Engine(number) for number in range(ENGINES)]
    by_id = {engine.row.endpoint_id: engine for engine in engines}
    rows = [engine.row for engine in engines]
    nodes = [Node(number, policy) for number in range(NODES)]
    returning = []
    asked = on_time = late = refused_twice = 0
    longest_s = 0.0
    for step in range(int((DAY_S + 10) / STEP_S)):
        now = step * STEP_S
        arrivals = [stream for at, stream in returning if at <= now]
        returning = [pair for pair in returning if pair[0] > now]
        if now < DAY_S and rng.random() < rate_at(now) * STEP_S:
            asked += 1
            arrivals.append(new_stream(rng, now))
        for stream in arrivals:
            node = rng.choice(nodes)
            node.forecast = node.forecast.with_hint(stream.hint)
            tokens = stream.prompt + node.forecast.reserve(stream.hint, OUTPUT_LIMIT)
            row = node.door.enter("llm", stream.is_late, TARGET_S, now)
            node.waiting[row.ticket] = (row, stream, tokens)
        for node in nodes:
            for at, engine in [end for end in node.ends if end[0] <= now]:
                node.ends.remove((at, engine))
                node.uses.end(engine)
            for ticket, (row, stream, tokens) in list(node.waiting.items()):
                placed = ask(node, rows, by_id, row, stream, tokens, now, rng)
                if placed:
                    waited_s = now - row.arrived_at
                    is_on_time = not stream.is_late and waited_s <= ON_TIME_WAIT_S
                    on_time += is_on_time
                    late += not is_on_time
                elif now < node.door.give_up_at(row):
                    continue
                else:
                    longest_s = max(longest_s, now - row.arrived_at)
                    if stream.is_late:
                        refused_twice += 1
                    else:
                        back_at = now + policy.retry_after_s
                        returning.append((back_at, stream._replace(is_late=True)))
                node.door.leave(ticket)
                del node.waiting[ticket]
    return Outcome(asked, on_time, late, refused_twice, longest_s)


def ask(node, rows, by_id, row, stream, tokens, now, rng):
    """Ask engines for a slot if it is the stream's turn; return whether one agreed."""
    if node.door.position(row.ticket) > 0:
        return False
    while True:
        engine = choose(rows, node.uses, node.domain, REGIONS, now)
        if engine is None:
            return False
        until = now + stream.outputs * SECONDS_PER_OUTPUT + 0.3
        if by_id[engine.endpoint_id].admit(tokens, until, now):
            node.uses.begin(engine)
            node.ends.append((until, engine))
            return True
        pause_s = node.door.policy.full_retry_s * (0.75 + 0.5 * rng.random())
        node.uses.mark_full(engine, now + pause_s)


@pytest.mark.parametrize("seed", range(5))
def test_callers_of_the_heaviest_day(seed):
    """Guards against a queue that makes callers late or holds them in vain."""
    outcome = play(seed, DoorPolicy())
    assert outcome.on_time + outcome.late + outcome.refused_twice == outcome.asked
    # Our target for such a day: six of ten on time, at most two of ten unserved.
    assert outcome.on_time >= 0.6 * outcome.asked
    assert outcome.refused_twice <= 0.2 * outcome.asked
    assert outcome.longest_refusal_s <= 0.55 * TARGET_S + 2 * STEP_S


def test_waiting_for_a_burst_to_end_does_not_pay():
    """Guards against a policy that serves more calls, all of them late."""
    usual = [play(seed, DoorPolicy()) for seed in range(5)]
    patient = [play(seed, DoorPolicy(fresh_wait_share=3.3)) for seed in range(5)]
    assert sum(o.on_time for o in usual) > sum(o.on_time for o in patient)


def test_late_calls_take_no_slots_of_those_on_time():
    """Guards against giving those who came back the first places in line."""
    usual = [play(seed, DoorPolicy()) for seed in range(5)]
    long_wait = [play(seed, DoorPolicy(late_wait_share=3.3)) for seed in range(5)]
    assert sum(o.on_time for o in usual) >= 0.95 * sum(o.on_time for o in long_wait)
