"""Tests of the handler of callers' requests."""

from types import SimpleNamespace

import pytest

from poplarfold._internal.gateway.handler import CallHandler
from poplarfold._internal.http.stream_places import StreamPlaces


class FailingFleet:
    """A fleet whose configuration cannot be looked at, for a reason nobody expects."""

    settings = SimpleNamespace(admission=SimpleNamespace(retry_after_s=1.0))

    def wait_for_view(self):
        pass

    def match(self, host, path):
        raise KeyError("caption")


class Exchange:
    """A caller's request that records its answer."""

    method, target = "POST", "/caption/1"
    headers = {"Poplarfold-Request-Id": "9c41d07be2a35f68"}
    has_started = False
    is_closed = False

    def __init__(self):
        self.statuses = []

    def read_body(self):
        return b"prompt"

    def send_whole(self, status, headers, body, holding=None):
        self.statuses.append(status)

    def close_after_request(self):
        self.is_closed = True


@pytest.fixture
def events():
    return []


@pytest.fixture
def handler(events):
    services = SimpleNamespace(
        fleet=FailingFleet(),
        metrics=SimpleNamespace(
            set_open=lambda count: None, count_error_response=lambda code: None
        ),
        write_log=lambda number, call_id, fields: events.append(number),
    )
    return CallHandler(services, StreamPlaces(1, 0.0))


def test_unexpected_error_is_answered(handler, events):
    """Guards against a request that ends without an answer, and a call that stays
    open for a planned stop."""
    exchange = Exchange()
    handler(exchange)
    assert exchange.statuses == [500]
    assert handler.open_calls == 0
    assert "PF9004" in events


def test_unexpected_error_after_the_head_closes_the_connection(handler):
    """Guards against an answer that looks complete although its call has failed."""
    exchange = Exchange()
    exchange.has_started = True
    handler(exchange)
    assert exchange.statuses == []
    assert exchange.is_closed
