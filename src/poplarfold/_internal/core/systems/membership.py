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
    MemberDied,
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
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.utils.rendezvous import ranked

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

PROBE_PERIOD_S = 0.5
ACK_WAIT_S = 0.2
PROBE_WAIT_S = 0.5
INDIRECT_PROBES = 2
# A suspected member has this long to refute, and more in larger domains, as
# the news takes a number of periods that grows with the logarithm.
SUSPICION_MIN_S = 1.5
SUSPICION_PER_LOG2_S = 0.25
SILENT_PROBE_SHARE = 0.25
UPDATES_PER_MESSAGE = 6
# Each update is sent this many times per factor 2 of the domain's size.
SENDS_PER_LOG2 = 2
# All timers of a running node are far below this.
PAUSE_S = 2.0
# The drained node stays an owner until the others know that it leaves.
HANDOVER_S = 1.0
RELAYS = 2
SUMMARY_PERIOD_S = 1.0
# With many domains, those of other regions get a summary less often, so that
# a relay stays within its 3 KB/s.
FAR_SUMMARY_PERIOD_S = 6.0
FAR_NEWS_S = 1.5
SECOND_RELAY_FACTOR = 4.0
MEMBERS_EVERY_S = 30.0
FEW_DOMAINS = 4
FORWARD_TO = 2
# The host list lags: a host that was never listed counts as gone after this.
LIST_SETTLES_S = 10.0
# Without a summary for this long, a domain counts as out of reach.
DOMAIN_SILENT_S = 10.0
# Without a host list from the platform for this long, peers are asked.
LIST_WAIT_S = 1.0
# A new node owns nothing until it knows a catalogue, and for this long after
# its first host list: it has no reports of endpoints before.
JOIN_AFTER_LIST_S = 0.5
JOINING = "joining"
SEVERITY = {"alive": 0, "suspect": 1, "silent": 2, "leaving": 3, "dead": 4}

Update = tuple[str, int, str, str, str]


class MemberRow(NamedTuple):
    """One other node. ``incarnation`` is -1 until the node was heard of.

    ``number`` orders what is said about one incarnation: the member raises it
    to refute a suspicion. The incarnation itself names the process and its
    work, so it must not change while the process lives.
    """

    host: str
    domain: str
    address: str
    incarnation: int = -1
    state: str = "alive"
    number: int = 0
    is_listed: bool = False
    heard_at: float | None = None
    suspect_at: float = 0.0
    revision: int = -1
    told_at: float = -math.inf


class Probe(NamedTuple):
    """A probe without an answer so far; ``asker`` if it is for another node."""

    target: str
    sent_at: float
    is_indirect: bool = False
    asker: str | None = None
    asker_probe: int = 0


class DomainStatus(NamedTuple):
    """What this node knows of a failure domain.

    ``in_force`` is the lowest revision of its live nodes, -1 if unknown.
    """

    domain: str
    is_reachable: bool
    in_force: int
    live_hosts: tuple[str, ...]
    heard_s_ago: float | None


class Members:
    """The other nodes by host, and what is being said about them.

    ``capacity`` holds the rows that placement wants in this domain's summary,
    ``summaries`` the newest summary of each other domain.
    """

    def __init__(self) -> None:
        self.rows: Table[str, MemberRow] = Table()
        self.gone: dict[str, int] = {}
        self.number = 0
        self.probe_id = 0
        self.probes: Table[int, Probe] = Table()
        self.round: list[str] = []
        self.probe_at: float | None = None
        self.greeted = False
        self.last_tick: float | None = None
        self.updates: dict[str, int] = {}
        self.listed_at: float | None = None
        self.list_version = -1
        self.list_settled = False
        self.owns_until = math.inf
        self.is_owning = False
        self.has_joined = False
        self.started_at: float | None = None
        self.last_list: HostsListed | None = None
        self.ask_list_at = 0.0
        self.live: tuple[str, ...] | None = None
        self.capacity: tuple[tuple[str, str, str, int, int], ...] = ()
        self.summaries: dict[str, DomainSummary] = {}
        self.summary_times: dict[str, float] = {}
        self.summary_versions: dict[tuple[str, str], int] = {}
        self.summary_due: dict[str, float] = {}
        self.summary_count = 0
        self.summary_turns: dict[str, int] = {}
        self.members_told: dict[str, tuple[object, float, int]] = {}
        self.announced_revision = -1


def live_hosts(state: NodeState, domain: str) -> tuple[str, ...]:
    """Return the live hosts of a failure domain, sorted, this one included."""
    part = state.part(Members)
    hosts = {h for h, r in part.rows.items() if r.domain == domain and is_live(r)}
    if domain == state.settings.domain and part.is_owning:
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


def relays(state: NodeState, domain: str) -> list[str]:
    """Return the nodes of a domain that speak with other domains."""
    hosts = live_hosts(state, domain)
    if not hosts and domain != state.settings.domain:
        # Both sides may wait to hear from each other: one must speak first.
        rows = state.part(Members).rows
        hosts = tuple(h for h, row in rows.items() if row.domain == domain)
    return ranked(f"relay/{domain}", hosts)[:RELAYS]


def is_live(row: MemberRow) -> bool:
    return row.state in ("alive", "suspect")


def is_dead(state: NodeState, member: HostKey) -> bool:
    """Return whether there is proof that a process has ended."""
    part = state.part(Members)
    if member.host == state.me.host:
        return member.incarnation < state.me.incarnation
    row = part.rows.get(member.host)
    if row is not None:
        is_same = row.incarnation == member.incarnation
        return row.incarnation > member.incarnation or (is_same and row.state == "dead")
    if member.host in part.gone:
        return member.incarnation <= part.gone[member.host]
    return part.list_settled


def domain_status(state: NodeState, now: float) -> list[DomainStatus]:
    """Return the state of all failure domains, for ``publish --wait``."""
    part = state.part(Members)
    found = []
    for domain in state.settings.domains:
        hosts = live_hosts(state, domain.name)
        if domain.name == state.settings.domain:
            in_force = lowest_revision(state)
            found.append(DomainStatus(domain.name, True, in_force, hosts, 0.0))
            continue
        summary = part.summaries.get(domain.name)
        heard = part.summary_times.get(domain.name)
        age = None if heard is None else now - heard
        reachable = age is not None and age < DOMAIN_SILENT_S
        in_force = summary.in_force if summary else -1
        found.append(DomainStatus(domain.name, reachable, in_force, hosts, age))
    return found


def lowest_revision(state: NodeState) -> int:
    """Return the lowest revision in force on the live nodes of this domain."""
    rows = state.part(Members).rows.values()
    here = [r for r in rows if r.domain == state.settings.domain and is_live(r)]
    return min([row.revision for row in here] + [state.catalogue_revision])


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


def suspicion_s(state: NodeState) -> float:
    count = 1 + len(state.part(Members).rows)
    return SUSPICION_MIN_S + SUSPICION_PER_LOG2_S * math.log2(1 + min(count, 64))


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


def refute(state: NodeState, part: Members) -> None:
    part.number += 1
    spread(state, part, state.me.host)


def note_ownership(state: NodeState, part: Members) -> None:
    live = live_hosts(state, state.settings.domain)
    if live != part.live:
        is_first = part.live is None
        part.live = live
        if not is_first:
            state.post(OwnershipChanged())


# Probes.


def probe_candidates(state: NodeState, part: Members) -> list[str]:
    domain = state.settings.domain
    return [h for h, r in part.rows.items() if r.domain == domain and is_live(r)]


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


def greet(state: NodeState, part: Members, now: float) -> None:
    """Ping all members once, so that a new node soon knows their revisions."""
    if part.greeted or (part.listed_at is None and not state.settings.peers):
        return
    part.greeted = True
    spread(state, part, state.me.host)
    domain = state.settings.domain
    for host in [h for h, row in part.rows.items() if row.domain == domain]:
        send_ping(state, part, host, now)


def probe_next(state: NodeState, part: Members, now: float) -> None:
    """Probe the next member of a shuffled round, and at times a silent one."""
    candidates = set(probe_candidates(state, part))
    part.round = [host for host in part.round if host in candidates]
    if not part.round:
        part.round = sorted(candidates)
        state.rng.shuffle(part.round)
    if part.round:
        send_ping(state, part, part.round.pop(), now)
    domain = state.settings.domain
    silent = [
        h
        for h, r in part.rows.items()
        if r.domain == domain and r.state in ("silent", "dead")
    ]
    if silent and state.rng.random() < SILENT_PROBE_SHARE:
        send_ping(state, part, state.rng.choice(silent), now)


def send_ping(
    state: NodeState,
    part: Members,
    host: str,
    now: float,
    asker: str | None = None,
    asker_probe: int = 0,
) -> None:
    part.probe_id += 1
    part.probes.put(part.probe_id, Probe(host, now, False, asker, asker_probe))
    updates = take_updates(state, part, host)
    ping = Ping(part.probe_id, state.catalogue_revision, updates)
    state.emit(SendPeer(host, ping))


def check_probes(state: NodeState, part: Members, now: float) -> None:
    """Ask others about a member that does not answer, then suspect it."""
    for probe_id, probe in part.probes.rows():
        row = part.rows.get(probe.target)
        if row is None or not is_live(row) or probe.asker is not None:
            if now >= probe.sent_at + PROBE_WAIT_S:
                del part.probes[probe_id]
            continue
        if not probe.is_indirect and now >= probe.sent_at + ACK_WAIT_S:
            part.probes.put(probe_id, probe._replace(is_indirect=True))
            others = [h for h in probe_candidates(state, part) if h != probe.target]
            count = min(INDIRECT_PROBES, len(others))
            for host in state.rng.sample(others, count):
                state.emit(SendPeer(host, PingRequest(probe_id, probe.target)))
        if now >= probe.sent_at + PROBE_WAIT_S:
            del part.probes[probe_id]
            if row.state == "alive":
                suspect = row._replace(state="suspect", suspect_at=now)
                part.rows.put(row.host, suspect)
                spread(state, part, row.host)


def take_updates(state: NodeState, part: Members, host: str) -> tuple[Update, ...]:
    """Return the news for a message to ``host``; news about itself come first."""
    chosen = [] if part.has_joined else [state.me.host]
    row = part.rows.get(host)
    if row is not None and row.state in ("suspect", "silent", "dead"):
        chosen.append(host)
    order = sorted(part.updates, key=lambda h: -part.updates[h])
    for name in order[: UPDATES_PER_MESSAGE - len(chosen)]:
        part.updates[name] -= 1
        if part.updates[name] <= 0:
            del part.updates[name]
        if name not in chosen:
            chosen.append(name)
    found = [update_of(state, part, name) for name in chosen]
    return tuple(update for update in found if update is not None)


def update_of(state: NodeState, part: Members, host: str) -> Update | None:
    """Return what this node says about a host, with its number in the state."""
    if host == state.me.host:
        word = "leaving" if state.draining else "alive"
        if not part.has_joined:
            word = JOINING
        return (
            host,
            state.me.incarnation,
            f"{word}.{part.number}",
            state.settings.domain,
            "",
        )
    row = part.rows.get(host)
    if row is None or row.incarnation < 0:
        return None
    text = f"{row.state}.{row.number}"
    return (host, row.incarnation, text, row.domain, row.address)


def spread(state: NodeState, part: Members, host: str) -> None:
    """Pass news about a host of this domain on with the next messages."""
    row = part.rows.get(host)
    if row is not None and row.domain != state.settings.domain:
        # Members of other domains come with the summaries of their relays.
        return
    count = 2 + len(probe_candidates(state, part))
    part.updates[host] = SENDS_PER_LOG2 * math.ceil(math.log2(count))


# What is heard.


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


def hear(
    state: NodeState,
    part: Members,
    sender: HostKey,
    domain: str,
    now: float,
    is_joining: bool,
) -> None:
    """Note a direct message: its sender lives, and owns cells once it has joined."""
    row = part.rows.get(sender.host)
    if row is None:
        if not domain or sender.host == state.me.host:
            return
        row = part.rows.put(sender.host, MemberRow(sender.host, domain, ""))
    if sender.incarnation < row.incarnation:
        return
    if sender.incarnation > row.incarnation:
        replace_incarnation(state, part, row, sender.incarnation)
        row = part.rows[sender.host]
    if is_joining and row.state != "leaving":
        row = row._replace(state="silent")
    elif row.state in ("suspect", "silent", "dead"):
        row = row._replace(state="alive")
    part.rows.put(row.host, row._replace(heard_at=now))


def replace_incarnation(
    state: NodeState, part: Members, row: MemberRow, incarnation: int
) -> None:
    """Note a new process at a host: the one before it is dead."""
    old = HostKey(row.host, row.incarnation)
    new = row._replace(
        incarnation=incarnation, state="alive", number=0, heard_at=None, revision=-1
    )
    part.rows.put(row.host, new)
    spread(state, part, row.host)
    if old.incarnation >= 0 and row.state != "dead":
        declare_dead(state, old, "new_incarnation")


def declare_dead(state: NodeState, member: HostKey, proof: str) -> None:
    state.log(
        "PF6002", None, host=member.host, incarnation=member.incarnation, proof=proof
    )
    state.post(MemberDied(member))


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


def note_revision(part: Members, host: str, revision: int) -> None:
    row = part.rows.get(host)
    if row is not None and revision > row.revision:
        part.rows.put(host, row._replace(revision=revision))


def learn(state: NodeState, part: Members, update: Update, now: float) -> None:
    """Merge what a peer says about a third node, or about this one."""
    host, incarnation, text, domain, address = update
    word, _, digits = text.partition(".")
    number = int(digits) if digits.isdecimal() and len(digits) < 10 else 0
    if word not in SEVERITY:
        return
    if host == state.me.host:
        learn_about_me(state, part, incarnation, word, number)
        return
    row = part.rows.get(host)
    if row is None:
        if incarnation <= part.gone.get(host, -1):
            return
        row = part.rows.put(host, MemberRow(host, domain, address))
    if incarnation < row.incarnation:
        return
    if incarnation > row.incarnation:
        replace_incarnation(state, part, row, incarnation)
        row = part.rows[host]
    if row.state in ("dead", "leaving") and SEVERITY[word] <= SEVERITY[row.state]:
        # Both are final for an incarnation; only the member itself disproves
        # its death.
        if row.state == "leaving" or number <= row.number:
            return
    is_newer = number > row.number
    is_worse = number == row.number and SEVERITY[word] > SEVERITY[row.state]
    if not is_newer and not is_worse and word not in ("dead", "leaving"):
        return
    if word == "silent":
        # Each node gives a suspected member its own time to refute.
        word = "suspect"
        if row.state == "silent":
            return
    new = row._replace(state=word, number=max(number, row.number))
    if word == "suspect" and row.state != "suspect":
        new = new._replace(suspect_at=now)
    part.rows.put(host, new)
    spread(state, part, host)
    if word == "dead" and row.state != "dead":
        declare_dead(state, HostKey(host, incarnation), "told_by_peer")


def learn_about_me(
    state: NodeState, part: Members, incarnation: int, word: str, number: int
) -> None:
    """Refute what is said wrongly about this process."""
    if incarnation > state.me.incarnation:
        if state.calls or state.attempts:
            # The id of this process is already on work at endpoints.
            return
        # The clock of this host went back between two starts.
        state.me = HostKey(state.me.host, incarnation + 1)
        refute(state, part)
    elif incarnation == state.me.incarnation:
        if word in ("suspect", "silent", "dead"):
            # An older number than the present one was refuted before, but the
            # peer has not heard of it.
            part.number = max(part.number, number + 1)
            spread(state, part, state.me.host)


def take_ack(
    state: NodeState, part: Members, sender: HostKey, ack: Ack, now: float
) -> None:
    probe = part.probes.pop(ack.probe, None)
    if probe is None:
        return
    if probe.asker is not None:
        reply = Ack(probe.asker_probe, state.catalogue_revision, ())
        state.emit(SendPeer(probe.asker, reply))
        return
    row = part.rows.get(probe.target)
    if row is not None and probe.target != sender.host and row.state == "suspect":
        part.rows.put(row.host, row._replace(state="alive"))


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


# Summaries between domains.


def send_summaries(state: NodeState, part: Members, now: float) -> None:
    """Speak for this domain, if this node is one of its relays.

    The first relay speaks once per period, the second one less often, in case
    that the first has failed and is not suspected yet. A new revision is told
    at once in the region and soon to other regions.
    """
    settings = state.settings
    own_relays = relays(state, settings.domain)
    if state.me.host not in own_relays:
        part.summary_due.clear()
        return
    rank = own_relays.index(state.me.host)
    others = [d for d in settings.domains if d.name != settings.domain]
    is_new = state.catalogue_revision > part.announced_revision
    part.announced_revision = max(part.announced_revision, state.catalogue_revision)
    nudge_members(state, part, now)
    summaries: dict[bool, DomainSummary] = {}
    for domain in others:
        is_near = domain.region == settings.region or len(others) <= FEW_DOMAINS
        period_s = SUMMARY_PERIOD_S if is_near else FAR_SUMMARY_PERIOD_S
        if rank > 0:
            period_s *= SECOND_RELAY_FACTOR
        due = part.summary_due.get(domain.name)
        if due is None:
            due = now + period_s * state.rng.random()
        if is_new:
            spread_s = rank + (0.0 if is_near else FAR_NEWS_S * state.rng.random())
            due = min(due, now + spread_s)
        if now < due:
            part.summary_due[domain.name] = due
            continue
        part.summary_due[domain.name] = now + period_s
        targets = relays(state, domain.name)
        if targets:
            turn = part.summary_turns.get(domain.name, 0)
            part.summary_turns[domain.name] = turn + 1
            is_full = tells_members(state, part, domain.name, now)
            if is_full not in summaries:
                summaries[is_full] = own_summary(state, part, is_full)
            target = targets[turn % len(targets)]
            state.emit(SendPeer(target, summaries[is_full]))


def tells_members(state: NodeState, part: Members, domain: str, now: float) -> bool:
    """Return whether the next summary to a domain lists the members.

    They change rarely and make up most of a summary.
    """
    rows = part.rows.items()
    here = tuple(
        (host, row.incarnation, row.state)
        for host, row in rows
        if row.domain == state.settings.domain
    )
    told = part.members_told.get(domain)
    if told is not None and told[0] == here and now < told[1] + MEMBERS_EVERY_S:
        if told[2] >= RELAYS:
            return False
        part.members_told[domain] = (here, told[1], told[2] + 1)
        return True
    part.members_told[domain] = (here, now, 1)
    return True


def own_summary(state: NodeState, part: Members, is_full: bool) -> DomainSummary:
    """Return the summary of this domain. Its version grows over restarts too."""
    part.summary_count += 1
    names = [state.me.host, *part.rows]
    domain = state.settings.domain
    updates = [update_of(state, part, name) for name in names]
    members = tuple(u for u in updates if is_full and u is not None and u[3] == domain)
    return DomainSummary(
        domain=domain,
        members=members,
        revision=state.catalogue_revision,
        capacity=part.capacity,
        in_force=lowest_revision(state),
        origin=state.me.host,
        version=state.me.incarnation + part.summary_count,
    )


def nudge_members(state: NodeState, part: Members, now: float) -> None:
    """Tell members of this domain of a revision that they have not shown yet."""
    for host in probe_candidates(state, part):
        row = part.rows[host]
        is_behind = row.revision < state.catalogue_revision
        if is_behind and now >= row.told_at + SUMMARY_PERIOD_S:
            part.rows.put(host, row._replace(told_at=now))
            send_ping(state, part, host, now)


def members_of(summary: DomainSummary) -> set[tuple[str, int, str]]:
    """Return the members with their states, as two relays would agree on them."""
    return {(u[0], u[1], u[2].partition(".")[0]) for u in summary.members}


def adopt_state(part: Members, domain: str, update: Update) -> None:
    """Take a domain's own word for the state of its members."""
    host, incarnation, text, of_domain, _ = update
    row = part.rows.get(host)
    word = text.partition(".")[0]
    if row is None or of_domain != domain or row.domain != domain:
        return
    if word in SEVERITY and row.incarnation == incarnation and row.state != "dead":
        part.rows.put(host, row._replace(state=word))


def take_summary(
    state: NodeState,
    part: Members,
    sender: str,
    summary: DomainSummary,
    now: float,
) -> None:
    """Keep a newer summary and pass it on within this domain."""
    if summary.domain == state.settings.domain:
        return
    key = (summary.domain, summary.origin)
    if summary.version <= part.summary_versions.get(key, -1):
        return
    part.summary_versions[key] = summary.version
    part.summary_times[summary.domain] = now
    old = part.summaries.get(summary.domain)
    if old is not None and not summary.members:
        part.summaries[summary.domain] = summary._replace(members=old.members)
    else:
        part.summaries[summary.domain] = summary
    for update in summary.members:
        learn(state, part, update, now)
        adopt_state(part, summary.domain, update)
    is_near = state.settings.region_of(summary.domain) == state.settings.region
    is_news = (
        old is None
        or (summary.members and members_of(old) != members_of(summary))
        or old.in_force != summary.in_force
    )
    hosts = probe_candidates(state, part)
    if not is_near:
        # Calls overflow within the region only, so nobody else needs this part.
        summary = summary._replace(capacity=())
    elif len(hosts) > FORWARD_TO and not is_news:
        # Halves the bytes in a large domain; what placement reads is then up to
        # two periods old.
        is_near = summary.version % 2 == 0
    # In a small domain the node that a relay spoke to reaches all others.
    is_first = sender == summary.origin
    if (is_near or is_news) and (is_first or len(hosts) > FORWARD_TO):
        for host in state.rng.sample(hosts, min(FORWARD_TO, len(hosts))):
            state.emit(SendPeer(host, summary))
