"""Typed failures of requests to endpoints.

A refused connection proves that nothing was sent. After any other failure that
follows the first byte of the request, it is unknown whether the endpoint has
executed it.
"""

import errno
import http.client
from collections.abc import Iterator
from typing import NamedTuple

from urllib3.exceptions import HTTPError

from poplarfold._internal.exceptions import (
    DescriptorShortageError,
    EndpointError,
    EndpointStalledError,
    EndpointUnreachableError,
    RequestNotSendableError,
)

__all__ = [
    "NETWORK_ERRORS",
    "SHORTAGES",
    "Failure",
    "failure_of",
    "is_connection_refused",
    "is_shortage",
]

# The errors of a process or host that has no descriptor or memory for a connection.
SHORTAGES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
NETWORK_ERRORS = (OSError, http.client.HTTPException, HTTPError)
# The longest description of an unexpected error, in characters: it may quote a body.
PROBLEM_MAX = 300


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

    @property
    def is_own_shortage(self) -> bool:
        """Whether this node lacked a descriptor, which says nothing of the endpoint."""
        return isinstance(self.error, DescriptorShortageError)


def failure_of(error: Exception, address: str, sent: bool) -> Failure:
    """Return the typed failure for any exception on the way to an endpoint.

    Whatever an endpoint's entry or answer causes must count against this endpoint, and
    must not end a call that another endpoint can serve.
    """
    if not isinstance(error, NETWORK_ERRORS):
        return unexpected_failure_of(error, address, sent)
    refused = is_connection_refused(error)
    if not sent:
        message = f"no connection to {address}: {error}"
        if is_shortage(error):
            return Failure(DescriptorShortageError(message), False)
        return Failure(EndpointUnreachableError(message), False, refused)
    if is_timeout(error):
        return Failure(EndpointStalledError(f"{address} did not respond in time"), True)
    return Failure(EndpointError(f"connection to {address} failed: {error}"), True)


def unexpected_failure_of(error: Exception, address: str, sent: bool) -> Failure:
    """Return the typed failure for an exception that is no network exception."""
    problem = f"{type(error).__name__}: {error}"[:PROBLEM_MAX]
    if not sent:
        message = f"a request cannot be sent to {address}: {problem}"
        return Failure(RequestNotSendableError(message), sent=False)
    return Failure(EndpointError(f"request to {address} failed: {problem}"), sent=True)


def is_connection_refused(error: BaseException) -> bool:
    """Return whether the error or one of its causes is a refused connection."""
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes(error))


def is_shortage(error: BaseException) -> bool:
    """Return whether this process lacked a descriptor or memory for a connection."""
    return any(
        isinstance(cause, OSError) and cause.errno in SHORTAGES
        for cause in causes(error)
    )


def is_timeout(error: BaseException) -> bool:
    """Return whether the error or one of its causes is a timeout."""
    return any(isinstance(cause, TimeoutError) for cause in causes(error))


def causes(error: BaseException) -> Iterator[BaseException]:
    """Yield an error and its chain of causes, the outermost first."""
    found: BaseException | None = error
    while found is not None:
        yield found
        found = found.__cause__ or found.__context__
