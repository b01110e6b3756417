"""What is known of each endpoint: the host list, load reports and failures."""

import heapq
from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.commands import PollEndpoint
from poplarfold._internal.core.events import (
    EndpointPollFailed,
    EndpointReported,
    HostsListed,
)
from poplarfold._internal.core.state import NodeState, Table

__all__ = ["EndpointRow", "HealthState", "next_wakeup", "on_event", "on_tick"]

POLL_PERIOD_S = 0.25
# A poll without an answer counts as lost after this time.
POLL_LOST_S = 2.0
REPORT_STALE_S = 3.0


class EndpointRow(NamedTuple):
    """One endpoint address. ``report`` is the last one of its process."""

    address: str
    domain: str
    service: str
    listed_leaving: bool
    report: EndpointReported | None = None
    reported_at: float = 0.0
    poll_failures: int = 0


class HealthState:
    """The endpoints by address and the times of their next polls."""

    def __init__(self) -> None:
        self.endpoints: Table[str, EndpointRow] = Table()
        self.polls: list[tuple[float, str]] = []
        self.next_poll: dict[str, float] = {}


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Poll the endpoints that are due."""
    health = state.part(HealthState)
    while health.polls and health.polls[0][0] <= now:
        due, address = heapq.heappop(health.polls)
        if health.next_poll.get(address) != due:
            continue
        if address not in health.endpoints:
            del health.next_poll[address]
            continue
        schedule_poll(health, address, now + POLL_LOST_S)
        state.emit(PollEndpoint(address))


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next poll."""
    polls = state.part(HealthState).polls
    return polls[0][0] if polls else None


def schedule_poll(health: HealthState, address: str, due: float) -> None:
    """Set the time of the next poll of ``address``."""
    health.next_poll[address] = due
    heapq.heappush(health.polls, (due, address))


@on_event.register
def _(event: HostsListed, state: NodeState, now: float) -> None:
    health = state.part(HealthState)
    listed = {host.address: host for host in event.hosts if host.kind == "endpoint"}
    for address in [a for a in health.endpoints if a not in listed]:
        del health.endpoints[address]
    for address, host in listed.items():
        row = health.endpoints.get(address)
        if row is None:
            row = EndpointRow(address, host.domain, host.service, host.leaving)
            schedule_poll(health, address, now)
        health.endpoints.put(
            address,
            row._replace(
                domain=host.domain, service=host.service, listed_leaving=host.leaving
            ),
        )


@on_event.register
def _(event: EndpointReported, state: NodeState, now: float) -> None:
    health = state.part(HealthState)
    row = health.endpoints.get(event.address)
    if row is None:
        return
    health.endpoints.put(
        event.address, row._replace(report=event, reported_at=now, poll_failures=0)
    )
    schedule_poll(health, event.address, now + POLL_PERIOD_S)


@on_event.register
def _(event: EndpointPollFailed, state: NodeState, now: float) -> None:
    health = state.part(HealthState)
    row = health.endpoints.get(event.address)
    if row is None:
        return
    report = None if event.refused else row.report
    failures = row.poll_failures + 1
    health.endpoints.put(
        event.address, row._replace(report=report, poll_failures=failures)
    )
    schedule_poll(health, event.address, now + POLL_PERIOD_S)
