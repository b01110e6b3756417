"""Shares the suspected parts of prompts between the nodes, and rejects requests.

The decisions are in ``core/fleet/prompt_suspects``. Changes go to the node's relays and
subscribers at once. A suspicion that lasts is also kept in the store, for the other
regions and for nodes that start later.
"""

import threading
from collections.abc import Callable, Iterable, Sequence

from poplarfold._internal.core.fleet.prompt_suspects import (
    BlockedPart,
    EngineKey,
    PartState,
    PromptSuspects,
    is_suspect,
)
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.exceptions import PromptBlockedError
from poplarfold._internal.gateway.part_records import encode_part_state
from poplarfold._internal.gateway.topic_records import DecodedRecord
from poplarfold._internal.logs.writer import WriteLog

__all__ = ["PartGuard"]

# A suspicion is written to the store once its part is blocked, or has not been cleared
# for this long. Sound streams clear the parts that many prompts share within this time.
SETTLED_S = 1.0

Share = Callable[[tuple[PartState, ...]], None]


class PartGuard:
    """The suspected parts of prompts as this node knows them. Thread-safe.

    ``share`` sends changed states to the relays and subscribers of this node, and
    ``share_test`` tells them that a test of a blocked part has begun. ``trial_delay_s``
    returns how long this node leaves tests to others, or None if it begins none. If all
    nodes of a region tested at the same time, each could lose an engine.
    """

    def __init__(self, clock: Callable[[], float], write_log: WriteLog) -> None:
        self.clock = clock
        self.write_log = write_log
        self.share: Share = lambda states: None
        self.share_test: Callable[[PartState], None] = lambda state: None
        self.trial_delay_s: Callable[[], float | None] = lambda: 0.0
        self.lock = threading.Lock()
        self.suspects = PromptSuspects()
        self.blocked: set[str] = set()
        # The newest records of the store, by part.
        self.stored: dict[str, bytes] = {}

    def check(self, parts: Sequence[str]) -> bool:
        """Raise PromptBlockedError if requests with one of the parts are rejected.

        Returns whether the request is let through to test a blocked part.
        """
        with self.lock:
            now = self.clock()
            found = self.suspects.blocked_part(parts, now)
            if found is None:
                return False
            delay_s = self.trial_delay_s()
            if delay_s is not None and self.suspects.begin_test(
                parts, found.part, now, delay_s
            ):
                self.share_test(self.suspects.states[found.part])
                self.write_log("PF7204", None, {"part": found.part})
                return True
        raise PromptBlockedError(
            f"engines have crashed under part {found.part} of the prompt",
            found.remaining_s,
        )

    def blocked_part(self, parts: Sequence[str]) -> BlockedPart | None:
        """Return the part because of which a request must be rejected, if any."""
        with self.lock:
            return self.suspects.blocked_part(parts, self.clock())

    def may_repeat(self, parts: Sequence[str]) -> bool:
        """Return whether a request whose engine has crashed may go to another one."""
        with self.lock:
            return self.suspects.may_repeat(parts, self.clock())

    def record_crash(
        self, parts: Sequence[str], engine: FleetEndpoint, sent_at: float
    ) -> None:
        """Record that an engine crashed under a stream that was sent at a time."""
        key = EngineKey(engine.endpoint_id, engine.incarnation)
        with self.lock:
            now = self.clock()
            self._share(self.suspects.record_crash(parts, key, sent_at, now))

    def record_sound(self, parts: Sequence[str], began_at: float) -> None:
        """Clear the parts of a stream that an engine has answered since a time."""
        with self.lock:
            self._share(self.suspects.record_sound(parts, began_at, self.clock()))

    def merge(
        self,
        states: Iterable[PartState],
        sound: Iterable[str] = (),
        tested: Iterable[str] = (),
    ) -> None:
        """Merge the states that another node has sent, and what it knows of them."""
        with self.lock:
            self._share(self.suspects.merge(states, self.clock(), sound))
            for part in tested:
                if self.suspects.record_test(part, self.clock()):
                    self.share_test(self.suspects.states[part])

    def merge_stored(self, records: Iterable[DecodedRecord]) -> None:
        """Merge the states that were read from the store, but for malformed ones."""
        states = []
        with self.lock:
            for record, state, _ in records:
                if record.value is None:
                    self.stored.pop(record.key, None)
                    continue
                self.stored[record.key] = record.value
                if state is not None:
                    states.append(state)
            self._share(self.suspects.merge(states, self.clock()))

    def expire(self) -> None:
        """End the blocks whose time is over. To be called periodically."""
        with self.lock:
            self._share(self.suspects.expire(self.clock()))

    def sound_parts(self, states: Iterable[PartState]) -> tuple[str, ...]:
        """Return which parts of some states are known to have been sound."""
        known = self.suspects.sound
        return tuple(state.part for state in states if state.part in known)

    def states(self) -> tuple[PartState, ...]:
        """Return all states, for a node that has just connected."""
        with self.lock:
            return tuple(self.suspects.states.values())

    def unstored(self) -> list[tuple[str, bytes]]:
        """Return the keys and values that the store should have; b"" for a deletion."""
        found = []
        with self.lock:
            now = self.clock()
            for part, state in self.suspects.states.items():
                is_wanted = is_suspect(state) or part in self.stored
                is_settled = self.suspects.is_settled(part, SETTLED_S, now)
                if is_wanted and is_settled and not self._is_stored(state):
                    found.append((part, encode_part_state(state)))
            forgotten = self.stored.keys() - self.suspects.states.keys()
            found.extend((part, b"") for part in forgotten)
        return found

    def _is_stored(self, state: PartState) -> bool:
        """Return whether the store has a state.

        Only its order may be missing: a relay of an earlier release would remove it
        again each time.
        """
        stored = self.stored.get(state.part)
        if stored is None:
            return False
        return stored == encode_part_state(state) or stored == encode_part_state(
            state._replace(order=0)
        )

    def _share(self, states: list[PartState]) -> None:
        """Send changed states, and log which parts are blocked by them or no longer."""
        changed = {state.part for state in states}
        known = self.suspects.take_newly_sound()
        states = states + [state for state in known if state.part not in changed]
        if not states:
            return
        self.share(tuple(states))
        now = self.clock()
        # A part may be blocked in place of one that has changed.
        others = self.suspects.blocking_states()
        for state in {state.part: state for state in [*states, *others]}.values():
            is_blocked = self.suspects.blocked_part((state.part,), now) is not None
            if is_blocked == (state.part in self.blocked):
                continue
            fields = {
                "part": state.part,
                "crashes": [
                    f"{row.endpoint_id}@{row.incarnation}" for row in state.crashes
                ],
                "blocks": state.blocks,
            }
            if is_blocked:
                self.blocked.add(state.part)
                self.write_log("PF7201", None, fields)
            else:
                self.blocked.discard(state.part)
                self.write_log("PF7202", None, fields)
