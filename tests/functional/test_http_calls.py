"""HTTP calls to a daemon with stand-in endpoints, over real sockets."""

import contextlib
import json
import socket
import time

import pytest
from tests.lib.http_calls import (
    CREDENTIAL,
    caller_address,
    completion,
    error_of,
    post,
    read_stream,
    request_head,
    send_raw,
)

from poplarfold._internal.bench.local_fleet import (
    GLASSCAIRN,
    PATIENT_TARGETS,
    TIMEOUTS,
    LocalFleet,
)
from poplarfold._internal.core.entry_codec import entry_fields
from poplarfold._internal.core.model import CallClass
from poplarfold._internal.standins.answers import expected_text

IDENTITY = GLASSCAIRN.model_entry.identity
# A call that waits for a connection to reach this limit takes at least as long. One
# without any other connections took 1.5 s once, on a machine with a load of 51.
READ_LIMIT_S = 3.0


@pytest.fixture(scope="module")
def fleet():
    timeouts = TIMEOUTS._replace(request_read_s=READ_LIMIT_S)
    with LocalFleet(GLASSCAIRN, timeouts=timeouts, body_limit_bytes=500_000) as fleet:
        fleet.start()
        fleet.publish_entries()
        patient = GLASSCAIRN.model_entry._replace(
            name="transcript", call_class=CallClass.PATIENT, targets=PATIENT_TARGETS
        )
        body = {"base_revision": -1, "entry": entry_fields(patient)}
        assert fleet.operator_request("galway-a", "POST", "entries", body)[0] == 200
        yield fleet


def test_streamed_completion_is_complete(fleet):
    """Guards against lost, repeated or foreign outputs between engine and caller."""
    prompt = "a transcript of some length " * 40
    response = post(fleet, "/v1/completions", completion(prompt, stream=True))
    assert response.status == 200
    assert read_stream(response) == (expected_text(IDENTITY, prompt, 8), b"[DONE]")


def test_outputs_of_a_reordering_engine_are_put_in_order(fleet):
    """Guards against outputs that are forwarded in their order of arrival."""
    for engine in fleet.decodes:
        engine.reorder(0.3)
    try:
        body = completion("reordered", 40, stream=True)
        text, last = read_stream(post(fleet, "/v1/completions", body))
    finally:
        for engine in fleet.decodes:
            engine.reorder(0.0)
    assert (text, last) == (expected_text(IDENTITY, "reordered", 40), b"[DONE]")


def test_chat_without_stream_counts_tokens(fleet):
    """Guards against wrong usage counts, by which accounts are billed."""
    parts = [{"type": "text", "text": "hi"}, {"type": "text", "text": " there"}]
    messages = [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": parts},
    ]
    body = {"model": "caption", "messages": messages, "max_completion_tokens": 5}
    answer = json.loads(post(fleet, "/v1/chat/completions", body).read())
    prompt = "system: be brief\nuser: hi there"
    content = answer["choices"][0]["message"]["content"]
    assert content == expected_text(IDENTITY, prompt, 5)
    tokens = len(prompt) // 4
    assert answer["usage"] == {
        "prompt_tokens": tokens,
        "completion_tokens": 5,
        "total_tokens": tokens + 5,
    }


def test_long_prompt_is_not_truncated(fleet):
    """Guards against a 300 kB prompt that is truncated on its way to the engine."""
    prompt = "".join(f"line {number} of a transcript\n" for number in range(12_000))
    assert len(prompt) > 300_000
    body = completion(prompt, 4, stream=True) | {"model": "transcript"}
    text, _ = read_stream(post(fleet, "/v1/completions", body))
    assert text == expected_text(IDENTITY, prompt, 4)


def test_lookup_response_is_forwarded(fleet):
    """Guards against a service response that is changed on its way to the caller."""
    response = post(fleet, "/v1/services/lookup", {"q": 1})
    assert response.status == 200
    assert json.loads(response.read())["service"] == "order-desk"


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b"", (400, "invalid_request")),
        (b'{"model": "caption", "prompt": "x', (400, "invalid_request")),
        (b"[" * 100_000, (400, "invalid_request")),
        (b"[]", (400, "invalid_request")),
        (b"\xff\xfe", (400, "invalid_request")),
        (completion(""), (400, "invalid_request")),
        (completion("\ud800"), (400, "invalid_request")),
        (completion(7), (400, "invalid_request")),
        (completion("x", 0), (400, "invalid_request")),
        (completion("x", True), (400, "invalid_request")),
        (completion("x", "8"), (400, "invalid_request")),
        (completion("x", 10**30), (400, "invalid_request")),
        (completion("x", stream="yes"), (400, "invalid_request")),
        (completion("x", stream_options=[]), (400, "invalid_request")),
        (completion("x", n=2), (400, "invalid_request")),
        (completion("x") | {"model": None}, (400, "invalid_request")),
        (completion("x") | {"model": "no-such"}, (404, "entry_not_found")),
        (completion("x") | {"model": "127.0.0.1:1"}, (404, "entry_not_found")),
        (completion("x") | {"model": "lookup"}, (400, "wrong_entry_kind")),
        (completion("x" * 500_001), (413, "prompt_too_large")),
    ],
)
def test_bad_bodies_get_typed_errors(fleet, body, expected):
    """Guards against untyped errors, and bodies that crash a request thread."""
    assert error_of(post(fleet, "/v1/completions", body)) == expected


@pytest.mark.parametrize(
    ("path", "headers", "expected"),
    [
        ("/v1/completions", {}, (401, "unauthenticated")),
        ("/v1/completions", {"Authorization": "Bearer x"}, (401, "unauthenticated")),
        (
            "/v1/completions",
            {**CREDENTIAL, "Poplarfold-Deadline-Ms": "-1"},
            (400, "invalid_request"),
        ),
        ("/v1/services/payment-hold", CREDENTIAL, (400, "idempotency_key_required")),
        (
            "/v1/services/payment-hold",
            {**CREDENTIAL, "Idempotency-Key": "a b"},
            (400, "idempotency_key_required"),
        ),
        (
            "/v1/services/payment-hold",
            {**CREDENTIAL, "Idempotency-Key": "k", "Idempotency-Date": "today"},
            (400, "invalid_request"),
        ),
        ("/v1/services/caption", CREDENTIAL, (400, "wrong_entry_kind")),
        ("/v1/services/a%0d%0ab", CREDENTIAL, (404, "entry_not_found")),
        ("/v1/nothing", CREDENTIAL, (404, "path_not_found")),
        ("/operator/v1/status", CREDENTIAL, (404, "path_not_found")),
    ],
)
def test_bad_heads_get_typed_errors(fleet, path, headers, expected):
    """Guards against unauthorized or malformed requests that start a call."""
    body = completion("x")
    assert error_of(post(fleet, path, body, headers)) == expected


def test_wrong_method_is_rejected_with_the_allowed_one(fleet):
    """Guards against GET requests that start a call."""
    response = post(fleet, "/v1/completions", b"", method="GET")
    assert response.headers["Allow"] == "POST"
    assert error_of(response) == (405, "method_not_allowed")


@pytest.mark.parametrize(
    "lines",
    [
        ["X-A: b\rInjected: yes"],
        ["X-A: b\n Injected: yes"],
        ["X-A: b\0c"],
        ["X A: b"],
        ["Content-Length: 5", "Content-Length: 6"],
        ["Content-Length: 5", "Transfer-Encoding: chunked"],
        ["Content-Length: +5"],
        ["Content-Length: -5"],
        ["Content-Length: 5, 5"],
    ],
)
def test_ambiguous_heads_are_rejected(fleet, lines):
    """Guards against header injection and request smuggling."""
    assert error_of(send_raw(fleet, request_head(None, *lines))) == (
        400,
        "invalid_request",
    )


def test_chunked_bodies_are_decoded_or_rejected(fleet):
    """Guards against chunked bodies that are misread, malformed or too long."""
    start = request_head(None, "Transfer-Encoding: chunked")
    body = json.dumps(completion("in chunks", 3)).encode()
    parts = [body[:10], body[10:]]
    whole = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    answer = json.loads(send_raw(fleet, start + whole + b"0\r\n\r\n").read())
    assert answer["choices"][0]["text"] == expected_text(IDENTITY, "in chunks", 3)
    bad = send_raw(fleet, start + b"zz\r\n")
    assert error_of(bad) == (400, "invalid_request")
    long = send_raw(fleet, start + b"%x\r\n" % 10**9)
    assert error_of(long) == (413, "prompt_too_large")


def test_half_closed_caller_gets_an_error(fleet):
    """Guards against a truncated body that is treated as complete."""
    response = send_raw(fleet, request_head(100) + b'{"model"', half_close=True)
    assert error_of(response) == (400, "invalid_request")


@pytest.mark.parametrize(
    "sent", [b"POST /v1/comp", request_head(100)[:-2], request_head(100) + b"{"]
)
def test_slow_sender_times_out(fleet, sent):
    """Guards against senders that occupy a thread with one byte at a time."""
    began = time.monotonic()
    sock = socket.create_connection(caller_address(fleet), timeout=5)
    sock.sendall(sent)
    sock.settimeout(0.1)
    answer = b""
    while not answer:
        assert time.monotonic() - began < 3 * READ_LIMIT_S
        try:
            answer = sock.recv(4096)
        except TimeoutError:
            sock.sendall(b"x")
    sock.settimeout(5)
    with contextlib.suppress(ConnectionResetError):
        while more := sock.recv(4096):
            answer += more
    assert b" 408 " in answer.split(b"\r\n")[0]
    assert b'"request_timeout"' in answer


def test_idle_connections_occupy_no_thread(fleet):
    """Guards against idle connections that block calls."""
    idle = [
        socket.create_connection(caller_address(fleet))
        for _ in range(fleet.request_threads + 10)
    ]
    began = time.monotonic()
    assert post(fleet, "/v1/services/lookup", {}).status == 200
    assert time.monotonic() - began < READ_LIMIT_S
    for sock in idle:
        sock.close()


def test_deadline_ends_the_call(fleet):
    """Guards against calls that run past their caller's deadline."""
    headers = {**CREDENTIAL, "Poplarfold-Deadline-Ms": "150"}
    began = time.monotonic()
    response = post(fleet, "/v1/completions", completion("late", 100), headers)
    status, code = error_of(response)
    assert (status, code) in {(504, "deadline_exceeded"), (429, "overloaded")}
    assert time.monotonic() - began < 1.0
