"""Tests of the status that a stream ends with if a further attempt is not made."""

import math
from unittest.mock import MagicMock

import pytest

from poplarfold._internal.exceptions import (
    DecodePoolFullError,
    EndpointError,
    EndpointsAwayError,
    PromptBlockedError,
    StoppingError,
)
from poplarfold._internal.gateway.events import EventSplitter
from poplarfold._internal.gateway.stream_calls import NOT_RUN_STATUSES, StreamCall

REFUSALS = [
    StoppingError("the node is shutting down"),
    DecodePoolFullError("all decode engines are full"),
    EndpointsAwayError("all endpoints have asked for a pause", 1.0),
    PromptBlockedError("a part of the prompt is blocked", 1.0),
]


class FailingStream(StreamCall):
    """A stream whose attempts fail with the given errors, one after the other."""

    def __init__(self, errors, has_run):
        self.errors = list(errors)
        self.is_unexecuted = not has_run

    def attempt(self):
        raise self.errors.pop(0)

    def may_retry(self, error):
        return bool(self.errors)


@pytest.mark.parametrize("refusal", REFUSALS, ids=lambda error: error.code)
def test_refusal_of_a_further_attempt_promises_nothing(refusal):
    """Guards against a 503 for a stream that an engine has begun to run, if the next
    attempt finds the node stopping or no room."""
    stream = FailingStream([EndpointError("stalled"), refusal], has_run=True)
    with pytest.raises(EndpointError) as caught:
        stream.make_attempts()
    assert caught.value.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("refusal", REFUSALS, ids=lambda error: error.code)
def test_refusal_of_a_first_attempt_is_passed_on(refusal):
    """Guards against callers that are not told that a stream has not run."""
    with pytest.raises(type(refusal)) as caught:
        FailingStream([refusal], has_run=False).make_attempts()
    assert caught.value is refusal


@pytest.mark.parametrize(
    ("events", "is_repeatable"),
    [
        (b"id: 1\ndata: a\n\n: comment\n\n", True),
        (b"data: a\n\n", False),
        (b"id: 1\ndata: a\n\ndata: b\n\n", False),
        (b"id: 1\ndata: a\n\nid:\ndata: b\n\n", False),
    ],
)
def test_stream_is_not_resumed_after_an_event_without_an_id(events, is_repeatable):
    """Guards against events that are sent twice, since the next engine is not told
    after which one to go on."""
    stream = StreamCall.__new__(StreamCall)
    stream.context = stream.evidence = MagicMock()
    stream.context.route.max_attempts = 2
    stream.context.deadline_at = math.inf
    stream.attempts, stream.is_unexecuted, stream.has_started = 1, False, True
    stream.splitter = EventSplitter(None)
    stream.splitter.feed(events)
    assert stream.is_repeatable() is is_repeatable
