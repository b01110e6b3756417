"""Tracks each endpoint: its host list row, load reports and failures.

Health is kept per endpoint process, (address, incarnation). A process that fails
or is slow is ejected for a limited time, then gets one call at a time on
probation, and returns to normal use after several successes. At most a third of
a pool is ejected at a time, so that a fault in callers or in the network cannot
remove a whole pool.
"""

import heapq
from functools import singledispatch
from math import floor
from statistics import median
from typing import NamedTuple

from poplarfold._internal.core.cells import Cell, cell_count, cell_of, owner_of
from poplarfold._internal.core.commands import PollEndpoint
from poplarfold._internal.core.events import (
    EndpointPollFailed,
    EndpointReported,
    HostListReceived,
    OwnershipChanged,
)
from poplarfold._internal.core.model import EndpointRef, EndpointRole, Identity
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.utils.backoff import doubled_s

__all__ = [
    "EndpointRow",
    "HealthState",
    "next_wakeup",
    "on_event",
    "on_tick",
    "record_lease",
    "record_lease_end",
    "record_outcome",
    "usable_report",
]

POLL_PERIOD_S = 0.25
# Used for an endpoint that has no work and on which this node holds no leases. A
# poll after this period still detects, well within 3 s, that the endpoint is
# leaving or holds work of a dead node.
IDLE_POLL_PERIOD_S = 1.0
# A poll without a response is sent again after this time.
POLL_TIMEOUT_S = 2.0
# An endpoint whose last report is older than this gets no work. Reports come every
# 0.25 s, or every second from an idle endpoint, so several have been lost by then.
REPORT_STALE_S = 3.0
POLL_FAILURES_MAX = 3

FAILURES_BEFORE_EJECTION = 3
EJECT_MIN_S = 5.0
EJECT_MAX_S = 60.0
EJECTED_SHARE_MAX = 1 / 3
# An endpoint is slow if its output interval is above SLOW_FACTOR times the median of
# its pool peers, and has recovered if it is at most RECOVERED_FACTOR times the median.
# The gap between the factors prevents an endpoint near the limit from changing its
# status repeatedly.
SLOW_FACTOR = 1.5
RECOVERED_FACTOR = 1.2
# With fewer measured output intervals, a healthy endpoint is not ejected as slow, and
# its mean is left out of the median of its peers.
SLOW_SAMPLES_MIN = 4
PROBATION_SUCCESSES = 3

FAULT_CODES = frozenset(
    {"endpoint_error", "endpoint_unreachable", "endpoint_stalled", "identity_mismatch"}
)


class EndpointRow(NamedTuple):
    """One endpoint address; ``report`` is the latest of its current process."""

    address: str
    domain: str
    service: str
    cell: Cell
    listed_leaving: bool
    report: EndpointReported | None = None
    reported_at: float = 0.0
    poll_failures: int = 0


class HealthRow(NamedTuple):
    """The health of one endpoint process.

    ``status`` is one of healthy, ejected, probation. ``interval_s`` is the moving
    average of the time between outputs over recent calls.
    """

    status: str = "healthy"
    failures: int = 0
    successes: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    interval_s: float = 0.0
    samples: int = 0


class HealthState:
    """The endpoints by address, their health and their poll schedule.

    ``counts`` holds the number of listed endpoints by domain and service.
    ``poll_queue`` is a heap of (time, address) with outdated entries;
    ``next_poll_at`` holds the times that apply.
    """

    def __init__(self) -> None:
        self.endpoints: Table[str, EndpointRow] = Table()
        self.health: Table[EndpointRef, HealthRow] = Table()
        self.cells: dict[Cell, list[str]] = {}
        self.endpoint_counts: dict[tuple[str, str], int] = {}
        self.polled: set[str] = set()
        self.poll_queue: list[tuple[float, str]] = []
        self.next_poll_at: dict[str, float] = {}
        # When each poll in flight times out, by address.
        self.poll_timeouts: dict[str, float] = {}
        self.lease_counts: dict[str, int] = {}
        self.ejections: list[tuple[float, EndpointRef]] = []


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Poll the endpoints that are due and move expired ejections to probation."""
    part = state.part(HealthState)
    while part.poll_queue and part.poll_queue[0][0] <= now:
        due, address = heapq.heappop(part.poll_queue)
        if part.next_poll_at.get(address) != due:
            continue
        if address not in part.polled:
            del part.next_poll_at[address]
            part.poll_timeouts.pop(address, None)
            continue
        schedule_poll(part, address, now + POLL_TIMEOUT_S)
        part.poll_timeouts[address] = now + POLL_TIMEOUT_S
        state.emit(PollEndpoint(address))
    while part.ejections and part.ejections[0][0] <= now:
        _, ref = heapq.heappop(part.ejections)
        row = part.health.get(ref)
        if row is not None and row.status == "ejected" and row.ejected_until <= now:
            part.health.put(
                ref,
                row._replace(status="probation", failures=0, successes=0, samples=0),
            )
            state.log("PF3102", None, endpoint=ref.address, status="probation")


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next poll or of the next end of an ejection."""
    part = state.part(HealthState)
    times = [heap[0][0] for heap in (part.poll_queue, part.ejections) if heap]
    return min(times, default=None)


def schedule_poll(part: HealthState, address: str, due: float) -> None:
    """Set the time of the next poll of ``address``."""
    part.next_poll_at[address] = due
    heapq.heappush(part.poll_queue, (due, address))


def poll_after_report(
    state: NodeState, now: float, event: EndpointReported, was_idle: bool
) -> float:
    """Return the time of the next poll of an endpoint that has just reported.

    The idle rate needs two idle reports in a row, because reports lag behind the
    engine. Policies without cell owners place calls by reports alone, so they
    always poll at the full rate.
    """
    part = state.part(HealthState)
    if state.settings.policy != "owner" or event.address in part.lease_counts:
        return now + POLL_PERIOD_S
    if not was_idle or not is_idle(event):
        return now + POLL_PERIOD_S
    # Polls of idle endpoints are aligned, so that one step sends them all.
    return floor(now / POLL_PERIOD_S) * POLL_PERIOD_S + IDLE_POLL_PERIOD_S


def is_idle(report: EndpointReported) -> bool:
    """Return whether a report shows no work and no intention to leave."""
    return not (report.work or report.busy or report.queued_tokens or report.leaving)


def record_lease(state: NodeState, now: float, ref: EndpointRef) -> None:
    """Record a new lease, which switches the endpoint to the full poll rate."""
    part = state.part(HealthState)
    part.lease_counts[ref.address] = part.lease_counts.get(ref.address, 0) + 1
    due = part.next_poll_at.get(ref.address)
    row = part.endpoints.get(ref.address)
    if due is None or row is None:
        return
    # While a poll is in flight, ``due`` is its timeout. A second poll must not be
    # sent before that.
    if part.poll_timeouts.get(ref.address, -1.0) == due:
        return
    if due > now + POLL_PERIOD_S:
        schedule_poll(part, ref.address, now + POLL_PERIOD_S)


def record_lease_end(state: NodeState, ref: EndpointRef) -> None:
    """Record the end of one lease on an endpoint."""
    part = state.part(HealthState)
    left = part.lease_counts.pop(ref.address, 0) - 1
    if left > 0:
        part.lease_counts[ref.address] = left


@on_event.register
def _(event: HostListReceived, state: NodeState, now: float) -> None:
    part = state.part(HealthState)
    listed = {host.address: host for host in event.hosts if host.kind == "endpoint"}
    counts: dict[tuple[str, str], int] = {}
    for host in listed.values():
        key = (host.domain, host.service)
        counts[key] = counts.get(key, 0) + 1
    part.endpoint_counts = counts
    part.cells = {}
    for address in [a for a in part.endpoints if a not in listed]:
        report = part.endpoints.pop(address).report
        if report is not None:
            part.health.pop(EndpointRef(address, report.incarnation), None)
    for address, host in listed.items():
        count = cell_count(counts[host.domain, host.service])
        cell = cell_of(host.domain, host.service, address, count)
        part.cells.setdefault(cell, []).append(address)
        row = part.endpoints.get(address)
        if row is None:
            row = EndpointRow(address, host.domain, host.service, cell, host.leaving)
        part.endpoints.put(
            address,
            row._replace(
                domain=host.domain,
                service=host.service,
                cell=cell,
                listed_leaving=host.leaving,
            ),
        )
    select_polled_endpoints(state, now)


@on_event.register
def _(event: OwnershipChanged, state: NodeState, now: float) -> None:
    select_polled_endpoints(state, now)


def select_polled_endpoints(state: NodeState, now: float) -> None:
    """Select the endpoints to poll: those of the cells that this node owns.

    Policies without cell owners need the reports of all endpoints of the region.
    """
    part = state.part(HealthState)
    polled: set[str] = set()
    for cell, addresses in part.cells.items():
        if state.settings.policy == "owner":
            wanted = owner_of(state, cell) == state.me.host
        else:
            wanted = state.settings.region_of(cell.domain) == state.settings.region
        if wanted:
            polled.update(addresses)
    part.polled = polled
    for address in part.endpoints:
        if address in polled and address not in part.next_poll_at:
            schedule_poll(part, address, now)


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    part = state.part(HealthState)
    row = part.endpoints.get(event.address)
    if row is None:
        return
    ref = EndpointRef(event.address, event.incarnation)
    if row.report is not None and row.report.incarnation != event.incarnation:
        if row.report.incarnation > event.incarnation:
            return  # A late report of a process that has been replaced.
        old = part.health.pop(EndpointRef(event.address, row.report.incarnation), None)
        if old is not None and state.settings.health_across_incarnations:
            part.health.put(ref, old)
            if old.status == "ejected":
                heapq.heappush(part.ejections, (old.ejected_until, ref))
        state.log("PF3103", None, endpoint=event.address, incarnation=event.incarnation)
    part.endpoints.put(
        event.address, row._replace(report=event, reported_at=now, poll_failures=0)
    )
    if event.address in part.polled:
        was_idle = row.report is not None and is_idle(row.report)
        due = poll_after_report(state, now, event, was_idle)
        schedule_poll(part, event.address, due)


@on_event.register
def _(event: EndpointPollFailed, state: NodeState, now: float) -> None:
    part = state.part(HealthState)
    row = part.endpoints.get(event.address)
    if row is None:
        return
    failures = row.poll_failures + 1
    if event.connection_refused and row.poll_failures == 0:
        state.log("PF3104", None, endpoint=event.address, reason="connection refused")
    if event.connection_refused:
        failures = max(failures, POLL_FAILURES_MAX)
    part.endpoints.put(event.address, row._replace(poll_failures=failures))
    schedule_poll(part, event.address, now + POLL_PERIOD_S)


def usable_report(
    state: NodeState, now: float, row: EndpointRow
) -> tuple[EndpointReported | None, str]:
    """Return an endpoint's report if it may get work, or else None and a reason."""
    report = row.report
    if report is None:
        return None, "no report"
    if row.poll_failures >= POLL_FAILURES_MAX or (
        now - row.reported_at > REPORT_STALE_S
    ):
        return None, "silent"
    health = state.part(HealthState).health.get(
        EndpointRef(row.address, report.incarnation)
    )
    if health is not None and health.status == "ejected":
        return None, "ejected"
    return report, ""


def is_on_probation(state: NodeState, ref: EndpointRef) -> bool:
    """Return whether an endpoint is on probation: one call at a time."""
    row = state.part(HealthState).health.get(ref)
    return row is not None and row.status == "probation"


def record_outcome(
    state: NodeState,
    now: float,
    ref: EndpointRef,
    error_code: str,
    interval_s: float = 0.0,
) -> None:
    """Record the outcome of a call on an endpoint process and update its status.

    ``interval_s`` is the mean time between the call's outputs, or 0 without any.
    """
    part = state.part(HealthState)
    endpoint = part.endpoints.get(ref.address)
    if endpoint is None or endpoint.report is None:
        return
    if endpoint.report.incarnation != ref.incarnation:
        return
    row = part.health.get(ref, HealthRow())
    if error_code in FAULT_CODES:
        row = row._replace(failures=row.failures + 1, successes=0)
    elif not error_code:
        row = row._replace(failures=0, successes=row.successes + 1)
    if interval_s > 0.0:
        weight = max(0.25, 1.0 / (row.samples + 1))
        mean = row.interval_s + weight * (interval_s - row.interval_s)
        row = row._replace(interval_s=mean, samples=row.samples + 1)
    part.health.put(ref, row)
    report = endpoint.report
    ratio = relative_interval(part, endpoint.cell, ref, report.identity, report.role)
    if row.status == "healthy":
        slow = row.samples >= SLOW_SAMPLES_MIN and ratio > SLOW_FACTOR
        if row.failures >= FAILURES_BEFORE_EJECTION or slow:
            reason = "slow" if slow else "failures"
            eject(state, now, ref, row, reason, report.identity, report.role)
    elif row.status == "probation":
        if row.failures > 0 or (row.samples >= 2 and ratio > SLOW_FACTOR):
            eject(state, now, ref, row, "probation", report.identity, report.role)
        elif row.successes >= PROBATION_SUCCESSES and ratio <= RECOVERED_FACTOR:
            part.health.put(ref, row._replace(status="healthy", ejections=0))
            state.log("PF3102", None, endpoint=ref.address, status="healthy")


def pool_of(
    part: HealthState, cell: Cell, identity: Identity, role: EndpointRole
) -> list[EndpointRef]:
    """Return the reported endpoints of a cell with this identity and role."""
    refs = []
    for address in part.cells.get(cell, ()):
        report = part.endpoints[address].report
        if report and report.identity == identity and report.role is role:
            refs.append(EndpointRef(address, report.incarnation))
    return refs


def relative_interval(
    part: HealthState,
    cell: Cell,
    ref: EndpointRef,
    identity: Identity,
    role: EndpointRole,
) -> float:
    """Return an endpoint's output interval divided by the median of its pool peers.

    Returns 1.0 if the endpoint has no samples, or its peers have too few.
    """
    own = part.health.get(ref)
    if own is None or own.samples == 0:
        return 1.0
    others = [
        row.interval_s
        for other in pool_of(part, cell, identity, role)
        if other != ref
        and (row := part.health.get(other)) is not None
        and row.samples >= SLOW_SAMPLES_MIN
    ]
    return own.interval_s / median(others) if others else 1.0


def eject(
    state: NodeState,
    now: float,
    ref: EndpointRef,
    row: HealthRow,
    reason: str,
    identity: Identity,
    role: EndpointRole,
) -> None:
    """Eject an endpoint, unless too much of its pool would then be ejected.

    The ejection time doubles with each ejection, from EJECT_MIN_S up to EJECT_MAX_S.
    """
    part = state.part(HealthState)
    pool = pool_of(part, part.endpoints[ref.address].cell, identity, role)
    ejected = sum(
        1
        for other in pool
        if (found := part.health.get(other)) is not None and found.status == "ejected"
    )
    if ejected + 1 > max(len(pool) * EJECTED_SHARE_MAX, 1.0) or len(pool) < 2:
        state.log("PF3105", None, endpoint=ref.address, reason=reason, pool=len(pool))
        return
    until = now + doubled_s(EJECT_MIN_S, row.ejections, EJECT_MAX_S)
    part.health.put(
        ref,
        row._replace(
            status="ejected", ejections=row.ejections + 1, ejected_until=until
        ),
    )
    heapq.heappush(part.ejections, (until, ref))
    state.log("PF3101", None, endpoint=ref.address, reason=reason, until=until)
