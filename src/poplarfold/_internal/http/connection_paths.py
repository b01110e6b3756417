"""The connections to endpoints, over the node's own links or others."""

import socket
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from poplarfold._internal.http.answer_socket import EndpointConnection
from poplarfold._internal.http.failures import Failure, failure_of
from poplarfold._internal.utils.addresses import host_and_port

__all__ = ["ConnectionPaths", "new_connection"]


class ConnectionPaths(Protocol):
    """Makes the connections to endpoints, over the node's own links or others."""

    def connect(
        self,
        address: str,
        connect_directly: Callable[[], socket.socket],
        time_left_s: float | None = None,
    ) -> socket.socket:
        """Connect to an endpoint. Raises OSError or HTTPError.

        ``time_left_s`` is the time after which the connection is of no use, if known.
        """

    def may_use_kept(self, address: str) -> bool:
        """Return whether a kept connection to an endpoint may still work."""

    def note_stall(self, address: str) -> bool:
        """Note that an endpoint has not answered; return whether that is looked into
        now."""

    def await_answer(self, sock: socket.socket, address: str, until: float) -> bool:
        """Wait until an answer begins, or a time; return False if the path is cut."""

    def is_reached_elsewhere(self, address: str) -> bool | None:
        """Return whether another node reaches an endpoint, None if that is not sure."""


class PathConnection(EndpointConnection):
    """A connection that is made by ``ConnectionPaths``."""

    def __init__(
        self,
        paths: ConnectionPaths,
        address: str,
        host: str,
        port: int,
        timeout: float,
        time_left_s: float | None,
    ) -> None:
        super().__init__(host, port, timeout=timeout)
        self.paths = paths
        self.address = address
        self.time_left_s = time_left_s

    def _new_conn(self) -> socket.socket:
        return self.paths.connect(self.address, super()._new_conn, self.time_left_s)


def new_connection(
    address: str,
    timeout_s: float,
    paths: ConnectionPaths | None,
    time_left_s: float | None = None,
) -> Result[HTTPConnection, Failure]:
    """Return a connection that is not open yet, or why there can be none.

    ``paths`` makes the connection, if it is given. It is of no use after
    ``time_left_s``.
    """
    try:
        host, port = host_and_port(address)
        if paths is not None:
            return Ok(
                PathConnection(paths, address, host, port, timeout_s, time_left_s)
            )
        return Ok(EndpointConnection(host, port, timeout=timeout_s))
    except Exception as error:
        return Err(failure_of(error, address, sent=False))
