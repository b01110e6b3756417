"""Background threads that outlive an unexpected exception."""

import threading
import traceback
from collections.abc import Callable

from poplarfold._internal.logs.writer import LogWriter

__all__ = ["start_thread"]

# The pause before a thread that failed runs again, so that a lasting fault
# writes few lines.
RESTART_S = 1.0


def start_thread(
    name: str, run: Callable[[], None], write_log: LogWriter
) -> threading.Thread:
    """Run ``run`` in a daemon thread until it returns.

    An exception that nobody expected is written with its traceback, and
    ``run`` begins anew after ``RESTART_S``: a node whose reader of the store
    had ended would go on with what it knew then.
    """

    def repeat() -> None:
        while True:
            try:
                run()
                return
            except Exception:
                trace = f"thread {name}: {traceback.format_exc()}"
                write_log("PF9002", None, {"traceback": trace})
            threading.Event().wait(RESTART_S)

    thread = threading.Thread(target=repeat, name=name, daemon=True)
    thread.start()
    return thread
