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
        "PF5001",
        "catalogue_ready",
        ("revision", "offset"),
        "the node knows a catalogue and may take calls",
    ),
    EventKind(
        "PF5002",
        "entry_changed",
        ("entry", "revision", "base", "operator"),
        "a change was accepted by the fold and is in force on this node",
    ),
    EventKind(
        "PF5003",
        "record_void",
        ("stream", "offset", "problem"),
        "a log record is malformed and was skipped on all nodes alike",
        alert=True,
    ),
    EventKind(
        "PF5004",
        "log_read_failed",
        ("stream", "expired"),
        "a stream cannot be read; expired if its retention has passed the node",
    ),
    EventKind(
        "PF5005",
        "log_gap",
        ("stream", "problem"),
        "offsets of a stream are missing; nothing was folded over the gap",
        alert=True,
    ),
    EventKind(
        "PF5006",
        "peer_catalogue_invalid",
        ("peer", "problem"),
        "a peer's catalogue could not be decoded",
        alert=True,
    ),
    EventKind(
        "PF5007",
        "catalogue_adopted",
        ("source", "offset"),
        "the catalogue was taken from a peer or a checkpoint",
    ),
    EventKind(
        "PF5202",
        "checkpoint_begun",
        ("kind", "offset", "parts"),
        "this node began to write a checkpoint",
    ),
    EventKind(
        "PF5203",
        "checkpoint_invalid",
        ("kind", "problem"),
        "a checkpoint is corrupt and an older one is used",
        alert=True,
    ),
    EventKind(
        "PF6001",
        "node_was_paused",
        ("seconds",),
        "this process did not run for this long",
    ),
    EventKind(
        "PF6002",
        "member_died",
        ("host", "incarnation", "proof"),
        "there is proof that a process has ended",
    ),
    EventKind(
        "PF6003",
        "member_silent",
        ("host", "incarnation"),
        "a member does not answer and owns nothing any more",
    ),
    EventKind(
        "PF6102",
        "peer_message_invalid",
        ("peer", "problem"),
        "a malformed message; the connection was closed",
        alert=True,
    ),
    EventKind(
        "PF6103",
        "peer_refused",
        ("peer", "problem"),
        "a connection whose first message or certificate is wrong",
        alert=True,
    ),
    EventKind(
        "PF6104",
        "tls_reload_failed",
        ("problem",),
        "changed key files could not be loaded; the old keys stay in use",
        alert=True,
    ),
    EventKind(
        "PF6201",
        "orphan_cancelled",
        ("attempt", "endpoint", "host", "incarnation"),
        "work of a dead process is being cancelled on an engine",
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
