"""Answers that end early must not look whole."""

import pytest
from tests.lib.platform_standin import EndpointStandIn

from poplarfold._internal.daemon.endpoint_client import EndpointClient, Target

HEADERS = {"Poplarfold-Request-Id": "9c41d07be2a35f68"}


@pytest.fixture
def endpoint():
    standin = EndpointStandIn("i-1")
    yield standin
    standin.stop()


def ask(endpoint):
    client = EndpointClient(connect_timeout_s=1.0)
    return client.exchange(
        Target(endpoint.address, "GET", "/lookup/1"), None, HEADERS, 1.0, fresh=True
    )


def test_whole_answer(endpoint):
    """Guards against a check that refuses proper answers."""
    assert ask(endpoint).unwrap().body == b"whole answer"


def test_body_cut_off(endpoint):
    """Guards against a body with fewer bytes than its length says.

    Seen on scale-1 of the Association: the endpoint crashed while it answered
    and the caller got a part of the body with its length corrected.
    """
    endpoint.faults.add("cut_body")
    assert ask(endpoint).is_err()


def test_head_cut_off(endpoint):
    """Guards against a head that is cut off and so has lost its length."""
    endpoint.faults.add("cut_head")
    assert ask(endpoint).is_err()
