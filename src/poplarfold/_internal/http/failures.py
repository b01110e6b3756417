"""Typed failures of requests to endpoints.

A refused connection proves that nothing was sent. After any other failure that
follows the first byte of the request, it is unknown whether the endpoint has
executed it.
"""

import http.client
from collections.abc import Iterator
from typing import NamedTuple

from urllib3.exceptions import HTTPError

from poplarfold._internal.exceptions import (
    EndpointError,
    EndpointStalledError,
    EndpointUnreachableError,
)

__all__ = ["NETWORK_ERRORS", "Failure", "failure_of"]

NETWORK_ERRORS = (OSError, http.client.HTTPException, HTTPError)


class Failure(NamedTuple):
    """A request without a complete response.

    ``sent`` is true if any byte may have reached the endpoint, ``refused`` if no
    process listens at the address, ``on_reused_connection`` if a reused connection
    broke.
    """

    error: EndpointError
    sent: bool
    refused: bool = False
    on_reused_connection: bool = False


def failure_of(error: Exception, address: str, sent: bool) -> Failure:
    """Return the typed failure for a network exception."""
    refused = is_connection_refused(error)
    if not sent:
        message = f"no connection to {address}: {error}"
        return Failure(EndpointUnreachableError(message), False, refused)
    if is_timeout(error):
        return Failure(EndpointStalledError(f"{address} did not respond in time"), True)
    return Failure(EndpointError(f"connection to {address} failed: {error}"), True)


def is_connection_refused(error: BaseException) -> bool:
    """Return whether the error or one of its causes is a refused connection."""
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes(error))


def is_timeout(error: BaseException) -> bool:
    """Return whether the error or one of its causes is a timeout."""
    return any(isinstance(cause, TimeoutError) for cause in causes(error))


def causes(error: BaseException) -> Iterator[BaseException]:
    """Yield an error and its chain of causes, the outermost first."""
    found: BaseException | None = error
    while found is not None:
        yield found
        found = found.__cause__ or found.__context__
