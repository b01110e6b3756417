"""The numbered events of the project: each number, its fields and its meaning.

A number is never given to another event once it has been released, since
alert rules refer to it. The first digit names the part of the system:

1 calls, 2 the process, 3 placement, 4 retries and health, 5 catalogue and
claims, 6 membership and peers, 7 the platform's services, 8 the front end,
9 faults of the program itself.
"""

from typing import NamedTuple

__all__ = ["EVENTS", "EventKind", "LinkEnd"]


class LinkEnd(NamedTuple):
    """One end of a message between two processes.

    The events with the same ``link`` and the same values of the fields in
    ``keys`` belong together; ``call_id`` is allowed as a key. ``is_send``
    tells the sender's event from the receiver's. The time line estimates the
    offset between the clocks of two processes from them.
    """

    link: str
    is_send: bool
    keys: tuple[str, ...]


class EventKind(NamedTuple):
    """A numbered event. ``alert`` marks those that an operator must look at."""

    number: str
    name: str
    fields: tuple[str, ...]
    meaning: str
    alert: bool = False
    link_ends: tuple[LinkEnd, ...] = ()


_ALL = (
    EventKind(
        "PF1001",
        "call_arrived",
        ("entry", "account", "prompt_tokens", "call_class", "revision"),
        "a call was admitted under this revision of its entry",
        link_ends=(LinkEnd("placement wanted", True, ("call_id",)),),
    ),
    EventKind(
        "PF1002",
        "call_rejected",
        ("code", "entry"),
        "a call was refused before any work was done for it",
    ),
    EventKind(
        "PF1003",
        "attempt_started",
        ("attempt", "prefill", "decode", "lease"),
        "an attempt began on these endpoints; prefill is null for a service",
        link_ends=(LinkEnd("lease", False, ("lease",)),),
    ),
    EventKind(
        "PF1004",
        "first_output",
        ("attempt", "after_s"),
        "the first output reached the caller's stream",
    ),
    EventKind(
        "PF1005",
        "call_ended",
        ("code", "outputs", "attempts", "duration_s"),
        "the call is over; code is null if its answer is whole",
    ),
    EventKind(
        "PF1006",
        "recorded_answer_given",
        ("status",),
        "a retry of a non-repeatable call got the recorded answer",
    ),
    EventKind(
        "PF1007",
        "cancel_confirmed",
        ("attempt", "endpoint", "after_s"),
        "an endpoint confirmed that it holds nothing for the attempt",
    ),
    EventKind(
        "PF2001",
        "drain_started",
        ("open_calls",),
        "a planned stop began: no new calls are taken",
    ),
    EventKind(
        "PF3001",
        "placement_granted",
        ("lease",),
        "placement found endpoints for the call",
        link_ends=(
            LinkEnd("placement wanted", False, ("call_id",)),
            LinkEnd("lease", True, ("lease",)),
        ),
    ),
    EventKind(
        "PF4001",
        "retry_granted",
        ("code", "start_at"),
        "another attempt was granted after this failure",
    ),
    EventKind(
        "PF9001",
        "invariant_violated",
        ("invariant", "problem"),
        "an invariant of the core does not hold: a fault of the program",
        alert=True,
    ),
)

EVENTS: dict[str, EventKind] = {kind.number: kind for kind in _ALL}
