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

# Incidents under a part without any sound stream, from which on the part is blocked for
# new requests, and for repeats of a request that has crashed an engine.
BLOCKING_INCIDENTS = 3
REPEAT_BLOCKING_INCIDENTS = 2
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
    under it in this round, in ``incidents`` incidents. ``blocks`` counts the blocks
    that have ended without the part having been cleared.
    """

    part: str
    depth: int
    round: int
    blocks: int
    incidents: int
    crashes: tuple[EngineKey, ...]


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

    def record_crash(
        self, parts: Sequence[str], engine: EngineKey, sent_at: float, now: float
    ) -> list[PartState]:
        """Record that an engine crashed when it should have answered these parts.

        The stream was sent to it at ``sent_at``.
        """
        changed = []
        for depth, part in enumerate(parts):
            state = self.states.get(part) or PartState(part, depth, 0, 0, 0, ())
            if engine in state.crashes or len(state.crashes) >= CRASHES_KEPT:
                continue
            is_new = not state.incidents or sent_at >= self.times[part].incident_at
            changed.append(
                state._replace(
                    incidents=state.incidents + is_new,
                    crashes=tuple(sorted((*state.crashes, engine))),
                )
            )
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
                cleared.append(PartState(part, state.depth, state.round + 1, 0, 0, ()))
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
        incidents = max((state.incidents for state in states), default=0)
        is_suspect = incidents >= REPEAT_BLOCKING_INCIDENTS
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
        unexplained = set(state.crashes) - explained
        return is_blocking(state) and len(unexplained) >= incidents_to_block(state)

    def is_settled(self, part: str, settling_s: float, now: float) -> bool:
        """Return whether a part is blocked, or has not changed for a while."""
        changed_at, _, blocked_at = self.times[part]
        return blocked_at is not None or now >= changed_at + settling_s

    def expire(self, now: float) -> list[PartState]:
        """End the blocks whose time is over, and forget what has long been quiet."""
        ended = []
        for part, times in self.times.rows():
            state = self.states[part]
            if times.blocked_at is not None:
                if now >= times.blocked_at + block_s(state):
                    ended.append(
                        PartState(
                            part, state.depth, state.round + 1, state.blocks + 1, 0, ()
                        )
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
        incident_at, blocked_at = now, None
        if before is not None and times is not None and before.round == state.round:
            blocked_at = times.blocked_at
            if before.incidents == state.incidents:
                incident_at = times.incident_at
        if blocked_at is None and is_blocking(state):
            blocked_at = now
        self.states.put(state.part, state)
        self.times.put(state.part, PartTimes(now, incident_at, blocked_at))
        if len(self.states) > PARTS_MAX:
            self._forget(min(self.times.rows(), key=lambda row: row[1].changed_at)[0])

    def _forget(self, part: str) -> None:
        self.states.pop(part, None)
        self.times.pop(part, None)


def incidents_to_block(state: PartState) -> int:
    """Return the number of incidents from which on a part is blocked."""
    return 1 if state.blocks else BLOCKING_INCIDENTS


def is_blocking(state: PartState) -> bool:
    """Return whether there were enough incidents to block a part."""
    return state.incidents >= incidents_to_block(state)


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
        max(one.incidents, other.incidents),
        tuple(crashes),
    )
