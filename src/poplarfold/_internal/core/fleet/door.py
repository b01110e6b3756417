"""Who of the streams that wait at this node may ask for a decode slot next.

Answers bursts of streams: decode slots are what is short, and a stream holds
one for seconds. Calls that can still meet their latency target go first, in
the order of their arrival; calls that came back after a refusal have missed
it and take what the others leave.
"""

from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = ["Door", "DoorPolicy", "WaitRow"]


class DoorPolicy(NamedTuple):
    """Limits of waiting, in seconds.

    ``fresh_wait_s`` bounds the wait of a call that can still meet its target,
    ``late_wait_s`` that of one that cannot. ``retry_after_s`` is what a
    refused caller is told to wait.
    """

    fresh_wait_s: float = 0.5
    late_wait_s: float = 0.5
    retry_after_s: float = 4.0
    full_retry_s: float = 0.06


class WaitRow(NamedTuple):
    """A stream that waits for a decode slot."""

    ticket: int
    service: str
    arrived_at: float
    is_late: bool
    tokens: int
    is_asking: bool = False


class Door:
    """The streams that wait at one node. Times are monotonic seconds."""

    def __init__(self, policy: DoorPolicy) -> None:
        self.policy = policy
        self.waiting: Table[int, WaitRow] = Table()
        self.last_ticket = 0

    def enter(self, service: str, is_late: bool, tokens: int, now: float) -> WaitRow:
        """Let a stream wait."""
        self.last_ticket += 1
        row = WaitRow(self.last_ticket, service, now, is_late, tokens)
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
        wait_s = policy.late_wait_s if row.is_late else policy.fresh_wait_s
        return row.arrived_at + wait_s
