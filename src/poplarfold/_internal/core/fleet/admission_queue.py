"""Admission queue of the streams that wait at this node for a decode slot.

In a burst of streams, decode slots are the scarce resource, and each stream holds
one for seconds. Calls that can still meet their latency target go first, in the
order of their arrival. Retries of rejected calls have already missed the target
and get the slots that the others leave.
"""

from typing import NamedTuple

from poplarfold._internal.core.state import Table

__all__ = ["AdmissionPolicy", "AdmissionQueue", "WaitingStream", "is_retry_call"]


class AdmissionPolicy(NamedTuple):
    """Limits on the time that a stream waits for a decode slot.

    A call that can still meet its latency target waits for at most
    ``fresh_wait_share`` of the target, any other call for at most
    ``late_wait_share`` of it. A rejected caller is told to retry after
    ``retry_after_s``. An engine that has refused a lease is asked again after about
    ``full_retry_s``.
    """

    fresh_wait_share: float = 0.55
    late_wait_share: float = 0.55
    retry_after_s: float = 4.0
    full_retry_s: float = 0.06


class WaitingStream(NamedTuple):
    """A stream that waits for a decode slot.

    ``target_s`` is its latency target, and ``is_late`` is set if the stream has
    already missed the target. ``is_requesting_lease`` is set while the stream waits
    for an engine to answer a request for a lease.
    """

    ticket: int
    service: str
    arrived_at: float
    is_late: bool
    target_s: float
    is_requesting_lease: bool = False


def is_retry_call(wait_s: float, timeout_s: float, retry_after_s: float) -> bool:
    """Return whether a call is a retry, judged by the time that its caller has left.

    ``wait_s`` is how long the caller still waits, ``timeout_s`` the longest wait
    that its route allows. A caller that was rejected has waited for ``retry_after_s``
    since then, and its call has missed the latency target. Callers that are less
    patient than the route allows are no retries.
    """
    return wait_s <= timeout_s - retry_after_s


class AdmissionQueue:
    """The admission queue of one node. Times are monotonic seconds."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self.policy = policy
        self.waiting: Table[int, WaitingStream] = Table()
        self.last_ticket = 0

    def add(
        self, service: str, is_late: bool, target_s: float, now: float
    ) -> WaitingStream:
        """Add a stream to the queue."""
        self.last_ticket += 1
        row = WaitingStream(self.last_ticket, service, now, is_late, target_s)
        return self.waiting.put(row.ticket, row)

    def remove(self, ticket: int) -> None:
        """Remove a stream that was placed, rejected or cancelled."""
        self.waiting.pop(ticket, None)

    def set_requesting_lease(self, ticket: int, is_requesting_lease: bool) -> None:
        """Record whether a stream is requesting a lease, which may take a while."""
        row = self.waiting[ticket]
        self.waiting.put(ticket, row._replace(is_requesting_lease=is_requesting_lease))

    def position(self, ticket: int) -> int:
        """Return how many streams of the same service are ahead of this one.

        Streams that are requesting a lease do not count, so that a slow engine does
        not block the queue.
        """
        row = self.waiting[ticket]
        rank = (row.is_late, row.ticket)
        return sum(
            (other.is_late, other.ticket) < rank
            for other in self.waiting.values()
            if other.service == row.service and not other.is_requesting_lease
        )

    def rejection_time(self, row: WaitingStream) -> float:
        """Return the time at which a stream that has no slot yet is rejected."""
        policy = self.policy
        share = policy.late_wait_share if row.is_late else policy.fresh_wait_share
        return row.arrived_at + share * row.target_s
