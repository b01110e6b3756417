"""Which nodes live: the platform's host list, probes and domain summaries.

Within a failure domain each node probes one member per period, in the manner
of SWIM (Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", DSN 2002). A silent
member loses its ownership, never its work: only a refused connection, a
higher incarnation at the same host or the host's absence from the host list
prove that a process is dead.
"""

import math
from functools import singledispatch
from typing import NamedTuple

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.events import (
    DrainRequested,
    HostsListed,
    ListedHost,
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
    send_summaries,
    take_summary,
)
from poplarfold._internal.core.systems.member_probes import (
    ACK_WAIT_S,
    PROBE_PERIOD_S,
    PROBE_WAIT_S,
    check_probes,
    greet,
    probe_next,
    send_ping,
    suspicion_s,
    take_ack,
)
from poplarfold._internal.core.systems.member_state import (
    JOINING,
    DomainStatus,
    MemberRow,
    Members,
    all_domain_members_heard,
    all_live_hosts,
    domain_status,
    is_dead,
    is_live,
    live_hosts,
    relays,
)
from poplarfold._internal.core.systems.member_updates import (
    declare_dead,
    hear,
    learn,
    note_revision,
    probe_candidates,
    refute,
    spread,
    take_updates,
)

__all__ = [
    "DomainStatus",
    "MemberRow",
    "Members",
    "all_domain_members_heard",
    "all_live_hosts",
    "domain_status",
    "is_dead",
    "live_hosts",
    "next_wakeup",
    "on_event",
    "on_tick",
    "relays",
]

# All timers of a running node are far below this.
PAUSE_S = 2.0
# The drained node stays an owner until the others know that it leaves.
HANDOVER_S = 1.0
# The host list lags: a host that was never listed counts as gone after this.
LIST_SETTLES_S = 10.0
# Without a host list from the platform for this long, peers are asked.
LIST_WAIT_S = 1.0
# A new node owns nothing until it knows a catalogue, and for this long after
# its first host list: it has no reports of endpoints before.
JOIN_AFTER_LIST_S = 0.5


@singledispatch
def on_event(event: NamedTuple, state: NodeState, now: float) -> None:
    """Handle one event; events of other systems are ignored."""


def on_tick(state: NodeState, now: float) -> None:
    """Probe, suspect, speak for the domain and notice an own pause."""
    part = state.part(Members)
    notice_pause(state, part, now)
    if part.probe_at is None:
        # Nodes that start together do not probe in step.
        part.probe_at = now + PROBE_PERIOD_S * state.rng.random()
    if part.listed_at is not None and now >= part.listed_at + LIST_SETTLES_S:
        part.list_settled = True
    check_probes(state, part, now)
    join(state, part, now)
    if now >= part.probe_at:
        part.probe_at = now + PROBE_PERIOD_S * (0.9 + 0.2 * state.rng.random())
        greet(state, part, now)
        ask_for_list(state, part, now)
        probe_next(state, part, now)
    for host, row in part.rows.rows():
        if row.state == "suspect" and now >= row.suspect_at + suspicion_s(state):
            part.rows.put(host, row._replace(state="silent"))
            state.log("PF6003", None, host=host, incarnation=row.incarnation)
    if part.is_owning and now >= part.owns_until:
        part.is_owning = False
        state.stop_holds.discard("membership")
    send_summaries(state, part, now)
    note_ownership(state, part)


def next_wakeup(state: NodeState, now: float) -> float | None:
    """Return the time of the next probe, verdict or summary."""
    part = state.part(Members)
    times = [now if part.probe_at is None else part.probe_at]
    if not part.has_joined and part.listed_at is not None:
        join_at = part.listed_at + JOIN_AFTER_LIST_S
        if join_at > now:
            times.append(join_at)
    for probe in part.probes.values():
        row = part.rows.get(probe.target)
        asks_others = probe.asker is None and row is not None and is_live(row)
        is_early = asks_others and not probe.is_indirect
        times.append(probe.sent_at + (ACK_WAIT_S if is_early else PROBE_WAIT_S))
    limit_s = suspicion_s(state)
    rows = part.rows.values()
    times.extend(r.suspect_at + limit_s for r in rows if r.state == "suspect")
    if part.is_owning and part.owns_until < math.inf:
        times.append(part.owns_until)
    if state.me.host in relays(state, state.settings.domain):
        times.extend(part.summary_due.values())
    return max(now, min(times))


def notice_pause(state: NodeState, part: Members, now: float) -> None:
    """Draw no conclusions from silence in a time when this process stood still."""
    last = part.last_tick
    part.last_tick = now
    if last is None or now - last < PAUSE_S:
        return
    part.probes.clear()
    for host, row in part.rows.rows():
        if row.state == "suspect":
            part.rows.put(host, row._replace(suspect_at=now))
    refute(state, part)
    state.log("PF6001", None, seconds=now - last)
    state.post(NodePaused(now - last))


def note_ownership(state: NodeState, part: Members) -> None:
    live = live_hosts(state, state.settings.domain)
    if live != part.live:
        is_first = part.live is None
        part.live = live
        if not is_first:
            state.post(OwnershipChanged())


def join(state: NodeState, part: Members, now: float) -> None:
    """Become an owner once this node can place calls."""
    if part.started_at is None:
        part.started_at = now
        for host, address, domain in state.settings.peers:
            if host != state.me.host and host not in part.rows:
                # Nothing shows yet that this node runs. Those of other domains
                # are not probed; their relays tell.
                is_near = domain == state.settings.domain
                word = "silent" if is_near else "alive"
                part.rows.put(host, MemberRow(host, domain, address, state=word))
    if part.has_joined or part.listed_at is None or not state.catalogue_ready:
        return
    if now >= part.listed_at + JOIN_AFTER_LIST_S:
        part.has_joined = True
        part.is_owning = now < part.owns_until
        refute(state, part)


def ask_for_list(state: NodeState, part: Members, now: float) -> None:
    """Ask peers for the host list if the platform has given none."""
    started_at = part.started_at if part.started_at is not None else now
    if part.listed_at is not None or now < started_at + LIST_WAIT_S:
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
    hear(state, part, sender, domain, now, is_joining)
    if isinstance(message, Ping | Ack):
        note_revision(part, sender.host, message.revision)
        for update in message.updates:
            learn(state, part, update, now)
    if isinstance(message, Ping):
        updates = take_updates(state, part, sender.host)
        ack = Ack(message.probe, state.catalogue_revision, updates)
        state.emit(SendPeer(sender.host, ack))
    elif isinstance(message, Ack):
        take_ack(state, part, sender, message, now)
    elif isinstance(message, PingRequest):
        if message.target in part.rows:
            send_ping(state, part, message.target, now, sender.host, message.probe)
    elif isinstance(message, HostsWanted):
        send_list(state, part, sender.host, message.domain)
    elif isinstance(message, HostsKnown):
        if part.listed_at is None:
            rows = tuple(ListedHost(*row) for row in message.hosts)
            state.post(HostsListed(message.version, rows))
    elif isinstance(message, DomainSummary):
        take_summary(state, part, sender.host, message, now)


def send_list(state: NodeState, part: Members, host: str, domain: str) -> None:
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
    if row is None or not event.refused or row.state == "dead":
        return
    if row.incarnation < 0:
        # The process does not listen yet: there is nothing that could die.
        part.rows.put(event.host, row._replace(state="silent"))
        return
    part.rows.put(event.host, row._replace(state="dead"))
    spread(state, part, event.host)
    declare_dead(state, HostKey(event.host, row.incarnation), "connection_refused")


@on_event.register
def _(event: HostsListed, state: NodeState, now: float) -> None:
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
        part.gone.pop(host, None)
    for host, row in part.rows.rows():
        if host in listed or not row.is_listed:
            continue
        del part.rows[host]
        part.gone[host] = row.incarnation
        if row.incarnation >= 0 and row.state != "dead":
            declare_dead(state, HostKey(host, row.incarnation), "not_listed")


@on_event.register
def _(event: DrainRequested, state: NodeState, now: float) -> None:
    part = state.part(Members)
    if part.owns_until < math.inf:
        return
    part.owns_until = now + HANDOVER_S
    state.stop_holds.add("membership")
    part.number += 1
    word = f"leaving.{part.number}"
    update = (state.me.host, state.me.incarnation, word, state.settings.domain, "")
    # All members hear it at once, so that a new owner is ready before this
    # node stops being one.
    for host in probe_candidates(state, part):
        part.probe_id += 1
        ping = Ping(part.probe_id, state.catalogue_revision, (update,))
        state.emit(SendPeer(host, ping))
    spread(state, part, state.me.host)
