"""Passes the outputs of all running streams on in one thread.

A thread per stream costs a hand-over of the interpreter lock for each output. A
request thread therefore lends its stream to the pump after the first output, and
gets it back for everything that is not an output: the end, a failure, or a
caller that does not read as fast as the engine writes.
"""

import select
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from poplarfold._internal.daemon.endpoint_client import EndpointStream
from poplarfold._internal.daemon.metrics import IntervalRecorder
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.exceptions import EndpointError, EndpointStalledError

__all__ = ["PumpJob", "Sink", "StreamPump"]

SCAN_PERIOD_S = 0.25


class Sink(NamedTuple):
    """Where outputs go. ``frame`` returns the bytes for some outputs."""

    sock: socket.socket
    frame: Callable[[list[str]], bytes]
    write: Callable[[bytes], object]


class PumpJob:
    """A stream that is lent to the pump.

    When ``returned`` is set: ``error`` says why the stream broke, ``pending``
    holds bytes that the caller's socket did not take, ``texts`` the outputs of
    a call without a sink, and ``caller_gone`` that its socket is closed.
    """

    def __init__(
        self,
        stream: EndpointStream,
        assembler: StreamAssembler,
        recorder: IntervalRecorder,
        sink: Sink | None,
        idle_timeout_s: float,
    ) -> None:
        self.stream = stream
        self.assembler = assembler
        self.recorder = recorder
        self.sink = sink
        self.idle_timeout_s = idle_timeout_s
        self.heard_at = time.monotonic()
        self.returned = threading.Event()
        self.error: EndpointError | None = None
        self.pending = b""
        self.texts: list[str] = []
        self.caller_gone = False

    def advance(self, now: float) -> bool:
        """Pass on what has arrived; return whether the job is to be returned."""
        read = self.stream.read_now()
        if read.is_err():
            self.error = read.unwrap_err().error
            return True
        data = read.unwrap()
        if data is None:
            return False
        self.heard_at = now
        if data:
            fed = self.assembler.feed(data)
            if fed.is_err():
                self.error = fed.unwrap_err()
                return True
            outputs = fed.unwrap()
            if outputs:
                self.recorder.add(now, len(outputs))
                if self.pass_on(outputs):
                    return True
        if self.assembler.done:
            return True
        if self.stream.ended:
            self.error = EndpointError(f"{self.stream.address} broke off the stream")
            return True
        return False

    def pass_on(self, outputs: list[str]) -> bool:
        """Send outputs, and return whether the caller's socket did not take all."""
        if self.sink is None:
            self.texts.extend(outputs)
            return False
        data = self.sink.frame(outputs)
        try:
            sent = self.sink.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.caller_gone = True
            return True
        self.pending = data[sent:]
        return bool(self.pending)


class StreamPump:
    """The thread that passes outputs on."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.jobs: dict[int, PumpJob] = {}
        self.stopping = False
        self.thread = threading.Thread(target=self.run, name="pump", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Return all jobs and end the thread."""
        self.stopping = True
        if self.thread.is_alive():
            self.thread.join()
        for descriptor in list(self.jobs):
            self.give_back(descriptor)
        self.epoll.close()

    def lend(self, job: PumpJob) -> None:
        """Let the pump pass outputs on until the job is returned."""
        descriptor = job.stream.sock.fileno()
        if self.stopping or descriptor < 0:
            job.error = EndpointError("the stream was closed")
            return
        job.stream.sock.settimeout(0)
        if job.sink is not None:
            job.sink.sock.settimeout(0)
        job.returned.clear()
        self.jobs[descriptor] = job
        self.epoll.register(descriptor, select.EPOLLIN)
        job.returned.wait()

    def give_back(self, descriptor: int) -> None:
        """Return a job to its request thread."""
        job = self.jobs.pop(descriptor, None)
        if job is None:
            return
        try:
            self.epoll.unregister(descriptor)
        except OSError:
            # An aborted stream's descriptor is closed already.
            pass
        job.returned.set()

    def run(self) -> None:
        """Pass on outputs until ``stop``."""
        scan_at = time.monotonic() + SCAN_PERIOD_S
        while not self.stopping:
            events = self.epoll.poll(SCAN_PERIOD_S)
            now = time.monotonic()
            for descriptor, _ in events:
                job = self.jobs.get(descriptor)
                if job is not None and job.advance(now):
                    self.give_back(descriptor)
            if now >= scan_at:
                scan_at = now + SCAN_PERIOD_S
                self.return_silent_jobs(now)

    def return_silent_jobs(self, now: float) -> None:
        """Return the streams on which not even a heartbeat has come in time."""
        for descriptor, job in list(self.jobs.items()):
            if now - job.heard_at > job.idle_timeout_s:
                address = job.stream.address
                job.error = EndpointStalledError(f"{address} went silent")
                self.give_back(descriptor)
