"""Tries whether endpoints can be reached over this node's own links."""

import select
import socket
from collections.abc import Callable, Iterable

from poplarfold._internal.utils.addresses import host_and_port
from poplarfold._internal.utils.clock import boot_time

__all__ = ["PROBED_MAX", "probe_endpoints"]

# Endpoints that are tried at once, a connection each.
PROBED_MAX = 256


def probe_endpoints(
    addresses: Iterable[str], timeout_s: float, on_reached: Callable[[str], None]
) -> dict[str, int]:
    """Connect to several endpoints at once, and close the connections.

    Calls ``on_reached`` with each address as soon as it is reached. Returns the error
    numbers by address, 0 for those that were reached. Addresses at which nothing has
    answered within the timeout are missing.
    """
    found: dict[str, int] = {}
    opened: dict[int, tuple[socket.socket, str]] = {}
    for address in addresses:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            sock.connect(host_and_port(address))
        except BlockingIOError:
            pass
        except OSError as error:
            sock.close()
            if error.errno is not None:
                found[address] = error.errno
            continue
        opened[sock.fileno()] = (sock, address)
    poll = select.poll()
    for descriptor in opened:
        poll.register(descriptor, select.POLLOUT)
    until = boot_time() + timeout_s
    while opened and boot_time() < until:
        for descriptor, _ in poll.poll(1000 * max(0.0, until - boot_time())):
            poll.unregister(descriptor)
            sock, address = opened.pop(descriptor)
            found[address] = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if not found[address]:
                on_reached(address)
            sock.close()
    for sock, _ in opened.values():
        sock.close()
    return found
