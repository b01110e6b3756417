"""Domain summaries that the relays of failure domains exchange."""

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.messages import DomainSummary
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.member_probes import send_ping
from poplarfold._internal.core.systems.member_state import (
    RELAYS_PER_DOMAIN,
    SEVERITY,
    Members,
    Update,
    lowest_revision,
    relays,
)
from poplarfold._internal.core.systems.member_updates import (
    merge_update,
    probe_candidates,
    update_of,
)

__all__ = [
    "handle_summary",
    "send_summaries",
]

SUMMARY_PERIOD_S = 1.0
# In a large fleet the domains of other regions get summaries less often, so that a
# relay sends at most 3 KB/s.
CROSS_REGION_SUMMARY_PERIOD_S = 6.0
# A new revision is sent to other regions after a random delay of at most this.
REVISION_DELAY_S = 1.5
# Relays after the first send less often by this factor. They cover a failure of the
# first that is not suspected yet.
BACKUP_RELAY_PERIOD_FACTOR = 4.0
# An unchanged member list is sent again after this time.
MEMBERS_PERIOD_S = 30.0
# With at most this many other domains all of them get summaries at the short period.
SMALL_FLEET_DOMAINS = 4
FORWARD_FANOUT = 2


def send_summaries(state: NodeState, part: Members, now: float) -> None:
    """Send the summaries of this domain that are due, if this node is a relay.

    The first relay sends once per period. The second relay sends less often, in
    case the first has failed and is not suspected yet. A new revision is sent at
    once within the region and after a short delay to other regions.
    """
    settings = state.settings
    own_relays = relays(state, settings.domain)
    if state.me.host not in own_relays:
        part.summary_due.clear()
        return
    rank = own_relays.index(state.me.host)
    others = [d for d in settings.domains if d.name != settings.domain]
    is_new_revision = state.catalogue_revision > part.announced_revision
    part.announced_revision = max(part.announced_revision, state.catalogue_revision)
    ping_lagging_members(state, part, now)
    summaries: dict[bool, DomainSummary] = {}
    for domain in others:
        is_near = domain.region == settings.region or len(others) <= SMALL_FLEET_DOMAINS
        period_s = SUMMARY_PERIOD_S if is_near else CROSS_REGION_SUMMARY_PERIOD_S
        if rank > 0:
            period_s *= BACKUP_RELAY_PERIOD_FACTOR
        due = part.summary_due.get(domain.name)
        if due is None:
            due = now + period_s * state.rng.random()
        if is_new_revision:
            delay_s = rank + (0.0 if is_near else REVISION_DELAY_S * state.rng.random())
            due = min(due, now + delay_s)
        if now < due:
            part.summary_due[domain.name] = due
            continue
        part.summary_due[domain.name] = now + period_s
        targets = relays(state, domain.name)
        if targets:
            turn = part.summary_counts.get(domain.name, 0)
            part.summary_counts[domain.name] = turn + 1
            is_full = includes_members(state, part, domain.name, now)
            if is_full not in summaries:
                summaries[is_full] = own_summary(state, part, is_full)
            target = targets[turn % len(targets)]
            state.emit(SendPeer(target, summaries[is_full]))


def includes_members(state: NodeState, part: Members, domain: str, now: float) -> bool:
    """Return whether the next summary to a domain lists the members.

    Members change rarely and make up most of a summary, so they are sent after a
    change and then once per MEMBERS_PERIOD_S, to each relay of the domain.
    """
    rows = part.rows.items()
    own_members = tuple(
        (host, row.incarnation, row.state)
        for host, row in rows
        if row.domain == state.settings.domain
    )
    last_sent = part.sent_members.get(domain)
    if (
        last_sent is not None
        and last_sent[0] == own_members
        and now < last_sent[1] + MEMBERS_PERIOD_S
    ):
        if last_sent[2] >= RELAYS_PER_DOMAIN:
            return False
        part.sent_members[domain] = (own_members, last_sent[1], last_sent[2] + 1)
        return True
    part.sent_members[domain] = (own_members, now, 1)
    return True


def own_summary(state: NodeState, part: Members, is_full: bool) -> DomainSummary:
    """Return the summary of this domain.

    Its version starts at the incarnation of this node, so that it also rises across
    restarts.
    """
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


def ping_lagging_members(state: NodeState, part: Members, now: float) -> None:
    """Ping the members of this domain that have not reported the latest revision."""
    for host in probe_candidates(state, part):
        row = part.rows[host]
        is_behind = row.revision < state.catalogue_revision
        if is_behind and now >= row.revision_pinged_at + SUMMARY_PERIOD_S:
            part.rows.put(host, row._replace(revision_pinged_at=now))
            send_ping(state, part, host, now)


def members_of(summary: DomainSummary) -> set[tuple[str, int, str]]:
    """Return the members and their states without the sequences.

    The sequences that two relays know may differ, which is no change of the members.
    """
    return {(u[0], u[1], u[2].partition(".")[0]) for u in summary.members}


def adopt_member_state(part: Members, domain: str, update: Update) -> None:
    """Adopt the member state that the member's own domain reports."""
    host, incarnation, text, of_domain, _ = update
    row = part.rows.get(host)
    reported_state = text.partition(".")[0]
    if row is None or of_domain != domain or row.domain != domain:
        return
    if (
        reported_state in SEVERITY
        and row.incarnation == incarnation
        and row.state != "dead"
    ):
        part.rows.put(host, row._replace(state=reported_state))


def handle_summary(
    state: NodeState,
    part: Members,
    sender: str,
    summary: DomainSummary,
    now: float,
) -> None:
    """Store a newer summary and forward it within this domain."""
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
        merge_update(state, part, update, now)
        adopt_member_state(part, summary.domain, update)
    is_near = state.settings.region_of(summary.domain) == state.settings.region
    has_changes = (
        old is None
        or (summary.members and members_of(old) != members_of(summary))
        or old.in_force != summary.in_force
    )
    hosts = probe_candidates(state, part)
    if not is_near:
        # Calls overflow within the region only, so other regions need no capacity.
        summary = summary._replace(capacity=())
    elif len(hosts) > FORWARD_FANOUT and not has_changes:
        # Forwarding every second summary halves the bytes in a large domain. The
        # data that placement reads is then up to two periods old.
        is_near = summary.version % 2 == 0
    # In a small domain the node that got the summary from the relay reaches all others.
    is_first = sender == summary.origin
    if (is_near or has_changes) and (is_first or len(hosts) > FORWARD_FANOUT):
        for host in state.rng.sample(hosts, min(FORWARD_FANOUT, len(hosts))):
            state.emit(SendPeer(host, summary))
