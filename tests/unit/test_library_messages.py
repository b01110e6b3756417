"""Tests that messages of libraries are events too."""

import logging
import sys

import pytest

from poplarfold._internal.gateway.library_messages import LibraryHandler

WARNING = "socket.send() raised exception."


@pytest.fixture
def events():
    found = []
    handler = LibraryHandler(lambda *event: found.append(event))
    logger = logging.getLogger("asyncio")
    logger.addHandler(handler)
    yield found
    logger.removeHandler(handler)


def test_warning_of_a_library_is_an_event(events):
    """Guards against lines in the log that are no events: asyncio warned on standard
    error of each message to a relay whose connection was lost."""
    logging.getLogger("asyncio").warning(WARNING)
    ((number, call_id, fields),) = events
    assert (number, call_id) == ("PF9005", None)
    assert fields["logger"] == "asyncio"
    assert fields["message"] == WARNING


def test_flood_of_warnings_is_bounded(events):
    """Guards against a library that fills the log with one message."""
    for _ in range(1000):
        logging.getLogger("asyncio").warning(WARNING)
    assert len(events) <= 2


def test_traceback_and_unfit_arguments_are_logged():
    """Guards against a message that is lost, or raises, as it has no format."""
    events = []
    try:
        raise KeyError("absent")
    except KeyError:
        row = {"msg": "%d", "args": ("x",), "exc_info": sys.exc_info()}
    # Not by a logger, as the test runner's handlers raise for such arguments.
    handler = LibraryHandler(lambda *event: events.append(event))
    handler.handle(logging.makeLogRecord(row))
    ((_, _, fields),) = events
    assert fields["message"] == "%d"
    assert "KeyError: 'absent'" in fields["traceback"]
