"""Which nodes live: the platform's host list and heartbeats."""

from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.events import HostsListed, PeerReceived
from poplarfold._internal.core.state import NodeState, Table

__all__ = [
    "Members",
    "all_domain_members_heard",
    "all_live_hosts",
    "live_hosts",
    "next_wakeup",
    "on_event",
    "on_tick",
]


class MemberRow(NamedTuple):
    """One other node. ``incarnation`` is -1 until the node was heard of."""

    host: str
    domain: str
    address: str
    incarnation: int = -1
    state: str = "alive"
    heard_at: float | None = None


class Members:
    """The other nodes by host."""

    def __init__(self) -> None:
        self.rows: Table[str, MemberRow] = Table()


def live_hosts(state: NodeState, domain: str) -> tuple[str, ...]:
    """Return the live hosts of a failure domain, sorted, this one included."""
    rows = state.part(Members).rows
    hosts = {h for h, r in rows.items() if r.domain == domain and is_live(r)}
    if domain == state.settings.domain and not state.draining:
        hosts.add(state.me.host)
    return tuple(sorted(hosts))


def all_live_hosts(state: NodeState) -> tuple[str, ...]:
    """Return the live hosts of all failure domains, this one included."""
    rows = state.part(Members).rows
    hosts = {h for h, r in rows.items() if is_live(r)}
    return tuple(sorted(hosts | {state.me.host}))


def all_domain_members_heard(state: NodeState) -> bool:
    """Return whether every live node of this domain has told its state."""
    rows = state.part(Members).rows.values()
    here = [r for r in rows if r.domain == state.settings.domain and is_live(r)]
    return all(row.heard_at is not None for row in here)


def is_live(row: MemberRow) -> bool:
    return row.state in ("alive", "suspect")


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Do nothing yet."""


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return None, as nothing is timed yet."""
    return None


@on_event.register
def _(event: HostsListed, state: NodeState, now: float) -> None:
    rows = state.part(Members).rows
    for listed in event.hosts:
        if listed.kind != "entry" or listed.host == state.me.host:
            continue
        row = rows.get(listed.host)
        if row is None:
            row = MemberRow(listed.host, listed.domain, listed.address)
        rows.put(
            listed.host,
            row._replace(
                address=listed.address, state="leaving" if listed.leaving else "alive"
            ),
        )
    present = {listed.host for listed in event.hosts}
    for host in [host for host in rows if host not in present]:
        del rows[host]


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    rows = state.part(Members).rows
    row = rows.get(event.sender.host)
    if row is not None:
        rows.put(
            row.host,
            row._replace(incarnation=event.sender.incarnation, heard_at=now),
        )
