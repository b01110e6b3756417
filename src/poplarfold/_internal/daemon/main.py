"""The daemon: ``poplarfoldd --settings FILE``."""

import argparse
import os
import signal
import sys
import threading
import time
from pathlib import Path

from poplarfold._internal.core.events import DrainRequested
from poplarfold._internal.core.node import Node
from poplarfold._internal.daemon.frontend import FrontEnd
from poplarfold._internal.daemon.metrics import DaemonMetrics
from poplarfold._internal.daemon.peer_link import PeerLink
from poplarfold._internal.daemon.runtime import Runtime
from poplarfold._internal.daemon.tls import PeerTls
from poplarfold._internal.logs.writer import WriteLog, open_writer
from poplarfold._internal.settings_file import DaemonSettings, read_settings
from poplarfold._internal.utils.allocator import return_large_blocks
from poplarfold._internal.utils.signals import SignalQueue

__all__ = ["Daemon", "main"]

EXIT_SETTINGS = 2
EXIT_INVARIANT = 70
EXIT_FORCED = 1
# How long a computing thread keeps the interpreter lock while others wait for it.
# While streams run, a lookup waits for the lock several times, and with the default
# it would wait up to 5 ms each time.
SWITCH_INTERVAL_S = 0.0005


class Daemon:
    """One node with its listeners. Several may run in one process.

    daemon = Daemon(settings, incarnation, write_log)
    daemon.start()
    daemon.drain()
    daemon.wait()
    daemon.stop()
    """

    def __init__(
        self, settings: DaemonSettings, incarnation: int, write_log: WriteLog
    ) -> None:
        seed = int.from_bytes(os.urandom(8), "big")
        node = Node(settings.node, incarnation, seed)
        self.runtime = Runtime(settings, node, DaemonMetrics(), write_log)
        self.frontend = FrontEnd(self.runtime)
        tls = settings.tls
        self.peer_link = PeerLink(
            (settings.peer_listen.host, settings.peer_listen.port),
            lambda: node.state.me,
            settings.node.domain,
            self.runtime.post,
            write_log,
            PeerTls(tls.certificate_path, tls.key_path, tls.ca_path) if tls else None,
        )
        # The addresses of the first host list replace these.
        self.peer_link.routes = {peer.host: peer.address for peer in settings.peers}
        self.runtime.peers = self.peer_link
        self.stop_lock = threading.Lock()
        self.stopped = False

    def start(self) -> None:
        """Start all threads and listen."""
        self.peer_link.start()
        self.runtime.start()
        self.frontend.start()

    def drain(self) -> None:
        """Reject new calls and finish the open ones."""
        self.runtime.post(DrainRequested())

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the drain to end. Returns False if the timeout expires first."""
        return self.runtime.drained.wait(timeout_s)

    def stop(self) -> None:
        """Stop immediately and abort calls that are still open."""
        with self.stop_lock:
            if self.stopped:
                return
            self.stopped = True
        self.runtime.stop()
        self.peer_link.stop()
        self.frontend.stop()


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until it is stopped and return the exit code."""
    parser = argparse.ArgumentParser(prog="poplarfoldd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE")
    options = parser.parse_args(argv)
    read = read_settings(options.settings)
    if read.is_err():
        print(f"poplarfoldd: {read.unwrap_err()}", file=sys.stderr)
        return EXIT_SETTINGS
    settings = read.unwrap()
    incarnation = int(time.time() * 1000)
    writer = open_writer(settings.log_path, settings.node.host, incarnation)
    daemon = Daemon(settings, incarnation, writer.write_event)
    signals = SignalQueue((signal.SIGTERM, signal.SIGINT))

    def follow_signals() -> None:
        """Drain the daemon at the first signal, and end it at the second."""
        signals.get()
        threading.Thread(target=daemon.drain).start()
        signals.get()
        os._exit(EXIT_FORCED)

    threading.Thread(target=follow_signals, name="signals", daemon=True).start()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    return_large_blocks()
    daemon.start()
    daemon.wait()
    daemon.stop()
    return EXIT_INVARIANT if daemon.runtime.failed else 0


if __name__ == "__main__":
    sys.exit(main())
