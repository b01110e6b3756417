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
    SOUND_PARTS_MAX,
    TEST_AFTER_S,
    TEST_PERIOD_S,
    EngineKey,
    PartState,
    PromptSuspects,
    merge_states,
    trial_delay_s,
)
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import PlatformFormatError, PromptBlockedError
from poplarfold._internal.gateway.part_guard import PartGuard
from poplarfold._internal.gateway.part_records import (
    decode_part_state,
    encode_part_state,
)
from poplarfold._internal.gateway.topic_records import decode_record
from poplarfold._internal.platform import StoreTopic

# The time in which the platform settles.
STABLE_S = 4.0


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


def test_part_is_blocked_however_many_engines_crash_at_first():
    """Guards against a part that goes on crashing engines, since as many as are kept
    crashed in its first incident."""
    suspects = PromptSuspects()
    for number in range(CRASHES_KEPT + 2):
        suspects.record_crash(("bad",), engine(number), 0.0, 1.0)
    assert blocked_by(suspects, "bad", now=1.5) is None
    for number in range(20, 20 + BLOCKING_INCIDENTS - 1):
        suspects.record_crash(("bad",), engine(number), float(number), number + 0.1)
    assert blocked_by(suspects, "bad", now=30.0) == "bad"
    state = suspects.states["bad"]
    suspects.record_crash(("bad",), engine(40), 40.0, 40.1)
    assert suspects.states["bad"] == state


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


PROMPT = ("first", "bad", "tools")


def test_part_that_was_sound_is_not_blamed_for_one_before_it():
    """Guards against sound requests that are rejected for a part which stands behind
    the one that crashes engines (review case 7)."""
    suspects = PromptSuspects()
    suspects.record_sound(("first", "usual", "tools"), -20.0, -19.0)
    crashed(suspects, *PROMPT)
    assert blocked_by(suspects, *PROMPT) == "bad"
    assert blocked_by(suspects, "other", "bad") == "bad"
    assert blocked_by(suspects, "first", "usual", "tools") is None


def test_part_that_was_sound_is_not_blamed_before_the_other_has_as_many_incidents():
    """Guards against a sound part whose streams broke at an engine before the one that
    crashed it was seen to break there, so that it has an incident more."""
    suspects = PromptSuspects()
    suspects.record_sound(("usual", "tools"), -20.0, -19.0)
    suspects.record_crash(("bad", "tools"), engine(0), 0.0, 0.1)
    suspects.record_crash(("bad", "tools"), engine(1), 0.2, 0.3)
    # Sent before the second crash was known, but not the stream of the usual prompt.
    suspects.record_crash(("usual", "tools"), engine(2), 0.35, 0.4)
    suspects.record_crash(("bad", "tools"), engine(2), 0.25, 0.4)
    assert suspects.states["tools"].incidents == BLOCKING_INCIDENTS
    assert suspects.states["bad"].incidents < BLOCKING_INCIDENTS
    assert blocked_by(suspects, "usual", "tools", now=0.5) is None
    suspects.record_crash(("bad", "tools"), engine(3), 0.5, 0.6)
    assert blocked_by(suspects, "bad", "tools", now=0.6) == "bad"
    assert blocked_by(suspects, "usual", "tools", now=0.6) is None


def test_part_that_was_sound_is_not_blamed_before_a_node_has_heard_of_the_other():
    """Guards against a node that rejects sound requests since it has seen its own
    streams break, and hears of the one that crashed the engine a little later."""
    suspects = PromptSuspects()
    suspects.record_sound(("usual", "tools"), -20.0, -19.0)
    crashed(suspects, "bad", "tools", count=2)
    suspects.record_crash(("usual", "tools"), engine(2), 0.5, 0.6)
    assert blocked_by(suspects, "usual", "tools", now=0.6) is None
    suspects.record_crash(("bad", "tools"), engine(2), 0.5, 0.65)
    assert blocked_by(suspects, "usual", "tools", now=0.7) is None
    assert blocked_by(suspects, "bad", "tools", now=0.7) == "bad"


def test_part_that_was_sound_once_is_blocked_if_no_other_explains_the_crashes():
    """Guards against a part that crashes engines for good because it did not before."""
    suspects = PromptSuspects()
    suspects.record_sound(("first", "bad"), -20.0, -19.0)
    crashed(suspects, "first", "bad")
    assert blocked_by(suspects, "first", "bad") == "bad"
    assert blocked_by(suspects, "first", "other") is None


def test_node_learns_from_others_that_a_part_was_sound():
    """Guards against a node that rejects sound requests because it had none of them
    before, and against nodes that tell each other so forever."""
    guards = [PartGuard(lambda: 0.0, lambda *row: None) for _ in range(2)]
    sent = [[], []]
    for guard, states in zip(guards, sent, strict=True):
        guard.share = states.append
    crashed(guards[0].suspects, *PROMPT)
    assert blocked_by(guards[0].suspects, "first", "usual", "tools") == "tools"
    guards[1].record_sound(("first", "tools"), -20.0)
    assert sent[1] == []
    guards[1].merge(guards[0].states())
    (states,) = sent[1]
    guards[0].merge(states, guards[1].sound_parts(states))
    (known,) = sent[0]
    assert {state.part for state in known} == {"first", "tools"}
    assert blocked_by(guards[0].suspects, "first", "usual", "tools") is None
    assert blocked_by(guards[0].suspects, *PROMPT) == "bad"
    guards[1].merge(known, guards[0].sound_parts(known))
    assert [len(row) for row in sent] == [1, 1]


def test_number_of_parts_known_to_be_sound_is_bounded():
    """Guards against callers whose many parts fill the memory, and against parts that
    are forgotten while they are in use."""
    suspects = PromptSuspects()
    for number in range(SOUND_PARTS_MAX + 50):
        suspects.record_sound(("used", f"p{number}"), 0.0, 0.0)
    assert len(suspects.sound) == SOUND_PARTS_MAX
    assert "used" in suspects.sound and "p0" not in suspects.sound


def wrongly_blocked(until=0.0):
    """Return suspects that block a sound part, as no part was sound before."""
    suspects = crashed(PromptSuspects(), "bad", "tools", until=until)
    assert blocked_by(suspects, "usual", "tools", now=until) == "tools"
    return suspects


def test_wrong_block_ends_with_the_first_test():
    """Guards against sound requests that are rejected for a minute or more, since none
    of them reaches an engine any more."""
    suspects = wrongly_blocked()
    sound = ("usual", "tools")
    assert not suspects.begin_test(sound, "tools", TEST_AFTER_S - 0.1)
    assert suspects.begin_test(sound, "tools", TEST_AFTER_S)
    now = TEST_AFTER_S + SOUND_AFTER_S
    suspects.record_sound(sound, TEST_AFTER_S, now)
    assert blocked_by(suspects, *sound, now=now) is None
    assert blocked_by(suspects, "bad", "tools", now=now) == "bad"
    suspects.record_crash(("bad", "tools"), engine(9), now, now + 1)
    assert blocked_by(suspects, *sound, now=now + 1) is None


def test_blocked_part_is_tested_once_at_a_time():
    """Guards against tests that each cost an engine."""
    suspects = wrongly_blocked()
    sound = ("usual", "tools")
    assert suspects.begin_test(sound, "tools", TEST_AFTER_S)
    assert not suspects.begin_test(sound, "tools", TEST_AFTER_S + TEST_PERIOD_S - 0.1)
    assert suspects.begin_test(sound, "tools", TEST_AFTER_S + TEST_PERIOD_S)
    # The test crashes an engine: the other part does not explain that.
    suspects.record_crash(sound, engine(9), TEST_AFTER_S + TEST_PERIOD_S, 4.0)
    assert not suspects.begin_test(sound, "tools", 50.0)
    assert blocked_by(suspects, *sound, now=50.0) == "tools"


@pytest.mark.parametrize(
    "parts", [("first", "bad"), ("bad",), ("other", "bad"), ("first", "bad", "more")]
)
def test_part_without_an_equal_one_is_not_tested(parts):
    """Guards against a request that costs an engine although the cause is known."""
    suspects = PromptSuspects()
    suspects.record_sound(("first",), -20.0, -19.0)
    crashed(suspects, "first", "bad")
    assert blocked_by(suspects, *parts) == "bad"
    assert not suspects.begin_test(parts, "bad", 2 * TEST_AFTER_S)


def test_request_that_may_test_is_let_through_by_one_node():
    """Guards against tests by all nodes at the same time, and against a test that is
    not logged."""
    logged = []
    guard = PartGuard(lambda: 1.5, lambda *row: logged.append(row[0]))
    guard.suspects = wrongly_blocked()
    guard.trial_delay_s = lambda: None
    with pytest.raises(PromptBlockedError):
        guard.check(("usual", "tools"))
    guard.trial_delay_s = lambda: 0.6
    with pytest.raises(PromptBlockedError):
        guard.check(("usual", "tools"))
    guard.trial_delay_s = lambda: 0.4
    assert guard.check(("usual", "tools"))
    with pytest.raises(PromptBlockedError):
        guard.check(("usual", "tools"))
    assert not guard.check(("usual",))
    assert logged == ["PF7204"]


def test_part_that_is_blocked_in_place_of_another_is_logged():
    """Guards against an operator who reads that the block of a part has ended, but not
    which part is blocked instead."""
    logged = []
    guard = PartGuard(
        lambda: 1.5, lambda number, _, row: logged.append((number, row["part"]))
    )
    for number in range(BLOCKING_INCIDENTS):
        key = FleetEndpoint(
            f"i-{number}", 7, "llm", "127.0.0.1:1", "lhr-a",
            EndpointRole.DECODE, 4, False, 0.0,
        )  # fmt: skip
        guard.record_crash(("bad", "tools"), key, 1.5)
    guard.record_sound(("usual", "tools"), 1.5)
    assert logged == [("PF7201", "tools"), ("PF7202", "tools"), ("PF7201", "bad")]
    guard.record_sound(("bad",), 1.5)
    assert logged[3:] == [("PF7202", "bad")]


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
    (ended,) = suspects.expire(now + 1 + FORGET_S)
    assert (ended.blocks, ended.incidents, ended.crashes) == (0, 0, ())
    assert suspects.expire(now + 1 + 2 * FORGET_S) == []
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
    st.integers(0, 3),
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


def play(seed, later, calm_s, sound_from=0.0, sound_nodes=range(20)):
    """Play a fleet for 40 s; return when sound requests were rejected, and when
    deadly ones were sent.

    Callers of 20 nodes send prompts with one of four first parts. From ``calm_s`` on,
    one in twenty has the deadly part as well, where the others have a usual one if the
    parts ``later``, which all prompts share, stand behind it. Nodes hear of each other
    50 ms later. A crash breaks all streams of an engine, and those that were not
    answered yet are suspected. Nodes test parts that are blocked one after the other,
    but only ``sound_nodes`` get prompts without the deadly part, from ``sound_from``
    on.
    """
    rng = random.Random(seed)
    nodes = [PromptSuspects() for _ in range(20)]
    mail, tests = [], []
    running = []
    incarnations = [0] * 10
    sound_rejected, deadly_sent = [], []
    now = 0.0

    def post(node, changed, known=()):
        """Send changes, or only what the others do not know of them to be sound."""
        states = changed + node.take_newly_sound()
        sound = [state.part for state in states if state.part in node.sound]
        if states and (not known or set(sound) - set(known)):
            mail.append((now + 0.05, states, sound))

    while now < 40.0:
        now += rng.expovariate(20.0)
        for row in [row for row in mail if row[0] <= now]:
            mail.remove(row)
            for other in nodes:
                post(other, other.merge(row[1], now, row[2]), row[2])
        for row in [row for row in tests if row[0] <= now]:
            tests.remove(row)
            for other in nodes:
                other.record_test(row[1], now)
        for row in [row for row in running if now - row[0] >= SOUND_AFTER_S]:
            began_at, number, parts, _ = row
            changed = nodes[number].record_sound(parts, began_at, now)
            post(nodes[number], changed)
            running.remove(row)
        number, at = rng.randrange(20), rng.randrange(10)
        parts = (f"first-{rng.randrange(4)}", f"own-{rng.random()}")
        is_deadly = rng.random() < 0.05 and now >= calm_s
        if not is_deadly and (now < sound_from or number not in sound_nodes):
            continue
        usual = ("usual",) if later else ()
        parts = (parts[0], *(("deadly",) if is_deadly else usual), *later, parts[1])
        found = nodes[number].blocked_part(parts, now)
        if found is not None and nodes[number].begin_test(
            parts, found.part, now, trial_delay_s(number)
        ):
            tests.append((now + 0.05, found.part))
        elif found is not None:
            if not is_deadly:
                sound_rejected.append(now)
            continue
        running.append((now, number, parts, at))
        if not is_deadly:
            continue
        deadly_sent.append(now)
        key = EngineKey(f"i-{at}", incarnations[at])
        incarnations[at] += 1
        for row in [row for row in running if row[3] == at]:
            changed = nodes[row[1]].record_crash(row[2], key, row[0], now)
            post(nodes[row[1]], changed)
            running.remove(row)
    return sound_rejected, deadly_sent


@pytest.mark.parametrize("later", [(), ("tools",)], ids=["last", "before-another"])
@given(st.integers(0, 2**32))
@settings(max_examples=30, deadline=None)
def test_deadly_part_ends_few_engines_and_sound_parts_are_served(later, seed):
    """Guards against a fleet that loses engine after engine to one part, and against
    sound requests that are rejected along with it.

    Nothing tells the deadly part from the one behind it before any stream was answered,
    so that prompts with both begin to come after some seconds.
    """
    sound_rejected, deadly_sent = play(seed, later, 2.0 if later else 0.0)
    assert len(deadly_sent) <= BLOCKING_INCIDENTS + 2
    assert not sound_rejected


@pytest.mark.parametrize("sound_from", [0.0, 10.0])
@given(st.integers(0, 2**32))
@settings(max_examples=30, deadline=None)
def test_wrong_block_of_a_new_fleet_ends_soon(sound_from, seed):
    """Guards against a sound part that stays blocked, as no stream with it was answered
    before the first crashes, and none is sent after them."""
    sound_rejected, deadly_sent = play(seed, ("tools",), 0.0, sound_from)
    assert len(deadly_sent) <= BLOCKING_INCIDENTS + 2
    limit = max(deadly_sent[-1], sound_from) + 2 * STABLE_S
    assert all(at <= limit for at in sound_rejected)


@pytest.mark.parametrize("number", [0, 7, 19])
@given(st.integers(0, 2**32))
@settings(max_examples=30, deadline=None)
def test_wrong_block_ends_soon_if_one_node_gets_the_sound_prompts(number, seed):
    """Guards against a sound part that stays blocked, as the callers of prompts with it
    keep their connections to a node that does not test it."""
    sound_rejected, deadly_sent = play(seed, ("tools",), 0.0, 10.0, [number])
    limit = max(deadly_sent[-1], 10.0) + 2 * STABLE_S
    assert all(at <= limit for at in sound_rejected)
