"""The owner of a cell: grants, denials, queues and leases, without sockets."""

import pytest

from poplarfold._internal.core.commands import CancelWork, SendPeer
from poplarfold._internal.core.events import (
    CallArrived,
    EndpointReported,
    HostListReceived,
    HostListRow,
    MemberDeclaredDead,
    PeerReceived,
    WorkItem,
)
from poplarfold._internal.core.messages import (
    LeaseProgress,
    LeaseReleased,
    LeasesHeld,
    PlaceDenied,
    PlaceGranted,
    PlaceWanted,
    PlaceWithdrawn,
)
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRef,
    EndpointRole,
    EntryKind,
    EntryLimits,
    HostKey,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import (
    DECISION_SYSTEMS,
    calls,
)
from poplarfold._internal.core.systems.admission import AdmissionState
from poplarfold._internal.settings import DomainSettings, NodeSettings

LLM = Identity("studio", "llm", "v1")
OTHER = Identity("stranger", "llm", "v1")
PEER = HostKey("other", 5)


def entry(name, call_class=CallClass.INTERACTIVE, kind=EntryKind.MODEL, first=0.46):
    return CatalogueEntry(
        name, kind, LLM, call_class, LatencyTargets(first, 0.029), EntryLimits()
    )


def report(address, role, **changes):
    fields = dict(
        address=address,
        incarnation=1,
        identity=LLM,
        role=role,
        slots=2 if role is not EndpointRole.PREFILL else 8,
        busy=0,
        queued_tokens=0,
        pieces_total=2000,
        pieces_free=2000,
        leaving=False,
        rejects_stale_fencing=True,
        knows_operations=False,
        work=(),
        cache_seq=0,
    )
    return EndpointReported(**{**fields, **changes})


def listed(*addresses, leaving=()):
    rows = [
        HostListRow(a, a, "endpoint", "west-a", "llm", a in leaving) for a in addresses
    ]
    return HostListReceived(1, tuple(rows))


@pytest.fixture
def node():
    settings = NodeSettings("me", "west-a", (DomainSettings("west-a", "west", 2),))
    node = Node(settings._replace(strict_invariants=True), 1, 7, DECISION_SYSTEMS)
    node.state.catalogue_ready = True
    for row in (
        entry("captions"),
        entry("abstracts", CallClass.PATIENT, first=30.0),
        entry("lookups", kind=EntryKind.SERVICE),
        entry("filings", CallClass.NON_REPEATABLE, EntryKind.SERVICE),
    ):
        node.state.entries.put(row.name, row)
    node.step(0.0, [listed("p", "d")])
    node.step(
        0.1, [report("p", EndpointRole.PREFILL), report("d", EndpointRole.DECODE)]
    )
    # A new node owns cells only some time after its first host list.
    node.step(0.7, [])
    return node


def wanted(call_id, entry="captions", **changes):
    fields = dict(
        call_id=call_id,
        entry=entry,
        account="a",
        prompt_tokens=2000,
        prompt_bytes=8000,
        prefixes=(),
        max_outputs=50,
        wait_s=30.0,
        waited_s=0.0,
        excluded=(),
        is_retry=False,
    )
    return PeerReceived(PEER, PlaceWanted(**{**fields, **changes}))


def answers(commands):
    return [c.message for c in commands if isinstance(c, SendPeer)]


def grants(commands):
    return [m for m in answers(commands) if isinstance(m, PlaceGranted)]


def free_prefill(node, now, grant):
    node.step(now, [PeerReceived(PEER, LeaseProgress(grant.lease_id, 0.05))])


def test_a_repeated_request_gets_the_same_grant(node):
    """Guards against two leases for one call whose first grant was lost."""
    (first,) = grants(node.step(1.0, [wanted("c", ask=3)]))
    (again,) = grants(node.step(1.1, [wanted("c", ask=3)]))
    assert again.lease_id == first.lease_id
    (next_one,) = grants(node.step(1.3, [wanted("c", ask=4)]))
    assert next_one.lease_id != first.lease_id
    assert list(node.state.part(AdmissionState).leases) == [next_one.lease_id]


def test_only_the_pinned_identity_is_granted(node):
    """Guards against grants on an endpoint of another owner with the same name."""
    for address, role in (("p", EndpointRole.PREFILL), ("d", EndpointRole.DECODE)):
        node.step(0.2, [report(address, role, identity=OTHER)])
    (denied,) = answers(node.step(1.0, [wanted("c")]))
    assert denied.code == "no_endpoint"


def test_a_call_that_cannot_meet_its_target_is_rejected_at_once(node):
    """Guards against prefill work whose result comes too late.

    A prompt that even an idle engine cannot answer in time can never be served, so
    the caller must not be told to retry.
    """
    (denied,) = answers(node.step(1.0, [wanted("c", prompt_tokens=30_000)]))
    assert denied.code == "target_unattainable"
    (late,) = answers(node.step(1.1, [wanted("d", waited_s=0.45)]))
    assert late.code == "overloaded"


def test_slots_are_never_granted_twice(node):
    """Guards against a prefill for which no decode slot is free."""
    for number in range(2):
        (grant,) = grants(node.step(1.0 + number / 5, [wanted(f"c{number}")]))
        free_prefill(node, 1.1 + number / 5, grant)
    (busy,) = answers(node.step(2.0, [wanted("c2", may_wait=False)]))
    assert busy.code == "busy"
    queue = answers(node.step(2.1, [wanted("c3", "abstracts")]))
    assert [message.code for message in queue] == ["queued"]
    released = LeaseReleased(grant.lease_id, "", "", 0.02)
    (waited,) = grants(node.step(2.2, [PeerReceived(PEER, released)]))
    assert waited.call_id == "c3"


def test_patient_calls_of_accounts_take_turns(node):
    """Guards against an account that starves the others with many calls."""
    held = []
    for number in range(2):
        held += grants(node.step(1.0 + number / 5, [wanted(f"h{number}")]))
        free_prefill(node, 1.1 + number / 5, held[-1])
    for number in range(3):
        node.step(2.0, [wanted(f"big{number}", "abstracts", account="big")])
    node.step(2.1, [wanted("small", "abstracts", account="small")])
    served = []
    for number in range(3):
        release = LeaseReleased(held.pop(0).lease_id, "", "", 0.02)
        (grant,) = grants(node.step(2.2 + number / 5, [PeerReceived(PEER, release)]))
        free_prefill(node, 2.3 + number / 5, grant)
        held.append(grant)
        served.append(grant.call_id)
    assert served[:2] == ["big0", "small"]


def test_non_repeatable_calls_leave_slots_to_repeatable_calls(node):
    """Guards against repeatable calls that wait behind non-repeatable calls."""
    node.step(0.2, [listed("p", "d", "s")])
    node.step(0.3, [report("s", EndpointRole.SERVICE, slots=4)])
    for number in range(3):
        assert grants(node.step(1.0, [wanted(f"f{number}", "filings")]))
    denied = answers(node.step(1.1, [wanted("f3", "filings", may_wait=False)]))
    assert [message.code for message in denied] == ["busy"]
    assert grants(node.step(1.2, [wanted("l", "lookups")]))


def test_a_lease_without_reported_work_is_reclaimed(node):
    """Guards against a slot that stays leased after a lost release message.

    A lease whose work is still in the endpoint's reports must not be reclaimed.
    """
    (grant,) = grants(node.step(1.0, [wanted("c")]))
    attempt = calls.attempt_of_lease(grant.lease_id)
    leases = node.state.part(AdmissionState).leases
    shown = (WorkItem(attempt, PEER, "decoding"),)
    for tick in range(20):
        node.step(
            2.0 + tick * 0.25, [report("d", EndpointRole.DECODE, work=shown, busy=1)]
        )
    assert grant.lease_id in leases
    for tick in range(6):
        node.step(8.0 + tick * 0.25, [report("d", EndpointRole.DECODE)])
    assert grant.lease_id not in leases


def test_a_new_owner_counts_the_leases_that_nodes_hold(node):
    """Guards against a new cell owner that takes a full engine for an idle one.

    It does not know the leases of the previous owner until their holders report them.
    """
    held = tuple((f"l-old-{n}", f"c{n}", "d", 1) for n in range(2))
    node.step(1.0, [PeerReceived(PEER, LeasesHeld(held))])
    (busy,) = answers(node.step(1.1, [wanted("c", may_wait=False)]))
    assert busy.code == "busy"


def test_a_withdrawn_call_is_not_granted(node):
    """Guards against a lease for a caller that has disconnected."""
    (grant,) = grants(node.step(1.0, [wanted("c", ask=2)]))
    node.step(1.1, [PeerReceived(PEER, PlaceWithdrawn("c", 2))])
    assert not node.state.part(AdmissionState).leases
    # The withdrawal of an earlier request does not release a later grant.
    (grant,) = grants(node.step(1.2, [wanted("c", ask=4)]))
    node.step(1.3, [PeerReceived(PEER, PlaceWithdrawn("c", 3))])
    assert grant.lease_id in node.state.part(AdmissionState).leases


def test_work_of_a_dead_node_is_cancelled(node):
    """Guards against engine memory that stays held for a crashed node."""
    (grant,) = grants(node.step(1.0, [wanted("c")]))
    commands = node.step(2.0, [MemberDeclaredDead(PEER)]) + node.step(2.1, [])
    cancelled = {c.address for c in commands if isinstance(c, CancelWork)}
    assert cancelled == {"p", "d"}
    assert grant.lease_id not in node.state.part(AdmissionState).leases


@pytest.mark.parametrize("sign", ["host list", "report", "refusal"])
def test_a_leaving_endpoint_gets_no_grants(node, sign):
    """Guards against grants on an endpoint after the first sign that it leaves."""
    if sign == "host list":
        node.step(1.0, [listed("p", "d", leaving=("d",))])
    elif sign == "report":
        node.step(1.0, [report("d", EndpointRole.DECODE, leaving=True)])
    else:
        (grant,) = grants(node.step(0.9, [wanted("first")]))
        refused = LeaseReleased(grant.lease_id, "endpoint_refused", "d", 0.0)
        node.step(1.0, [PeerReceived(PEER, refused)])
    (denied,) = answers(node.step(1.1, [wanted("c", may_wait=False)]))
    assert isinstance(denied, PlaceDenied)


def test_a_restarted_endpoint_starts_without_leases(node):
    """Guards against leases and failures that pass on to a restarted process."""
    grants(node.step(1.0, [wanted("c")]))
    node.step(2.0, [report("d", EndpointRole.DECODE, incarnation=2)])
    assert not node.state.part(AdmissionState).leases
    node.step(2.1, [report("d", EndpointRole.DECODE, incarnation=1)])
    (grant,) = grants(node.step(3.0, [wanted("e")]))
    assert grant.decode.incarnation == 2


def test_an_unresponsive_owner_is_skipped():
    """Guards against calls that each wait for an owner cut off by a partition."""
    domains = (DomainSettings("west-a", "west", 1), DomainSettings("west-b", "west", 1))
    node = Node(NodeSettings("me", "west-a", domains), 1, 7, DECISION_SYSTEMS)
    node.state.catalogue_ready = True
    node.state.entries.put("captions", entry("captions"))
    rows = (
        HostListRow("far", "far", "entry", "west-b", "", False),
        HostListRow("x", "x", "endpoint", "west-b", "llm", False),
    )
    node.step(0.0, [HostListReceived(1, rows)])
    asked = 0
    for tick in range(40):
        now = 0.1 + tick * 0.05
        inbox = [arrival(f"c{tick}", now)] if tick % 8 == 0 else []
        asked += sum(isinstance(m, PlaceWanted) for m in answers(node.step(now, inbox)))
    assert asked == 1


def test_a_grant_for_an_ended_call_is_released(node):
    """Guards against a lease that stays held if its call ends before the grant."""
    ref = EndpointRef("d", 1)
    grant = PlaceGranted("gone", "l-x", ref, ref, 0.0, 0, 9)
    (released,) = answers(node.step(1.0, [PeerReceived(PEER, grant)]))
    assert released == LeaseReleased("l-x", "unused", "", 0.0)


def arrival(call_id, now):
    return CallArrived(call_id, "a", "captions", True, 1000, 4000, (), 10, now + 30.0)
