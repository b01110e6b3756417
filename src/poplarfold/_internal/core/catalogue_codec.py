"""JSON encoding of ``catalogue`` log records and catalogue snapshots."""

import json
from typing import Any, NamedTuple, TypeGuard

from result import Err, Ok, Result

from poplarfold._internal.core.entry_codec import entry_fields, entry_from_fields
from poplarfold._internal.core.model import CatalogueEntry
from poplarfold._internal.exceptions import (
    CheckpointError,
    EntryInvalidError,
    PoplarfoldError,
)
from poplarfold._internal.utils.json_documents import parse_json

__all__ = [
    "CatalogueSnapshot",
    "Change",
    "decode_change",
    "decode_state",
    "encode_change",
    "encode_state",
]

FORMAT_VERSION = 1


class Change(NamedTuple):
    """One proposed change to an entry.

    ``base`` is the revision that the change amends, or -1 for a new entry.
    """

    base: int
    operator: str
    entry: CatalogueEntry


class CatalogueSnapshot(NamedTuple):
    """A snapshot of the entries whose revision is above ``above_revision``.

    It includes all log records below ``offset``. Entries are retired, never
    removed, so it contains every entry that changed since
    ``above_revision``.
    """

    offset: int
    above_revision: int
    entries: tuple[CatalogueEntry, ...]


def encode_change(change: Change) -> bytes:
    """Encode a change as the data of a log record."""
    fields = {
        "v": FORMAT_VERSION,
        "base": change.base,
        "operator": change.operator,
        "entry": entry_fields(change.entry),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_change(data: bytes) -> Result[Change, PoplarfoldError]:
    """Decode a change from the data of a log record."""
    try:
        fields = parse_json(data)
    except ValueError as error:
        return Err(EntryInvalidError(f"the record is not valid JSON: {error}"))
    if not isinstance(fields, dict) or fields.get("v") != FORMAT_VERSION:
        return Err(
            EntryInvalidError("v: unsupported format version of a catalogue record")
        )
    base = fields.get("base")
    operator = fields.get("operator")
    if not is_integer(base) or not isinstance(operator, str):
        return Err(EntryInvalidError("base must be an integer and operator a string"))
    entry = entry_from_fields(fields.get("entry"))
    if isinstance(entry, Err):
        return entry
    return Ok(Change(base, operator, entry.ok_value))


def encode_state(body: CatalogueSnapshot) -> bytes:
    """Encode a catalogue snapshot as JSON."""
    fields = {
        "v": FORMAT_VERSION,
        "offset": body.offset,
        "above": body.above_revision,
        "entries": [
            {"revision": entry.revision, "entry": entry_fields(entry)}
            for entry in body.entries
        ],
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_state(data: bytes) -> Result[CatalogueSnapshot, CheckpointError]:
    """Decode a catalogue snapshot from a peer or a checkpoint."""
    try:
        fields: Any = parse_json(data)
    except ValueError as error:
        return Err(CheckpointError(f"the catalogue is not valid JSON: {error}"))
    if not isinstance(fields, dict) or fields.get("v") != FORMAT_VERSION:
        return Err(CheckpointError("v: unsupported format version of a catalogue"))
    offset, above, rows = (fields.get(key) for key in ("offset", "above", "entries"))
    if not is_integer(offset) or not is_integer(above) or not isinstance(rows, list):
        return Err(CheckpointError("offset, above or entries has the wrong type"))
    entries = []
    for row in rows:
        revision = row.get("revision") if isinstance(row, dict) else None
        if not is_integer(revision) or not above < revision < offset:
            return Err(
                CheckpointError(
                    "revision: must be greater than above and less than offset"
                )
            )
        entry = entry_from_fields(row.get("entry"))
        if isinstance(entry, Err):
            return Err(CheckpointError(str(entry.err_value)))
        entries.append(entry.ok_value._replace(revision=revision))
    return Ok(CatalogueSnapshot(offset, above, tuple(entries)))


def is_integer(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)
