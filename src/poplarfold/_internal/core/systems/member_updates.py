"""Updates about members, piggybacked on the messages within a failure domain.

They are merged by incarnation, then by sequence, then by severity.
"""

import math

from poplarfold._internal.core.events import MemberDeclaredDead
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.member_state import (
    JOINING,
    SEVERITY,
    MemberRow,
    Members,
    Update,
    is_live,
)

__all__ = [
    "declare_dead",
    "merge_update",
    "probe_candidates",
    "queue_update",
    "record_contact",
    "record_revision",
    "refute",
    "take_updates",
    "update_of",
]

UPDATES_PER_MESSAGE = 6
# Each update is sent this many times per log2 of the domain's size.
SENDS_PER_LOG2 = 2


def refute(state: NodeState, part: Members) -> None:
    part.sequence += 1
    queue_update(state, part, state.me.host)


def probe_candidates(state: NodeState, part: Members) -> list[str]:
    domain = state.settings.domain
    return [h for h, r in part.rows.items() if r.domain == domain and is_live(r)]


def take_updates(state: NodeState, part: Members, host: str) -> tuple[Update, ...]:
    """Return the updates for a message to ``host``, at most UPDATES_PER_MESSAGE.

    An update that ``host`` may have to refute, or that this node is joining, is
    always included. The rest are those with the most sends left.
    """
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
    """Return this node's update about a host, or None if no incarnation is known.

    The status has the sequence appended, such as ``alive.3``.
    """
    if host == state.me.host:
        status = "leaving" if state.draining else "alive"
        if not part.has_joined:
            status = JOINING
        return (
            host,
            state.me.incarnation,
            f"{status}.{part.sequence}",
            state.settings.domain,
            "",
        )
    row = part.rows.get(host)
    if row is None or row.incarnation < 0:
        return None
    text = f"{row.state}.{row.sequence}"
    return (host, row.incarnation, text, row.domain, row.address)


def queue_update(state: NodeState, part: Members, host: str) -> None:
    """Queue an update about a host of this domain for the next messages."""
    row = part.rows.get(host)
    if row is not None and row.domain != state.settings.domain:
        # Members of other domains are reported in the summaries of their relays.
        return
    count = 2 + len(probe_candidates(state, part))
    part.updates[host] = SENDS_PER_LOG2 * math.ceil(math.log2(count))


def record_contact(
    state: NodeState,
    part: Members,
    sender: HostKey,
    domain: str,
    now: float,
    is_joining: bool,
) -> None:
    """Record a direct message, which proves its sender alive.

    A sender that is still joining is kept as silent, so that it owns no cells.
    """
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
    part.rows.put(row.host, row._replace(last_contact_at=now))


def replace_incarnation(
    state: NodeState, part: Members, row: MemberRow, incarnation: int
) -> None:
    """Record a new process at a host, which proves the previous one dead."""
    old = HostKey(row.host, row.incarnation)
    new = row._replace(
        incarnation=incarnation,
        state="alive",
        sequence=0,
        last_contact_at=None,
        revision=-1,
    )
    part.rows.put(row.host, new)
    queue_update(state, part, row.host)
    if old.incarnation >= 0 and row.state != "dead":
        declare_dead(state, old, "new_incarnation")


def declare_dead(state: NodeState, member: HostKey, proof: str) -> None:
    state.log(
        "PF6002", None, host=member.host, incarnation=member.incarnation, proof=proof
    )
    state.post(MemberDeclaredDead(member))


def record_revision(part: Members, host: str, revision: int) -> None:
    row = part.rows.get(host)
    if row is not None and revision > row.revision:
        part.rows.put(host, row._replace(revision=revision))


def merge_update(state: NodeState, part: Members, update: Update, now: float) -> None:
    """Merge a peer's update about another node, or about this one."""
    host, incarnation, text, domain, address = update
    status, _, digits = text.partition(".")
    sequence = int(digits) if digits.isdecimal() and len(digits) < 10 else 0
    if status not in SEVERITY:
        return
    if host == state.me.host:
        merge_update_about_self(state, part, incarnation, status, sequence)
        return
    row = part.rows.get(host)
    if row is None:
        if incarnation <= part.delisted.get(host, -1):
            return
        row = part.rows.put(host, MemberRow(host, domain, address))
    if incarnation < row.incarnation:
        return
    if incarnation > row.incarnation:
        replace_incarnation(state, part, row, incarnation)
        row = part.rows[host]
    if row.state in ("dead", "leaving") and SEVERITY[status] <= SEVERITY[row.state]:
        # Both states are final for an incarnation, except that a member that was
        # declared dead may refute this with a higher sequence.
        if row.state == "leaving" or sequence <= row.sequence:
            return
    is_newer = sequence > row.sequence
    is_worse = sequence == row.sequence and SEVERITY[status] > SEVERITY[row.state]
    if not is_newer and not is_worse and status not in ("dead", "leaving"):
        return
    if status == "silent":
        # Each node runs its own suspicion timeout, so that the member can refute.
        status = "suspect"
        if row.state == "silent":
            return
    new = row._replace(state=status, sequence=max(sequence, row.sequence))
    if status == "suspect" and row.state != "suspect":
        new = new._replace(suspect_at=now)
    part.rows.put(host, new)
    queue_update(state, part, host)
    if status == "dead" and row.state != "dead":
        declare_dead(state, HostKey(host, incarnation), "told_by_peer")


def merge_update_about_self(
    state: NodeState, part: Members, incarnation: int, status: str, sequence: int
) -> None:
    """Refute an update that reports this process as not alive, or as replaced."""
    if incarnation > state.me.incarnation:
        if state.calls or state.attempts:
            # The incarnation can no longer change, because work at endpoints
            # carries it.
            return
        # Incarnations come from the clock of the host. It was set back between two
        # starts, so that the earlier process had the higher incarnation.
        state.me = HostKey(state.me.host, incarnation + 1)
        refute(state, part)
    elif incarnation == state.me.incarnation:
        if status in ("suspect", "silent", "dead"):
            # A lower sequence than the current one was refuted before, but the peer
            # has not received that update, so it is sent again.
            part.sequence = max(part.sequence, sequence + 1)
            queue_update(state, part, state.me.host)
