"""The plan of a cell: the order in which its waiting calls are granted or refused."""

from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.model import EntryKind, Identity
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.cell_answers import refuse
from poplarfold._internal.core.systems.cell_pools import Pool, pool_for
from poplarfold._internal.core.systems.cell_queues import drop_waiting
from poplarfold._internal.core.systems.cell_state import AdmissionState, FairClock
from poplarfold._internal.core.systems.model_plans import order_of, plan_model
from poplarfold._internal.core.systems.service_plans import plan_service
from poplarfold._internal.exceptions import DeadlineExceededError

__all__ = [
    "plan_cell",
]

# A waiting call whose node is silent for this long is dropped.
HOLDER_SILENT_S = 3.5


def plan_cell(state: NodeState, now: float, cell: Cell) -> None:
    """Grant, keep or refuse each waiting call of a cell."""
    part = state.part(AdmissionState)
    part.dirty.pop(cell, None)
    part.wake_at.pop(cell, None)
    pools: dict[Identity, Pool] = {}
    wakes: list[float] = []
    urgent: list[tuple[float, int, tuple[str, str]]] = []
    for number, key in enumerate(list(part.urgent.get(cell, ()))):
        if is_waiting_still(state, now, key, pools):
            urgent.append((part.waiting[key].first_by, number, key))
    by_deadline = [key for _, _, key in sorted(urgent)]
    for key in order_of(part, now, by_deadline, pools):
        row = part.waiting[key]
        pool = pools[row.entry.identity]
        if row.entry.kind is EntryKind.SERVICE:
            wake = plan_service(state, now, key, row, pool)
        else:
            wake = plan_model(state, now, key, row, pool)
        if wake is not None:
            wakes.append(wake)
    wakes.extend(plan_patient(state, now, cell, pools))
    if wakes:
        part.wake_at[cell] = max(min(wakes), now + 0.001)


def is_waiting_still(
    state: NodeState, now: float, key: tuple[str, str], pools: dict[Identity, Pool]
) -> bool:
    """Drop a call that is out of time or whose node is silent.

    The endpoints for the others are put into ``pools``.
    """
    part = state.part(AdmissionState)
    row = part.waiting[key]
    if row.holder != state.me and now - row.heard_at > HOLDER_SILENT_S:
        drop_waiting(part, key)
        return False
    if now >= row.deadline:
        refuse(state, now, key, DeadlineExceededError.code, "deadline passed")
        return False
    identity = row.entry.identity
    if identity not in pools:
        pools[identity] = pool_for(state, now, row.cell, identity)
    return True


def plan_patient(
    state: NodeState, now: float, cell: Cell, pools: dict[Identity, Pool]
) -> list[float]:
    """Serve the accounts in turn until the engines of each identity are in use.

    Only the first call of each account is looked at, so that a long queue costs
    no more than a short one. Returns when to look again.
    """
    part = state.part(AdmissionState)
    fair = part.fair.setdefault(cell, FairClock())
    queues = part.patient.get(cell, {})
    wakes: dict[Identity, float] = {}
    while True:
        open_queues = [name for name in queues if name[0] not in wakes]
        if not open_queues:
            return list(wakes.values())
        name = min(open_queues, key=lambda q: (fair.start_of(q[1]), q[1]))
        key = next(iter(queues[name]))
        if not is_waiting_still(state, now, key, pools):
            continue
        # Later patient calls must not overtake the one that waits.
        wake = plan_model(state, now, key, part.waiting[key], pools[name[0]])
        if wake is not None:
            wakes[name[0]] = wake
