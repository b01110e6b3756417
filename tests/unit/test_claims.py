"""Claims on idempotency keys, with an in-memory log."""

import pytest

from poplarfold._internal.core.claims_codec import decode_batch
from poplarfold._internal.core.commands import (
    AbortAttempt,
    AppendLog,
    FinishCall,
    SendPeer,
    StartAttempt,
)
from poplarfold._internal.core.events import (
    AttemptEnded,
    CallArrived,
    CallerDisconnected,
    CallPlaced,
    CheckpointsRead,
    HostListReceived,
    HostListRow,
    LogAppendFailed,
    LogReadCompleted,
    LogRecord,
    PeerConnectFailed,
    PeerReceived,
    PlacementFailed,
)
from poplarfold._internal.core.messages import Hello, Ping
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRef,
    EntryKind,
    EntryLimits,
    HostKey,
    Identity,
    LatencyTargets,
    Placement,
)
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import calls, catalogue, claims, membership
from poplarfold._internal.exceptions import (
    EndpointUnreachableError,
    NoEndpointError,
    Outcome,
)
from poplarfold._internal.settings import DomainSettings, NodeSettings

ENTRY = CatalogueEntry(
    "filings",
    EntryKind.SERVICE,
    Identity("association", "registry", "v1"),
    CallClass.NON_REPEATABLE,
    LatencyTargets(5.0, 1.0),
    EntryLimits(),
)
PLACEMENT = Placement(EndpointRef("127.0.0.1:1", 1), None, "l-1", 0.0, 0)
SYSTEMS = (calls, catalogue, claims, membership)


class Log:
    """An in-memory claims stream; nodes get its records when they call ``read``."""

    def __init__(self):
        self.records = []

    def step(self, node, now, events=(), lose=False):
        """Step a node and carry out its appends; return its commands."""
        commands = node.step(now, list(events))
        for command in commands:
            if isinstance(command, AppendLog) and command.stream == "claims":
                offset = len(self.records)
                record = LogRecord(offset, command.record_id, command.data)
                self.records.append(record)
        return commands

    def read(self, node, now):
        """Deliver all records that a node has not read yet; return its commands."""
        start = node.state.part(claims.Claims).reader.next_offset
        records = tuple(self.records[start:])
        event = LogReadCompleted("claims", start, 0, len(self.records), records)
        return self.step(node, now, [event])


def make_node(host, knows_operations=False):
    settings = NodeSettings(
        host,
        "lhr-a",
        (DomainSettings("lhr-a", "lahore", 2),),
        endpoint_rules=(("registry", True, knows_operations),),
        strict_invariants=True,
    )
    node = Node(settings, incarnation=1, seed=1, systems=SYSTEMS)
    node.state.entries.put("filings", ENTRY)
    node.state.catalogue_ready = True
    rows = tuple(HostListRow(h, h, "entry", "lhr-a", "", False) for h in ("a", "b"))
    node.step(0.0, [CheckpointsRead(None, None), HostListReceived(1, rows)])
    return node


def arrival(call_id, body="d"):
    return CallArrived(
        call_id, "north", "filings", False, 1, 4, (), 1, 9.0, "key", None, body
    )


def finish_of(commands):
    (finish,) = [c for c in commands if isinstance(c, FinishCall)]
    return finish


@pytest.fixture
def log():
    return Log()


def win_claim(log, node, call_id="c1", now=1.0):
    log.step(node, now, [arrival(call_id)])
    log.read(node, now + 0.01)
    assert node.state.calls[call_id].phase == "placing"


def test_two_nodes_with_one_key_send_once_and_share_the_answer(log):
    """Guards against a retry through another node that runs the operation again."""
    one, two = make_node("a"), make_node("b")
    log.step(one, 1.0, [arrival("c1")])
    log.step(two, 1.0, [arrival("c2")])
    log.read(one, 1.1)
    log.read(two, 1.1)
    assert finish_of(log.step(two, 2.2)).error.code == "in_progress"
    (start,) = [
        c
        for c in log.step(one, 2.2, [CallPlaced("c1", PLACEMENT)])
        if isinstance(c, StartAttempt)
    ]
    ended = AttemptEnded(
        start.attempt_id, None, True, 0, answer_status=201, answer_body=b"x"
    )
    log.step(one, 2.3, [ended])
    log.read(two, 2.4)
    finish = finish_of(log.step(two, 2.5, [arrival("c3")]))
    assert (finish.answer_status, finish.answer_body) == (201, b"x")
    other_body = finish_of(log.step(two, 2.6, [arrival("c4", body="other")]))
    assert other_body.error.code == "idempotency_key_reused"


def test_only_the_claim_holder_reports_not_run_and_releases_the_key(log):
    """Guards against "not run" reported by a node that does not hold the claim."""
    one, two = make_node("a"), make_node("b")
    win_claim(log, one)
    refused = PlacementFailed("c1", NoEndpointError("none"))
    assert finish_of(log.step(one, 2.0, [refused])).error.outcome is Outcome.NOT_RUN
    # This node has read the log to its end since the call arrived, but another node
    # may claim and run the key before this one responds.
    node_read = LogReadCompleted("claims", 0, 0, 0, ())
    two.step(2.0, [arrival("c2")])
    two.step(2.5, [node_read])
    late = finish_of(two.step(5.5, []))
    assert (late.error.code, late.error.outcome) == (
        "log_unavailable",
        Outcome.UNKNOWN,
    )
    three = make_node("b")
    log.read(three, 6.0)
    log.step(three, 6.1, [arrival("c3")])
    log.read(three, 6.2)
    assert three.state.calls["c3"].phase == "placing"


def test_a_disconnect_during_an_attempt_does_not_release_the_claim(log):
    """Guards against releasing a claim while its attempt may still send the call."""
    node = make_node("a")
    win_claim(log, node)
    log.step(node, 2.0, [CallPlaced("c1", PLACEMENT)])
    commands = log.step(node, 2.1, [CallerDisconnected("c1")])
    assert not [c for c in commands if isinstance(c, FinishCall | AbortAttempt)]
    attempt_id = node.state.calls["c1"].attempt_id
    error = EndpointUnreachableError("connection refused")
    log.step(node, 2.2, [AttemptEnded(attempt_id, error, False, 0)])
    finish = finish_of(log.step(node, 2.3, [CallerDisconnected("c1")]))
    assert finish.error.outcome is Outcome.NOT_RUN


def test_a_lost_append_response_neither_loses_nor_duplicates_a_claim(log):
    """Guards against a second claim after an append whose response was lost."""
    node = make_node("a")
    commands = log.step(node, 1.0, [arrival("c1")])
    (append,) = [c for c in commands if isinstance(c, AppendLog)]
    log.step(node, 1.5, [LogAppendFailed("claims", append.record_id, True)])
    log.read(node, 1.6)
    assert node.state.calls["c1"].phase == "placing"
    assert len(log.records) == 1
    # A duplicate of the claim that appears after the release is released as well.
    log.step(node, 2.0, [PlacementFailed("c1", NoEndpointError("none"))])
    log.records.append(log.records[0]._replace(offset=len(log.records)))
    log.read(node, 2.1)
    log.step(node, 3.5)
    log.read(node, 4.0)
    assert not node.state.part(claims.Claims).rows


@pytest.mark.parametrize("knows_operations", [False, True])
def test_a_claim_is_taken_over_only_from_a_dead_owner_and_only_if_safe(
    log, knows_operations
):
    """Guards against a second run of a call that a dead or silent owner has sent.

    A takeover is safe only if the service knows operations.
    """
    one, two = make_node("a"), make_node("b", knows_operations)
    win_claim(log, one)
    operation = one.state.calls["c1"].operation_id
    log.read(two, 1.5)
    two.step(1.6, [PeerReceived(HostKey("a", 1), Ping(1, -1, ()))])
    log.step(two, 6.0, [arrival("c2")])
    silent = finish_of(log.step(two, 8.0))
    assert silent.error.code == "in_progress"
    two.step(8.1, [PeerConnectFailed("a", True)])
    commands = log.step(two, 8.2, [arrival("c3")])
    if not knows_operations:
        assert finish_of(commands).error.code == "outcome_unknown"
        return
    log.read(two, 8.3)
    call = two.state.calls["c3"]
    assert call.operation_id == operation and call.fencing > 0 and call.sent
    # The old owner was only paused. It must neither send nor report "not run".
    lost = finish_of(log.read(one, 8.4))
    assert lost.error.outcome is Outcome.UNKNOWN
    commands = log.step(two, 8.5, [PlacementFailed("c3", NoEndpointError("none"))])
    assert finish_of(commands).error.outcome is Outcome.UNKNOWN


def test_claims_of_one_step_share_a_record(log):
    """Guards against one append per call, which exceeds the log's rate limit."""
    node = make_node("a")
    keys = [arrival(f"c{n}")._replace(idempotency_key=f"k{n}") for n in range(50)]
    log.step(node, 1.0, keys)
    assert len(log.records) == 1
    assert len(decode_batch(log.records[0].data).unwrap().operations) == 50


def test_a_higher_incarnation_proves_death_and_silence_does_not():
    """Guards against cancelling the work of a node that is only unreachable."""
    node = make_node("a")
    node.step(1.0, [PeerReceived(HostKey("b", 1), Hello("b", 1, "lhr-a"))])
    node.step(1.1, [PeerReceived(HostKey("b", 1), Ping(1, -1, ()))])
    for tick in range(12, 200):
        node.step(tick / 10, [])
    assert "b" not in membership.live_hosts(node.state, "lhr-a")
    assert not membership.is_dead(node.state, HostKey("b", 1))
    node.step(30.0, [PeerReceived(HostKey("b", 2), Hello("b", 2, "lhr-a"))])
    assert membership.is_dead(node.state, HostKey("b", 1))


def test_domains_that_know_each_other_only_from_settings_choose_relays():
    """Guards against two domains that both wait for the other's first summary.

    This happens if neither knows a live node of the other and so sends no summary.
    """
    domains = tuple(DomainSettings(d, "west", 1) for d in ("east", "west"))
    settings = NodeSettings("e", "east", domains, peers=(("w", "w:1", "west"),))
    node = Node(settings, incarnation=1, seed=1, systems=SYSTEMS)
    node.step(0.0, [PeerConnectFailed("w", True)])
    assert membership.relays(node.state, "west") == ["w"]


def test_a_stale_suspicion_is_refuted_again():
    """Guards against suspicions that keep circulating in a healthy domain.

    This happens if a member ignores a suspicion with a lower sequence than its own,
    because the peers that hold the suspicion then never receive its refutation.
    """
    node = make_node("a")
    peer = HostKey("b", 1)
    for probe, sequence in ((1, 7), (2, 3)):
        for _ in range(40):
            node.step(float(probe), [PeerReceived(peer, Ping(0, -1, ()))])
        suspicion = (("a", 1, f"suspect.{sequence}", "lhr-a", ""),)
        commands = node.step(
            float(probe), [PeerReceived(peer, Ping(probe, -1, suspicion))]
        )
        (ack,) = [c.message for c in commands if isinstance(c, SendPeer)]
        assert ("a", 1, "alive.8", "lhr-a", "") in ack.updates
