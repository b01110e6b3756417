"""The promises, checked on what callers and endpoints have seen.

Each check takes the records of a run and notes what breaks its promise. A check
with a time bound leaves out nodes that an unplanned fault touched just before.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from tests.functional.gateway_soak.callers import WATCHER_ID
from tests.functional.gateway_soak.nodes import BOUNDS
from tests.functional.gateway_soak.records import (
    Arrival,
    Attempt,
    Records,
    total_events,
)

__all__ = ["CHECKS", "STABLE_S"]

# For so long after a fault, a node may still work on old knowledge.
STABLE_S = 3.0
LEAVING_S = BOUNDS["drain_ms"] / 1000
GONE_S = 0.5
BUDGET_WINDOW_S = float(BOUNDS["budget_window_s"])
NOT_RUN_STATUSES = {408, 421, 429, 503}
SERVICES = {"filing": "registry", "lookup": "registry", "caption": "llm"}


def check_at_most_once(records: Records) -> None:
    """A request that must not be repeated runs once at most."""
    kinds = {row.request_id: row.kind for row in records.attempts}
    runs = Counter(row.request_id for row in records.arrivals if row.ran)
    for request_id, count in runs.items():
        if kinds.get(request_id) == "filing" and count > 1:
            records.violate("at most once", f"{request_id} ran {count} times")


def check_true_refusals(records: Records) -> None:
    """A request that was refused as not run has not run and does not later."""
    runs = {row.request_id for row in records.arrivals if row.ran}
    for row in records.attempts:
        if row.status in NOT_RUN_STATUSES and row.request_id in runs:
            records.violate("true refusals", f"{row.request_id} got {row.status}")


def check_own_answers(records: Records) -> None:
    """A success is the request's own, and whole if it looks whole."""
    for row in records.attempts:
        if row.status != 200 or row.kind == "caption" or not row.is_whole:
            continue
        if row.body != f"answer for {row.request_id}".encode():
            records.violate("own answers", f"{row.request_id} got {row.body[:60]!r}")


def check_order(records: Records) -> None:
    """A stream has each event once, in order, and ends after its last one."""
    for row in records.attempts:
        if row.status != 200 or row.kind != "caption":
            continue
        events = row.body.split(b"\n\n")[:-1]
        wanted = [
            f"id: {number}\ndata: {row.request_id}".encode()
            for number in range(1, len(events) + 1)
        ]
        if events != wanted:
            records.violate("order", f"{row.request_id} got {row.body[:200]!r}")
        elif row.is_whole and len(events) != total_events(row.request_id):
            records.violate("order", f"{row.request_id} ended after {len(events)}")


def check_leaving(records: Records) -> None:
    """A leaving endpoint gets no work after the bound."""
    attempts = {row.request_id: row for row in records.attempts}
    for row in records.arrivals:
        left_at = records.leaving.get(row.endpoint)
        attempt = attempts.get(row.request_id)
        if left_at is None or attempt is None or row.at <= left_at + LEAVING_S:
            continue
        if not records.is_disturbed(left_at - STABLE_S, row.at, attempt.node):
            records.violate(
                "leaving", f"{row.endpoint} got work {row.at - left_at:.2f} s after"
            )


def check_gone(records: Records) -> None:
    """Work for callers that have left ends within half a second."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.request_id].append(arrival)
    late = counted = 0
    for row in records.attempts:
        ended_at = records.run_ends.get(row.request_id)
        if row.left_at is None or ended_at is None:
            continue
        bound = row.left_at + GONE_S
        if records.is_disturbed(row.sent_at - STABLE_S, bound, row.node):
            continue
        counted += 1
        later = any(found.at > bound for found in arrivals[row.request_id])
        late += ended_at > bound or later
    if late > 3 and late > counted / 4:
        records.violate("gone", f"{late} of {counted} were worked on too long")


def check_planned_stop(records: Records) -> None:
    """A planned stop or a reload cuts no request that was passed on."""
    passed_on = {row.request_id for row in records.arrivals}
    for span in records.spans:
        if not span.is_planned or span.kind not in ("stop", "reload"):
            continue
        for row in records.attempts:
            is_touched = row.node == span.where and row.ended_at >= span.start
            is_touched = is_touched and row.sent_at <= span.end
            is_cut = row.left_at is None and (row.status is None or not row.is_whole)
            if not (is_touched and is_cut and row.request_id in passed_on):
                continue
            start = min(row.sent_at, span.start) - STABLE_S
            if not records.is_disturbed(start, row.ended_at, row.node):
                records.violate("planned stop", f"{span.kind} cut {row.request_id}")


def check_time(records: Records) -> None:
    """An attempt is answered by the route's timeout."""
    late = [
        row
        for row in records.attempts
        if row.ended_at - row.sent_at > LIMITS_S[row.kind] + GONE_S
        and not records.is_disturbed(row.sent_at - STABLE_S, row.ended_at, row.node)
    ]
    if len(late) >= 8:
        records.violate("timeouts", f"{len(late)} requests, such as {late[0][:5]}")


LIMITS_S = {"filing": 1.5, "lookup": 1.5, "caption": 6.0}


def check_budget(records: Records) -> None:
    """All nodes together stay within the retry budget in each window."""
    for service in set(SERVICES.values()):
        extra = extra_arrivals(records, service)
        requests = sorted(
            row.sent_at for row in records.attempts if SERVICES[row.kind] == service
        )
        for first, start in enumerate(extra):
            end = start + BUDGET_WINDOW_S
            count = sum(at <= end for at in extra[first:])
            # Requests count in this window, the one before, or half way between.
            share = max(
                sum(start - back <= at <= end - back for at in requests)
                for back in (0.0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
            )
            allowed = BOUNDS["retry_budget_ratio"] * share + BOUNDS["budget_slack"]
            if count > allowed:
                records.violate(
                    "budget", f"{service}: {count} repeats, {allowed:.0f} allowed"
                )
                break


def extra_arrivals(records: Records, service: str) -> list[float]:
    """Return the times of arrivals beyond the first of each request."""
    seen: set[tuple[str, bool]] = set()
    extra = []
    for row in sorted(records.arrivals, key=lambda row: row.at):
        if row.service != service or row.request_id == WATCHER_ID:
            continue
        key = (row.request_id, row.is_prefill)
        if key in seen:
            extra.append(row.at)
        seen.add(key)
    return extra


def check_service(records: Records) -> None:
    """A run in which little is served would prove nothing."""
    answered: Counter[str] = Counter(
        row.kind for row in records.attempts if is_served(row)
    )
    asked = Counter(row.kind for row in records.attempts)
    for kind, count in asked.items():
        if answered[kind] < count / 4:
            records.violate("service", f"{answered[kind]} of {count} of {kind} served")


def is_served(row: Attempt) -> bool:
    """Return whether a caller got its whole answer, or left a good stream."""
    return row.status == 200 and (row.is_whole or row.left_at is not None)


CHECKS: tuple[Callable[[Records], None], ...] = (
    check_at_most_once,
    check_true_refusals,
    check_own_answers,
    check_order,
    check_leaving,
    check_gone,
    check_planned_stop,
    check_time,
    check_budget,
    check_service,
)
