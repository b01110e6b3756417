"""Checks of the router's guarantees on the records of callers and endpoints.

Each check takes the records of a run and adds the violations of its guarantee. A
check with a time limit skips nodes that an unplanned fault affected shortly before.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from tests.functional.gateway_soak.backends import SLOW_PREFIX
from tests.functional.gateway_soak.callers import WATCHER_PREFIX
from tests.functional.gateway_soak.nodes import BOUNDS
from tests.functional.gateway_soak.records import (
    CUT,
    Arrival,
    Attempt,
    Records,
    total_events,
)

__all__ = ["CHECKS", "RECOVERY_S", "STORE_RETURN"]

# The kind of the span in which the store is away, comes back from an older copy, and
# gets again what was written since.
STORE_RETURN = "store return"

# For this time after a fault, a node may still use outdated information.
RECOVERY_S = 3.0
# From this time after a host lost its links to endpoints, its callers are served at
# least CUT_SHARE times as well as others, but for a few.
CUT_STABLE_S, CUT_SHARE, CUT_SLACK, CUT_FAILED = 4.0, 2 / 3, 10, 0.02
DRAIN_LIMIT_S = BOUNDS["drain_ms"] / 1000
CANCEL_LIMIT_S, FREEZE_SLACK_S = 0.5, 0.3
BUDGET_WINDOW_S = float(BOUNDS["budget_window_s"])
NOT_RUN_STATUSES = {408, 421, 429, 503}
SERVICES = {
    "filing": "registry", "lookup": "registry", "heavy": "registry", "caption": "llm",
}  # fmt: skip


def check_at_most_once(records: Records) -> None:
    """A non-repeatable request runs at most once."""
    kinds = {row.request_id: row.kind for row in records.attempts}
    runs = Counter(row.request_id for row in records.arrivals if row.ran)
    for request_id, count in runs.items():
        if kinds.get(request_id) == "filing" and count > 1:
            records.add_violation("at most once", f"{request_id} ran {count} times")


def check_true_refusals(records: Records) -> None:
    """A request that was rejected as not run has not run and does not run later."""
    runs = {row.request_id for row in records.arrivals if row.ran}
    for row in records.attempts:
        if row.status in NOT_RUN_STATUSES and row.request_id in runs:
            records.add_violation("true refusals", f"{row.request_id} got {row.status}")


def check_own_answers(records: Records) -> None:
    """A successful answer belongs to its request; if it looks complete, it is."""
    for row in records.attempts:
        if row.status != 200 or row.kind == "caption" or not row.is_whole:
            continue
        if row.body != f"answer for {row.request_id}".encode():
            records.add_violation(
                "own answers", f"{row.request_id} got {row.body[:60]!r}"
            )


def check_order(records: Records) -> None:
    """A stream has each event once, in order, and ends after the last event."""
    for row in records.attempts:
        if row.status != 200 or row.kind != "caption":
            continue
        events = row.body.split(b"\n\n")[:-1]
        wanted = [
            f"id: {number}\ndata: {row.request_id}".encode()
            for number in range(1, len(events) + 1)
        ]
        if events != wanted:
            records.add_violation("order", f"{row.request_id} got {row.body[:200]!r}")
        elif row.is_whole and len(events) != total_events(row.request_id):
            records.add_violation(
                "order", f"{row.request_id} ended after {len(events)}"
            )


def check_leaving(records: Records) -> None:
    """A leaving endpoint gets no work after the time limit.

    If the store comes back from an older copy after that limit, that excuses only nodes
    that have started since.
    """
    returns = [span for span in records.spans if span.kind == STORE_RETURN]
    attempts = {row.request_id: row for row in records.attempts}
    for row in records.arrivals:
        left_at = records.leaving.get(row.endpoint)
        attempt = attempts.get(row.request_id)
        if left_at is None or attempt is None or row.at <= left_at + DRAIN_LIMIT_S:
            continue
        start, limit = left_at - RECOVERY_S, left_at + DRAIN_LIMIT_S
        may_lack_it = records.has_restarted(left_at, row.at, attempt.node) or any(
            span.start <= limit and span.end >= start for span in returns
        )
        ignored = "" if may_lack_it else STORE_RETURN
        if not records.is_disturbed(start, row.at, attempt.node, ignored):
            records.add_violation(
                "leaving",
                f"{row.endpoint} got {row.request_id} of {attempt.node}"
                f" {row.at - left_at:.2f} s after",
            )


def check_disconnects(records: Records) -> None:
    """Work for callers that have disconnected ends within half a second."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in records.arrivals:
        arrivals[arrival.request_id].append(arrival)
    late = counted = 0
    for row in records.attempts:
        ended_at = records.run_ends.get(row.request_id)
        if row.disconnected_at is None or ended_at is None:
            continue
        bound = row.disconnected_at + CANCEL_LIMIT_S
        if records.is_disturbed(row.sent_at - RECOVERY_S, bound, row.node):
            continue
        counted += 1
        later = any(found.at > bound for found in arrivals[row.request_id])
        late += ended_at > bound or later
    if late > 3 and late > counted / 4:
        records.add_violation("gone", f"{late} of {counted} were worked on too long")


def check_planned_stop(records: Records) -> None:
    """A planned stop or a reload interrupts no request that was forwarded."""
    forwarded_ids = {row.request_id for row in records.arrivals}
    for span in records.spans:
        if not span.is_planned or span.kind not in ("stop", "reload"):
            continue
        for row in records.attempts:
            is_touched = row.node == span.where and row.ended_at >= span.start
            is_touched = is_touched and row.sent_at <= span.end
            is_cut = row.disconnected_at is None and (
                row.status is None or not row.is_whole
            )
            if not (is_touched and is_cut and row.request_id in forwarded_ids):
                continue
            start = min(row.sent_at, span.start) - RECOVERY_S
            if records.is_cut(start, row.ended_at, row.node):
                continue
            if not records.is_disturbed(start, row.ended_at, row.node):
                records.add_violation(
                    "planned stop", f"{span.kind} cut {row.request_id}"
                )


def check_timeouts(records: Records) -> None:
    """Requests are answered within the route's timeout."""
    late = [
        row
        for row in records.attempts
        if row.ended_at - row.sent_at > ROUTE_TIMEOUTS_S[row.kind] + CANCEL_LIMIT_S
        and not records.is_disturbed(row.sent_at - RECOVERY_S, row.ended_at, row.node)
    ]
    if len(late) >= 8:
        records.add_violation(
            "timeouts", f"{len(late)} requests, such as {late[0][:5]}"
        )


ROUTE_TIMEOUTS_S = {"filing": 1.5, "lookup": 1.5, "heavy": 1.5, "caption": 6.0}


def check_budget(records: Records) -> None:
    """All nodes together stay within the retry budget in each window."""
    for service in set(SERVICES.values()):
        extra = retry_arrivals(records, service)
        requests = sorted(
            row.sent_at for row in records.attempts if SERVICES[row.kind] == service
        )
        for first, start in enumerate(extra):
            end = start + BUDGET_WINDOW_S
            count = sum(at <= end for at in extra[first:])
            # Counts the requests of this window, of the one before, or of the one half
            # way between, whichever are most.
            share = max(
                sum(start - back <= at <= end - back for at in requests)
                for back in (0.0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
            )
            allowed = BOUNDS["retry_budget_ratio"] * share + BOUNDS["budget_slack"]
            if count > allowed:
                records.add_violation(
                    "budget", f"{service}: {count} repeats, {allowed:.0f} allowed"
                )
                break


def retry_arrivals(records: Records, service: str) -> list[float]:
    """Return the times of arrivals after the first one of each request."""
    seen: set[tuple[str, bool]] = set()
    extra = []
    for row in sorted(records.arrivals, key=lambda row: row.at):
        is_counted = not row.request_id.startswith((WATCHER_PREFIX, SLOW_PREFIX))
        if row.service != service or not is_counted:
            continue
        key = (row.request_id, row.is_prefill)
        if key in seen:
            extra.append(row.at)
        seen.add(key)
    return extra


def check_served_share(records: Records) -> None:
    """At least a quarter of the requests of each kind is served.

    A run in which less is served would prove nothing.
    """
    answered: Counter[str] = Counter(
        row.kind for row in records.attempts if is_served(row)
    )
    # Most requests beyond the quota are rejected.
    asked = Counter(row.kind for row in records.attempts if row.kind != "heavy")
    for kind, count in asked.items():
        if answered[kind] < count / 4:
            records.add_violation(
                "service", f"{answered[kind]} of {count} of {kind} served"
            )


def check_orders(records: Records) -> None:
    """A fencing number has one holder, and an endpoint gets no lower one later.

    An order that a pause or a link has held back until then may have a lower one.
    """
    holders: dict[int, str] = {}
    highest: Counter[str] = Counter()
    for at, endpoint, holder, fence in records.orders:
        is_held_back = any(
            span.kind.startswith(("pause", "link"))
            and span.start <= at <= span.end + FREEZE_SLACK_S
            for span in records.spans
        )
        lowest = 0 if is_held_back else highest[endpoint]
        if holders.setdefault(fence, holder) != holder or fence < lowest:
            records.add_violation("one holder", f"{holder} to {endpoint} with {fence}")
        highest[endpoint] = max(fence, highest[endpoint])


def check_cut_off(records: Records) -> None:
    """Callers of a host that is cut off from all endpoints are served through others.

    Counts calls while at least one host that is not cut off is undisturbed.
    """
    nodes = {row.node for row in records.attempts}
    for span in [span for span in records.spans if span.kind == CUT]:
        own, others = [], []
        for row in records.attempts:
            start, end = row.sent_at - RECOVERY_S, row.ended_at
            if not span.start + CUT_STABLE_S <= row.sent_at <= span.end:
                continue
            if row.kind == "heavy" or row.status == 401:
                continue
            able = {
                node
                for node in nodes
                if not records.is_disturbed(start, end, node)
                and not records.has_restarted(start, end, node)
            }
            peers = {node for node in able if not records.is_cut(start, end, node)}
            if row.node == span.where and row.node in able and peers:
                own.append(is_served(row))
            elif row.node in peers:
                others.append(is_served(row))
        records.cut_calls += len(own)
        failed = own.count(False)
        if not own or not others or failed <= CUT_SLACK + CUT_FAILED * len(own):
            continue
        if sum(own) / len(own) < CUT_SHARE * sum(others) / len(others):
            records.add_violation(
                "cut off",
                f"{span.where} from {span.start:.2f}: {failed} of {len(own)} failed,"
                f" {others.count(False)} of {len(others)} elsewhere",
            )


def is_served(row: Attempt) -> bool:
    """Return whether a caller got its whole answer, or left a running stream."""
    return row.status == 200 and (row.is_whole or row.disconnected_at is not None)


CHECKS: tuple[Callable[[Records], None], ...] = (
    check_at_most_once,
    check_true_refusals,
    check_own_answers,
    check_order,
    check_leaving,
    check_disconnects,
    check_planned_stop,
    check_timeouts,
    check_budget,
    check_served_share,
    check_orders,
    check_cut_off,
)
