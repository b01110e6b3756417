"""Queues of the calls that wait at a cell owner."""

from poplarfold._internal.core.model import CallClass, CatalogueEntry, EntryKind
from poplarfold._internal.core.systems.cell_state import (
    AdmissionState,
    PatientQueueKey,
    WaitRow,
)

__all__ = [
    "drop_waiting",
    "queue_for",
    "update_backlog",
]


def is_patient(entry: CatalogueEntry) -> bool:
    """Return whether calls of an entry are queued by account, not by deadline."""
    return entry.kind is EntryKind.MODEL and entry.call_class is CallClass.PATIENT


def patient_queue_key(row: WaitRow) -> PatientQueueKey:
    """Return the key of the queue of a patient call."""
    return row.entry.identity, row.request.account


def queue_for(part: AdmissionState, row: WaitRow) -> dict[tuple[str, str], None]:
    """Return the queue that a waiting call belongs to."""
    if is_patient(row.entry):
        queues = part.patient_queues.setdefault(row.cell, {})
        return queues.setdefault(patient_queue_key(row), {})
    return part.deadline_queues.setdefault(row.cell, {})


def drop_waiting(part: AdmissionState, key: tuple[str, str]) -> None:
    """Remove a waiting call from the table and from its queue."""
    row = part.waiting.pop(key, None)
    if row is not None:
        queue = queue_for(part, row)
        queue.pop(key, None)
        if not queue and is_patient(row.entry):
            del part.patient_queues[row.cell][patient_queue_key(row)]
        update_backlog(part, row, -1)


def update_backlog(part: AdmissionState, row: WaitRow, sign: int) -> None:
    """Add a waiting call to the backlog of its cell, or subtract it (``sign`` -1)."""
    if row.request.may_wait:
        key = (row.cell, row.entry.identity)
        tokens, outputs = part.backlog.get(key, (0, 0))
        part.backlog[key] = (
            tokens + sign * row.request.prompt_tokens,
            outputs + sign * row.request.max_outputs,
        )
