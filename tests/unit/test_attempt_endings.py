"""Attempts that end with an internal error or without their call's thread."""

import pytest

from poplarfold._internal.core.commands import StartAttempt
from poplarfold._internal.core.model import EndpointRef, HostKey, Identity, Placement
from poplarfold._internal.daemon.attempt import AttemptIO, ServiceRequest, run_service
from poplarfold._internal.daemon.endpoint_client import AbortHandle
from poplarfold._internal.daemon.runtime import carry_out

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


def test_attempt_of_an_ended_thread_is_reported_as_not_sent():
    """Guards against a planned stop that waits for an attempt that nobody runs.

    That is the case if the thread of the call has ended before its attempt starts.
    """
    runtime = ThreadlessRuntime()
    carry_out(START, runtime)
    (ended,) = runtime.posted
    assert not ended.sent and ended.error.code == "caller_gone"
    assert not runtime.handles
