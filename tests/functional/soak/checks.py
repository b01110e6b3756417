"""Checks of the documented invariants against the stand-ins' counters."""

import json
import threading
import time

from tests.functional.soak.processes import OPERATOR_TOKEN
from tests.functional.soak.wire import Answer, request

IN_FORCE_TIMEOUT_S = 5.0
MAX_ORPHANED_S = 1.0
AUTHORIZATION = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


class CatalogueWatcher(threading.Thread):
    """Amends an entry repeatedly and checks the catalogue of every daemon."""

    def __init__(self, daemons, faults, record):
        super().__init__(name="catalogue", daemon=True)
        self.daemons = daemons
        self.faults = faults
        self.record = record
        self.stopping = threading.Event()
        self.seen = {}
        self.accepted = 0
        self.longest_s = 0.0
        self.cost = 0

    def read(self, daemon):
        """Return the revisions in force at a daemon and check that none decreases."""
        answer = request(
            daemon.operators_address,
            "GET",
            "/operator/v1/entries",
            None,
            AUTHORIZATION,
            2.0,
        )
        if answer is None or answer.status != 200:
            return {}
        rows = json.loads(answer.body)["entries"]
        revisions = {row["name"]: row["revision"] for row in rows}
        for name, revision in revisions.items():
            key = (daemon.host, daemon.starts, name)
            if revision < self.seen.get(key, -1):
                self.record.add_violation(
                    "catalogue-in-force", f"{key} went to {revision}"
                )
            self.seen[key] = max(revision, self.seen.get(key, -1))
        return revisions

    def run(self):
        while not self.stopping.wait(1.0):
            for daemon in self.daemons:
                if daemon.state == "up":
                    self.read(daemon)
            self.amend()

    def amend(self):
        """Amend ``lookups`` through one daemon; wait until all have it in force."""
        up = [row for row in self.daemons if row.state == "up"]
        if not up or time.monotonic() < self.faults.log_faulty_until:
            return
        self.cost += 1
        current = self.read(up[0]).get("lookups")
        if current is None:
            return
        fields = dict(ENTRIES["lookups"], cost_per_call=self.cost % 7)
        answer = propose(up[0], "lookups", fields, current)
        if answer is None or answer.status != 200:
            return
        began = time.monotonic()
        self.accepted += 1
        revision = json.loads(answer.body).get("revision", current + 1)
        for daemon in up[1:]:
            while self.read(daemon).get("lookups", -1) < revision:
                now = time.monotonic()
                is_excused = daemon.had_fault(began, now)
                if is_excused or now < self.faults.log_faulty_until:
                    break
                if now - began > IN_FORCE_TIMEOUT_S:
                    detail = f"{daemon.host} lacks revision {revision} after 5 s"
                    self.record.add_violation("catalogue-in-force", detail)
                    break
                if self.stopping.wait(0.05):
                    return
            else:
                self.longest_s = max(self.longest_s, time.monotonic() - began)


ENTRIES = {}


def define_entries(owner, model_service, plain_service):
    """Fill ``ENTRIES`` with the entries that a run publishes."""
    model = {"kind": "model", "owner": owner, "service": model_service}
    plain = {"kind": "service", "owner": owner, "service": plain_service}
    slow = {"first_output_s": 10.0, "between_outputs_s": 0.5}
    fast = {"first_output_s": 2.0, "between_outputs_s": 0.2}
    ENTRIES["abstracts"] = model | {"class": "patient", "targets": slow}
    ENTRIES["captions"] = model | {"class": "interactive", "targets": fast}
    ENTRIES["captions"]["limits"] = {"concurrency": 24}
    ENTRIES["lookups"] = plain | {"class": "interactive", "targets": fast}
    ENTRIES["filings"] = plain | {"class": "non_repeatable", "targets": slow}
    for fields in ENTRIES.values():
        fields["version"] = "v1"


def propose(daemon, name, fields, base_revision):
    """Publish or amend an entry through a daemon."""
    body = {"base_revision": base_revision, "entry": {"name": name, **fields}}
    headers = {**AUTHORIZATION, "Content-Type": "application/json"}
    path = "/operator/v1/entries"
    data = json.dumps(body).encode()
    return request(daemon.operators_address, "POST", path, data, headers, 15.0)


def check_filings(record, runs):
    """Check that filings run at most once, get one answer, and report their outcome."""
    for digest, (key, answers) in record.filings.items():
        count = runs.get(digest, 0)
        if count > 1:
            record.add_violation("at-most-once", f"{key} ran {count} times")
        whole = [row for row in answers if isinstance(row, Answer)]
        done = {row.body for row in whole if row.status == 200}
        if len(done) > 1:
            record.add_violation("answered-once", f"{key} has {len(done)} answers")
        for body in done:
            if json.loads(body).get("request_sha256") != digest:
                record.add_violation("whole-own-answer", f"{key} got {body!r}")
        if done and count == 0:
            record.add_violation(
                "whole-own-answer", f"{key} was answered and never ran"
            )
        last = answers[-1]
        if not isinstance(last, Answer) or last.status == 200:
            continue
        try:
            outcome = json.loads(last.body)["error"]["outcome"]
        except (ValueError, KeyError, TypeError):
            record.add_violation(
                "typed-errors", f"{key}: {last.status} {last.body[:80]!r}"
            )
            continue
        if outcome == "not_run" and count:
            record.add_violation("not-run-is-true", f"{key} ran {count} times")


def check_engines(record, injector, counters):
    """Check the identities that engines served, and work that arrived after leaving.

    Returns, in ascending order, how long memory was held after a caller had gone.
    """
    keys = {}
    holds = []
    for row in counters:
        endpoint_faults = [
            span for span in injector.engine_faults if span[0] == row["address"]
        ]
        for process_counters in [row, *row.get("past", ())]:
            where = row["address"]
            if process_counters.get("served_unpinned"):
                detail = (
                    f"{where} served {process_counters['served_unpinned']} unpinned "
                    "calls"
                )
                record.add_violation("served-identity", detail)
            wrong = process_counters.get("refusals", {}).get("wrong_identity", 0)
            if wrong:
                record.add_violation(
                    "served-identity", f"{where} refused {wrong} calls"
                )
            if process_counters.get("late_work_after_leaving"):
                late_s = process_counters["work_after_leaving_s"]
                detail = f"{where} got work {late_s:.1f} s after leaving"
                record.add_violation("leaving-gets-nothing", detail)
            for hold in process_counters.get("holds", ()):
                if hold["key"]:
                    keys[hold["attempt"]] = hold["key"]
                holds.append((hold, endpoint_faults))
        if row["kind"] == "engine" and row["held"]:
            detail = f"{row['address']} still holds {row['held']}"
            record.add_violation("no-orphaned-memory", detail)
    gone = {key: (at, daemon) for at, daemon, key in record.abandoned_calls}
    worst = {}
    for hold, endpoint_faults in holds:
        key = keys.get(hold["attempt"], "")
        if key not in gone:
            continue
        at, daemon = gone[key]
        until = hold["until"]
        if daemon.had_fault(at - 1.0, max(until, at) + 1.0):
            continue
        if any(start <= until and end >= at for _, start, end in endpoint_faults):
            continue
        worst[key] = max(worst.get(key, 0.0), until - at)
    times = sorted(worst.values())
    if times and times[min(len(times) - 1, int(len(times) * 0.99))] > MAX_ORPHANED_S:
        detail = f"held {times[-5:]} s after the caller had gone, {len(times)} calls"
        record.add_violation("no-orphaned-memory", detail)
    return times


def check_stops(record, stops):
    """Check that no planned stop interrupted a call."""
    for host, requested_at, ended_at in stops:
        for where, began, end, outcome in record.spans:
            is_open = (
                began < requested_at - 0.1 and requested_at < end <= ended_at + 1.0
            )
            if where == host and is_open and outcome.endswith(":broken"):
                record.add_violation(
                    "graceful-stop", f"{host} interrupted a call: {outcome}"
                )


def check_logs(record, daemons):
    """Check the daemons' logs and exits, and return the number of internal errors."""
    internal_errors = 0
    for daemon in daemons:
        if not daemon.log_path.exists():
            continue
        text = daemon.log_path.read_text(errors="replace")
        internal_errors += text.count('"PF9002"')
        for line in text.splitlines():
            if '"PF9001"' in line:
                record.add_violation("invariants", f"{daemon.host}: {line[:300]}")
        for exit_text in daemon.unexpected_exits:
            record.add_violation("daemon-alive", exit_text)
    return internal_errors
