"""Who of the streams that wait at this node may ask for a decode slot next.

Answers bursts of streams: decode slots are what is short, and a stream holds
one for seconds. Calls that can still meet their latency target go first, in
the order of their arrival; calls that came back after a refusal have missed
it and take what the others leave.
"""

from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = ["Door", "DoorPolicy", "WaitRow", "has_come_back"]

# Below this share of the longest wait, a caller has been here before.
COME_BACK_SHARE = 0.97


class DoorPolicy(NamedTuple):
    """Limits of waiting.

    A call that can still meet its latency target waits for ``fresh_wait_share``
    of the target at most, one that cannot for ``late_wait_share``. A refused
    caller is told to wait ``retry_after_s``. An engine that has refused a lease
    is asked again after about ``full_retry_s``.
    """

    fresh_wait_share: float = 0.55
    late_wait_share: float = 0.55
    retry_after_s: float = 4.0
    full_retry_s: float = 0.06


class WaitRow(NamedTuple):
    """A stream that waits for a decode slot; ``target_s`` is its latency target."""

    ticket: int
    service: str
    arrived_at: float
    is_late: bool
    target_s: float
    is_asking: bool = False


def has_come_back(wait_s: float, timeout_s: float) -> bool:
    """Return whether a caller has used up some of its time before.

    ``wait_s`` is how long it waits now, ``timeout_s`` the longest wait that its
    route allows. Such a caller was refused before and has missed its target.
    """
    return wait_s < timeout_s * COME_BACK_SHARE


class Door:
    """The streams that wait at one node. Times are monotonic seconds."""

    def __init__(self, policy: DoorPolicy) -> None:
        self.policy = policy
        self.waiting: Table[int, WaitRow] = Table()
        self.last_ticket = 0

    def enter(
        self, service: str, is_late: bool, target_s: float, now: float
    ) -> WaitRow:
        """Let a stream wait."""
        self.last_ticket += 1
        row = WaitRow(self.last_ticket, service, now, is_late, target_s)
        return self.waiting.put(row.ticket, row)

    def leave(self, ticket: int) -> None:
        """Forget a stream that was placed, refused or given up."""
        self.waiting.pop(ticket, None)

    def set_asking(self, ticket: int, is_asking: bool) -> None:
        """Note whether a stream asks an engine, which may take a while."""
        row = self.waiting[ticket]
        self.waiting.put(ticket, row._replace(is_asking=is_asking))

    def position(self, ticket: int) -> int:
        """Return how many streams of the service go before this one.

        Those that ask an engine just now hold up nobody.
        """
        row = self.waiting[ticket]
        rank = (row.is_late, row.ticket)
        return sum(
            (other.is_late, other.ticket) < rank
            for other in self.waiting.values()
            if other.service == row.service and not other.is_asking
        )

    def give_up_at(self, row: WaitRow) -> float:
        """Return the time at which a stream is refused if it has no slot."""
        policy = self.policy
        share = policy.late_wait_share if row.is_late else policy.fresh_wait_share
        return row.arrived_at + share * row.target_s
