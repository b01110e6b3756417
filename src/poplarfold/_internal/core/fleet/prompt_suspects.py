"""Finds the parts of prompts that crash engines, and blocks requests with them.

A prompt consists of parts that other prompts share; only its last part is its own. If a
part crashes each engine that begins to answer it, every request with it costs an
engine and all streams there, and no node sees enough crashes to notice it alone.

Nodes therefore exchange a state for each suspected part. An engine's crash makes the
parts of the streams suspect that it had not answered for long. A stream that is
answered clears its parts. A part under which several engines have crashed since then is
blocked for a while. Afterwards one more crash is enough to block it again.

States of two nodes merge to the same state in any order: a later round replaces an
earlier one, and crashes of the same round are united.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = [
    "SOUND_AFTER_S",
    "BlockedPart",
    "EngineKey",
    "PartState",
    "PromptSuspects",
]

# Crashed engines under a part without any sound stream, from which on the part is
# blocked for new requests, and for repeats of a request that has crashed an engine.
BLOCKING_CRASHES = 3
REPEAT_BLOCKING_CRASHES = 2
# A stream that has been answered for this long shows that its parts are sound.
SOUND_AFTER_S = 0.5
# A part is blocked for this long at first. The time doubles with each further block.
BLOCK_S = 60.0
BLOCK_MAX_S = 900.0
# A part that has not changed for this long, and is not blocked, is forgotten.
FORGET_S = 1200.0
CRASHES_KEPT = 8
PARTS_MAX = 1000


class EngineKey(NamedTuple):
    """One incarnation of an engine."""

    endpoint_id: str
    incarnation: int


class PartState(NamedTuple):
    """What is known of one suspected part.

    ``depth`` is its position in the prompts. ``round`` increases when the part is
    cleared or when a block ends, and ``crashes`` are the engines that have crashed
    under it in this round. ``blocks`` counts the blocks that have ended without the
    part having been cleared.
    """

    part: str
    depth: int
    round: int
    blocks: int
    crashes: tuple[EngineKey, ...]


class BlockedPart(NamedTuple):
    """A part that is blocked for ``remaining_s`` more."""

    part: str
    remaining_s: float


class PartTimes(NamedTuple):
    """When a state last changed here, and when its part was blocked, if it is."""

    changed_at: float
    blocked_at: float | None


class PromptSuspects:
    """The suspected parts, as one node knows them. Times are seconds of its clock.

    Methods that change states return the changed ones, to be sent to other nodes.

        suspects = PromptSuspects()
        changed = suspects.record_crash(("5c1e", "91bd"), EngineKey("i-1", 7), now)
        suspects.blocked_part(("5c1e", "91bd"), now)
    """

    def __init__(self) -> None:
        self.states: Table[str, PartState] = Table()
        self.times: Table[str, PartTimes] = Table()

    def record_crash(
        self, parts: Sequence[str], engine: EngineKey, now: float
    ) -> list[PartState]:
        """Record that an engine crashed when it should have answered these parts."""
        changed = []
        for depth, part in enumerate(parts):
            state = self.states.get(part) or PartState(part, depth, 0, 0, ())
            if engine not in state.crashes and len(state.crashes) < CRASHES_KEPT:
                crashes = tuple(sorted((*state.crashes, engine)))
                changed.append(state._replace(crashes=crashes))
        return self._put_all(changed, now)

    def record_sound(
        self, parts: Iterable[str], began_at: float, now: float
    ) -> list[PartState]:
        """Clear the parts of a stream that an engine has answered since ``began_at``.

        A stream that began before a crash does not speak for the time after it.
        """
        cleared = []
        for part in parts:
            state = self.states.get(part)
            if state is None or not (state.crashes or state.blocks):
                continue
            if began_at >= self.times[part].changed_at:
                cleared.append(
                    state._replace(round=state.round + 1, blocks=0, crashes=())
                )
        return self._put_all(cleared, now)

    def merge(self, states: Iterable[PartState], now: float) -> list[PartState]:
        """Merge the states that another node knows; return those that changed here."""
        merged = []
        for other in states:
            own = self.states.get(other.part)
            found = other if own is None else merge_states(own, other)
            if found != own:
                merged.append(found)
        return self._put_all(merged, now)

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

    def may_repeat(self, parts: Sequence[str], now: float) -> bool:
        """Return whether a request whose engine has crashed may go to another one."""
        states = [self.states[part] for part in parts if part in self.states]
        crashes = max((len(state.crashes) for state in states), default=0)
        is_suspect = crashes >= REPEAT_BLOCKING_CRASHES
        return not is_suspect and self.blocked_part(parts, now) is None

    def unexplained_crashes(self, state: PartState) -> bool:
        """Return whether no other blocked part explains the crashes under a part.

        A part further on in the prompts explains them, since prompts that share it
        share the parts before it as well, and others share only these. So does a part
        at the same place under which more engines have crashed.
        """
        rank = specificity(state)
        explained = {
            engine
            for other in self.states.values()
            if specificity(other) > rank and is_blocking(other)
            for engine in other.crashes
        }
        return is_blocking(state, set(state.crashes) - explained)

    def expire(self, now: float) -> list[PartState]:
        """End the blocks whose time is over, and forget what has long been quiet."""
        ended = []
        for part, times in self.times.rows():
            state = self.states[part]
            if times.blocked_at is not None:
                if now >= times.blocked_at + block_s(state):
                    blocks = state.blocks + 1
                    ended.append(
                        PartState(part, state.depth, state.round + 1, blocks, ())
                    )
            elif now >= times.changed_at + FORGET_S:
                self._forget(part)
        return self._put_all(ended, now)

    def _put_all(self, states: list[PartState], now: float) -> list[PartState]:
        for state in states:
            self._put(state, now)
        return states

    def _put(self, state: PartState, now: float) -> None:
        before = self.states.get(state.part)
        times = self.times.get(state.part)
        was_blocked = before is not None and before.round == state.round
        blocked_at = times.blocked_at if times is not None and was_blocked else None
        if blocked_at is None and is_blocking(state):
            blocked_at = now
        self.states.put(state.part, state)
        self.times.put(state.part, PartTimes(now, blocked_at))
        if len(self.states) > PARTS_MAX:
            self._forget(min(self.times.rows(), key=lambda row: row[1].changed_at)[0])

    def _forget(self, part: str) -> None:
        self.states.pop(part, None)
        self.times.pop(part, None)


def is_blocking(state: PartState, crashes: Iterable[EngineKey] | None = None) -> bool:
    """Return whether crashes, by default those of a state, are enough to block it."""
    count = len(state.crashes if crashes is None else list(crashes))
    return count >= (1 if state.blocks else BLOCKING_CRASHES)


def specificity(state: PartState) -> tuple[int, int]:
    """Return the rank of a part among several that may have caused a crash."""
    return (state.depth, len(state.crashes))


def block_s(state: PartState) -> float:
    """Return how long a part is blocked, in seconds."""
    return float(min(BLOCK_MAX_S, BLOCK_S * 2 ** min(state.blocks, 10)))


def merge_states(one: PartState, other: PartState) -> PartState:
    """Merge two states of the same part."""
    if one.round != other.round:
        return max(one, other, key=lambda state: state.round)
    crashes = sorted({*one.crashes, *other.crashes})[:CRASHES_KEPT]
    return PartState(
        one.part,
        max(one.depth, other.depth),
        one.round,
        max(one.blocks, other.blocks),
        tuple(crashes),
    )
