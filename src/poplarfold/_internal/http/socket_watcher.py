"""Detects immediately when a caller closes its socket."""

import select
import socket
import threading
from collections.abc import Callable

__all__ = ["SocketWatcher", "has_closed"]

CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
CLOSED_POLL_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_closed(descriptor: int) -> bool:
    """Return whether the peer of a socket has closed it, at least for sending."""
    poll = select.poll()
    poll.register(descriptor, CLOSED_POLL_EVENTS)
    return bool(poll.poll(0))


class SocketWatcher:
    """One thread that waits for end-of-file on the sockets of open calls.

    It never reads from them, so pipelined requests stay in the socket. A half-closed
    socket counts as closed.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.lock = threading.Lock()
        self.callbacks: dict[int, Callable[[], None]] = {}
        self.wake_read, self.wake_write = socket.socketpair()
        self.epoll.register(self.wake_read.fileno(), select.EPOLLIN)
        self.thread = threading.Thread(
            target=self.run, name="socket-watcher", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread and close its descriptors."""
        self.wake_write.send(b"\0")
        self.thread.join()
        self.epoll.close()
        self.wake_read.close()
        self.wake_write.close()

    def watch(self, sock: socket.socket, on_close: Callable[[], None]) -> int:
        """Call ``on_close`` once, in the watcher's thread, when the peer closes.

        If it has already closed, ``on_close`` is called before this returns, so that
        nothing is sent for it meanwhile. Returns the descriptor, to be passed to
        ``unwatch`` before the socket is closed.
        """
        descriptor = sock.fileno()
        if has_closed(descriptor):
            on_close()
            return descriptor
        with self.lock:
            self.callbacks[descriptor] = on_close
            self.epoll.register(descriptor, CLOSED_EVENTS | select.EPOLLONESHOT)
        return descriptor

    def unwatch(self, descriptor: int) -> None:
        """Stop watching. The callback is not called after this returns."""
        with self.lock:
            if self.callbacks.pop(descriptor, None) is None:
                return
            try:
                self.epoll.unregister(descriptor)
            except (OSError, ValueError):
                pass

    def run(self) -> None:
        """Wait for closed sockets until ``stop`` is called."""
        wake = self.wake_read.fileno()
        while True:
            for descriptor, _ in self.epoll.poll():
                if descriptor == wake:
                    return
                with self.lock:
                    callback = self.callbacks.get(descriptor)
                    # The event may be of an earlier connection with this descriptor.
                    if callback is not None and has_closed(descriptor):
                        callback()
