"""What the handler and the state of a process do with the units of a call."""

import contextlib
from types import SimpleNamespace

import pytest
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.account_quota import FRESH_S
from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    ClientAccount,
    UsageUnit,
)
from poplarfold._internal.core.fleet.relay_messages import (
    CODEC,
    PROTOCOL_VERSION,
    CostReport,
    RegionSubscribe,
    RegionUsage,
    Subscribe,
    UsageLevels,
    UsageReport,
    pack,
    unpack,
)
from poplarfold._internal.core.fleet.rows import CallKind
from poplarfold._internal.core.fleet.usage_rows import pack_rows, unpack_rows
from poplarfold._internal.core.message_codec import MessageCodec
from poplarfold._internal.exceptions import (
    CallerDisconnectedError,
    CallTimeoutError,
    NotRunError,
    PeerProtocolError,
    PoplarfoldError,
    QuotaExceededError,
)
from poplarfold._internal.gateway.account_usage import AccountUsage
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.handler import CallHandler
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.gateway.plain_calls import PlainCall
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.http.answer_memory import AnswerMemory
from poplarfold._internal.http.exchange import Answer
from poplarfold._internal.http.stream_places import StreamPlaces
from poplarfold._internal.platform.boot import Bounds
from poplarfold._internal.platform.calls import NOT_EXECUTED

LIMIT = AccountLimit(UsageUnit.TOKENS, 100.0, 200.0, plain_tokens=200.0)
ACCOUNT = ClientAccount("moa", limit=LIMIT)
QUOTA = 1_000


@pytest.fixture
def usage():
    """The state of a process that knows of no other host."""
    bounds = Bounds(quota_over=0.0)
    clock = SimpleNamespace(now=10.0)
    fleet = Fleet(
        host_settings("h", "", bounds),
        GatewaySettings(unknown_nodes=1),
        1,
        lambda: clock.now,
    )
    return AccountUsage(fleet, GatewayMetrics(), lambda *event: None)


def test_process_that_starts_again_keeps_its_former_use():
    """Guards against a process that admits a whole quota again right after its start,
    and against one that tells no relay that it has started again."""
    clock = SimpleNamespace(now=10.0)
    host = host_settings("h", "", Bounds(quota_over=0.0))
    host = host._replace(is_first_start=False)
    fleet = Fleet(host, GatewaySettings(unknown_nodes=1), 1, lambda: clock.now)
    usage = AccountUsage(fleet, GatewayMetrics(), lambda *event: None)
    relay = AccountUsage(fleet, GatewayMetrics(), lambda *event: None)
    assert usage.admit(ACCOUNT, QUOTA / 2).is_err()
    report = usage.report("relay")
    assert report.unknown_s == 8.0
    relay.record_report("h2", report)
    assert relay.region_snapshot()[0].unknown_hosts == 2
    clock.now = 18.0
    assert usage.admit(ACCOUNT, QUOTA / 2).is_ok()
    assert usage.report("relay").unknown_s == 0.0


def context_of(was_sent, **counts):
    call = SimpleNamespace(prompt_tokens=0, max_outputs=0, has_token_count=False)
    vars(call).update(counts)
    return SimpleNamespace(
        account=ACCOUNT,
        call=call,
        was_sent=was_sent,
        is_refused=False,
        version=1,
        log=lambda number, **fields: None,
    )


@pytest.mark.parametrize(
    ("error", "was_sent", "is_returned"),
    [
        (NotRunError("none took it"), True, True),
        (CallerDisconnectedError("gone"), False, True),
        (CallerDisconnectedError("gone"), True, False),
        (OSError("gone"), True, False),
        (CallTimeoutError("late"), True, False),
        (None, True, False),
    ],
)
def test_units_are_returned_only_if_nothing_ran(usage, error, was_sent, is_returned):
    """Guards against a call that may have run and isn't counted, and against one that
    has certainly not run and uses up the quota."""
    handler = CallHandler(SimpleNamespace(usage=usage), StreamPlaces(1, 0.0))

    def end(context):
        if error is not None:
            raise error

    handler.serve_admitted = end
    for _ in range(5):
        with contextlib.suppress(PoplarfoldError, OSError):
            handler.serve_within_quota(context_of(was_sent))
    result = usage.admit(ACCOUNT, QUOTA)
    assert result.is_ok() is is_returned


@pytest.mark.parametrize("headers", [{NOT_EXECUTED: "1"}, {}])
def test_units_are_returned_if_the_answer_is_a_refusal(usage, headers):
    """Guards against calls that use up the quota although their callers get the
    endpoint's assurance that they have not run."""
    handler = CallHandler(SimpleNamespace(usage=usage), StreamPlaces(1, 0.0))
    call = PlainCall.__new__(PlainCall)
    metrics = SimpleNamespace(count_answer=lambda *row: None)

    def forward(context):
        context.exchange = SimpleNamespace(send_whole=lambda *answer: None)
        context.services = SimpleNamespace(metrics=metrics)
        context.route = SimpleNamespace(kind=CallKind.IDEMPOTENT)
        context.arrived_at = 0.0
        call.context, call.is_unexecuted = context, bool(headers)
        call.held = AnswerMemory().hold()
        call.forward(Answer(429, headers, b""))

    handler.serve_admitted = forward
    for _ in range(5):
        handler.serve_within_quota(context_of(True))
    assert usage.admit(ACCOUNT, QUOTA).is_ok() is bool(headers)


def test_call_over_the_quota_does_not_run(usage):
    """Guards against a refused call that goes on to an endpoint, and against a token
    count that is left out of the sum."""
    handler = CallHandler(SimpleNamespace(usage=usage), StreamPlaces(1, 0.0))
    served = []
    handler.serve_admitted = served.append
    counts = {"prompt_tokens": 600, "max_outputs": 100, "has_token_count": True}
    handler.serve_within_quota(context_of(True, **counts))
    with pytest.raises(QuotaExceededError) as raised:
        handler.serve_within_quota(context_of(True, **counts))
    assert len(served) == 1
    assert raised.value.remaining_s > 0
    counted = {
        row["result"]: units for row, units in usage.metrics.account_units.get_all()
    }
    assert counted == {"admitted": 700, "refused": 700}


def test_huge_token_count_harms_no_other_call(usage):
    """Guards against one impossible call that counts as demand and has others of its
    account refused."""
    assert usage.admit(ACCOUNT, 1e12).is_err()
    assert usage.admit(ACCOUNT, QUOTA / 2).is_ok()


def test_earlier_release_ignores_the_messages():
    """Guards against connections that break while hosts of two releases run."""
    earlier = MessageCodec((Subscribe, CostReport), PROTOCOL_VERSION)
    messages = [
        UsageReport(b""),
        UsageLevels(1.0, b""),
        RegionSubscribe("h", "a", "r"),
        RegionUsage(1, False, b""),
    ]
    for message in messages:
        assert earlier.decode(CODEC.encode(message)).unwrap() is None
        assert unpack(pack(message)).unwrap() == message


@pytest.mark.parametrize("data", [b"\x00", b"\x00" * 5, b"\x00" * 4 + b"\xff" * 20])
def test_malformed_rows_are_a_protocol_error(usage, data):
    """Guards against bytes of a peer that end the event loop of the link."""
    assert unpack_rows(data, 2).is_err()
    with pytest.raises(PeerProtocolError):
        usage.record_report("h2", UsageReport(data))
    rows = [(2**32 - 1, -(2**40), 2**40), (0, 0, 63)]
    assert unpack_rows(pack_rows(rows), 2).unwrap() == rows


def test_levels_of_an_unknown_clock_are_not_used(usage):
    """Guards against old levels that count as new, because the difference between the
    clocks of the relay and this host is unknown."""
    levels = UsageLevels(0.0, b"")
    usage.record_levels("r", levels, None)
    usage.record_levels("r", levels, 10.0 - FRESH_S)
    assert usage.quota.fresh_relays(10.0) == []
    usage.record_levels("r", levels, 9.9)
    assert len(usage.quota.fresh_relays(10.0)) == 1
