"""Membership tables: members, open probes, summaries and updates to send."""

import math
from typing import NamedTuple

from poplarfold._internal.core.events import HostListReceived
from poplarfold._internal.core.messages import DomainSummary
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.state import NodeState, Table
from poplarfold._internal.utils.rendezvous import rank_hosts

__all__ = [
    "JOINING",
    "RELAYS_PER_DOMAIN",
    "SEVERITY",
    "DomainStatus",
    "MemberRow",
    "Members",
    "Probe",
    "Update",
    "all_live_hosts",
    "domain_status",
    "have_all_domain_members_responded",
    "is_dead",
    "is_live",
    "live_hosts",
    "lowest_revision",
    "relays",
]

# How many nodes of each domain exchange summaries with other domains.
RELAYS_PER_DOMAIN = 2
# A domain without a summary for this long is reported as unreachable.
DOMAIN_TIMEOUT_S = 10.0
JOINING = "joining"
# Of two updates with the same incarnation and sequence, the more severe one applies.
SEVERITY = {"alive": 0, "suspect": 1, "silent": 2, "leaving": 3, "dead": 4}


Update = tuple[str, int, str, str, str]


class MemberRow(NamedTuple):
    """One other node. ``incarnation`` is -1 until one is known.

    ``sequence`` orders the updates about one incarnation: the member raises it to
    refute a suspicion. (SWIM raises the incarnation for this. Here the incarnation
    identifies the process and its work, so it must not change while the process
    runs.) ``revision_pinged_at`` is when this node last pinged the member about a newer
    revision.
    """

    host: str
    domain: str
    address: str
    incarnation: int = -1
    state: str = "alive"
    sequence: int = 0
    is_listed: bool = False
    last_contact_at: float | None = None
    suspect_at: float = 0.0
    revision: int = -1
    revision_pinged_at: float = -math.inf


class Probe(NamedTuple):
    """A probe that has not been acknowledged yet.

    ``requester`` is the node that requested it, if it is an indirect probe.
    ``is_indirect`` is set once this node has requested indirect probes of the target
    from others.
    """

    target: str
    sent_at: float
    is_indirect: bool = False
    requester: str | None = None
    requester_probe: int = 0


class DomainStatus(NamedTuple):
    """The state of a failure domain as this node sees it.

    ``in_force`` is the lowest catalogue revision of its live nodes, -1 if unknown.
    """

    domain: str
    is_reachable: bool
    in_force: int
    live_hosts: tuple[str, ...]
    heard_s_ago: float | None


class Members:
    """The other nodes by host, open probes, and updates to send.

    ``delisted`` maps hosts that left the host list to their last incarnation, and
    ``updates`` maps hosts to how often their update is still to be sent.
    ``capacity`` holds the rows that placement adds to this domain's summary, and
    ``summaries`` the newest summary of each other domain.
    """

    def __init__(self) -> None:
        self.rows: Table[str, MemberRow] = Table()
        self.delisted: dict[str, int] = {}
        self.sequence = 0
        self.probe_id = 0
        self.probes: Table[int, Probe] = Table()
        self.probe_round: list[str] = []
        self.probe_at: float | None = None
        self.has_pinged_all = False
        self.last_tick: float | None = None
        self.updates: dict[str, int] = {}
        self.listed_at: float | None = None
        self.list_version = -1
        self.is_host_list_settled = False
        self.owns_cells_until = math.inf
        self.may_own_cells = False
        self.has_joined = False
        self.started_at: float | None = None
        self.last_list: HostListReceived | None = None
        self.request_host_list_at = 0.0
        self.live: tuple[str, ...] | None = None
        self.capacity: tuple[tuple[str, str, str, int, int], ...] = ()
        self.summaries: dict[str, DomainSummary] = {}
        self.summary_times: dict[str, float] = {}
        self.summary_versions: dict[tuple[str, str], int] = {}
        self.summary_due: dict[str, float] = {}
        self.summary_count = 0
        self.summary_counts: dict[str, int] = {}
        self.sent_members: dict[str, tuple[object, float, int]] = {}
        self.announced_revision = -1


def live_hosts(state: NodeState, domain: str) -> tuple[str, ...]:
    """Return the live hosts of a failure domain, sorted.

    This node is included if it is in the domain and may own cells.
    """
    part = state.part(Members)
    hosts = {h for h, r in part.rows.items() if r.domain == domain and is_live(r)}
    if domain == state.settings.domain and part.may_own_cells:
        hosts.add(state.me.host)
    return tuple(sorted(hosts))


def all_live_hosts(state: NodeState) -> tuple[str, ...]:
    """Return the live hosts of all failure domains, this one included."""
    rows = state.part(Members).rows
    hosts = {h for h, r in rows.items() if is_live(r)}
    return tuple(sorted(hosts | {state.me.host}))


def have_all_domain_members_responded(state: NodeState) -> bool:
    """Return whether every live node of this domain has sent a message."""
    rows = state.part(Members).rows.values()
    here = [r for r in rows if r.domain == state.settings.domain and is_live(r)]
    return all(row.last_contact_at is not None for row in here)


def relays(state: NodeState, domain: str) -> list[str]:
    """Return the nodes of a domain that exchange summaries with other domains."""
    hosts = live_hosts(state, domain)
    if not hosts and domain != state.settings.domain:
        # No node of the domain is known to be live. Use the known hosts, since the
        # domains would otherwise wait for each other's first summary.
        rows = state.part(Members).rows
        hosts = tuple(h for h, row in rows.items() if row.domain == domain)
    return rank_hosts(f"relay/{domain}", hosts)[:RELAYS_PER_DOMAIN]


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
    if member.host in part.delisted:
        return member.incarnation <= part.delisted[member.host]
    return part.is_host_list_settled


def domain_status(state: NodeState, now: float) -> list[DomainStatus]:
    """Return the status of all failure domains, for ``publish --wait``."""
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
        reachable = age is not None and age < DOMAIN_TIMEOUT_S
        in_force = summary.in_force if summary else -1
        found.append(DomainStatus(domain.name, reachable, in_force, hosts, age))
    return found


def lowest_revision(state: NodeState) -> int:
    """Return the lowest revision in force on the live nodes of this domain."""
    rows = state.part(Members).rows.values()
    here = [r for r in rows if r.domain == state.settings.domain and is_live(r)]
    return min([row.revision for row in here] + [state.catalogue_revision])
