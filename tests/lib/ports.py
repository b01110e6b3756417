"""Free ports for processes that a test starts."""

import contextlib
import random
import socket
from collections import deque

__all__ = ["free_port"]

# Below the kernel's range of ephemeral ports.
PORTS = (15_000, 32_000)
# The UDP ports with the numbers that were given, so that no process gets them again
# before or between the times at which a process listens on them. The bound is for the
# descriptors of a long run.
RESERVED: deque[socket.socket] = deque(maxlen=300)


def free_port() -> int:
    """Return a port on which no process currently listens, and reserve it.

    Ephemeral ports are avoided: another process may take such a port before the
    node listens on it, which happened in CI when other runs were active.
    """
    while True:
        port = random.randrange(*PORTS)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            reservation.bind(("127.0.0.1", port))
            RESERVED.append(reservation)
            return port
        reservation.close()
