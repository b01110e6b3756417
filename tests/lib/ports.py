"""Free ports for processes that a test starts."""

import contextlib
import random
import socket

__all__ = ["free_port"]

# Below the kernel's range of ephemeral ports.
PORTS = (15_000, 32_000)


def free_port() -> int:
    """Return a port on which no process currently listens.

    Ephemeral ports are avoided: another process may take such a port before the
    node listens on it, which happened in CI when other runs were active.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
