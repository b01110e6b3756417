"""Error responses that the router itself generates.

Status 429 and 503 guarantee that the call has not run and never will. A call that may
have run gets 502 or 504, which guarantee nothing.
"""

import json

from poplarfold._internal.exceptions import PoplarfoldError
from poplarfold._internal.gateway.server import CallerExchange

__all__ = ["send_error"]

NOT_RUN_STATUSES = frozenset({429, 503})


def send_error(
    exchange: CallerExchange,
    request_id: str,
    error: PoplarfoldError,
    retry_after_s: float | None,
) -> None:
    """Send an error as JSON. Raises OSError if the caller has disconnected."""
    headers = [("Content-Type", "application/json")]
    if error.status in NOT_RUN_STATUSES and retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    body = json.dumps(error.as_body(request_id or None)).encode()
    exchange.send_whole(error.status, headers, body)
