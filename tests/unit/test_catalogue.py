"""The catalogue fold, driven through the core with an in-memory log."""

import json

import pytest

from poplarfold._internal.core.catalogue_codec import (
    CatalogueSnapshot,
    Change,
    encode_change,
    encode_state,
)
from poplarfold._internal.core.commands import AnswerOperator, AppendLog
from poplarfold._internal.core.entry_codec import decode_entry
from poplarfold._internal.core.events import (
    Checkpoint,
    CheckpointsRead,
    EntryProposed,
    LogAppendFailed,
    LogReadCompleted,
    LogReadFailed,
    LogRecord,
    PeerReceived,
)
from poplarfold._internal.core.messages import CatalogueState
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.systems import calls, catalogue, membership
from poplarfold._internal.settings import DomainSettings, NodeSettings

FIELDS = {
    "name": "captions",
    "kind": "model",
    "owner": "studio",
    "service": "design-llm",
    "version": "sha256:1",
    "class": "interactive",
    "targets": {"first_output_s": 0.46, "between_outputs_s": 0.029},
}


def entry_json(**changes):
    return json.dumps(FIELDS | changes).encode()


def record(offset, base, record_id="r", **changes):
    entry = decode_entry(entry_json(**changes)).unwrap()
    return LogRecord(offset, record_id, encode_change(Change(base, "op", entry)))


def read(start, *records):
    return LogReadCompleted("catalogue", start, 0, start + len(records), records)


@pytest.fixture
def node():
    settings = NodeSettings("g1", "galway-a", (DomainSettings("galway-a", "west", 1),))
    node = Node(
        settings._replace(strict_invariants=True),
        incarnation=1,
        seed=1,
        systems=(calls, membership, catalogue),
    )
    node.step(0.0, [CheckpointsRead(None, None)])
    return node


def test_a_lost_race_is_a_conflict_with_the_current_entry(node):
    """Guards against an amendment that silently overwrites another operator's."""
    node.step(0.0, [read(0, record(0, -1))])
    assert node.state.catalogue_ready
    commands = node.step(1.0, [EntryProposed("q", "op", 0, entry_json(version="mine"))])
    (append,) = [c for c in commands if isinstance(c, AppendLog)]
    mine = LogRecord(2, append.record_id, append.data)
    commands = node.step(2.0, [read(1, record(1, 0, version="theirs"), mine)])
    (answer,) = [c for c in commands if isinstance(c, AnswerOperator)]
    assert answer.error.code == "revision_conflict"
    assert json.loads(answer.body)["entry"]["version"] == "theirs"
    assert node.state.entries["captions"].revision == 1


def test_an_append_with_a_lost_response_is_resolved_by_reading(node):
    """Guards against reporting a failure for a change that has taken effect."""
    node.step(0.0, [read(0)])
    commands = node.step(1.0, [EntryProposed("q", "op", -1, entry_json())])
    (append,) = [c for c in commands if isinstance(c, AppendLog)]
    commands = node.step(1.1, [LogAppendFailed("catalogue", append.record_id, True)])
    assert not [c for c in commands if isinstance(c, AnswerOperator)]
    commands = node.step(1.2, [read(0, LogRecord(0, append.record_id, append.data))])
    (answer,) = [c for c in commands if isinstance(c, AnswerOperator)]
    assert answer.error is None and json.loads(answer.body)["revision"] == 0


def test_records_after_a_gap_are_not_folded(node):
    """Guards against catalogues that differ because one node missed a record."""
    node.step(0.0, [read(0, record(0, -1))])
    node.step(
        1.0, [LogReadCompleted("catalogue", 1, 0, 3, (record(2, 0, version="late"),))]
    )
    assert node.state.entries["captions"].revision == 0


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"kind": "modle"}, "kind"),
        ({"limits": {"concurrency": -1}}, "limits.concurrency"),
        ({"limits": {"speed": 1}}, "limits.speed"),
        ({"targets": {"first_output_s": True}}, "targets.first_output_s"),
        ({"owner": "a\r\nb"}, "owner"),
        ({"acounts": []}, "acounts"),
    ],
)
def test_entry_errors_name_the_field(changes, field):
    """Guards against accepting an entry with a misspelt or wrongly typed field."""
    error = decode_entry(entry_json(**changes)).unwrap_err()
    assert str(error).startswith(f"{field}: ")


def test_a_checkpoint_as_new_as_the_peers_catalogue_is_enough():
    """Guards against a node that is never ready if the log fails during its start.

    The peer's answer then contains no entries, because the checkpoint has them all.
    """
    settings = NodeSettings("g1", "galway-a", (DomainSettings("galway-a", "west", 1),))
    node = Node(settings, 1, 1, systems=(calls, membership, catalogue))
    entry = decode_entry(entry_json()).unwrap()._replace(revision=4)
    body = encode_state(CatalogueSnapshot(7, -1, (entry,)))
    node.step(0.0, [CheckpointsRead(Checkpoint(7, (body,)), None)])
    node.step(0.1, [LogReadFailed("catalogue", 7, False, 0)])
    assert not node.state.catalogue_ready
    same = CatalogueState(7, encode_state(CatalogueSnapshot(7, 6, ())))
    node.step(0.2, [PeerReceived(HostKey("g2", 1), same)])
    node.step(3.0, [])
    assert node.state.catalogue_ready and node.state.entries["captions"].revision == 4
