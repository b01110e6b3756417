"""Tests of finding the parts of prompts that crash engines."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from poplarfold._internal.core.fleet.keyed_view import ViewRecord
from poplarfold._internal.core.fleet.prompt_suspects import (
    BLOCK_MAX_S,
    BLOCK_S,
    BLOCKING_INCIDENTS,
    CRASHES_KEPT,
    FORGET_S,
    PARTS_MAX,
    SOUND_AFTER_S,
    EngineKey,
    PartState,
    PromptSuspects,
    merge_states,
)
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.part_records import (
    decode_part_state,
    encode_part_state,
)
from poplarfold._internal.gateway.topic_records import decode_record
from poplarfold._internal.platform import StoreTopic


def engine(number):
    return EngineKey(f"i-{number}", 7)


def blocked_by(suspects, *parts, now=0.0):
    found = suspects.blocked_part(parts, now)
    return None if found is None else found.part


def crashed(suspects, *parts, count=BLOCKING_INCIDENTS, first=0, until=0.0):
    """Let engines crash one by one, the last of them at the time ``until``."""
    for number in range(first, first + count):
        at = until - (first + count - 1 - number)
        suspects.record_crash(parts, engine(number), at - 0.1, at)
    return suspects


def test_only_the_part_that_explains_the_crashes_is_blocked():
    """Guards against sound requests that are rejected for a part they share."""
    suspects = crashed(PromptSuspects(), "first", "bad")
    assert blocked_by(suspects, "first", "bad", "more") == "bad"
    assert blocked_by(suspects, "first") is None
    assert blocked_by(suspects, "first", "other") is None


def test_victims_at_the_same_engines_are_not_blocked():
    """Guards against parts that are rejected since their streams waited at engines
    which another prompt crashed."""
    suspects = crashed(PromptSuspects(), "bad", count=BLOCKING_INCIDENTS + 1)
    crashed(suspects, "victim", count=BLOCKING_INCIDENTS)
    assert blocked_by(suspects, "bad") == "bad"
    assert blocked_by(suspects, "victim") is None


def test_one_engine_that_crashes_blocks_no_part():
    """Guards against one faulty engine that many nodes report."""
    suspects = PromptSuspects()
    for _ in range(10):
        suspects.record_crash(("a",), engine(1), 0.0, 0.0)
    assert blocked_by(suspects, "a") is None
    assert suspects.may_repeat(("a",), 0.0)


def test_engines_that_crash_together_block_no_part():
    """Guards against a rack that fails, whose streams share the first part of their
    prompts with a quarter of all others."""
    suspects = PromptSuspects()
    for number in range(20):
        noticed_at = 0.01 * number
        suspects.record_crash(("first",), engine(number), noticed_at - 0.4, noticed_at)
    other = PromptSuspects()
    other.merge(suspects.states.values(), 0.1)
    for node in (suspects, other):
        assert blocked_by(node, "first", now=0.3) is None
        assert node.may_repeat(("first",), 0.3)


def test_repeat_needs_fewer_crashes_than_a_new_request():
    """Guards against a request that crashes a second engine by being repeated."""
    suspects = crashed(PromptSuspects(), "a", count=1)
    assert suspects.may_repeat(("a",), 0.0)
    crashed(suspects, "a", count=1, first=1, until=1.0)
    assert not suspects.may_repeat(("a",), 0.0)
    assert blocked_by(suspects, "a", now=1.0) is None


def test_sound_stream_clears_only_if_it_began_after_the_crash():
    """Guards against streams from before that hide a part which crashes engines."""
    suspects = crashed(PromptSuspects(), "a", until=10.0)
    assert suspects.record_sound(("a",), began_at=9.9, now=11.0) == []
    assert blocked_by(suspects, "a", now=11.0) == "a"
    (cleared,) = suspects.record_sound(("a",), began_at=10.5, now=11.0)
    assert cleared.crashes == () and blocked_by(suspects, "a", now=11.0) is None


def test_block_ends_and_one_more_crash_renews_it_for_longer():
    """Guards against a part that stays blocked for good, and against a part that
    crashes as many engines again after each block."""
    suspects = crashed(PromptSuspects(), "a")
    assert suspects.expire(BLOCK_S - 1) == []
    now = BLOCK_S
    for blocks in range(1, 12):
        suspects.expire(now)
        assert suspects.states["a"].blocks == blocks
        assert blocked_by(suspects, "a", now=now) is None
        suspects.record_crash(("a",), engine(blocks), now, now)
        found = suspects.blocked_part(("a",), now)
        assert found.remaining_s == min(BLOCK_MAX_S, BLOCK_S * 2**blocks)
        now += found.remaining_s
    suspects.expire(now)
    suspects.record_sound(("a",), now, now + SOUND_AFTER_S)
    suspects.record_crash(("a",), engine(99), now, now + 1)
    assert blocked_by(suspects, "a", now=now + 1) is None
    suspects.expire(now + 1 + FORGET_S)
    assert not suspects.states


def test_number_of_parts_is_bounded():
    """Guards against callers whose many parts fill the memory."""
    suspects = PromptSuspects()
    for number in range(PARTS_MAX + 50):
        suspects.record_crash((f"p{number}",), engine(number), 0.0, float(number))
    assert len(suspects.states) == len(suspects.times) == PARTS_MAX
    assert "p0" not in suspects.states


STATES = st.builds(
    PartState,
    st.just("a"),
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 3),
    st.lists(st.integers(0, 2 * CRASHES_KEPT), unique=True, max_size=CRASHES_KEPT).map(
        lambda numbers: tuple(sorted(engine(number) for number in numbers))
    ),
)


@given(STATES, STATES, STATES)
def test_states_merge_to_the_same_in_any_order(one, two, three):
    """Guards against nodes that never agree, or that send states forever."""
    same_round = [row._replace(round=1) for row in (one, two, three)]
    for a, b, c in ((one, two, three), same_round):
        if a.round != b.round or a == b:
            assert merge_states(a, b) == merge_states(b, a)
        if a.round == b.round:
            assert merge_states(a, merge_states(b, c)) == merge_states(
                merge_states(a, b), c
            )
        merged = merge_states(a, b)
        assert merge_states(merged, a) == merge_states(a, merged) == merged


@given(STATES)
def test_stored_states_are_decoded_as_written(state):
    """Guards against a suspicion that is lost in the store."""
    assert decode_part_state("a", encode_part_state(state)) == state


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"crashes": [1]}', b"{}"])
def test_malformed_stored_state_is_rejected(value):
    """Guards against a record of another writer that ends the reader."""
    with pytest.raises(PlatformFormatError):
        decode_part_state("a", value)


def test_malformed_record_of_a_part_is_replaced():
    """Guards against a part whose malformed record stays in the store."""
    guard = PartGuard(lambda: 0.0, lambda *row: None)
    guard.merge_stored([stored_part(b"{", 1)])
    assert guard.unstored() == [("a", b"")]
    guard.merge_stored([stored_part(None, 2)])
    assert guard.unstored() == []


def stored_part(value, offset):
    return decode_record(StoreTopic.PARTS, ViewRecord("a", value, offset))


def test_states_of_a_whole_round_end_reach_equal_nodes():
    """Guards against two nodes that pass the same states to each other forever."""
    now = [0.0]
    guards = [PartGuard(lambda: now[0], lambda *row: None) for _ in range(2)]
    sent = []

    def deliver(index):
        def share(states):
            sent.append(states)
            assert len(sent) < 50
            pending.append((1 - index, states))

        return share

    pending = []
    for index, guard in enumerate(guards):
        guard.share = deliver(index)
    for guard in guards:
        with guard.lock:
            for number in range(3):
                changed = guard.suspects.record_crash(
                    ("a",), engine(number), number, number
                )
                guard._share(changed)
    while pending:
        index, states = pending.pop(0)
        guards[index].merge(states)
    assert guards[0].states() == guards[1].states()


@given(st.integers(0, 2**32))
@settings(max_examples=30, deadline=None)
def test_deadly_part_ends_few_engines_and_sound_parts_are_served(seed):
    """Guards against a fleet that loses engine after engine to one part, and against
    sound requests that are rejected along with it.

    Callers of 20 nodes send prompts with one of four first parts. One in twenty has
    the deadly part as well. Nodes hear of each other 50 ms later. A crash breaks all
    streams of an engine, and those that were not answered yet are suspected.
    """
    rng = random.Random(seed)
    nodes = [PromptSuspects() for _ in range(20)]
    mail = []
    running = []
    incarnations = [0] * 10
    sound_rejected = deadly_sent = 0
    now = 0.0
    while now < 40.0:
        now += rng.expovariate(20.0)
        for due, states in [row for row in mail if row[0] <= now]:
            for other in nodes:
                other.merge(states, now)
            mail.remove((due, states))
        for row in [row for row in running if now - row[0] >= SOUND_AFTER_S]:
            began_at, number, parts, _ = row
            changed = nodes[number].record_sound(parts, began_at, now)
            mail.append((now + 0.05, changed))
            running.remove(row)
        number, at = rng.randrange(20), rng.randrange(10)
        parts = (f"first-{rng.randrange(4)}", f"own-{rng.random()}")
        is_deadly = rng.random() < 0.05
        if is_deadly:
            parts = (parts[0], "deadly", parts[1])
        if nodes[number].blocked_part(parts, now) is not None:
            sound_rejected += not is_deadly
            continue
        running.append((now, number, parts, at))
        if not is_deadly:
            continue
        deadly_sent += 1
        key = EngineKey(f"i-{at}", incarnations[at])
        incarnations[at] += 1
        for row in [row for row in running if row[3] == at]:
            changed = nodes[row[1]].record_crash(row[2], key, row[0], now)
            mail.append((now + 0.05, changed))
            running.remove(row)
    assert deadly_sent <= BLOCKING_INCIDENTS + 2
    assert sound_rejected == 0
