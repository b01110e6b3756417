"""Queues of the calls that wait at a cell's owner."""

from poplarfold._internal.core.model import CallClass, CatalogueEntry, EntryKind
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    PatientQueue,
    WaitRow,
)

__all__ = [
    "count_backlog",
    "drop_waiting",
    "queue_of",
]


def is_patient(entry: CatalogueEntry) -> bool:
    """Return whether calls of an entry wait by account and not by deadline."""
    return entry.kind is EntryKind.MODEL and entry.call_class is CallClass.PATIENT


def patient_queue(row: WaitRow) -> PatientQueue:
    """Return the name of the queue of a patient call."""
    return row.entry.identity, row.request.account


def queue_of(part: AdmissionState, row: WaitRow) -> dict[tuple[str, str], None]:
    """Return the queue that a waiting call belongs to."""
    if is_patient(row.entry):
        queues = part.patient.setdefault(row.cell, {})
        return queues.setdefault(patient_queue(row), {})
    return part.urgent.setdefault(row.cell, {})


def drop_waiting(part: AdmissionState, key: tuple[str, str]) -> None:
    """Forget a waiting call."""
    row = part.waiting.pop(key, None)
    if row is not None:
        queue = queue_of(part, row)
        queue.pop(key, None)
        if not queue and is_patient(row.entry):
            del part.patient[row.cell][patient_queue(row)]
        count_backlog(part, row, -1)


def count_backlog(part: AdmissionState, row: WaitRow, sign: int) -> None:
    """Add a waiting call to the sums of its cell, or take it from them."""
    if row.request.may_wait:
        key = (row.cell, row.entry.identity)
        tokens, outputs = part.backlog.get(key, (0, 0))
        part.backlog[key] = (
            tokens + sign * row.request.prompt_tokens,
            outputs + sign * row.request.max_outputs,
        )
