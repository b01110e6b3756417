"""Records of callers and endpoints, for the checks. Times are monotonic seconds."""

import threading
from typing import NamedTuple

__all__ = [
    "CUT", "LEAVER_PREFIX", "Arrival", "Attempt", "LimitRow", "Records", "Span",
    "total_events",
]  # fmt: skip

# The kind of the span in which a host is cut off from all endpoints. By the platform's
# rules the host stays in touch, so the checks go on as in planned work.
CUT = "cut off"
# Begins the request ids of callers that disconnect in the first third of a stream. With
# 40 more events, of 30 ms each, at least 0.9 s of work are left. Most streams without
# them end within the 0.5 s in which work for such a caller must end.
LEAVER_PREFIX, LEAVER_EVENTS = "leaver-", 40


class Attempt(NamedTuple):
    """One request of a caller.

    ``status`` is None if no complete head of an answer was received. ``is_whole``
    is whether the answer was received completely. ``disconnected_at`` is set if the
    caller closed the connection before that. ``key`` is the API key that was sent, and
    ``units`` what the request counts as if its account has a quota.
    """

    request_id: str
    kind: str
    node: str
    path: str
    sent_at: float
    ended_at: float
    status: int | None
    is_whole: bool
    body: bytes
    disconnected_at: float | None = None
    key: str = ""
    units: int = 0


class Arrival(NamedTuple):
    """One request at an endpoint; ``ran`` is false for prefills and refusals.

    ``accounts`` are the account names that its headers state.
    """

    request_id: str
    service: str
    endpoint: str
    at: float
    ran: bool
    is_prefill: bool
    accounts: tuple[str, ...] = ()


class LimitRow(NamedTuple):
    """A request at a plain endpoint, or its answer with the limit that it names.

    ``endpoint`` names one incarnation. Requests have no limit. An answer that
    ``is_foreign`` has the id of another request, so its host must not pass it on.
    """

    endpoint: str
    address: str
    request_id: str
    at: float
    is_answer: bool = False
    limit_per_s: float | None = None
    is_foreign: bool = False


class Span(NamedTuple):
    """The time span of a fault. ``where`` is the affected node, or empty for all."""

    kind: str
    start: float
    end: float
    where: str
    is_planned: bool


def total_events(request_id: str) -> int:
    """Return how many events the complete stream of a request has."""
    more = LEAVER_EVENTS if request_id.startswith(LEAVER_PREFIX) else 0
    return 8 + int(request_id[-1], 16) + more


class Records:
    """All records of one run; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        self.limit_rows: list[LimitRow] = []
        # When the work for a request ended at an endpoint.
        self.run_ends: dict[str, float] = {}
        self.spans: list[Span] = []
        # The orders to endpoints: when, to which endpoint, by whom, fencing number.
        self.orders: list[tuple[float, str, str, int]] = []
        # When an endpoint was announced as leaving.
        self.leaving: dict[str, float] = {}
        self.violations: list[str] = []
        # The highest use of a quota in any window, as a share of what the rule allows.
        self.highest_window_share = 0.0
        # The same of the limits that endpoints name.
        self.highest_limit_share = 0.0
        # How many calls at hosts that were cut off the check of them has counted.
        self.cut_calls = 0

    def add(self, row: Attempt | Arrival | LimitRow | Span) -> None:
        """Append a row to its list."""
        with self.lock:
            if isinstance(row, Attempt):
                self.attempts.append(row)
            elif isinstance(row, Arrival):
                self.arrivals.append(row)
            elif isinstance(row, LimitRow):
                self.limit_rows.append(row)
            else:
                self.spans.append(row)

    def end_span(self, span: Span, end: float) -> None:
        """Record when a fault ended."""
        with self.lock:
            self.spans.remove(span)
            self.spans.append(span._replace(end=end))

    def add_violation(self, guarantee: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        with self.lock:
            self.violations.append(f"{guarantee}: {detail}")

    def has_restarted(self, start: float, end: float, node: str) -> bool:
        """Return whether a node was stopped or killed between two times."""
        with self.lock:
            return any(
                span.kind in ("stop", "kill")
                and span.where == node
                and span.start <= end
                and span.end >= start
                for span in self.spans
            )

    def is_cut(self, start: float, end: float, node: str) -> bool:
        """Return whether a node was cut off from endpoints between two times."""
        with self.lock:
            return any(
                span.kind == CUT
                and span.where == node
                and span.start <= end
                and span.end >= start
                for span in self.spans
            )

    def is_disturbed(
        self, start: float, end: float, node: str, ignored: str = ""
    ) -> bool:
        """Return whether an unplanned fault affected a node between two times.

        Faults of the kind ``ignored`` do not count. Those of other nodes count for one
        that was cut off, whose calls they pass on.
        """
        is_cut = self.is_cut(start, end, node)
        with self.lock:
            spans = list(self.spans)
        return any(
            not span.is_planned
            and span.kind != ignored
            and (is_cut or span.where in ("", node))
            and span.start <= end
            and span.end >= start
            for span in spans
        )
