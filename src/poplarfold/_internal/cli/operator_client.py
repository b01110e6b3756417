"""HTTP client for the operators' interface of a daemon."""

import json
import os
from argparse import Namespace
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import urllib3
from result import Err, Ok, Result

from poplarfold._internal.cli.parser import TOKEN_VARIABLE
from poplarfold._internal.exceptions import (
    DaemonRefusedError,
    DaemonUnreachableError,
    PoplarfoldError,
    RevisionConflictError,
    UsageError,
)

__all__ = ["OperatorClient", "client_from_options", "read_token"]

CONNECT_TIMEOUT_S = 3.0
# A change is accepted once the log has responded, which can take seconds.
READ_TIMEOUT_S = 15.0
ANSWER_LIMIT_BYTES = 64_000_000
TOKEN_LIMIT_BYTES = 4_096

Answer = Result[dict[str, Any], PoplarfoldError]


class OperatorClient:
    """Client for the operators' interface of one daemon.

    All methods return the decoded response, or DaemonUnreachableError,
    DaemonRefusedError or RevisionConflictError.
    """

    def __init__(
        self, url: str, token: str, request: Callable[..., Any] | None = None
    ) -> None:
        self.url = url.rstrip("/")
        self.token = token
        self.request = request or urllib3.PoolManager(retries=False).request

    def entries(self) -> Answer:
        """Return the catalogue that is in force on the daemon."""
        return self._call("GET", "entries")

    def status(self) -> Answer:
        """Return the state of the node and its view of the domains."""
        return self._call("GET", "status")

    def endpoints(self) -> Answer:
        """Return the endpoints known to the node, with their last reports."""
        return self._call("GET", "endpoints")

    def drain(self) -> Answer:
        """Start a planned stop."""
        return self._call("POST", "drain", {})

    def propose(self, base_revision: int, entry: Mapping[str, Any]) -> Answer:
        """Publish (base -1) or amend an entry. The request is never retried.

        After a DaemonUnreachableError the change may have been accepted.
        """
        body = {"base_revision": base_revision, "entry": dict(entry)}
        return self._call("POST", "entries", body)

    def _call(self, method: str, path: str, body: object = None) -> Answer:
        url = f"{self.url}/operator/v1/{path}"
        headers = {"Authorization": f"Bearer {self.token}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            response = self.request(
                method,
                url,
                body=None if body is None else json.dumps(body).encode(),
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
                redirect=False,
                preload_content=False,
            )
            with response:
                content = response.read(ANSWER_LIMIT_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Err(DaemonUnreachableError(f"{url}: {error}"))
        return read_answer(url, response.status, content)


def read_answer(url: str, status: int, content: bytes) -> Answer:
    """Decode a response; convert an error response to an exception."""
    if len(content) > ANSWER_LIMIT_BYTES:
        return Err(DaemonUnreachableError(f"{url}: the response is too large"))
    try:
        body = json.loads(content)
    except (ValueError, RecursionError):
        body = None
    if status == 200 and isinstance(body, dict):
        return Ok(body)
    if not isinstance(body, dict):
        return Err(
            DaemonUnreachableError(
                f"{url}: HTTP status {status} without a JSON object; is this the "
                "operators' address of a daemon?"
            )
        )
    detail = body.get("error")
    detail = detail if isinstance(detail, dict) else {}
    code, message = str(detail.get("code", "")), str(detail.get("message", ""))
    if code == RevisionConflictError.code:
        conflict = RevisionConflictError(message)
        conflict.current = body.get("entry") or detail.get("entry")
        return Err(conflict)
    refused = DaemonRefusedError(f"the daemon refused ({code or status}): {message}")
    refused.remote_code, refused.remote_status, refused.body = code, status, body
    return Err(refused)


def client_from_options(options: Namespace) -> OperatorClient:
    """Return the client for the options of the command line. Raises UsageError."""
    return OperatorClient(options.url, read_token(options.token_file))


def read_token(path: Path | None) -> str:
    """Read the bearer token from a file or the environment.

    The token is not a command-line argument, because other users of the machine
    can read those. Raises UsageError.
    """
    if path is None:
        token = os.environ.get(TOKEN_VARIABLE, "")
    else:
        try:
            with path.open("rb") as stream:
                token = stream.read(TOKEN_LIMIT_BYTES).decode("ascii").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{path}: the token cannot be read: {error}") from error
    if not token:
        raise UsageError(f"set {TOKEN_VARIABLE} or --token-file to a bearer token")
    if not (token.isascii() and token.isprintable()) or " " in token:
        raise UsageError("the bearer token contains characters that are not allowed")
    return token
