"""Writes what libraries log as numbered events.

Without a handler, the standard library prints warnings to standard error, between the
events of a process whose streams go to the same file.

    >>> handler = LibraryHandler(lambda *event: print(event[0], event[2]["message"]))
    >>> handler.emit(logging.makeLogRecord({"msg": "%s failed", "args": ("send()",)}))
    PF9005 send() failed
"""

import logging
import time
import traceback

from poplarfold._internal.logs.event_limit import EventLimit
from poplarfold._internal.logs.writer import WriteLog

__all__ = ["LibraryHandler", "log_library_messages"]

# A library may warn for each message that it cannot send.
EVENTS_PER_S = 1.0


class LibraryHandler(logging.Handler):
    """Writes each record of the standard library's loggers as PF9005.

    The lock of ``logging.Handler.handle`` covers the limit.
    """

    def __init__(self, write_log: WriteLog) -> None:
        super().__init__(logging.WARNING)
        self.write_log = write_log
        self.limit = EventLimit(EVENTS_PER_S)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, unless as many were written within this second."""
        skipped = self.limit.take(time.monotonic())
        if skipped is None:
            return
        try:
            message = record.getMessage()
        except (TypeError, ValueError):
            # The arguments do not fit the format.
            message = str(record.msg)
        failure = (
            traceback.format_exception(*record.exc_info) if record.exc_info else []
        )
        self.write_log(
            "PF9005",
            None,
            {
                "logger": record.name,
                "level": record.levelname,
                "message": message,
                "traceback": "".join(failure),
                "skipped": skipped,
            },
        )


def log_library_messages(write_log: WriteLog) -> None:
    """Have all loggers of the standard library write events."""
    logging.getLogger().addHandler(LibraryHandler(write_log))
