"""Small HTTP client whose connections can be closed at any time."""

import http.client
import json
from typing import NamedTuple

CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class Answer(NamedTuple):
    status: int
    headers: dict
    body: bytes


def request(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Make one request on a new connection. Return None if that fails."""
    answer = try_request(address, method, path, body, headers, timeout_s)
    return answer if isinstance(answer, Answer) else None


def failure_name(error):
    """Return ``no_daemon``, ``timeout`` or ``broken`` for one of the CONNECTION_ERRORS
    types."""
    if isinstance(error, ConnectionRefusedError):
        return "no_daemon"
    return "timeout" if isinstance(error, TimeoutError) else "broken"


def try_request(address, method, path, body, headers, timeout_s):
    """Make one request and return its answer or the name of the failure."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return Answer(answer.status, dict(answer.headers), answer.read())
    except CONNECTION_ERRORS as error:
        return failure_name(error)
    finally:
        connection.close()


class Stream:
    """A streamed model call. ``events`` yields its decoded events."""

    def __init__(self, address, path, body, headers, timeout_s):
        self.connection = http.client.HTTPConnection(address, timeout=timeout_s)
        self.connection.request("POST", path, json.dumps(body), headers)
        self.answer = self.connection.getresponse()

    def events(self):
        """Yield the events, and ``None`` for [DONE].

        Raises a type in CONNECTION_ERRORS.
        """
        rest = b""
        while data := self.answer.read1(65536):
            *lines, rest = (rest + data).split(b"\n\n")
            for line in lines:
                if line == b"data: [DONE]":
                    yield None
                elif line.startswith(b"data: "):
                    yield json.loads(line[6:])

    def close(self):
        """Close the connection, even in the middle of the response."""
        self.answer.close()
        self.connection.close()
