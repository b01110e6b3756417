"""Background threads that restart after an unexpected exception."""

import threading
import traceback
from collections.abc import Callable

from poplarfold._internal.logs.writer import WriteLog

__all__ = ["start_thread"]

# The pause before a failed thread is restarted, so that a persistent fault writes
# few log lines.
RESTART_DELAY_S = 1.0


def start_thread(
    name: str, run: Callable[[], None], write_log: WriteLog
) -> threading.Thread:
    """Run ``run`` in a daemon thread until it returns.

    An unexpected exception is logged with its traceback, and ``run`` is called
    again after ``RESTART_DELAY_S``. Otherwise a node whose store reader failed would
    keep using outdated routes and endpoints.
    """

    def repeat() -> None:
        while True:
            try:
                run()
                return
            except Exception:
                trace = f"thread {name}: {traceback.format_exc()}"
                write_log("PF9002", None, {"traceback": trace})
            threading.Event().wait(RESTART_DELAY_S)

    thread = threading.Thread(target=repeat, name=name, daemon=True)
    thread.start()
    return thread
