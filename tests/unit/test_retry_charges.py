"""Tests of what calls take from the retry budget, by what reaches endpoints."""

import math
from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok
from tests.lib.origin_hosts import endpoint
from tests.unit.test_second_attempts import ANSWER, BROKEN, Gateway

from poplarfold._internal.core.fleet.budget import RetryBudget
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import (
    DecodePoolFullError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    PoplarfoldError,
)
from poplarfold._internal.gateway.stream_calls import StreamCall
from poplarfold._internal.gateway.stream_setup import (
    PreparedDecode,
    Reservation,
    StreamSetup,
)
from poplarfold._internal.http.exchange import Answer
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.platform.engines import PrefillResult

FULL = Ok(Answer(503, {**ANSWER, "Poplarfold-Not-Executed": "1"}, b""))
DEAD = Err(Failure(EndpointUnreachableError("refused"), sent=False, refused=True))
WHOLE = Ok(Answer(200, ANSWER, b""))
PREFILLED = Ok(PrefillResult("kv-1", 1, None))
REFUSED = Err(Failure(EndpointRefusedError("full"), sent=False))
ABORTED = Err(Failure(EndpointError("the attempt was aborted"), sent=False))


def spent(gateway):
    return len(gateway.fleet._budget("registry").retries)


@pytest.mark.parametrize(
    ("answers", "taken"),
    [
        ([FULL], 0),
        ([DEAD, FULL], 0),
        ([FULL, FULL], 1),
        ([FULL, DEAD, WHOLE], 1),
        ([FULL, DEAD, DEAD], 0),
        ([FULL, WHOLE], 1),
    ],
)
def test_plain_call_takes_a_retry_for_each_further_request(answers, taken):
    """Guards against retries that are denied although few requests were repeated, since
    the budget was spent on attempts that found no endpoint or reached none."""
    gateway = Gateway()
    for row in list(gateway.rows.values())[len(answers) :]:
        gateway.fleet.directory.apply_endpoint(row.endpoint_id, None, 0.0)
    script = iter(answers)
    gateway.exchange = lambda *_, **__: next(script)
    gateway.call("/lookup/1")
    assert next(script, None) is None
    assert spent(gateway) == taken


class PrefillFleet:
    """What ``StreamSetup`` needs of a fleet, with a real retry budget."""

    def __init__(self):
        self.settings = SimpleNamespace(prefill_s=1.0)
        self.budget = RetryBudget(0.2, 50, 10.0)
        self.finish_call = self.record_unresponsive = lambda endpoint: None
        self.record_answer = self.record_prefill_time = lambda *row: None
        self.outputs_to_reserve = lambda *row: 1

    def pick_prefill(self, *row):
        return endpoint("i-p", "v1", EndpointRole.PREFILL)

    def try_spend_retry(self, service):
        return 1.0 if self.budget.try_spend(1, 1.0) else None

    def give_back_retry(self, service, taken_at):
        self.budget.give_back(taken_at)

    def may_spend_retry(self, service):
        return self.budget.may_spend(1, 1.0)

    def charge_failed_prefill(self, service):
        self.budget.count_retry(1.0)


def stream_context(fleet, answers=()):
    script = iter(answers)
    services = SimpleNamespace(
        fleet=fleet,
        engines=SimpleNamespace(prefill=lambda *row: next(script)),
        metrics=MagicMock(),
    )
    call = SimpleNamespace(
        prompt_tokens=10, expected_outputs=1, max_outputs=1, shared_parts=()
    )
    return SimpleNamespace(
        call=call, service="llm", route=None, body=b"", account_name=None,
        priority=None, was_sent=False, abort=None, services=services,
        remaining_s=lambda: 5.0, check_caller=lambda: None,
        log=lambda *row, **fields: None, log_failure=lambda *row: None,
        try_spend_retry=lambda: fleet.try_spend_retry("llm"),
    )  # fmt: skip


@pytest.mark.parametrize(
    ("has_prefilled", "answers", "taken"),
    [
        (False, [PREFILLED], 0),
        (False, [REFUSED, PREFILLED], 1),
        (False, [REFUSED, REFUSED], 2),
        (False, [DEAD, PREFILLED], 0),
        (False, [DEAD, DEAD], 0),
        (True, [PREFILLED], 1),
        (True, [REFUSED, PREFILLED], 2),
        (True, [REFUSED, REFUSED], 2),
        (True, [DEAD, PREFILLED], 1),
        (True, [DEAD, REFUSED], 1),
        (True, [DEAD, DEAD], 0),
        (True, [BROKEN, DEAD], 1),
        (False, [ABORTED, DEAD], 0),
        (True, [ABORTED, DEAD], 0),
    ],
)
def test_prefill_takes_a_retry_for_each_request_but_the_first_accepted(
    has_prefilled, answers, taken
):
    """Guards against retries that are denied since failed prefills were paid twice."""
    fleet = PrefillFleet()
    setup = StreamSetup(stream_context(fleet, answers))
    setup.has_prefilled = has_prefilled
    setup.prefill(Reservation(endpoint("i-d", "v1"), "lease"), is_first=True)
    assert len(fleet.budget.retries) == taken


class Stream(StreamCall):
    """A stream whose slots and attempts at engines go by a script.

    Each attempt is ``NO_SLOT``, ``LEAVING``, or the failure of its request.
    """

    def __init__(self, script, max_attempts=4):
        gateway = Gateway()
        self.script = script
        services = MagicMock(fleet=gateway.fleet)
        self.budget = gateway.fleet._budget("llm")
        call = MagicMock(
            prompt_tokens=10, expected_outputs=1, max_outputs=1, shared_parts=()
        )
        call.resume_after = call.priority = None
        route = MagicMock(resumable=True, repeatable=True, max_attempts=max_attempts)
        context = MagicMock(
            call=call, service="llm", services=services, route=route,
            deadline_at=math.inf, account_name=None,
        )  # fmt: skip
        context.remaining_s = lambda: 5.0
        context.may_spend_retry = lambda: gateway.fleet.may_spend_retry("llm")
        context.try_spend_retry = lambda: gateway.fleet.try_spend_retry("llm")
        super().__init__(context)
        services.client.open_stream = lambda *row: self.script.pop(0)
        services.guard.check = services.guard.blocked_part = lambda parts: None
        self.fleet.finish_call = self.fleet.count_call = lambda engine: None
        self.fleet.is_usable = self.is_usable
        self.fleet.record_unresponsive = lambda engine: None
        services.engines.has_ended.return_value = False
        self.setup.reserve = self.reserve
        self.setup.release = lambda *row: None
        self.setup.prefill = lambda found, is_first: PreparedDecode(found)

    def reserve(self):
        if self.script[0] == NO_SLOT:
            raise DecodePoolFullError("all decode engines are full")
        return Reservation(endpoint("i-d", "v1"), "lease")

    def is_usable(self, engine):
        return self.script[0] != LEAVING or not self.script.pop(0)

    def fail(self):
        """Make the attempts, which all fail; return what was taken for them."""
        try:
            self.run()
        except PoplarfoldError:
            return len(self.budget.retries)
        raise AssertionError("the stream has not failed")


NO_SLOT, LEAVING = "no slot", "leaving"


@pytest.mark.parametrize(
    ("script", "taken"),
    [
        ([NO_SLOT], 0),
        ([BROKEN, NO_SLOT], 0),
        ([BROKEN, BROKEN, NO_SLOT], 1),
        ([BROKEN, DEAD, NO_SLOT], 0),
        ([BROKEN, LEAVING, NO_SLOT], 0),
        ([BROKEN, LEAVING, BROKEN, NO_SLOT], 1),
        ([BROKEN, DEAD, BROKEN, NO_SLOT], 1),
        ([DEAD, BROKEN, NO_SLOT], 0),
        ([DEAD, LEAVING, BROKEN, BROKEN], 1),
        ([BROKEN, BROKEN, BROKEN, BROKEN], 3),
        ([ABORTED, BROKEN, ABORTED, BROKEN], 1),
    ],
)
def test_stream_takes_a_retry_for_each_further_request_that_may_arrive(script, taken):
    """Guards against retries that are denied although few streams were repeated, since
    the budget was spent on attempts that found no slot or reached no engine."""
    stream = Stream(list(script))
    assert stream.fail() == taken
    assert stream.script in ([], [NO_SLOT])


def test_stream_whose_budget_is_used_up_while_it_waits_fails_as_before():
    """Guards against a repeat that is not paid for, and against a promise that the
    stream has not run."""
    stream = Stream([BROKEN, BROKEN])
    reserve = stream.setup.reserve

    def reserve_late():
        found = reserve()
        while stream.has_arrived and stream.fleet.try_spend_retry("llm"):
            pass
        return found

    stream.setup.reserve = reserve_late
    with pytest.raises(EndpointError) as caught:
        stream.run()
    assert caught.value is BROKEN.unwrap_err().error
    assert stream.script == [BROKEN]


@pytest.mark.parametrize("has_arrived", [False, True])
def test_retry_of_a_stream_that_leaves_a_silent_engine(has_arrived):
    """Guards against a retry that is kept for a slot elsewhere which is not used, and
    against one that is taken twice."""
    stream = Stream([BROKEN if has_arrived else DEAD, NO_SLOT])
    assert stream.failover.charge.take()
    stream.failover.reservation = stream.setup.reserve()
    stream.has_arrived = True
    assert stream.fail() == has_arrived


def test_unused_retry_of_a_slot_elsewhere_is_given_back():
    """Guards against a retry that is lost with the stream it was taken for."""
    stream = Stream([BROKEN])
    assert stream.failover.charge.take()
    stream.failover.reservation = stream.setup.reserve()
    stream.failover.release()
    assert not stream.budget.retries


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 3.0)), max_size=60))
def test_returned_retries_leave_the_others_as_they_were(rows):
    """Guards against a return that takes away the charge of another call."""
    budget, expected = RetryBudget(0.2, 1000.0, 10.0), RetryBudget(0.2, 1000.0, 10.0)
    now, taken = 0.0, []
    for is_given_back, pause_s in rows:
        now += pause_s
        assert budget.try_spend(1, now)
        if is_given_back:
            taken.append(now)
        else:
            expected.count_retry(now)
    for at in taken:
        budget.give_back(at)
    assert budget.may_spend(1, now) and expected.may_spend(1, now)
    assert budget.retries == expected.retries
