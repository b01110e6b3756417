"""Waits for signals of the process, whichever of its threads takes them."""

import signal
import socket
from collections.abc import Iterable

__all__ = ["SignalQueue"]


class SignalQueue:
    """The signals that the process has got. To be made in the main thread.

    Python runs handlers in the main thread only, and a lock that this waits for is not
    interrupted if the kernel gave the signal to another thread. That happens to signals
    that come while the process is stopped. So the interpreter writes each signal to a
    socket as soon as any thread takes it.

        signals = SignalQueue((signal.SIGTERM,))
        signals.get()
    """

    def __init__(self, numbers: Iterable[int]) -> None:
        self.reader, self.writer = socket.socketpair()
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            # Only signals with a handler of their own are written.
            signal.signal(number, lambda number, frame: None)

    def get(self) -> int:
        """Wait for the next signal and return its number."""
        return self.reader.recv(1)[0]
