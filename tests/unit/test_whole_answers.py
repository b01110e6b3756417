"""Tests that truncated answers are not taken for complete ones."""

import pytest
from tests.lib.listeners import end_listener
from tests.lib.platform_standin import EndpointStandIn
from tests.unit.test_answer_heads import Server as AnswerServer

from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target

# For a stand-in whose threads are held up on a busy machine. No test waits so long.
TIMEOUT_S = 10.0
HEADERS = {"Poplarfold-Request-Id": "9c41d07be2a35f68"}


@pytest.fixture
def endpoint():
    standin = EndpointStandIn("i-1")
    yield standin
    standin.stop()


@pytest.fixture
def start():
    """Return a function that starts a server which sends an answer and closes."""
    servers = []

    def start_server(answer):
        servers.append(AnswerServer())
        servers[-1].answer = answer
        return servers[-1]

    yield start_server
    for server in servers:
        end_listener(server.listener)


def call(endpoint):
    client = EndpointClient(connect_timeout_s=TIMEOUT_S)
    return client.exchange(
        Target(endpoint.address, "GET", "/lookup/1"),
        None,
        HEADERS,
        TIMEOUT_S,
        use_new_connection=True,
    )


def test_complete_answer(endpoint):
    """Guards against a check that rejects complete answers."""
    assert call(endpoint).unwrap().body == b"whole answer"


def test_truncated_body(endpoint):
    """Guards against a body that is shorter than its Content-Length.

    An endpoint may crash while it answers. If the router forwards the part that it
    received, with a Content-Length that matches that part, the caller cannot tell.
    """
    endpoint.faults.add("cut_body")
    assert call(endpoint).is_err()


def test_truncated_headers(endpoint):
    """Guards against truncated headers that no longer have a Content-Length."""
    endpoint.faults.add("cut_head")
    assert call(endpoint).is_err()


def test_truncated_chunks(start):
    """Guards against a cut chunk size with leading zeros that is read as the end."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = b"0002\r\nha\r\n0003;a=b\r\nlf.\r\n000\r\n"
    for length in range(len(body)):
        assert call(start(head + body[:length])).is_err(), body[:length]
    assert call(start(head + body + b"\r\n")).unwrap().body == b"half."
