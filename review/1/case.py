"""Model servers send bytes after a complete stream, and callers get them as events."""

import re
import threading
import time
from pathlib import Path

from review.common.deployment import (
    IS_TROUBLED,
    STABLE_S,
    new_id,
    read_answer,
    request_bytes,
    run_case,
    stream_headers,
)
from review.common.standins import Server

FOLDER = Path(__file__).resolve().parent
DECODE_SERVERS = 6
# The site's dose of garble with how = extra: share 0.35 of the servers, x 0.02 of
# their answers.
SPOILT_SERVERS = 2
SPOILT_EVERY = 50
EVENTS = 5
STREAMS_PER_S = 15.0
LENGTH_S = 40.0
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of ([0-9a-f]+)\n\n")


class ShortStreams(Server):
    """A decode server whose streams are short, so that it knows their length."""

    answers = 0
    is_spoilt = False

    def whole(self, request_id, first):
        """Return the head and the events of an answer."""
        body = b"".join(
            f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            for number in range(first, EVENTS + 1)
        )
        fields = {
            **self.proof(request_id),
            "Content-Type": "text/event-stream",
            "Content-Length": len(body),
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n"
        return head.encode() + body

    def send_events(self, request, request_id):
        data = self.whole(
            request_id, int(request.headers.get("Last-Event-Id") or 0) + 1
        )
        time.sleep(0.05)
        with self.lock:
            ShortStreams.answers += self.is_spoilt
            is_extra = self.is_spoilt and ShortStreams.answers % SPOILT_EVERY == 0
        if IS_TROUBLED and is_extra:
            other_id = new_id()
            self.record.add(f"{request_id} is followed by an answer of {other_id}")
            data += self.whole(other_id, 1)
        request.wfile.write(data)


def call(machine, record, answers):
    """Send one stream, and keep what came for it."""
    request_id = new_id()
    sock = machine.connect()
    headers = stream_headers()
    try:
        sock.sendall(
            request_bytes("POST", "/brief/1", request_id, headers, b"p" * 5000)
        )
        status, fields, body = read_answer(sock)
    except OSError as error:
        record.add(f"{request_id} broken off: {error!r}")
        return
    finally:
        sock.close()
    record.add(f"{request_id} answered: {status}, {len(body)} bytes")
    answers.append((request_id, status, fields, body))


def is_own_whole(request_id, body):
    """Return whether a body is exactly what a server has made for the request."""
    rows = EVENT.findall(body)
    numbers = [int(number) for number, _, _ in rows]
    owners = {owner.decode() for _, _, owner in rows}
    is_exact = EVENT.sub(b"", body) == b""
    return is_exact and numbers == list(range(1, EVENTS + 1)) and owners == {request_id}


def play(deployment):
    """Play the case; return whether MIXED was broken."""
    record = deployment.record
    deployment.add_server("desk")
    for _ in range(3):
        deployment.add_server("llm", "prefill", 24)
    for number in range(DECODE_SERVERS):
        server = ShortStreams(record, deployment.store, "llm", "galway-a", "decode", 24)
        server.is_spoilt = number < SPOILT_SERVERS
        deployment.servers.append(server)
    machine = deployment.add_machine("front-galway-a-1")
    machine.wait_ready()
    time.sleep(STABLE_S + 0.5)
    answers = []
    threads = []
    begins_at = time.monotonic()
    while time.monotonic() < begins_at + LENGTH_S:
        thread = threading.Thread(target=call, args=(machine, record, answers))
        thread.start()
        threads.append(thread)
        time.sleep(
            max(0.0, begins_at + len(threads) / STREAMS_PER_S - time.monotonic())
        )
    for thread in threads:
        thread.join(30)
    whole = 0
    wrong = 0
    for request_id, status, fields, body in answers:
        if status != 200:
            continue
        is_own = fields.get("Poplarfold-Request-Id") == request_id
        if is_own and is_own_whole(request_id, body):
            whole += 1
        else:
            wrong += 1
            record.add(f"{request_id} got a success with other bytes: {body!r}")
    record.add(
        f"{len(threads)} streams, {whole} whole, {wrong} successes with other bytes; "
        f"MIXED broken: {wrong > 0}"
    )
    if whole < len(threads) / 2:
        raise RuntimeError("less than half of the streams were served")
    return wrong > 0


if __name__ == "__main__":
    run_case(FOLDER, play)
