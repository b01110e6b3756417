"""Tests of the pool of request threads."""

import threading

from tests.lib.waits import wait_until

from poplarfold._internal.gateway.server import GrowingPool

THREADS = 32


class Listener:
    """What a pool needs of its listener."""

    def __init__(self):
        self.stats = {"Worker Threads": {}, "Enabled": False}
        self.problems = []

    def error_log(self, message, level=20, traceback=False):
        self.problems.append(message)


class Connection:
    """A request that occupies its thread until it is let go."""

    requests_seen = 0

    def __init__(self, is_over):
        self.is_over = is_over

    def communicate(self):
        self.is_over.wait(10.0)
        return False

    def close(self):
        pass


def test_pool_grows_on_after_a_thread_could_not_be_started(monkeypatch):
    """Guards against a pool that stays small for good, so that streams take all of its
    threads, since the system refused one thread once."""
    listener, is_over = Listener(), threading.Event()
    pool = listener.requests = GrowingPool(listener, THREADS)
    pool.start()
    spawn, refused = pool._spawn_worker, []

    def refuse_once():
        if not refused:
            refused.append(True)
            raise RuntimeError("can't start new thread")
        return spawn()

    monkeypatch.setattr(pool, "_spawn_worker", refuse_once)
    try:
        for _ in range(THREADS):
            pool.put(Connection(is_over))
        wait_until(lambda: listener.problems, 5.0)
        wait_until(lambda: len(pool._threads) == THREADS, 5.0)
    finally:
        is_over.set()
        # Its threads would keep the test process alive.
        pool.stop(5.0)
