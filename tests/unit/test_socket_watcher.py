"""Tests of the watcher of callers' sockets."""

import os
import socket
import threading

from poplarfold._internal.http.socket_watcher import SocketWatcher

EVENT_LIMIT_S = 5.0


class DelayedEpoll:
    """An epoll object that runs ``between`` after its first events are taken."""

    def __init__(self, epoll, between):
        self.epoll = epoll
        self.between = between
        self.polls = 0

    def poll(self):
        events = self.epoll.poll()
        self.polls += 1
        if self.polls == 1:
            self.between()
        return events

    def __getattr__(self, name):
        return getattr(self.epoll, name)


def test_event_of_a_closed_connection_does_not_end_the_next_one():
    """Guards against a sound call that is ended since its descriptor was reused."""
    watcher = SocketWatcher()
    old, old_caller = socket.socketpair()
    new, new_caller = socket.socketpair()
    ended = []
    descriptor = watcher.watch(old, lambda: ended.append("old"))

    def reuse_descriptor():
        watcher.unwatch(descriptor)
        os.dup2(new.fileno(), descriptor)
        watcher.watch(old, lambda: ended.append("new"))

    watcher.epoll = DelayedEpoll(watcher.epoll, reuse_descriptor)
    old_caller.close()
    watcher.start()
    has_polled_again = threading.Event()
    late, late_caller = socket.socketpair()
    watcher.watch(late, has_polled_again.set)
    late_caller.close()
    assert has_polled_again.wait(EVENT_LIMIT_S)
    assert ended == []
    new_caller.close()
    new.close()
    watcher.stop()
    for sock in (old, late):
        sock.close()
