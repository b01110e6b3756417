"""Attempts that end with an internal error or without their call's thread."""

import json

import pytest
from result import Err, Ok

from poplarfold._internal.core.commands import StartAttempt
from poplarfold._internal.core.model import EndpointRef, HostKey, Identity, Placement
from poplarfold._internal.daemon.attempt import AttemptIO, ServiceRequest, run_service
from poplarfold._internal.daemon.runtime import carry_out
from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.http.exchange import AbortHandle, Answer
from poplarfold._internal.http.failures import Failure

START = StartAttempt(
    call_id="c",
    attempt_id="a",
    placement=Placement(EndpointRef("127.0.0.1:9", 1), None, "l", 0.0, 0),
    identity=Identity("owner", "service", "v1"),
    resume_from=0,
    max_outputs=1,
    operation_id="op",
    fencing=3,
)


class BrokenClient:
    """An endpoint client that raises an internal error."""

    def exchange(self, *args, **options):
        raise ZeroDivisionError


class RecordingClient:
    """An endpoint client that gets no answer to the call, but its recorded outcome."""

    def __init__(self, fields):
        self.fields = fields

    def exchange(self, target, *args, **options):
        if target.path == "/call":
            return Err(Failure(EndpointError("the connection was reset"), sent=True))
        headers = {"Entry-Owner": "owner", "Entry-Service": "service"}
        fields = {"state": "done", **self.fields}
        headers["Entry-Version"] = "v1"
        return Ok(Answer(200, headers, json.dumps(fields).encode()))


class ThreadlessRuntime:
    """A stub runtime in which no thread waits for the commands of a call."""

    def __init__(self):
        self.mailboxes = {}
        self.handles = {}
        self.posted = []

    def post(self, event):
        self.posted.append(event)


def test_internal_error_leaves_the_outcome_unknown():
    """Guards against a wrong end of a claim after an internal error.

    Without an AttemptEnded the claim would never be released. With one that denies
    the send, it would be released although the call may have run.
    """
    posted = []
    io = AttemptIO(BrokenClient(), posted.append, HostKey("h", 1), 1.5, None)
    with pytest.raises(ZeroDivisionError):
        run_service(io, START, ServiceRequest("c", b"{}", 1e9), AbortHandle())
    (ended,) = posted
    assert ended.sent and ended.error is not None


def settle(fields):
    """Return the end of a call whose endpoint recorded an outcome with these fields."""
    posted = []
    client = RecordingClient(fields)
    io = AttemptIO(client, posted.append, HostKey("h", 1), 1.5, None)
    run_service(io, START, ServiceRequest("c", b"{}", 1e9), AbortHandle())
    (ended,) = posted
    return ended


@pytest.mark.parametrize(
    "fields",
    [
        {"status": status, "body": "{}"}
        for status in (0, 99, 100, 1000, -200, "000", "x", 200.5, True, None)
    ]
    + [{"body": "{}"}, {"status": 200}],
)
def test_recorded_outcome_without_a_status_or_body_is_no_answer(fields):
    """Guards against a success that the service has not given, if the outcome that it
    recorded has no body, or no status or an impossible one."""
    ended = settle(fields)
    assert ended.sent and ended.error is not None


@pytest.mark.parametrize("status", [200, 404, 599])
def test_recorded_outcome_with_a_valid_status_is_the_answer(status):
    """Guards against a check that rejects recorded answers."""
    ended = settle({"status": status, "body": "{}"})
    assert (ended.error, ended.answer_status) == (None, status)


def test_attempt_of_an_ended_thread_is_reported_as_not_sent():
    """Guards against a planned stop that waits for an attempt that nobody runs.

    That is the case if the thread of the call has ended before its attempt starts.
    """
    runtime = ThreadlessRuntime()
    carry_out(START, runtime)
    (ended,) = runtime.posted
    assert not ended.sent and ended.error.code == "caller_gone"
    assert not runtime.handles
