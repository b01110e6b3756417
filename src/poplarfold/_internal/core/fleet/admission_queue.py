"""Admission queue of the streams that wait at this node for a decode slot.

In a burst of streams, decode slots are the scarce resource, and each stream holds
one for seconds. Calls that can still meet their latency target go first, in the
order of their arrival. Retries of rejected calls have already missed the target
and get the slots that the others leave. Where the configuration has client accounts,
the streams that are equally urgent are ordered fairly between accounts instead.
"""

import math
from collections import Counter
from typing import NamedTuple

from poplarfold._internal.core.fleet.fair_order import (
    FairOrder,
    StreamClass,
    WaitingWork,
)
from poplarfold._internal.core.state import Table

__all__ = ["AdmissionPolicy", "AdmissionQueue", "WaitingStream", "is_retry_call"]

# With forecasts of waits, callers may be told to come back after this share of the
# usual time. It stays well above the differences between the patience of new callers.
SHORTEST_RETRY_SHARE = 0.5
# A stream without an account, and without a route that the metrics should name.
NO_CLASS = StreamClass()


class AdmissionPolicy(NamedTuple):
    """Limits on the time that a stream waits for a decode slot.

    A call that can still meet its latency target waits for at most
    ``fresh_wait_share`` of the target, a stream that has begun and goes on for
    ``begun_wait_share``, or for ``begun_among_new_share`` if all engines have its
    version, any other call for at most ``late_wait_share`` of it. A rejected caller is
    told to retry after ``retry_after_s``. An engine that has refused a lease is asked
    again after about ``full_retry_s``.

    ``forecast_waits`` is 0 for forecasts only if there are client accounts, 1 always,
    and 2 never. With forecasts, waits follow from what was learned, see ``slot_wait``:
    ``fresh_wait_share`` is then the least wait of a call that can meet
    its target, any other call waits for up to ``late_wait_decodes`` mean decode times,
    and ``retry_after_s`` applies only while nothing has been learned.

    With client accounts, at most ``queue_max`` streams wait.
    """

    fresh_wait_share: float = 0.55
    late_wait_share: float = 0.55
    begun_wait_share: float = 3.0
    begun_among_new_share: float = 1.0
    retry_after_s: float = 4.0
    full_retry_s: float = 0.06
    forecast_waits: int = 0
    late_wait_decodes: float = 0.5
    queue_max: int = 48

    def uses_forecasts(self, has_accounts: bool) -> bool:
        """Return whether waits follow from what was learned."""
        return self.forecast_waits == 1 or (self.forecast_waits == 0 and has_accounts)

    def shortest_retry_s(self, uses_forecasts: bool) -> float:
        """The shortest time after which a refused caller is told to come back.

        A caller that comes back earlier counts as a new one.
        """
        share = SHORTEST_RETRY_SHARE if uses_forecasts else 1.0
        return share * self.retry_after_s

    def rejection_time(
        self, arrived_at: float, target_s: float, is_late: bool
    ) -> float:
        """Return when a stream without a slot is rejected, by shares of its target."""
        share = self.late_wait_share if is_late else self.fresh_wait_share
        return arrived_at + share * target_s


class WaitingStream(NamedTuple):
    """A stream that waits for a decode slot.

    ``target_s`` is its latency target, and ``is_late`` is set if the stream has
    already missed the target. ``is_requesting_lease`` is set while the stream waits
    for an engine to answer a request for a lease. It asks for none before
    ``next_ask_at``. A slot lets it meet the target until ``on_time_until``. With a
    software ``version``, it waits for an engine of that version only.
    """

    ticket: int
    service: str
    arrived_at: float
    is_late: bool
    target_s: float
    is_requesting_lease: bool = False
    kind: StreamClass = NO_CLASS
    on_time_until: float = math.inf
    next_ask_at: float = 0.0
    version: str | None = None

    def urgency(self, now: float) -> int:
        """Return 0 if the stream can be on time, 1 for a retry, else 2."""
        if self.is_late:
            return 1
        return 0 if now <= self.on_time_until else 2


def is_retry_call(wait_s: float, timeout_s: float, retry_after_s: float) -> bool:
    """Return whether a call is a retry, judged by the time that its caller has left.

    ``wait_s`` is how long the caller still waits, ``timeout_s`` the longest wait
    that its route allows. A caller that was rejected has waited for ``retry_after_s``
    since then, and its call has missed the latency target. Callers that are less
    patient than the route allows are no retries.
    """
    return wait_s <= timeout_s - retry_after_s


def waiting_work(row: WaitingStream, now: float) -> WaitingWork:
    """Return what the fair order has to know of a waiting stream."""
    return WaitingWork(row.ticket, row.kind, row.urgency(now))


class AdmissionQueue:
    """The admission queue of one node. Times are monotonic seconds."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self.policy = policy
        self.waiting: Table[int, WaitingStream] = Table()
        self.last_ticket = 0
        # By service.
        self.orders: dict[str, FairOrder] = {}

    def add(
        self,
        service: str,
        is_late: bool,
        target_s: float,
        now: float,
        kind: StreamClass = NO_CLASS,
        on_time_until: float = math.inf,
        version: str | None = None,
    ) -> WaitingStream:
        """Add a stream to the queue; with accounts, another one may overflow."""
        self.last_ticket += 1
        row = WaitingStream(
            self.last_ticket, service, now, is_late, target_s, False, kind,
            on_time_until, version=version,
        )  # fmt: skip
        self.waiting.put(row.ticket, row)
        if kind.account is not None:
            self.remove_overflow(service, now)
        return row

    def remove_overflow(self, service: str, now: float) -> None:
        """Remove the stream that is too many, if there is one.

        A stream that is requesting a lease may hold one already and stays.
        """
        rows = self.work(service, now)
        found = self.order(service).overflow(rows, self.policy.queue_max)
        if found is not None:
            self.remove(found.ticket)

    def contains(self, ticket: int) -> bool:
        """Return whether a stream still waits, so that it has not overflowed."""
        return ticket in self.waiting

    def order(self, service: str) -> FairOrder:
        """Return the order of the accounts of a service."""
        return self.orders.setdefault(service, FairOrder())

    def work(self, service: str, now: float) -> list[WaitingWork]:
        """Return the waiting streams of a service that request no lease now."""
        return [
            waiting_work(row, now)
            for row in self.waiting.values()
            if row.service == service and not row.is_requesting_lease
        ]

    def record_placed(self, ticket: int) -> None:
        """Charge a stream that got a slot to its account."""
        row = self.waiting.get(ticket)
        if row is not None and row.kind.account is not None:
            self.order(row.service).record_placed(row.kind)

    def delay(self, ticket: int, next_ask_at: float) -> None:
        """Let a stream ask for no lease before ``next_ask_at``."""
        row = self.waiting.get(ticket)
        if row is not None:
            self.waiting.put(ticket, row._replace(next_ask_at=next_ask_at))

    def lengths(self) -> dict[tuple[str, str], int]:
        """Return the number of waiting streams by service and route."""
        return Counter((row.service, row.kind.route) for row in self.waiting.values())

    def remove(self, ticket: int) -> None:
        """Remove a stream that was placed, rejected or cancelled."""
        self.waiting.pop(ticket, None)

    def set_requesting_lease(self, ticket: int, is_requesting_lease: bool) -> None:
        """Record whether a stream is requesting a lease, which may take a while."""
        row = self.waiting.get(ticket)
        if row is None:
            return
        self.waiting.put(ticket, row._replace(is_requesting_lease=is_requesting_lease))

    def position(self, ticket: int, now: float = 0.0) -> int:
        """Return how many streams of the same service are ahead of this one.

        Streams that wait for a software version form a queue of their own, so that they
        do not block the others while its engines are full. Streams that are requesting
        a lease do not count, so that a slow engine does not block the queue, nor do
        streams that pause between two requests. ``now`` is needed only where streams
        pause or belong to accounts.
        """
        row = self.waiting[ticket]
        if row.kind.account is not None:
            return self.fair_position(row, now)
        rank = (row.is_late, row.ticket)
        return sum(
            (other.is_late, other.ticket) < rank
            for other in self.waiting.values()
            if other.service == row.service
            and other.version == row.version
            and not other.is_requesting_lease
            and other.next_ask_at <= now
        )

    def fair_position(self, row: WaitingStream, now: float) -> int:
        """Return the position of a stream in the fair order of the accounts.

        Streams that are requesting a lease are not ahead of others, but their work
        counts for their accounts, which would otherwise get many leases at a time.
        """
        others = [
            other
            for other in self.waiting.values()
            if other.service == row.service
            and other.version == row.version
            and other.ticket != row.ticket
            and (other.is_requesting_lease or other.next_ask_at <= now)
        ]
        requesting = {other.ticket for other in others if other.is_requesting_lease}
        work = [waiting_work(other, now) for other in (row, *others)]
        ahead = 0
        for other in self.order(row.service).sorted(work):
            if other.ticket == row.ticket:
                break
            ahead += other.ticket not in requesting
        return ahead

    def awaited_versions(self, service: str, now: float) -> set[str]:
        """Return the software versions for which streams of a service wait.

        Streams that are requesting a lease, or pause before the next request, do not
        count, as for ``position``.
        """
        return {
            row.version
            for row in self.waiting.values()
            if row.version is not None
            and row.service == service
            and not row.is_requesting_lease
            and row.next_ask_at <= now
        }

    def rejection_time(self, row: WaitingStream) -> float:
        """Return the time at which a stream that has no slot yet is rejected."""
        return self.policy.rejection_time(row.arrived_at, row.target_s, row.is_late)
