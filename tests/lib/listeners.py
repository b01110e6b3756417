"""The end of listening sockets whose connections a thread accepts."""

import contextlib
import socket

__all__ = ["end_listener"]


def end_listener(listener: socket.socket) -> None:
    """Close a listening socket, and end the ``accept`` of a thread that waits there.

    Closing alone does neither: the thread waits on, and the kernel keeps the port open
    for it, so that one further connection is accepted.
    """
    with contextlib.suppress(OSError):
        listener.shutdown(socket.SHUT_RDWR)
    listener.close()
