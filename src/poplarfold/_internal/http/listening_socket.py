"""A listener that goes on when its process has no descriptor left."""

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

from poplarfold._internal.http.failures import SHORTAGES

__all__ = ["ListeningSocket"]

# The connection that cannot be accepted keeps the socket readable, so that without a
# pause its event loop would occupy a whole core.
PAUSE_S = 0.01


class ListeningSocket(socket.socket):
    """Takes the place of a socket that listens, and of its descriptor.

    If a connection cannot be accepted for lack of descriptors or memory, ``accept``
    calls ``on_shortage``, pauses and raises BlockingIOError: for the event loop, no
    connection has come yet, and it serves the others that it has.
    """

    def __init__(
        self, sock: socket.socket, on_shortage: Callable[[OSError], None]
    ) -> None:
        super().__init__(sock.family, sock.type, sock.proto, sock.detach())
        self.on_shortage = on_shortage

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection."""
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            self.on_shortage(error)
            time.sleep(PAUSE_S)
            raise BlockingIOError(errno.EAGAIN, "no descriptor is left") from error
