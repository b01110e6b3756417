"""Closes sockets in two steps, so that no reset overtakes an answer.

If bytes of the peer are unread when a socket is closed, or come afterwards, the kernel
resets the connection, and the peer may lose an answer that it has not read yet. So only
the sending side is closed at first. What still comes is read and dropped until the peer
closes as well, or for a limited time.
"""

import select
import socket
import threading
import time

from poplarfold._internal.http.epoll_thread import start_epoll_thread

__all__ = ["ClosingSockets"]

# Longer than a round trip and a retransmission on a slow link.
LINGER_S = 2.0
CHECK_PERIOD_S = 0.25
SOCKETS_MAX = 1000
READ_BYTES = 65536


class ClosingSockets:
    """The sockets that wait for their peers to close. Thread-safe.

    Its thread starts with the first socket that has to wait.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.has_sockets = threading.Condition(self.lock)
        # By descriptor, the oldest first: the socket and when it is closed at last.
        self.sockets: dict[int, tuple[socket.socket, float]] = {}
        self.epoll: select.epoll | None = None

    def add(self, sock: socket.socket) -> None:
        """Close the sending side of a socket now, and the socket a little later."""
        try:
            sock.shutdown(socket.SHUT_WR)
            sock.setblocking(False)
            if has_peer_closed(sock):
                sock.close()
                return
        except OSError:
            sock.close()
            return
        with self.lock:
            if len(self.sockets) >= SOCKETS_MAX:
                self._close(next(iter(self.sockets)))
            try:
                self._started_epoll().register(sock.fileno(), select.EPOLLIN)
            except OSError:
                # The process has no descriptor left for the epoll object, or no thread.
                sock.close()
                return
            self.sockets[sock.fileno()] = (sock, time.monotonic() + LINGER_S)
            self.has_sockets.notify()

    def count(self) -> int:
        """Return the number of sockets that wait."""
        return len(self.sockets)

    def close_oldest(self, count: int) -> int:
        """Close up to ``count`` sockets before their time; return how many."""
        with self.lock:
            oldest = list(self.sockets)[:count]
            for descriptor in oldest:
                self._close(descriptor)
        return len(oldest)

    def _started_epoll(self) -> select.epoll:
        """Return the epoll object, and start the thread with it. The lock is held."""
        if self.epoll is None:
            self.epoll = start_epoll_thread("closing", self._run)
        return self.epoll

    def _run(self, epoll: select.epoll) -> None:
        """Drop what the peers still send, and close sockets when it is time."""
        while True:
            with self.lock:
                while not self.sockets:
                    self.has_sockets.wait()
            events = epoll.poll(CHECK_PERIOD_S)
            with self.lock:
                for descriptor, _ in events:
                    self._drop_bytes(descriptor)
                now = time.monotonic()
                late = [key for key, (_, until) in self.sockets.items() if now >= until]
                for descriptor in late:
                    self._close(descriptor)

    def _drop_bytes(self, descriptor: int) -> None:
        """Read what has come from a peer, and close the socket if it has closed."""
        row = self.sockets.get(descriptor)
        if row is None:
            return
        try:
            has_ended = not row[0].recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            has_ended = True
        if has_ended:
            self._close(descriptor)

    def _close(self, descriptor: int) -> None:
        """Close a socket, which also removes it from the epoll object."""
        sock, _ = self.sockets.pop(descriptor)
        sock.close()


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether a non-blocking socket has no bytes left to read, and never will.

    Raises OSError if the connection has broken.
    """
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
