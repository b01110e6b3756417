"""Answers of the router's own.

A 503 is a promise that the call has not run and never will. A call that may
have run is answered with 502 or 504, which promise nothing.
"""

import json

from poplarfold._internal.exceptions import PoplarfoldError
from poplarfold._internal.gateway.server import CallerExchange

__all__ = ["send_failure"]

NOT_RUN_STATUS = 503


def send_failure(
    exchange: CallerExchange,
    request_id: str,
    error: PoplarfoldError,
    retry_after_s: float | None,
) -> None:
    """Answer a call with a typed failure. Raises OSError if the caller has gone."""
    headers = [("Content-Type", "application/json")]
    if error.status == NOT_RUN_STATUS and retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    body = json.dumps(error.as_body(request_id or None)).encode()
    exchange.send_whole(error.status, headers, body)
