"""Tests of waiting for signals."""

import signal
import threading

import pytest

from poplarfold._internal.utils.signals import SignalQueue

NUMBERS = (signal.SIGUSR1, signal.SIGUSR2)


@pytest.fixture
def signals():
    handlers = {number: signal.getsignal(number) for number in NUMBERS}
    found = SignalQueue(NUMBERS)
    # A signal that is lost fails the test.
    found.reader.settimeout(5.0)
    yield found
    signal.set_wakeup_fd(-1)
    for number, handler in handlers.items():
        signal.signal(number, handler)
    found.reader.close()
    found.writer.close()


def test_signals_that_another_thread_takes_are_not_lost(signals):
    """Guards against a planned stop that never begins, since the main thread waits on
    while another thread has taken SIGTERM."""
    may_end = threading.Event()
    thread = threading.Thread(target=may_end.wait)
    thread.start()
    for number in (signal.SIGUSR2, signal.SIGUSR1):
        signal.pthread_kill(thread.ident, number)
        assert signals.get() == number
    may_end.set()
    thread.join()
