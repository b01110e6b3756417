"""Summaries that the relays of failure domains send to each other."""

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.messages import DomainSummary
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.member_probes import send_ping
from poplarfold._internal.core.systems.member_state import (
    RELAYS,
    SEVERITY,
    Members,
    Update,
    lowest_revision,
    relays,
)
from poplarfold._internal.core.systems.member_updates import (
    learn,
    probe_candidates,
    update_of,
)

__all__ = [
    "send_summaries",
    "take_summary",
]

SUMMARY_PERIOD_S = 1.0
# With many domains, those of other regions get a summary less often, so that
# a relay stays within its 3 KB/s.
FAR_SUMMARY_PERIOD_S = 6.0
FAR_NEWS_S = 1.5
SECOND_RELAY_FACTOR = 4.0
MEMBERS_EVERY_S = 30.0
FEW_DOMAINS = 4
FORWARD_TO = 2


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
