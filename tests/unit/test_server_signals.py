"""Tests of what endpoints say of themselves in their answers."""

import pytest

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.core.fleet.server_signals import (
    ENDPOINTS_MAX,
    RETRY_AFTER_MAX_S,
    RETURN_SPREAD,
    ServerSignal,
    ServerSignals,
)
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.platform import decode_answer_metadata

LEAVING = ServerSignal(is_leaving=True)


def endpoint(name="i-1", born=7):
    return FleetEndpoint(
        name, born, "s", "10.0.0.1:80", "a", EndpointRole.SERVICE, 4, False, 0.0
    )


def test_leaving_endpoint_stays_out_of_use_until_its_next_incarnation():
    """Guards against new work for an endpoint whose entry still says ready."""
    signals = ServerSignals()
    assert signals.record(endpoint(), LEAVING, 10.0)
    assert not signals.record(endpoint(), LEAVING, 11.0)
    assert not signals.may_use(endpoint(), 10_000.0)
    assert signals.away_s(endpoint(), 10_000.0) is None
    assert signals.may_use(endpoint(born=8), 11.0)
    # A late answer of the earlier incarnation says nothing of the new one.
    assert signals.record(endpoint(born=8), ServerSignal(retry_after_s=1.0), 11.0)
    assert not signals.record(endpoint(), LEAVING, 12.0)
    assert signals.may_use(endpoint(born=8), 12.5)
    assert signals.may_use(endpoint("i-2"), 10.0)


@pytest.mark.parametrize("spread", [0.0, 1.0])
def test_endpoint_is_not_called_before_the_time_that_it_asked_for(spread):
    """Guards against calls to an overloaded endpoint that asked for a pause."""
    signals = ServerSignals()
    signals.record(endpoint(), ServerSignal(retry_after_s=2.0), 10.0, spread)
    assert not signals.may_use(endpoint(), 11.999)
    assert signals.may_use(endpoint(), 12.0 + 2.0 * RETURN_SPREAD)
    # A shorter time in a later answer does not end the longer one.
    signals.record(endpoint(), ServerSignal(retry_after_s=0.1), 11.0)
    assert not signals.may_use(endpoint(), 11.5)
    signals.record(endpoint(), ServerSignal(retry_after_s=1e12), 12.0)
    assert not signals.may_use(endpoint(), 12.0 + RETRY_AFTER_MAX_S - 1.0)
    assert signals.may_use(endpoint(), 12.0 + RETRY_AFTER_MAX_S)


def test_signals_are_bounded():
    """Guards against memory that grows with each replaced endpoint."""
    signals = ServerSignals()
    for number in range(ENDPOINTS_MAX + 10):
        signals.record(endpoint(f"i-{number}"), LEAVING, 0.0)
    assert len(signals.rows) == ENDPOINTS_MAX
    assert not signals.may_use(endpoint(f"i-{ENDPOINTS_MAX + 9}"), 1.0)


@pytest.mark.parametrize(
    ("status", "value", "expected_s"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, " 3 ", 3.0),
        (503, "-1", None),
        (503, "soon", None),
        (503, "nan", None),
        (503, "inf", None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
        (429, "2", None),
        (200, "2", None),
    ],
)
def test_retry_after_of_a_rejection(status, value, expected_s):
    """Guards against pauses that no endpoint has asked for."""
    metadata = decode_answer_metadata(status, {"Retry-After": value})
    assert metadata.signal.retry_after_s == expected_s


def test_leaving_is_said_by_the_endpoint_itself():
    """Guards against an endpoint that is taken out of use for what another one said."""
    headers = {"Server-Leaving": "1"}
    assert decode_answer_metadata(200, headers).signal.is_leaving
    assert decode_answer_metadata(503, headers).signal.is_leaving
    assert not decode_answer_metadata(200, {"Server-Leaving": "0"}).signal.is_leaving
    # Another endpoint at the address has answered.
    assert not decode_answer_metadata(421, headers).signal.is_leaving
