"""Probes of the members of a failure domain; unresponsive ones become suspect."""

import math

from poplarfold._internal.core.commands import SendPeer
from poplarfold._internal.core.messages import Ack, Ping, PingRequest
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.member_state import Members, Probe, is_live
from poplarfold._internal.core.systems.member_updates import (
    probe_candidates,
    queue_update,
    take_updates,
)

__all__ = [
    "ACK_TIMEOUT_S",
    "PROBE_PERIOD_S",
    "PROBE_TIMEOUT_S",
    "check_probes",
    "handle_ack",
    "ping_all_members",
    "probe_next",
    "send_ping",
    "suspicion_s",
]

PROBE_PERIOD_S = 0.5
# Without an acknowledgement after this time, other members probe indirectly.
ACK_TIMEOUT_S = 0.2
PROBE_TIMEOUT_S = 0.5
INDIRECT_PROBES = 2
# How long a suspected member has to refute the suspicion. Larger domains allow more,
# because the number of periods that an update needs to reach all members grows with
# log2 of their number.
SUSPICION_MIN_S = 1.5
SUSPICION_PER_LOG2_S = 0.25
SILENT_PROBE_PROBABILITY = 0.25


def suspicion_s(state: NodeState) -> float:
    count = 1 + len(state.part(Members).rows)
    return SUSPICION_MIN_S + SUSPICION_PER_LOG2_S * math.log2(1 + min(count, 64))


def ping_all_members(state: NodeState, part: Members, now: float) -> None:
    """Ping all members of the domain once, to learn their revisions at the start."""
    if part.has_pinged_all or (part.listed_at is None and not state.settings.peers):
        return
    part.has_pinged_all = True
    queue_update(state, part, state.me.host)
    domain = state.settings.domain
    for host in [h for h, row in part.rows.items() if row.domain == domain]:
        send_ping(state, part, host, now)


def probe_next(state: NodeState, part: Members, now: float) -> None:
    """Probe the next member of a shuffled round.

    With probability SILENT_PROBE_PROBABILITY, also probes a silent or dead member,
    to detect that it is back.
    """
    candidates = set(probe_candidates(state, part))
    part.probe_round = [host for host in part.probe_round if host in candidates]
    if not part.probe_round:
        part.probe_round = sorted(candidates)
        state.rng.shuffle(part.probe_round)
    if part.probe_round:
        send_ping(state, part, part.probe_round.pop(), now)
    domain = state.settings.domain
    silent = [
        h
        for h, r in part.rows.items()
        if r.domain == domain and r.state in ("silent", "dead")
    ]
    if silent and state.rng.random() < SILENT_PROBE_PROBABILITY:
        send_ping(state, part, state.rng.choice(silent), now)


def send_ping(
    state: NodeState,
    part: Members,
    host: str,
    now: float,
    requester: str | None = None,
    requester_probe: int = 0,
) -> None:
    part.probe_id += 1
    part.probes.put(part.probe_id, Probe(host, now, False, requester, requester_probe))
    updates = take_updates(state, part, host)
    ping = Ping(part.probe_id, state.catalogue_revision, updates)
    state.emit(SendPeer(host, ping))


def check_probes(state: NodeState, part: Members, now: float) -> None:
    """Request indirect probes of unresponsive members, then suspect those members."""
    for probe_id, probe in part.probes.rows():
        row = part.rows.get(probe.target)
        if row is None or not is_live(row) or probe.requester is not None:
            if now >= probe.sent_at + PROBE_TIMEOUT_S:
                del part.probes[probe_id]
            continue
        if not probe.is_indirect and now >= probe.sent_at + ACK_TIMEOUT_S:
            part.probes.put(probe_id, probe._replace(is_indirect=True))
            others = [h for h in probe_candidates(state, part) if h != probe.target]
            count = min(INDIRECT_PROBES, len(others))
            for host in state.rng.sample(others, count):
                state.emit(SendPeer(host, PingRequest(probe_id, probe.target)))
        if now >= probe.sent_at + PROBE_TIMEOUT_S:
            del part.probes[probe_id]
            if row.state == "alive":
                suspect = row._replace(state="suspect", suspect_at=now)
                part.rows.put(row.host, suspect)
                queue_update(state, part, row.host)


def handle_ack(
    state: NodeState, part: Members, sender: HostKey, ack: Ack, now: float
) -> None:
    probe = part.probes.pop(ack.probe, None)
    if probe is None:
        return
    if probe.requester is not None:
        reply = Ack(probe.requester_probe, state.catalogue_revision, ())
        state.emit(SendPeer(probe.requester, reply))
        return
    row = part.rows.get(probe.target)
    if row is not None and probe.target != sender.host and row.state == "suspect":
        part.rows.put(row.host, row._replace(state="alive"))
