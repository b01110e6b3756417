"""Ports for processes that a test starts."""

import contextlib
import random
import socket

__all__ = ["free_port"]

# Below the range from which the kernel takes ports for connections.
PORTS = (15_000, 32_000)


def free_port() -> int:
    """Return a port that nobody listens on at the moment.

    Ports of the kernel's own choice may be taken by another process before the
    node listens, as CI beside other runs has shown.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
