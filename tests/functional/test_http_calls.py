"""Calls through HTTP: a daemon between real sockets and the stand-ins."""

import http.client
import json

import pytest

from poplarfold._internal.bench.local_fleet import (
    ACCOUNT_TOKEN,
    GLASSCAIRN,
    LocalFleet,
)
from poplarfold._internal.standins.answers import expected_text

IDENTITY = GLASSCAIRN.model_entry.identity


@pytest.fixture(scope="module")
def fleet():
    with LocalFleet(GLASSCAIRN) as fleet:
        fleet.start()
        fleet.publish_entries()
        yield fleet


def post(fleet, path, body, domain="galway-a", **headers):
    """Send a request and return the open response."""
    address = fleet.daemons[domain].frontend.caller_address
    connection = http.client.HTTPConnection(address, timeout=10)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    names = {key.replace("_", "-"): value for key, value in headers.items()}
    connection.request(
        "POST", path, data, {"Authorization": f"Bearer {ACCOUNT_TOKEN}", **names}
    )
    return connection.getresponse()


def completion(prompt, outputs=8, **fields):
    return {"model": "caption", "prompt": prompt, "max_tokens": outputs, **fields}


def events_of(response):
    """Return the data of each server-sent event."""
    chunks = response.read().split(b"\n\n")
    return [chunk.removeprefix(b"data: ") for chunk in chunks if chunk]


def test_streamed_completion_is_the_whole_answer(fleet):
    """Guards against lost, repeated or foreign outputs on the whole path."""
    prompt = "a transcript of some length " * 40
    response = post(fleet, "/v1/completions", completion(prompt, stream=True))
    assert response.status == 200
    *events, last = events_of(response)
    assert last == b"[DONE]"
    text = "".join(json.loads(event)["choices"][0]["text"] for event in events)
    assert text == expected_text(IDENTITY, prompt, 8)
