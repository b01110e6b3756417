"""Probes of the members of a failure domain, and the suspicion of silent ones."""

import math

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.messages import Ack, Ping, PingRequest
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.member_state import Members, Probe, is_live
from poplarfold._internal.core.systems.member_updates import (
    probe_candidates,
    spread,
    take_updates,
)

__all__ = [
    "ACK_WAIT_S",
    "PROBE_PERIOD_S",
    "PROBE_WAIT_S",
    "check_probes",
    "greet",
    "probe_next",
    "send_ping",
    "suspicion_s",
    "take_ack",
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


def suspicion_s(state: NodeState) -> float:
    count = 1 + len(state.part(Members).rows)
    return SUSPICION_MIN_S + SUSPICION_PER_LOG2_S * math.log2(1 + min(count, 64))


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
