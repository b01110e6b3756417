"""Membership: which nodes are alive, by host list, probes and domain summaries.

Within a failure domain each node probes one member per period, in the manner
of SWIM (Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002). A member that does
not respond becomes ``silent`` and loses its cells, but its work is not cancelled.
Only a refused connection, a higher incarnation at the same host or the removal of
the host from the host list proves that a process is dead.
"""

import math
from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.events import (
    DrainRequested,
    HostListReceived,
    HostListRow,
    NodePaused,
    OwnershipChanged,
    PeerConnectFailed,
    PeerReceived,
)
from poplarfold._internal.core.messages import (
    Ack,
    DomainSummary,
    Hello,
    HostsKnown,
    HostsWanted,
    Ping,
    PingRequest,
)
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.domain_summaries import (
    handle_summary,
    send_summaries,
)
from poplarfold._internal.core.systems.member_probes import (
    ACK_TIMEOUT_S,
    PROBE_PERIOD_S,
    PROBE_TIMEOUT_S,
    check_probes,
    handle_ack,
    ping_all_members,
    probe_next,
    send_ping,
    suspicion_s,
)
from poplarfold._internal.core.systems.member_state import (
    JOINING,
    DomainStatus,
    MemberRow,
    Members,
    all_live_hosts,
    domain_status,
    have_all_domain_members_responded,
    is_dead,
    is_live,
    live_hosts,
    relays,
)
from poplarfold._internal.core.systems.member_updates import (
    declare_dead,
    merge_update,
    probe_candidates,
    queue_update,
    record_contact,
    record_revision,
    refute,
    take_updates,
)

__all__ = [
    "DomainStatus",
    "MemberRow",
    "Members",
    "all_live_hosts",
    "domain_status",
    "have_all_domain_members_responded",
    "is_dead",
    "live_hosts",
    "next_wakeup",
    "on_event",
    "on_tick",
    "relays",
]

# A longer time between two ticks means that this process was paused. All timers of
# a running node are far below this.
PROCESS_PAUSE_MIN_S = 2.0
# A draining node stays an owner for this time, until the others know that it leaves.
HANDOVER_DELAY_S = 1.0
# The host list lags. A host that is still not listed this long after the first host
# list counts as removed.
HOST_LIST_SETTLE_S = 10.0
# A starting node that has no host list from the platform after this time asks peers.
HOST_LIST_WAIT_S = 1.0
# A new node owns no cells until it has a catalogue and this time has passed since its
# first host list. Earlier it would have no endpoint reports.
JOIN_AFTER_LIST_S = 0.5


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Probe members, expire suspicions and send the summaries of this domain.

    Also detects a pause of this process.
    """
    part = state.part(Members)
    detect_pause(state, part, now)
    if part.probe_at is None:
        # Spread the probes of nodes that start together.
        part.probe_at = now + PROBE_PERIOD_S * state.rng.random()
    if part.listed_at is not None and now >= part.listed_at + HOST_LIST_SETTLE_S:
        part.is_host_list_settled = True
    check_probes(state, part, now)
    join(state, part, now)
    if now >= part.probe_at:
        part.probe_at = now + PROBE_PERIOD_S * (0.9 + 0.2 * state.rng.random())
        ping_all_members(state, part, now)
        request_host_list(state, part, now)
        probe_next(state, part, now)
    for host, row in part.rows.rows():
        if row.state == "suspect" and now >= row.suspect_at + suspicion_s(state):
            part.rows.put(host, row._replace(state="silent"))
            state.log("PF6003", None, host=host, incarnation=row.incarnation)
    if part.may_own_cells and now >= part.owns_cells_until:
        part.may_own_cells = False
        state.stop_blockers.discard("membership")
    send_summaries(state, part, now)
    detect_ownership_change(state, part)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next probe, timeout or summary."""
    part = state.part(Members)
    times = [now if part.probe_at is None else part.probe_at]
    if not part.has_joined and part.listed_at is not None:
        join_at = part.listed_at + JOIN_AFTER_LIST_S
        if join_at > now:
            times.append(join_at)
    for probe in part.probes.values():
        row = part.rows.get(probe.target)
        asks_others = probe.requester is None and row is not None and is_live(row)
        is_early = asks_others and not probe.is_indirect
        times.append(probe.sent_at + (ACK_TIMEOUT_S if is_early else PROBE_TIMEOUT_S))
    limit_s = suspicion_s(state)
    rows = part.rows.values()
    times.extend(r.suspect_at + limit_s for r in rows if r.state == "suspect")
    if part.may_own_cells and part.owns_cells_until < math.inf:
        times.append(part.owns_cells_until)
    if state.me.host in relays(state, state.settings.domain):
        times.extend(part.summary_due.values())
    return max(now, min(times))


def detect_pause(state: NodeState, part: Members, now: float) -> None:
    """Discard open probes and restart suspicion timers after a pause.

    A paused process received no responses, so missing ones prove nothing.
    """
    last = part.last_tick
    part.last_tick = now
    if last is None or now - last < PROCESS_PAUSE_MIN_S:
        return
    part.probes.clear()
    for host, row in part.rows.rows():
        if row.state == "suspect":
            part.rows.put(host, row._replace(suspect_at=now))
    refute(state, part)
    state.log("PF6001", None, seconds=now - last)
    state.post(NodePaused(now - last))


def detect_ownership_change(state: NodeState, part: Members) -> None:
    live = live_hosts(state, state.settings.domain)
    if live != part.live:
        is_first = part.live is None
        part.live = live
        if not is_first:
            state.post(OwnershipChanged())


def join(state: NodeState, part: Members, now: float) -> None:
    """Add the configured peers, and become an owner once calls can be placed."""
    if part.started_at is None:
        part.started_at = now
        for host, address, domain in state.settings.peers:
            if host != state.me.host and host not in part.rows:
                # A configured peer of this domain starts as silent, because nothing
                # shows yet that it runs. Nodes of other domains are not probed;
                # their relays report their state.
                is_near = domain == state.settings.domain
                status = "silent" if is_near else "alive"
                part.rows.put(host, MemberRow(host, domain, address, state=status))
    if part.has_joined or part.listed_at is None or not state.catalogue_ready:
        return
    if now >= part.listed_at + JOIN_AFTER_LIST_S:
        part.has_joined = True
        part.may_own_cells = now < part.owns_cells_until
        refute(state, part)


def request_host_list(state: NodeState, part: Members, now: float) -> None:
    """Ask two random peers for the host list if the platform has sent none."""
    started_at = part.started_at if part.started_at is not None else now
    if part.listed_at is not None or now < started_at + HOST_LIST_WAIT_S:
        return
    known = [h for h, row in part.rows.items() if row.state != "dead"]
    for host in state.rng.sample(known, min(2, len(known))):
        state.emit(SendPeer(host, HostsWanted(state.settings.domain)))


@on_event.register
def _(event: PeerReceived, state: NodeState, now: float) -> None:
    part = state.part(Members)
    sender, message = event.sender, event.message
    domain = message.domain if isinstance(message, Hello) else ""
    updates = message.updates if isinstance(message, Ping | Ack) else ()
    is_joining = any(u[0] == sender.host and u[2].startswith(JOINING) for u in updates)
    record_contact(state, part, sender, domain, now, is_joining)
    if isinstance(message, Ping | Ack):
        record_revision(part, sender.host, message.revision)
        for update in message.updates:
            merge_update(state, part, update, now)
    if isinstance(message, Ping):
        updates = take_updates(state, part, sender.host)
        ack = Ack(message.probe, state.catalogue_revision, updates)
        state.emit(SendPeer(sender.host, ack))
    elif isinstance(message, Ack):
        handle_ack(state, part, sender, message, now)
    elif isinstance(message, PingRequest):
        if message.target in part.rows:
            send_ping(state, part, message.target, now, sender.host, message.probe)
    elif isinstance(message, HostsWanted):
        send_host_list(state, part, sender.host, message.domain)
    elif isinstance(message, HostsKnown):
        if part.listed_at is None:
            rows = tuple(HostListRow(*row) for row in message.hosts)
            state.post(HostListReceived(message.version, rows))
    elif isinstance(message, DomainSummary):
        handle_summary(state, part, sender.host, message, now)


def send_host_list(state: NodeState, part: Members, host: str, domain: str) -> None:
    """Send a peer the hosts that it needs for its own region."""
    if part.last_list is None:
        return
    region = state.settings.region_of(domain)
    rows = tuple(
        (r.host, r.address, r.kind, r.domain, r.service, r.leaving)
        for r in part.last_list.hosts
        if r.kind == "entry" or state.settings.region_of(r.domain) == region
    )
    state.emit(SendPeer(host, HostsKnown(part.last_list.version, rows)))


@on_event.register
def _(event: PeerConnectFailed, state: NodeState, now: float) -> None:
    part = state.part(Members)
    row = part.rows.get(event.host)
    if row is None or not event.connection_refused or row.state == "dead":
        return
    if row.incarnation < 0:
        # No process of this host is known yet, so none can be declared dead.
        part.rows.put(event.host, row._replace(state="silent"))
        return
    part.rows.put(event.host, row._replace(state="dead"))
    queue_update(state, part, event.host)
    declare_dead(state, HostKey(event.host, row.incarnation), "connection_refused")


@on_event.register
def _(event: HostListReceived, state: NodeState, now: float) -> None:
    part = state.part(Members)
    if event.version < part.list_version or event == part.last_list:
        return
    part.list_version = event.version
    part.last_list = event
    if part.listed_at is None:
        part.listed_at = now
    listed = {row.host: row for row in event.hosts if row.kind == "entry"}
    listed.pop(state.me.host, None)
    for host, entry in listed.items():
        row = part.rows.get(host) or MemberRow(host, entry.domain, entry.address)
        row = row._replace(domain=entry.domain, address=entry.address, is_listed=True)
        if entry.leaving and row.state != "dead":
            row = row._replace(state="leaving")
        part.rows.put(host, row)
        part.delisted.pop(host, None)
    for host, row in part.rows.rows():
        if host in listed or not row.is_listed:
            continue
        del part.rows[host]
        part.delisted[host] = row.incarnation
        if row.incarnation >= 0 and row.state != "dead":
            declare_dead(state, HostKey(host, row.incarnation), "not_listed")


@on_event.register
def _(event: DrainRequested, state: NodeState, now: float) -> None:
    part = state.part(Members)
    if part.owns_cells_until < math.inf:
        return
    part.owns_cells_until = now + HANDOVER_DELAY_S
    state.stop_blockers.add("membership")
    part.sequence += 1
    status = f"leaving.{part.sequence}"
    update = (state.me.host, state.me.incarnation, status, state.settings.domain, "")
    # Tell all members at once, so that the new owners are ready before this node
    # gives up its cells.
    for host in probe_candidates(state, part):
        part.probe_id += 1
        ping = Ping(part.probe_id, state.catalogue_revision, (update,))
        state.emit(SendPeer(host, ping))
    queue_update(state, part, state.me.host)
