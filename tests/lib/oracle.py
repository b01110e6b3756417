"""A test oracle for runs of several nodes, independent of the code under test.

Tests report to it what callers sent and received, what back ends ran, and which
catalogue changes were accepted and seen. It does not depend on leases, claims or
logs. Each row of ``violations`` names an invariant of section 2 of
``docs/design.md``.
"""

from collections import Counter
from typing import NamedTuple

LEAVING_LIMIT_S = 3.0
CHANGE_IN_FORCE_LIMIT_S = 5.0


class Key(NamedTuple):
    """Identifies one operation, which must run at most once."""

    entry: str
    account: str
    key: str


class Violation(NamedTuple):
    """A violated invariant, with the time in the run in seconds."""

    invariant: str
    at: float
    detail: str


class SentCall(NamedTuple):
    """A caller's request. ``key`` is None for calls that may be repeated."""

    entry: str
    account: str
    key: str | None


class Oracle:
    """Checks every observation against the invariants."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.calls: dict[str, SentCall] = {}
        self.answers: dict[str, str] = {}
        self.runs: Counter[Key] = Counter()
        self.done_bodies: dict[Key, bytes] = {}
        self.outputs: dict[str, list[str]] = {}
        self.leaving: dict[str, float] = {}
        self.revisions: dict[str, int] = {}
        self.accepted: dict[int, float] = {}

    def violated(self, invariant: str, at: float, detail: str) -> None:
        """Record a violation of an invariant."""
        self.violations.append(Violation(invariant, at, detail))

    def call_sent(self, call_id: str, call: SentCall) -> None:
        """Record that a caller sent a request."""
        self.calls[call_id] = call

    def key_of(self, call_id: str) -> Key | None:
        """Return the key of a call that must run at most once."""
        call = self.calls[call_id]
        return Key(call.entry, call.account, call.key) if call.key else None

    def back_end_ran(self, call_id: str, at: float) -> None:
        """Record that a plain service executed a call, and check for repeated runs."""
        key = self.key_of(call_id)
        if key is None:
            return
        self.runs[key] += 1
        if self.runs[key] > 1:
            self.violated("at-most-once", at, f"{key} ran {self.runs[key]} times")
        if self.answers.get(call_id) == "not_run":
            self.violated(
                "not-run-is-true", at, f"{call_id} ran after not_run was reported"
            )

    def output_received(self, call_id: str, text: str, at: float) -> None:
        """Record one output that the caller received."""
        if call_id in self.answers:
            self.violated("answered-once", at, f"{call_id} got output after its end")
        self.outputs.setdefault(call_id, []).append(text)

    def answered(
        self, call_id: str, at: float, outcome: str, body: bytes = b""
    ) -> None:
        """Record the end of an answer.

        ``outcome`` is ok or error. For non-repeatable calls it is one of not_run,
        in_progress, unknown and done.
        """
        if call_id in self.answers:
            self.violated("answered-once", at, f"{call_id} was answered twice")
        self.answers[call_id] = outcome
        key = self.key_of(call_id)
        if key is None:
            return
        if outcome == "not_run" and self.runs[key]:
            self.violated(
                "not-run-is-true", at, f"{key} ran, but {call_id} got not_run"
            )
        if outcome == "done":
            self.check_done(key, at, body)

    def check_done(self, key: Key, at: float, body: bytes) -> None:
        """Check that an operation reported as done ran, and always has one answer."""
        if not self.runs[key]:
            self.violated("whole-own-answer", at, f"{key} is done but never ran")
        if self.done_bodies.setdefault(key, body) != body:
            self.violated("whole-own-answer", at, f"{key} has two answers")

    def stream_ended(
        self, call_id: str, expected: list[str], is_complete: bool, at: float
    ) -> None:
        """Check the outputs of a stream against the expected ones.

        The outputs of a failed stream must be a prefix of the expected ones.
        """
        received = self.outputs.get(call_id, [])
        if received != (expected if is_complete else expected[: len(received)]):
            self.violated("whole-own-answer", at, f"{call_id} got other outputs")

    def leaving_seen(self, endpoint: str, at: float) -> None:
        """Record the first sign that an endpoint is leaving."""
        self.leaving.setdefault(endpoint, at)

    def endpoint_returned(self, endpoint: str) -> None:
        """Record that a new process serves at the endpoint's address."""
        self.leaving.pop(endpoint, None)

    def work_received(
        self, endpoint: str, wanted: object, served: object, at: float
    ) -> None:
        """Check new work that an endpoint received.

        It must be for the identity that the endpoint serves, and must not arrive
        long after the endpoint started to leave.
        """
        if wanted != served:
            self.violated("served-identity", at, f"{endpoint} serves {served}")
        since = self.leaving.get(endpoint)
        if since is not None and at - since > LEAVING_LIMIT_S:
            self.violated("leaving-gets-nothing", at, f"{endpoint} left at {since}")

    def memory_held(
        self, call_id: str, disconnected_at: float, at: float, limit_s: float
    ) -> None:
        """Check how long an engine held memory after the caller disconnected."""
        if at - disconnected_at > limit_s:
            self.violated(
                "no-orphaned-memory", at, f"{call_id} gone at {disconnected_at}"
            )

    def change_accepted(self, revision: int, at: float) -> None:
        """Record that an operator was told that a change is accepted."""
        self.accepted.setdefault(revision, at)

    def catalogue_seen(self, node: str, entry: str, revision: int, at: float) -> None:
        """Check that a node never goes back to an older revision of an entry."""
        name = f"{node}/{entry}"
        newest = self.revisions.get(name, -1)
        if revision < newest:
            self.violated("catalogue-in-force", at, f"{name} went back to {revision}")
        self.revisions[name] = max(revision, newest)

    def change_missing(
        self, node: str, entry: str, revision: int, reachable_since: float, at: float
    ) -> None:
        """Check that a reachable node has an accepted change within the time limit."""
        due = max(self.accepted[revision], reachable_since) + CHANGE_IN_FORCE_LIMIT_S
        if at > due and self.revisions.get(f"{node}/{entry}", -1) < revision:
            self.violated("catalogue-in-force", at, f"{node} lacks {entry}@{revision}")

    def concurrency_seen(self, entry: str, running: int, limit: int, at: float) -> None:
        """Check the calls running on all nodes against the limit of an entry."""
        if limit and running > limit:
            self.violated("limits-hold", at, f"{entry} runs {running} of {limit}")

    def bytes_crossed(
        self, direction: str, sent: int, window_s: float, rate: float, at: float
    ) -> None:
        """Check the bytes sent over a link in a time window against its rate."""
        if sent > rate * window_s:
            self.violated("limits-hold", at, f"{direction}: {sent} B in {window_s} s")

    def call_cut_off(self, call_id: str, at: float) -> None:
        """Record that a planned stop cut off an open call."""
        self.violated("graceful-stop", at, f"{call_id} was cut off")
