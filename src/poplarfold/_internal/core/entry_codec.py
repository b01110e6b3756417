"""JSON encoding of catalogue entries.

The decoder rejects unknown fields, so that a misspelt field is an error instead
of a silent default. Every error names the field.

    >>> decode_entry(b'{"name": "captions"}').unwrap_err().code
    'invalid_entry'
"""

import json
import math
import re
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NoReturn, TypeVar

from result import Err, Ok, Result

from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EntryKind,
    EntryLimits,
    Identity,
    LatencyTargets,
)
from poplarfold._internal.exceptions import EntryInvalidError
from poplarfold._internal.utils.json_documents import parse_json

__all__ = ["decode_entry", "encode_entry", "entry_fields", "entry_from_fields"]

ENTRY_MAX_BYTES = 65_536
TEXT_MAX_CHARS = 256
ACCOUNTS_MAX = 5_000
# Up to this integer, JSON parsers that use doubles represent all integers exactly.
INTEGER_MAX = 2**53 - 1
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

FIELDS = {
    "name",
    "kind",
    "owner",
    "service",
    "version",
    "class",
    "targets",
    "limits",
    "accounts",
    "cost_per_call",
    "cost_per_kilotoken",
    "retired",
}
TARGET_FIELDS = {"first_output_s", "between_outputs_s"}
LIMIT_FIELDS = set(EntryLimits._fields)

E = TypeVar("E", bound=StrEnum)


def decode_entry(data: bytes) -> Result[CatalogueEntry, EntryInvalidError]:
    """Decode an entry submitted by an operator. Its revision is not set."""
    if len(data) > ENTRY_MAX_BYTES:
        return Err(EntryInvalidError(f"the entry is over {ENTRY_MAX_BYTES} bytes"))
    try:
        fields = parse_json(data)
    except ValueError as error:
        return Err(EntryInvalidError(f"the entry is not valid JSON: {error}"))
    return entry_from_fields(fields)


def entry_from_fields(fields: object) -> Result[CatalogueEntry, EntryInvalidError]:
    """Build an entry from decoded JSON. Its revision is not set."""
    try:
        return Ok(build_entry(fields))
    except EntryInvalidError as error:
        return Err(error)


def entry_fields(entry: CatalogueEntry) -> dict[str, Any]:
    """Return the JSON fields of an entry, without its revision."""
    return {
        "name": entry.name,
        "kind": entry.kind.value,
        "owner": entry.identity.owner,
        "service": entry.identity.service,
        "version": entry.identity.version,
        "class": entry.call_class.value,
        "targets": entry.targets._asdict(),
        "limits": entry.limits._asdict(),
        "accounts": list(entry.accounts),
        "cost_per_call": entry.cost_per_call,
        "cost_per_kilotoken": entry.cost_per_kilotoken,
        "retired": entry.retired,
    }


def encode_entry(entry: CatalogueEntry) -> bytes:
    """Encode an entry as JSON that ``decode_entry`` accepts."""
    return json.dumps(entry_fields(entry), separators=(",", ":")).encode()


def build_entry(fields: object) -> CatalogueEntry:
    table = read_object(fields, "entry", FIELDS)
    kind = read_choice(table, "kind", EntryKind)
    call_class = read_choice(table, "class", CallClass)
    if kind is EntryKind.MODEL and call_class is CallClass.NON_REPEATABLE:
        fail("class", "must not be 'non_repeatable' for a model entry")
    name = read_text(table, "name")
    if not NAME_PATTERN.fullmatch(name):
        fail("name", "must consist of letters, digits, '.', '_' and '-'")
    targets = read_object(table.get("targets", {}), "targets", TARGET_FIELDS)
    limits = read_object(table.get("limits", {}), "limits", LIMIT_FIELDS)
    retired = table.get("retired", False)
    if not isinstance(retired, bool):
        fail("retired", "must be true or false")
    return CatalogueEntry(
        name=name,
        kind=kind,
        identity=Identity(
            read_text(table, "owner"),
            read_text(table, "service"),
            read_text(table, "version"),
        ),
        call_class=call_class,
        targets=LatencyTargets(
            read_seconds(targets, "first_output_s"),
            read_seconds(targets, "between_outputs_s"),
        ),
        limits=EntryLimits(
            **{
                field: read_integer(limits, field, f"limits.{field}")
                for field in EntryLimits._fields
            }
        ),
        accounts=read_accounts(table.get("accounts", [])),
        cost_per_call=read_integer(table, "cost_per_call", "cost_per_call"),
        cost_per_kilotoken=read_integer(
            table, "cost_per_kilotoken", "cost_per_kilotoken"
        ),
        retired=retired,
    )


def fail(field: str, problem: str) -> NoReturn:
    raise EntryInvalidError(f"{field}: {problem}")


def read_object(value: object, field: str, known: set[str]) -> dict[str, Any]:
    if not isinstance(value, dict):
        fail(field, "must be an object")
    for key in value:
        if key not in known:
            fail(f"{field}.{key}" if field != "entry" else key, "unknown field")
    return value


def read_text(table: dict[str, Any], field: str) -> str:
    value = table.get(field)
    if not isinstance(value, str) or not value:
        fail(field, "must be a non-empty string")
    if len(value) > TEXT_MAX_CHARS:
        fail(field, f"must be at most {TEXT_MAX_CHARS} characters")
    # Identities are sent in HTTP headers, which must be printable ASCII.
    if not value.isascii() or not value.isprintable():
        fail(field, "must be printable ASCII")
    return value


def read_choice(table: dict[str, Any], field: str, choices: Callable[[str], E]) -> E:
    value = table.get(field)
    try:
        return choices(value)  # type: ignore[arg-type]
    except ValueError:
        names = ", ".join(choice.value for choice in choices)  # type: ignore[attr-defined]
        fail(field, f"must be one of {names}")


def read_seconds(table: dict[str, Any], field: str) -> float:
    value = table.get(field)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value <= 86_400 or not math.isfinite(value):  # type: ignore[operator, arg-type]
        fail(f"targets.{field}", "must be a number of seconds above 0, up to a day")
    return float(value)  # type: ignore[arg-type]


def read_integer(table: dict[str, Any], field: str, label: str) -> int:
    value = table.get(field, 0)
    if not isinstance(value, int) or isinstance(value, bool):
        fail(label, "must be an integer")
    if not 0 <= value <= INTEGER_MAX:
        fail(label, f"must be from 0 to {INTEGER_MAX}")
    return value


def read_accounts(value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > ACCOUNTS_MAX:
        fail("accounts", f"must be a list of at most {ACCOUNTS_MAX} account names")
    for index, account in enumerate(value):
        if not isinstance(account, str) or not 0 < len(account) <= TEXT_MAX_CHARS:
            fail(f"accounts[{index}]", "must be a non-empty string")
    return tuple(value)
