"""Helpers that send requests to a daemon of a local fleet."""

import http.client
import json
import socket

from poplarfold._internal.bench.local_fleet import ACCOUNT_TOKEN

CREDENTIAL = {"Authorization": f"Bearer {ACCOUNT_TOKEN}"}


def caller_address(fleet, domain="galway-a"):
    host, _, port = fleet.daemons[domain].frontend.caller_address.rpartition(":")
    return host, int(port)


def post(fleet, path, body, headers=CREDENTIAL, domain="galway-a", method="POST"):
    """Send a request and return the open response."""
    connection = http.client.HTTPConnection(*caller_address(fleet, domain), timeout=20)
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    connection.request(method, path, data, headers)
    return connection.getresponse()


def completion(prompt, outputs=8, **fields):
    return {"model": "caption", "prompt": prompt, "max_tokens": outputs, **fields}


def error_of(response):
    """Return the status and the code of a typed error response."""
    assert response.headers["Content-Type"].startswith("application/json")
    error = json.loads(response.read())["error"]
    assert set(error) == {"code", "message", "outcome", "call_id"}
    return response.status, error["code"]


def read_stream(response):
    """Return the text of a streamed response and the data of its last event."""
    chunks = [chunk for chunk in response.read().split(b"\n\n") if chunk]
    *events, last = [chunk.removeprefix(b"data: ") for chunk in chunks]
    return "".join(json.loads(e)["choices"][0]["text"] for e in events), last


def request_head(body_length=None, *lines, path="/v1/completions"):
    """Return the head of a request as bytes."""
    rows = [f"POST {path} HTTP/1.1", "Host: localhost", *lines]
    rows.extend(f"{name}: {value}" for name, value in CREDENTIAL.items())
    if body_length is not None:
        rows.append(f"Content-Length: {body_length}")
    return "\r\n".join(rows).encode() + b"\r\n\r\n"


def send_raw(fleet, data, half_close=False):
    """Send raw bytes on a new connection and return the response."""
    sock = socket.create_connection(caller_address(fleet), timeout=20)
    sock.sendall(data)
    if half_close:
        sock.shutdown(socket.SHUT_WR)
    response = http.client.HTTPResponse(sock)
    response.begin()
    return response


def held_work(fleet):
    """Return the work that all engines of the fleet hold."""
    return [
        row
        for engine in fleet.prefills + fleet.decodes
        for row in engine.counters()["held"]
    ]
