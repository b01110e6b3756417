"""The life cycle of a call in the core, without sockets."""

import pytest

from poplarfold._internal.core.commands import AbortAttempt, CancelWork, FinishCall
from poplarfold._internal.core.events import (
    CallArrived,
    CallerDisconnected,
    CallPlaced,
    CancelConfirmed,
)
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRef,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
    Placement,
)
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import calls
from poplarfold._internal.settings import DomainSettings, NodeSettings

ENTRY = CatalogueEntry(
    name="captions",
    kind=EntryKind.MODEL,
    identity=Identity("studio", "design-llm", "sha256:1"),
    call_class=CallClass.INTERACTIVE,
    targets=LatencyTargets(0.46, 0.029),
    limits=EntryLimits(),
)
PLACEMENT = Placement(
    EndpointRef("127.0.0.1:2", 1), EndpointRef("127.0.0.1:1", 1), "l-1", 0.0, 0
)


@pytest.fixture
def node():
    settings = NodeSettings(
        "g1", "galway-a", (DomainSettings("galway-a", "west", 1),)
    )._replace(strict_invariants=True)
    node = Node(settings, incarnation=1, seed=1, systems=(calls,))
    node.state.entries.put("captions", ENTRY)
    node.state.catalogue_ready = True
    return node


def arrival(entry="captions", is_model_call=True):
    return CallArrived(
        call_id="c-1",
        account="studio",
        entry=entry,
        is_model_call=is_model_call,
        prompt_tokens=100,
        prompt_bytes=400,
        prefixes=(),
        max_outputs=10,
        deadline=30.0,
    )


def test_cancel_is_repeated_until_each_engine_confirms(node):
    """Guards against engine memory that stays held after a lost cancel request."""
    node.step(0.0, [arrival(), CallPlaced("c-1", PLACEMENT)])
    (attempt_id,) = node.state.attempts
    commands = node.step(1.0, [CallerDisconnected("c-1")])
    assert AbortAttempt(attempt_id) in commands
    assert {c.address for c in commands if isinstance(c, CancelWork)} == {
        "127.0.0.1:1",
        "127.0.0.1:2",
    }
    again = node.step(1.5, [CancelConfirmed(attempt_id, "127.0.0.1:1")])
    assert again[0] == CancelWork(attempt_id, "127.0.0.1:2") or any(
        c == CancelWork(attempt_id, "127.0.0.1:2") for c in again
    )
    node.step(2.0, [CancelConfirmed(attempt_id, "127.0.0.1:2")])
    assert not node.state.cancels


@pytest.mark.parametrize(
    ("call", "code"),
    [
        (arrival(entry="unknown"), "entry_not_found"),
        (arrival(is_model_call=False), "wrong_entry_kind"),
    ],
)
def test_a_call_to_a_wrong_entry_gets_a_typed_error(node, call, code):
    """Guards against a call that reaches an entry other than the one it named."""
    commands = node.step(0.0, [call])
    (finish,) = [c for c in commands if isinstance(c, FinishCall)]
    assert finish.error.code == code
