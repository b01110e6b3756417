"""Demo: sample calls on two daemons with stand-ins, in one process on loopback."""

import http.client
import json
import time
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from poplarfold._internal.bench.local_fleet import (
    ACCOUNT_TOKEN,
    Deployment,
    LocalFleet,
)
from poplarfold._internal.standins.answers import expected_text

__all__ = ["CallReport", "DemoReport", "run_demo"]

MAX_OUTPUTS = 64
CALL_TIMEOUT_S = 10.0
SAMPLE_CHARS = 72
IN_PROGRESS_RETRY_S = 0.1
IN_PROGRESS_LIMIT_S = 5.0


class CallReport(NamedTuple):
    """Result of one call. Times are in seconds, and None if they don't apply."""

    entry: str
    daemon: str
    status: int
    answer: str
    endpoints: tuple[str, ...]
    answered_from: str
    outputs: int
    first_output_s: float | None
    mean_between_outputs_s: float | None
    longest_between_outputs_s: float | None


class DemoReport(NamedTuple):
    """Result for one deployment. ``problems`` is empty if every check passed."""

    deployment: str
    calls: tuple[CallReport, ...]
    once_runs: int
    duration_s: float
    problems: tuple[str, ...]

    def as_json(self) -> dict[str, Any]:
        """Return the report as JSON values."""
        fields = self._asdict()
        fields["calls"] = [call._asdict() for call in self.calls]
        fields["ok"] = not self.problems
        return fields

    def lines(self) -> Iterator[str]:
        """Yield the report as text."""
        yield f"deployment {self.deployment} ({self.duration_s:.1f} s)"
        for call in self.calls:
            yield f"  {call.entry} through {call.daemon}: status {call.status}"
            yield f"    answer: {shorten(call.answer)}"
            by = ": " + ", ".join(call.endpoints) if call.endpoints else ""
            yield f"    {call.answered_from}{by}"
            if call.first_output_s is not None:
                what = "first output" if call.outputs > 1 else "answer"
                yield f"    time to {what}: {call.first_output_s * 1e3:.1f} ms"
            if call.mean_between_outputs_s is not None:
                yield (
                    f"    time between {call.outputs} outputs: mean "
                    f"{call.mean_between_outputs_s * 1e3:.1f} ms, longest "
                    f"{(call.longest_between_outputs_s or 0.0) * 1e3:.1f} ms"
                )
        yield f"  back-end runs of the call sent twice: {self.once_runs}"
        for problem in self.problems:
            yield f"  PROBLEM: {problem}"


class RouteLog:
    """Collects the endpoints that served each call from the numbered log events."""

    def __init__(self) -> None:
        self.endpoints: dict[str, list[str]] = {}
        self.answered_from_record: set[str] = set()
        self.internal_errors: list[str] = []

    def write(self, number: str, call_id: str | None, fields: dict[str, Any]) -> None:
        """Process one log event."""
        if number == "PF1003" and call_id is not None:
            endpoints = [fields.get("prefill"), fields.get("decode")]
            self.endpoints.setdefault(call_id, []).extend(a for a in endpoints if a)
        elif number == "PF1006" and call_id is not None:
            self.answered_from_record.add(call_id)
        elif number.startswith("PF9"):
            self.internal_errors.append(f"{number} {fields}")


class DemoCalls:
    """Makes the calls of the demo and reports their results."""

    def __init__(self, fleet: LocalFleet, routes: RouteLog) -> None:
        self.fleet = fleet
        self.routes = routes

    def stream(self, domain: str, entry: str, prompt: str) -> CallReport:
        """Make a streamed model call."""
        body = {
            "model": entry,
            "prompt": prompt,
            "max_tokens": MAX_OUTPUTS,
            "stream": True,
        }
        started_at = time.monotonic()
        connection, response = self.post(domain, "/v1/completions", body, {})
        texts: list[str] = []
        times: list[float] = []
        is_complete = False
        for line in response:
            if line.startswith(b"data: [DONE]"):
                is_complete = True
            elif line.startswith(b"data: ") and response.status == 200:
                event = json.loads(line[6:])
                text = "".join(row["text"] for row in event.get("choices", ()))
                if text:
                    texts.append(text)
                    times.append(time.monotonic())
        connection.close()
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        report = self.report(domain, entry, response, "".join(texts))
        return report._replace(
            answer=report.answer if is_complete else report.answer + " [incomplete]",
            outputs=len(times),
            first_output_s=times[0] - started_at if times else None,
            mean_between_outputs_s=sum(gaps) / len(gaps) if gaps else None,
            longest_between_outputs_s=max(gaps) if gaps else None,
        )

    def service(
        self, domain: str, entry: str, body: object, key: str | None = None
    ) -> CallReport:
        """Make a plain service call, with an idempotency key if one is given."""
        headers = {} if key is None else {"Idempotency-Key": key}
        started_at = time.monotonic()
        connection, response = self.post(domain, f"/v1/services/{entry}", body, headers)
        answer = response.read().decode()
        took = time.monotonic() - started_at
        connection.close()
        report = self.report(domain, entry, response, answer)
        return report._replace(outputs=1, first_output_s=took)

    def post(
        self, domain: str, path: str, body: object, headers: dict[str, str]
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        """Send a request and return the connection and the open response."""
        address = self.fleet.daemons[domain].frontend.caller_address
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        credential = {"Authorization": f"Bearer {ACCOUNT_TOKEN}"}
        data = json.dumps(body).encode()
        connection.request("POST", path, data, {**credential, **headers})
        return connection, connection.getresponse()

    def report(
        self,
        domain: str,
        entry: str,
        response: http.client.HTTPResponse,
        answer: str,
    ) -> CallReport:
        """Return a report from the response and the logged events, without times."""
        call_id = response.headers.get("Poplarfold-Call-Id", "")
        is_from_record = call_id in self.routes.answered_from_record
        return CallReport(
            entry=entry,
            daemon=domain,
            status=response.status,
            answer=answer,
            endpoints=tuple(self.routes.endpoints.get(call_id, ())),
            answered_from="answered from the record"
            if is_from_record
            else "answered by",
            outputs=0,
            first_output_s=None,
            mean_between_outputs_s=None,
            longest_between_outputs_s=None,
        )


def run_demo(
    deployment: Deployment,
    prompt: str,
    make_fleet: Callable[..., LocalFleet] = LocalFleet,
) -> DemoReport:
    """Run the calls of the demo on one deployment and check their results.

    Raises LocalFleetError if the daemons don't start or an entry is rejected.
    """
    started_at = time.monotonic()
    routes = RouteLog()
    with make_fleet(deployment, routes.write) as fleet:
        fleet.start()
        fleet.publish_entries()
        first, second = list(fleet.daemons)[:2]
        calls = DemoCalls(fleet, routes)
        streamed = calls.stream(first, deployment.model_entry.name, prompt)
        filing_body = {"demo": "one filing, sent twice"}
        name = deployment.non_repeatable_entry.name
        reports = (
            streamed,
            calls.service(first, name, filing_body, key="demo-key"),
            calls.service(second, name, filing_body, key="demo-key"),
            calls.service(second, deployment.lookup_entry.name, {"demo": "lookup"}),
        )
        lookups = {operation_id_of(reports[3].answer)}
        once_runs = sum(
            count
            for operation, count in fleet.backend.runs.items()
            if operation not in lookups
        )
    problems = [
        *find_problems(deployment, prompt, reports, once_runs),
        *routes.internal_errors,
    ]
    duration_s = time.monotonic() - started_at
    return DemoReport(deployment.name, reports, once_runs, duration_s, tuple(problems))


def find_problems(
    deployment: Deployment,
    prompt: str,
    reports: tuple[CallReport, ...],
    once_runs: int,
) -> Iterator[str]:
    """Yield a message for each check that fails."""
    streamed, filed, filed_again, looked_up = reports
    for report in reports:
        if report.status != 200:
            yield f"{report.entry} through {report.daemon}: status {report.status}"
    identity = deployment.model_entry.identity
    if streamed.answer != expected_text(identity, prompt, MAX_OUTPUTS):
        yield f"{streamed.entry}: the answer is not the complete expected answer"
    if len(streamed.endpoints) < 2:
        yield f"{streamed.entry}: not served by a prefill and a decode engine"
    if filed.answer != filed_again.answer:
        yield f"{filed.entry}: the second answer differs from the first"
    if once_runs != 1:
        yield f"{filed.entry}: ran {once_runs} times at the back end"
    if not looked_up.answer:
        yield f"{looked_up.entry}: empty answer"


def operation_id_of(answer: str) -> str:
    """Return the operation id in the answer of a service, or an empty string."""
    try:
        return str(json.loads(answer).get("operation_id"))
    except (ValueError, AttributeError):
        return ""


def shorten(text: str) -> str:
    """Return the text on one line, truncated to SAMPLE_CHARS characters."""
    line = " ".join(text.split())
    return line if len(line) <= SAMPLE_CHARS else line[:SAMPLE_CHARS] + "..."
