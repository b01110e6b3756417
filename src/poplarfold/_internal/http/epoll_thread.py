"""Starts threads that wait for the sockets of callers."""

import select
import threading
from collections.abc import Callable

__all__ = ["ThreadStartError", "start_epoll_thread"]


class ThreadStartError(OSError):
    """The system refuses another thread, for lack of memory or at a limit."""


def start_epoll_thread(name: str, run: Callable[[select.epoll], None]) -> select.epoll:
    """Start a daemon thread that runs ``run`` with a new epoll object; return that.

    Raises OSError if there is no descriptor for the epoll object or no thread. Then
    nothing is left open, and a later call may succeed.
    """
    epoll = select.epoll()
    thread = threading.Thread(target=run, args=(epoll,), name=name, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        epoll.close()
        raise ThreadStartError(f"the thread {name} cannot start: {error}") from error
    return epoll
