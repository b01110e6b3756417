"""The plan of a cell: the order in which waiting calls are granted or rejected."""

from poplarfold._internal.core.cells import Cell
from poplarfold._internal.core.model import EntryKind, Identity
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems.cell_answers import reject
from poplarfold._internal.core.systems.cell_pools import Pool, pool_for
from poplarfold._internal.core.systems.cell_queues import drop_waiting
from poplarfold._internal.core.systems.cell_state import AdmissionState, FairQueueClock
from poplarfold._internal.core.systems.model_plans import plan_model, schedule_order
from poplarfold._internal.core.systems.service_plans import plan_service
from poplarfold._internal.exceptions import DeadlineExceededError

__all__ = [
    "plan_cell",
]

# A waiting call is dropped if its node sends nothing for this long.
HOLDER_TIMEOUT_S = 3.5


def plan_cell(state: NodeState, now: float, cell: Cell) -> None:
    """Grant, keep or reject each waiting call of a cell."""
    part = state.part(AdmissionState)
    part.dirty.pop(cell, None)
    part.wake_at.pop(cell, None)
    pools: dict[Identity, Pool] = {}
    wakeups: list[float] = []
    urgent: list[tuple[float, int, tuple[str, str]]] = []
    for number, key in enumerate(list(part.deadline_queues.get(cell, ()))):
        if check_waiting_call(state, now, key, pools):
            urgent.append((part.waiting[key].first_output_due, number, key))
    by_deadline = [key for _, _, key in sorted(urgent)]
    for key in schedule_order(part, now, by_deadline, pools):
        row = part.waiting[key]
        pool = pools[row.entry.identity]
        if row.entry.kind is EntryKind.SERVICE:
            wake = plan_service(state, now, key, row, pool)
        else:
            wake = plan_model(state, now, key, row, pool)
        if wake is not None:
            wakeups.append(wake)
    wakeups.extend(plan_patient(state, now, cell, pools))
    if wakeups:
        part.wake_at[cell] = max(min(wakeups), now + 0.001)


def check_waiting_call(
    state: NodeState, now: float, key: tuple[str, str], pools: dict[Identity, Pool]
) -> bool:
    """Return whether a call still waits, and drop it if it expired.

    A call expires at its deadline, or if its node does not respond. For a call
    that still waits, ``pools`` gets the endpoints of its identity.
    """
    part = state.part(AdmissionState)
    row = part.waiting[key]
    if row.holder != state.me and now - row.last_request_at > HOLDER_TIMEOUT_S:
        drop_waiting(part, key)
        return False
    if now >= row.deadline:
        reject(state, now, key, DeadlineExceededError.code, "deadline passed")
        return False
    identity = row.entry.identity
    if identity not in pools:
        pools[identity] = pool_for(state, now, row.cell, identity)
    return True


def plan_patient(
    state: NodeState, now: float, cell: Cell, pools: dict[Identity, Pool]
) -> list[float]:
    """Serve the accounts in turn until the engines of each identity are in use.

    Only the first call of each account is planned, so that a long queue costs no
    more than a short one. Returns when to plan again.
    """
    part = state.part(AdmissionState)
    fair = part.fair_clocks.setdefault(cell, FairQueueClock())
    queues = part.patient_queues.get(cell, {})
    wakeups: dict[Identity, float] = {}
    while True:
        open_queues = [queue_key for queue_key in queues if queue_key[0] not in wakeups]
        if not open_queues:
            return list(wakeups.values())
        queue_key = min(open_queues, key=lambda q: (fair.start_time(q[1]), q[1]))
        key = next(iter(queues[queue_key]))
        if not check_waiting_call(state, now, key, pools):
            continue
        # Later patient calls must not overtake a waiting one.
        wake = plan_model(state, now, key, part.waiting[key], pools[queue_key[0]])
        if wake is not None:
            wakeups[queue_key[0]] = wake
