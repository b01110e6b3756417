"""Finds the parts of prompts that crash engines, and blocks requests with them.

A prompt consists of parts that other prompts share; only its last part is its own. If a
part crashes each engine that begins to answer it, every request with it costs an
engine and all streams there, and no node sees enough crashes to notice it alone.

Nodes therefore exchange a state for each suspected part. An engine's crash makes the
parts of the streams suspect that it had not answered for long. A stream that is
answered clears its parts. A part under which several engines have crashed since then is
blocked for a while. Afterwards one more crash is enough to block it again.

Engines that crash at the same time have a common cause, such as a rack that fails, and
count as one incident. A crash is a new incident only if its stream was sent after the
one before was known. So parts that many prompts share are not blocked by one cause.

Several parts may have the same crashes. Nodes therefore remember the parts of streams
that were answered, whenever that was, and tell each other for suspected parts. A part
that is not known to have been sound is blamed first, wherever it stands in the prompt.
Among equals it is the last one, since prompts that share it mostly share those before.
If that was wrong, a prompt that has the blocked part but not another that explains the
crashes as well shows so; one such prompt of a region is let through now and then.

States of two nodes merge to the same state in any order: a later round replaces an
earlier one, and crashes of the same round are united. A suspicion therefore ends with a
round as well, and a node forgets only states without one. If it forgot a suspicion, a
node that still had it would send or write it again.

If there are more suspicions than a node keeps, all nodes have to drop the same ones for
the same reason. Each crash gives its parts a higher order than all that the node knows,
which the states carry, and the parts with the lowest order are dropped. A node that has
dropped a part does not take it from another one.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from poplarfold._internal.core.state import Table
from poplarfold._internal.utils.backoff import doubled_s

__all__ = [
    "SOUND_AFTER_S",
    "BlockedPart",
    "EngineKey",
    "PartState",
    "PromptSuspects",
    "is_suspect",
    "trial_delay_s",
]

# Incidents under a part without any sound stream, from which on the part is blocked for
# new requests, and for repeats of a request that has crashed an engine.
BLOCKING_INCIDENTS = 3
REPEAT_BLOCKING_INCIDENTS = 2
# Crashes from which on a part that was never sound explains those under one that was.
EXPLAINING_CRASHES = 2
# A stream that has been answered for this long shows that its parts are sound.
SOUND_AFTER_S = 0.5
# A part is blocked for this long at first. The time doubles with each further block.
BLOCK_S = 60.0
BLOCK_MAX_S = 900.0
# A blocked part that another one may explain as well is tested this long after it was
# blocked, and again after this period.
TEST_AFTER_S = 1.0
TEST_PERIOD_S = 2.0
# The nodes of a region may begin a test one after the other, this long apart. Meanwhile
# each hears of a test that another has begun, so that a wrong one costs one engine. On
# a busy machine that takes over 0.1 s.
TEST_STAGGER_S = 0.25
# All others may begin one after this time. They need to only if no node before them got
# such a request, so it is likely that few of them get one.
TEST_DELAY_MAX_S = 3.0
# A suspicion that has not changed for this long ends if its part is not blocked. The
# state that remains is forgotten after the same time.
FORGET_S = 1200.0
CRASHES_KEPT = 8
PARTS_MAX = 1000
# The largest integer that a record of the store may have.
ORDER_MAX = 2**53
# The parts of answered streams that are remembered; the longest unused are forgotten.
SOUND_PARTS_MAX = 4000


class EngineKey(NamedTuple):
    """One incarnation of an engine."""

    endpoint_id: str
    incarnation: int


class PartState(NamedTuple):
    """What is known of one suspected part.

    ``depth`` is its position in the prompts. ``round`` increases when the part is
    cleared, or a block or the suspicion ends. ``crashes`` are the engines that have
    crashed under it in this round, in ``incidents`` incidents. ``blocks`` counts the
    blocks that have ended without the part having been cleared. ``order`` is higher the
    later the last crash was, by a counter that all nodes advance (a Lamport clock); 0
    if a node of an earlier release has sent or written the state.
    """

    part: str
    depth: int
    round: int
    blocks: int
    incidents: int
    crashes: tuple[EngineKey, ...]
    order: int = 0


class BlockedPart(NamedTuple):
    """A part that is blocked for ``remaining_s`` more."""

    part: str
    remaining_s: float


class PartTimes(NamedTuple):
    """When a state last changed here, and when its part was blocked, if it is.

    The newest incident began at ``incident_at`` as far as this node knows.
    """

    changed_at: float
    incident_at: float
    blocked_at: float | None


class PromptSuspects:
    """The suspected parts, as one node knows them. Times are seconds of its clock.

    Methods that change states return the changed ones, to be sent to other nodes.

        suspects = PromptSuspects()
        engine = EngineKey("i-1", 7)
        changed = suspects.record_crash(("5c1e", "91bd"), engine, sent_at, now)
        suspects.blocked_part(("5c1e", "91bd"), now)
    """

    def __init__(self) -> None:
        self.states: Table[str, PartState] = Table()
        self.times: Table[str, PartTimes] = Table()
        # The parts of streams that were answered, the last used ones last.
        self.sound: Table[str, None] = Table()
        self.newly_sound: set[str] = set()
        # When a prompt was last let through to test a blocked part.
        self.tested_at: Table[str, float] = Table()
        # The highest order of a state that this node has known.
        self.last_order = 0

    def record_crash(
        self, parts: Sequence[str], engine: EngineKey, sent_at: float, now: float
    ) -> list[PartState]:
        """Record that an engine crashed when it should have answered these parts.

        The stream was sent to it at ``sent_at``.
        """
        changed = []
        order = min(self.last_order + 1, ORDER_MAX)
        for depth, part in enumerate(parts):
            state = self.states.get(part) or PartState(part, depth, 0, 0, 0, ())
            if engine in state.crashes:
                continue
            is_new = not state.incidents or sent_at >= self.times[part].incident_at
            crashes = tuple(sorted((*state.crashes, engine)))
            if len(crashes) > CRASHES_KEPT:
                # Its incident still counts until there are enough to block the part.
                if not is_new or state.incidents >= BLOCKING_INCIDENTS:
                    continue
                crashes = state.crashes
            incidents = state.incidents + is_new
            changed.append(
                state._replace(incidents=incidents, crashes=crashes, order=order)
            )
        return self._put_all(changed, now)

    def record_sound(
        self, parts: Iterable[str], began_at: float, now: float
    ) -> list[PartState]:
        """Clear the parts of a stream that an engine has answered since ``began_at``.

        A stream that began before a crash does not speak for the time after it. Its
        parts are still less likely to be the cause than others.
        """
        cleared = []
        for part in parts:
            self._put_sound(part)
            state = self.states.get(part)
            if state is None or not is_suspect(state):
                continue
            if began_at >= self.times[part].changed_at:
                cleared.append(clear_state(state))
        return self._put_all(cleared, now)

    def merge(
        self, states: Iterable[PartState], now: float, sound: Iterable[str] = ()
    ) -> list[PartState]:
        """Merge the states that another node knows; return those that changed here.

        States that are not kept, as there are too many, are not returned.

        ``sound`` are the parts among them that the other node knows to have been sound.
        """
        merged = []
        for other in states:
            own = self.states.get(other.part)
            found = other if own is None else merge_states(own, other)
            if found != own:
                merged.append(found)
        changed = self._put_all(merged, now)
        for part in sound:
            if part in self.states:
                self._put_sound(part)
        return changed

    def take_newly_sound(self) -> list[PartState]:
        """Return the states whose parts were found to be sound since the last call.

        Other nodes need to know, although the states themselves have not changed.
        """
        found = [self.states[part] for part in self.newly_sound if part in self.states]
        self.newly_sound.clear()
        return found

    def blocked_part(self, parts: Sequence[str], now: float) -> BlockedPart | None:
        """Return the part because of which a new request must be rejected, if any."""
        for part in parts:
            times = self.times.get(part)
            if times is None or times.blocked_at is None:
                continue
            until = times.blocked_at + block_s(self.states[part])
            if now < until and self.unexplained_crashes(self.states[part]):
                return BlockedPart(part, until - now)
        return None

    def blocking_states(self) -> list[PartState]:
        """Return the states with enough incidents to block their parts.

        Each part is blocked unless others explain its crashes.
        """
        return [state for state in self.states.values() if is_blocking(state)]

    def begin_test(
        self, parts: Sequence[str], blocked: str, now: float, delay_s: float = 0.0
    ) -> bool:
        """Return whether a prompt is to test one of its parts that is blocked.

        It is if another part, which it does not have, explains all crashes and was
        never sound either. An answer clears the blocked part, and the other one is
        blocked instead; a crash shows that the right one is blocked. This node waits
        ``delay_s`` longer than the first one.
        """
        state, times = self.states[blocked], self.times[blocked]
        if times.blocked_at is None or now < times.blocked_at + TEST_AFTER_S + delay_s:
            return False
        if now < self.tested_at.get(blocked, -math.inf) + TEST_PERIOD_S + delay_s:
            return False
        crashes = set(state.crashes)
        is_in_doubt = any(
            other.part not in parts
            and other.part not in self.sound
            and crashes <= set(other.crashes)
            for other in self.states.values()
        )
        if is_in_doubt:
            self.tested_at.put(blocked, now)
        return is_in_doubt

    def record_test(self, part: str, now: float) -> bool:
        """Record that another node has begun a test; return whether that is news."""
        is_new = now >= self.tested_at.get(part, -math.inf) + TEST_PERIOD_S / 2
        if part not in self.states or not is_new:
            return False
        self.tested_at.put(part, now)
        return True

    def may_repeat(self, parts: Sequence[str], now: float) -> bool:
        """Return whether a request whose engine has crashed may go to another one."""
        states = [self.states[part] for part in parts if part in self.states]
        incidents = max((state.incidents for state in states), default=0)
        is_suspect = incidents >= REPEAT_BLOCKING_INCIDENTS
        return not is_suspect and self.blocked_part(parts, now) is None

    def unexplained_crashes(self, state: PartState) -> bool:
        """Return whether no other part explains the crashes under a part."""
        explained = {
            engine
            for other in self.states.values()
            if self.explains(other, state)
            for engine in other.crashes
        }
        unexplained = set(state.crashes) - explained
        return is_blocking(state) and len(unexplained) >= incidents_to_block(state)

    def explains(self, other: PartState, state: PartState) -> bool:
        """Return whether a part is the more likely cause of the crashes they share.

        It must have enough incidents to be blocked. A part that was never sound needs
        fewer to explain those under one that was: of the streams of an engine, a node
        may see the sound ones break first, and hear of the others later.
        """
        if self.rank(other) <= self.rank(state):
            return False
        is_likelier = other.part not in self.sound and state.part in self.sound
        is_suspect = is_likelier and len(other.crashes) >= EXPLAINING_CRASHES
        return is_suspect or is_blocking(other)

    def rank(self, state: PartState) -> tuple[bool, int, int]:
        """Return the rank of a part among several that may have caused a crash.

        A part that was sound in some prompt comes last. Then come the parts that stand
        first in the prompts: prompts that share a part mostly share those before it.
        At the same place, the part under which fewer engines have crashed comes first.
        """
        is_new = state.part not in self.sound
        return (is_new, state.depth, len(state.crashes))

    def is_settled(self, part: str, settling_s: float, now: float) -> bool:
        """Return whether a part is blocked, or has not changed for a while."""
        changed_at, _, blocked_at = self.times[part]
        return blocked_at is not None or now >= changed_at + settling_s

    def expire(self, now: float) -> list[PartState]:
        """End blocks and suspicions whose time is over, and forget what they leave."""
        ended = []
        for part, times in self.times.rows():
            state = self.states[part]
            if times.blocked_at is not None:
                if now >= times.blocked_at + block_s(state):
                    cleared = clear_state(state)
                    ended.append(cleared._replace(blocks=state.blocks + 1))
            elif now >= times.changed_at + FORGET_S:
                if is_suspect(state):
                    ended.append(clear_state(state))
                else:
                    self._forget(part)
        return self._put_all(ended, now)

    def _put_all(self, states: list[PartState], now: float) -> list[PartState]:
        """Keep states; return those of them that were not dropped at once."""
        return [state for state in states if self._put(state, now)]

    def _put(self, state: PartState, now: float) -> bool:
        self.last_order = max(self.last_order, state.order)
        before = self.states.get(state.part)
        if before is not None and before._replace(order=state.order) == state:
            # Nothing has happened to the part: its times stay.
            self.states.put(state.part, state)
            return True
        times = self.times.get(state.part)
        incident_at, blocked_at = now, None
        if before is not None and times is not None and before.round == state.round:
            blocked_at = times.blocked_at
            if before.incidents == state.incidents:
                incident_at = times.incident_at
        if blocked_at is None and is_blocking(state):
            blocked_at = now
        if before is None and len(self.states) >= PARTS_MAX:
            lowest = min(self.states.values(), key=keeping_rank)
            if keeping_rank(state) < keeping_rank(lowest):
                return False
            self._forget(lowest.part)
        self.states.put(state.part, state)
        self.times.put(state.part, PartTimes(now, incident_at, blocked_at))
        return True

    def _put_sound(self, part: str) -> None:
        """Remember that a part was sound."""
        if part not in self.sound and part in self.states:
            self.newly_sound.add(part)
        self.sound.pop(part, None)
        self.sound.put(part, None)
        if len(self.sound) > SOUND_PARTS_MAX:
            self.sound.pop(next(iter(self.sound)))

    def _forget(self, part: str) -> None:
        self.states.pop(part, None)
        self.times.pop(part, None)
        self.tested_at.pop(part, None)


def trial_delay_s(rank: int) -> float:
    """Return how long the node of a rank leaves tests of blocked parts to others."""
    return min(TEST_DELAY_MAX_S, TEST_STAGGER_S * rank)


def is_suspect(state: PartState) -> bool:
    """Return whether crashes or blocks are known of a part in its round."""
    return bool(state.crashes or state.blocks)


def keeping_rank(state: PartState) -> tuple[bool, int, str]:
    """Return the rank of a state; that with the least is dropped for another.

    It depends on nothing but the state, so that all nodes drop the same ones, and that
    of a suspicion only increases when states are merged.
    """
    return (is_suspect(state), state.order, state.part)


def clear_state(state: PartState) -> PartState:
    """Return the state that ends a suspicion on all nodes."""
    return state._replace(round=state.round + 1, blocks=0, incidents=0, crashes=())


def incidents_to_block(state: PartState) -> int:
    """Return the number of incidents from which on a part is blocked."""
    return 1 if state.blocks else BLOCKING_INCIDENTS


def is_blocking(state: PartState) -> bool:
    """Return whether there were enough incidents to block a part."""
    return state.incidents >= incidents_to_block(state)


def block_s(state: PartState) -> float:
    """Return how long a part is blocked, in seconds."""
    return doubled_s(BLOCK_S, state.blocks, BLOCK_MAX_S)


def merge_states(one: PartState, other: PartState) -> PartState:
    """Merge two states of the same part."""
    order = max(one.order, other.order)
    if one.round != other.round:
        latest = max(one, other, key=lambda state: state.round)
        return latest._replace(order=order)
    crashes = sorted({*one.crashes, *other.crashes})[:CRASHES_KEPT]
    return PartState(
        one.part,
        max(one.depth, other.depth),
        one.round,
        max(one.blocks, other.blocks),
        max(one.incidents, other.incidents),
        tuple(crashes),
        order,
    )
