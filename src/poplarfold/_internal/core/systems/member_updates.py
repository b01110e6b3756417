"""Updates about members, passed on with the messages within a failure domain.

They are merged by incarnation, then by number, then by severity.
"""

import math

from poplarfold._internal.core.events import MemberDied
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
    "hear",
    "learn",
    "note_revision",
    "probe_candidates",
    "refute",
    "spread",
    "take_updates",
    "update_of",
]

UPDATES_PER_MESSAGE = 6
# Each update is sent this many times per factor 2 of the domain's size.
SENDS_PER_LOG2 = 2


def refute(state: NodeState, part: Members) -> None:
    part.number += 1
    spread(state, part, state.me.host)


def probe_candidates(state: NodeState, part: Members) -> list[str]:
    domain = state.settings.domain
    return [h for h, r in part.rows.items() if r.domain == domain and is_live(r)]


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
