"""Forwards the outputs of all running streams in one thread.

With one thread per stream, each output would cost a switch of the interpreter
lock. A request thread therefore passes its stream to the pump after the first
output. The pump returns the stream when it ends or fails, or when the caller reads
more slowly than the engine writes.
"""

import select
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from poplarfold._internal.daemon.metrics import IntervalRecorder
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.exceptions import EndpointError, EndpointStalledError
from poplarfold._internal.http.endpoint_stream import EndpointStream

__all__ = ["PumpJob", "Sink", "StreamPump"]

SCAN_PERIOD_S = 0.25


class Sink(NamedTuple):
    """The caller's socket. ``encode`` encodes outputs for the response body."""

    sock: socket.socket
    encode: Callable[[list[str]], bytes]
    write: Callable[[bytes], object]


class PumpJob:
    """A stream whose outputs the pump forwards.

    When ``returned`` is set, ``error`` is the reason if the stream failed,
    ``pending`` holds bytes that the caller's socket did not accept, ``texts`` holds
    the outputs of a call without a sink, and ``caller_gone`` is true if the
    caller's socket is closed.
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
        self.last_read_at = time.monotonic()
        self.returned = threading.Event()
        self.error: EndpointError | None = None
        self.pending = b""
        self.texts: list[str] = []
        self.caller_gone = False

    def advance(self, now: float) -> bool:
        """Forward the outputs that have arrived.

        Returns whether the job is to be returned to its request thread.
        """
        read = self.stream.read_now()
        if read.is_err():
            self.error = read.unwrap_err().error
            return True
        data = read.unwrap()
        if data is None:
            return False
        self.last_read_at = now
        if data:
            fed = self.assembler.feed(data)
            if fed.is_err():
                self.error = fed.unwrap_err()
                return True
            outputs = fed.unwrap()
            if outputs:
                self.recorder.add(now, len(outputs))
                if self.send_outputs(outputs):
                    return True
        if self.assembler.done:
            return True
        if self.stream.ended:
            self.error = EndpointError(f"{self.stream.address} closed the stream early")
            return True
        return False

    def send_outputs(self, outputs: list[str]) -> bool:
        """Send outputs to the sink.

        Returns True if the caller's socket is closed or did not accept all bytes.
        """
        if self.sink is None:
            self.texts.extend(outputs)
            return False
        data = self.sink.encode(outputs)
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
    """The thread that forwards outputs."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.jobs: dict[int, PumpJob] = {}
        self.stopping = False
        self.thread = threading.Thread(target=self.run, name="pump", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Return all jobs and stop the thread."""
        self.stopping = True
        if self.thread.is_alive():
            self.thread.join()
        for descriptor in list(self.jobs):
            self.return_job(descriptor)
        self.epoll.close()

    def forward(self, job: PumpJob) -> None:
        """Forward outputs in the pump's thread; blocks until the job is returned."""
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

    def return_job(self, descriptor: int) -> None:
        """Return a job to its request thread."""
        job = self.jobs.pop(descriptor, None)
        if job is None:
            return
        try:
            self.epoll.unregister(descriptor)
        except OSError:
            # The descriptor of an aborted stream is already closed.
            pass
        job.returned.set()

    def run(self) -> None:
        """Forward outputs until ``stop`` is called."""
        scan_at = time.monotonic() + SCAN_PERIOD_S
        while not self.stopping:
            events = self.epoll.poll(SCAN_PERIOD_S)
            now = time.monotonic()
            for descriptor, _ in events:
                job = self.jobs.get(descriptor)
                if job is not None and job.advance(now):
                    self.return_job(descriptor)
            if now >= scan_at:
                scan_at = now + SCAN_PERIOD_S
                self.return_timed_out_jobs(now)

    def return_timed_out_jobs(self, now: float) -> None:
        """Return the jobs whose idle timeout has passed without even a heartbeat."""
        for descriptor, job in list(self.jobs.items()):
            if now - job.last_read_at > job.idle_timeout_s:
                address = job.stream.address
                job.error = EndpointStalledError(f"{address} did not send in time")
                self.return_job(descriptor)
