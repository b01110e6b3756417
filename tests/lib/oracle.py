"""An oracle for runs of several nodes, written without the code under test.

It is told what callers sent and were answered, what back ends ran, and which
catalogue changes were accepted and seen. It knows nothing of nodes, leases,
claims or logs. ``violations`` holds rows that carry the invariant names of
section 2 of ``docs/design.md``.
"""

from collections import Counter
from typing import NamedTuple

LEAVING_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 5.0


class Key(NamedTuple):
    """What identifies one intended run of a non-repeatable call."""

    entry: str
    account: str
    key: str


class Violation(NamedTuple):
    """One broken promise, with the time of the run in seconds."""

    invariant: str
    at: float
    detail: str


class SentCall(NamedTuple):
    """One request of a caller. ``key`` is None for calls that may be repeated."""

    entry: str
    account: str
    key: str | None


class Oracle:
    """Checks every observation against the promises made to callers."""

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
        """Record a broken promise."""
        self.violations.append(Violation(invariant, at, detail))

    def call_sent(self, call_id: str, call: SentCall) -> None:
        """Record that a caller sent a request."""
        self.calls[call_id] = call

    def key_of(self, call_id: str) -> Key | None:
        """Return the key of a call that must run at most once."""
        call = self.calls[call_id]
        return Key(call.entry, call.account, call.key) if call.key else None

    def back_end_ran(self, call_id: str, at: float) -> None:
        """Record that a plain service carried a non-repeatable call out."""
        key = self.key_of(call_id)
        if key is None:
            return
        self.runs[key] += 1
        if self.runs[key] > 1:
            self.violated("at-most-once", at, f"{key} ran {self.runs[key]} times")
        if self.answers.get(call_id) == "not_run":
            self.violated("not-run-is-true", at, f"{call_id} ran after its refusal")

    def output_received(self, call_id: str, text: str, at: float) -> None:
        """Record one output that reached the caller."""
        if call_id in self.answers:
            self.violated("answered-once", at, f"{call_id} got output after its end")
        self.outputs.setdefault(call_id, []).append(text)

    def answered(
        self, call_id: str, at: float, outcome: str, body: bytes = b""
    ) -> None:
        """Record the end of an answer.

        ``outcome`` is ok or error, or for calls that must not be repeated one
        of not_run, in_progress, unknown and done.
        """
        if call_id in self.answers:
            self.violated("answered-once", at, f"{call_id} was answered twice")
        self.answers[call_id] = outcome
        key = self.key_of(call_id)
        if key is None:
            return
        if outcome == "not_run" and self.runs[key]:
            self.violated("not-run-is-true", at, f"{key} ran, {call_id} was refused")
        if outcome == "done":
            self.check_done(key, at, body)

    def check_done(self, key: Key, at: float, body: bytes) -> None:
        """Check that a done answer belongs to a run and never changes."""
        if not self.runs[key]:
            self.violated("whole-own-answer", at, f"{key} is done but never ran")
        if self.done_bodies.setdefault(key, body) != body:
            self.violated("whole-own-answer", at, f"{key} has two answers")

    def stream_ended(
        self, call_id: str, expected: list[str], whole: bool, at: float
    ) -> None:
        """Check a stream against the outputs that its prompt leads to.

        A stream that failed must still be a prefix of the right answer.
        """
        got = self.outputs.get(call_id, [])
        if got != (expected if whole else expected[: len(got)]):
            self.violated("whole-own-answer", at, f"{call_id} got other outputs")

    def leaving_seen(self, endpoint: str, at: float) -> None:
        """Record the first sign that an endpoint is leaving."""
        self.leaving.setdefault(endpoint, at)

    def endpoint_returned(self, endpoint: str) -> None:
        """Record that a new process serves at the address."""
        self.leaving.pop(endpoint, None)

    def work_received(
        self, endpoint: str, wanted: object, served: object, at: float
    ) -> None:
        """Record that an endpoint was given new work for an identity."""
        if wanted != served:
            self.violated("served-identity", at, f"{endpoint} serves {served}")
        since = self.leaving.get(endpoint)
        if since is not None and at - since > LEAVING_LIMIT_S:
            self.violated("leaving-gets-nothing", at, f"{endpoint} left at {since}")

    def memory_held(
        self, call_id: str, gone_at: float, at: float, limit_s: float
    ) -> None:
        """Check how long an engine held memory for a caller that has gone."""
        if at - gone_at > limit_s:
            self.violated("no-orphaned-memory", at, f"{call_id} gone at {gone_at}")

    def change_accepted(self, revision: int, at: float) -> None:
        """Record that an operator was told that a change is accepted."""
        self.accepted.setdefault(revision, at)

    def catalogue_seen(self, node: str, entry: str, revision: int, at: float) -> None:
        """Check that no node ever uses an older revision than before."""
        name = f"{node}/{entry}"
        newest = self.revisions.get(name, -1)
        if revision < newest:
            self.violated("catalogue-in-force", at, f"{name} went back to {revision}")
        self.revisions[name] = max(revision, newest)

    def change_missing(
        self, node: str, entry: str, revision: int, reachable_since: float, at: float
    ) -> None:
        """Check whether a reachable node should have an accepted change."""
        due = max(self.accepted[revision], reachable_since) + IN_FORCE_LIMIT_S
        if at > due and self.revisions.get(f"{node}/{entry}", -1) < revision:
            self.violated("catalogue-in-force", at, f"{node} lacks {entry}@{revision}")

    def concurrency_seen(self, entry: str, running: int, limit: int, at: float) -> None:
        """Check the sum of a limit's use over all nodes."""
        if limit and running > limit:
            self.violated("limits-hold", at, f"{entry} runs {running} of {limit}")

    def bytes_crossed(
        self, direction: str, sent: int, window_s: float, rate: float, at: float
    ) -> None:
        """Check the bytes that crossed a link in a window against its rate."""
        if sent > rate * window_s:
            self.violated("limits-hold", at, f"{direction}: {sent} B in {window_s} s")

    def call_cut_off(self, call_id: str, at: float) -> None:
        """Record that a planned stop ended an open call."""
        self.violated("graceful-stop", at, f"{call_id} was cut off")
