"""Callers that send requests without an end, or do not read their answers."""

import contextlib
import socket
import threading
import time
from pathlib import Path

# A crowd ends by itself after this time.
LIFETIME_S = 90.0
PART_BYTES = 65_536
PAUSE_S = 0.2
# Small buffers keep answers in the process under test rather than in the kernel.
RECEIVE_BUFFER_BYTES = 4096


class Crowd:
    """Callers that each keep one connection open, and open it again when it ends.

    with Crowd(("127.0.0.1", 8080), 40, payload) as crowd:
        crowd.wait_sent()
    """

    def __init__(self, address, callers, payload, start_period_s=0.0):
        self.address = address
        self.start_period_s = start_period_s
        self.payload = payload
        self.ended = threading.Event()
        self.ends_at = time.monotonic() + LIFETIME_S
        # Callers whose payload has been sent, or whose connection was closed before.
        self.sent = threading.Semaphore(0)
        self.threads = [threading.Thread(target=self.run) for _ in range(callers)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
            time.sleep(self.start_period_s)
        return self

    def __exit__(self, *exception):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def wait_sent(self, limit_s=20.0):
        """Wait until each caller has sent what it sends, or the time is over."""
        until = time.monotonic() + limit_s
        for _ in self.threads:
            self.sent.acquire(timeout=max(0.0, until - time.monotonic()))

    def run(self):
        while not self.has_ended():
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                sock.settimeout(PAUSE_S)
                sock.connect(self.address)
                self.send(sock)
                self.sent.release()
                self.wait_closed(sock)
            self.sent.release()
            self.ended.wait(PAUSE_S)

    def has_ended(self):
        return self.ended.is_set() or time.monotonic() >= self.ends_at

    def send(self, sock):
        rest = memoryview(self.payload)
        while rest and not self.has_ended():
            with contextlib.suppress(TimeoutError):
                rest = rest[sock.send(rest[:PART_BYTES]) :]

    def wait_closed(self, sock):
        """Wait until the peer resets or closes the connection; read nothing."""
        while not self.has_ended():
            sock.send(b"")
            with contextlib.suppress(TimeoutError):
                if not sock.recv(1, socket.MSG_PEEK):
                    return
            time.sleep(PAUSE_S)


def chunks(size, count):
    """Return the chunks of a body that has no last chunk."""
    return (b"%x\r\n%b\r\n" % (size, b"x" * size)) * count


def peak_mb(process):
    """Return the peak of a process's resident memory."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (peak,) = [line for line in lines if line.startswith("VmHWM:")]
    return int(peak.split()[1]) / 1024


def descriptors(process):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
