"""Tests of callers that do not end their requests or do not read their answers.

They check that the process lives within its limits, and that one ordinary request is
answered meanwhile, but no times.
"""

import http.client
import signal
import socket
import subprocess
import sys

import pytest
from tests.lib.caller_crowd import Crowd, chunks, descriptors, peak_mb
from tests.lib.gateway_process import ready_fleet
from tests.lib.platform_standin import configuration, route
from tests.lib.ports import free_port
from tests.lib.waits import wait_until

from poplarfold._internal.bench.latency import SETTINGS, publish_entries
from poplarfold._internal.bench.local_fleet import (
    ACCOUNT_TOKEN,
    GLASSCAIRN,
    HOST,
    OPERATOR_TOKEN,
    LocalFleet,
    token_digest,
)

# The limits of the gateway's process, as its settings file states them.
MEMORY_MB = 100
FILES = 300
# What the daemon may take with its default settings, as on the smallest host.
DAEMON_MEMORY_MB = 128
CALLERS = 40
BODY_BYTES = 3_000_000
IDLE_CALLERS = 320
# With so few threads, bodies that occupied them would hold the ordinary request back
# for (40 / 2) x 5 s, whatever the machine's speed.
FEW_THREADS = 2
ORDINARY_TIMEOUT_S = 40.0
BODY_LIMIT_BYTES = 4_194_304
ROUTES = [
    route("filing", "/filing/", "non_idempotent", "registry", timeout_ms=60_000),
    route("lookup", "/lookup/", "idempotent", "registry", timeout_ms=60_000),
]
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": BODY_LIMIT_BYTES,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15_000,
}
HEAD = (
    b"POST /filing/1 HTTP/1.1\r\nHost: entry.example\r\n"
    b"Poplarfold-Request-Id: 9c41d07be2a35f68\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT = HEAD + b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 1) + b"x" * BODY_BYTES
LARGE_CHUNKS = CHUNKED + chunks(65_536, BODY_BYTES // 65_536)
TINY_CHUNKS = CHUNKED + chunks(1, 60_000)


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path, None, configuration(routes=ROUTES, limits=LIMITS)) as f:
        yield f


def restart(fleet, threads):
    fleet.settings.write_text(
        f"metrics_port = {fleet.ports['metrics']}\nrequest_threads = {threads}\n"
    )
    fleet.restart(limits={"memory_mb": MEMORY_MB, "max_fds": FILES})


def front(fleet):
    return ("127.0.0.1", fleet.ports["front"])


def request_status(address, path):
    """Make an ordinary request and return the status of its answer."""
    connection = http.client.HTTPConnection(*address, timeout=ORDINARY_TIMEOUT_S)
    headers = {"Host": "entry.example", "Poplarfold-Request-Id": "5d"}
    connection.request("GET", path, headers=headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status


@pytest.mark.parametrize("payload", [LARGE_CHUNKS, SHORT], ids=["chunks", "length"])
def test_unfinished_bodies_do_not_fill_the_memory(fleet, payload):
    """Guards against a process that is killed because many callers send large bodies
    which stop before their end."""
    restart(fleet, 96)
    with Crowd(front(fleet), CALLERS, payload) as crowd:
        crowd.wait_sent()
        assert request_status(front(fleet), "/lookup/1") == 200
        assert peak_mb(fleet.process) < MEMORY_MB
    assert fleet.process.poll() is None


@pytest.mark.parametrize(
    "payload", [TINY_CHUNKS, LARGE_CHUNKS[:200_000]], ids=["tiny", "chunks"]
)
def test_unfinished_bodies_take_no_threads(fleet, payload):
    """Guards against callers that wait behind bodies which do not end."""
    restart(fleet, FEW_THREADS)
    with Crowd(front(fleet), CALLERS, payload) as crowd:
        crowd.wait_sent()
        assert request_status(front(fleet), "/lookup/1") == 200
        assert peak_mb(fleet.process) < MEMORY_MB
    assert fleet.process.poll() is None


def test_unread_answers_do_not_fill_the_memory(fleet):
    """Guards against a process that is killed because callers do not read."""
    restart(fleet, 96)
    for endpoint in fleet.plain:
        endpoint.whole_body = lambda request_id: bytes(BODY_BYTES)
    head = b"GET /lookup/1 HTTP/1.1\r\nHost: entry.example\r\n"
    request = head + b"Poplarfold-Request-Id: 7a\r\n\r\n"
    # One after the other, since answers that are read at once have less memory each.
    with Crowd(front(fleet), CALLERS, request, start_period_s=0.1) as crowd:
        crowd.wait_sent()
        for endpoint in fleet.plain:
            endpoint.whole_body = lambda request_id: b"whole answer"
        assert request_status(front(fleet), "/lookup/1") == 200
        assert peak_mb(fleet.process) < MEMORY_MB
    assert fleet.process.poll() is None


def test_open_connections_stay_under_the_descriptor_limit(fleet):
    """Guards against a process that has no descriptors left for its own work."""
    restart(fleet, 16)
    opened = []
    try:
        for _ in range(IDLE_CALLERS):
            opened.append(socket.create_connection(front(fleet), 5))
            assert descriptors(fleet.process) < FILES
        assert request_status(front(fleet), "/lookup/1") == 200
        assert descriptors(fleet.process) < FILES
    finally:
        for sock in opened:
            sock.close()
    assert fleet.process.poll() is None


@pytest.mark.parametrize("is_chunked", [True, False], ids=["tiny", "length"])
def test_one_body_within_the_limits_is_served(fleet, is_chunked):
    """Guards against limits that a single caller meets who keeps to those of the
    configuration."""
    restart(fleet, 96)
    if is_chunked:
        data = CHUNKED + chunks(1, BODY_LIMIT_BYTES) + b"0\r\n\r\n"
    else:
        data = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT_BYTES
        data += b"x" * BODY_LIMIT_BYTES
    with socket.create_connection(front(fleet), ORDINARY_TIMEOUT_S) as sock:
        sock.sendall(data)
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    bodies = [run[3] for endpoint in fleet.plain for run in endpoint.runs]
    assert bodies == [b"x" * BODY_LIMIT_BYTES]


@pytest.fixture
def daemon(tmp_path):
    """Start a daemon with few request threads and without a short read timeout."""
    callers, operators = free_port(), free_port()
    with LocalFleet(GLASSCAIRN) as fleet:
        settings = tmp_path / "settings.toml"
        text = SETTINGS.format(
            domain="galway-a",
            host=HOST,
            callers=callers,
            operators=operators,
            peers=free_port(),
            log=fleet.log.address,
            host_list=fleet.host_list.address,
            account=GLASSCAIRN.account,
            account_digest=token_digest(ACCOUNT_TOKEN),
            operator_digest=token_digest(OPERATOR_TOKEN),
            log_path=tmp_path / "daemon.log",
        )
        settings.write_text(text + "[timeouts]\nrequest_read_s = 600\n")
        module = "poplarfold._internal.daemon.main"
        command = [sys.executable, "-m", module, "--settings", str(settings)]
        process = subprocess.Popen(command)
        try:
            publish_entries(f"{HOST}:{callers}", f"{HOST}:{operators}")
            yield process, (HOST, callers), settings
        finally:
            process.kill()
            process.wait()


def daemon_payload(body):
    head = f"POST /v1/completions HTTP/1.1\r\nHost: {HOST}\r\n"
    head += f"Authorization: Bearer {ACCOUNT_TOKEN}\r\nTransfer-Encoding: chunked\r\n"
    return f"{head}\r\n".encode() + body


def test_unfinished_bodies_do_not_fill_the_memory_of_the_daemon(daemon):
    """Guards against the same fault in the daemon."""
    process, address, _ = daemon
    payload = daemon_payload(chunks(65_536, BODY_BYTES // 65_536))
    with Crowd(address, CALLERS, payload) as crowd:
        crowd.wait_sent()
        assert request_status(address, "/readyz") == 200
        assert peak_mb(process) < DAEMON_MEMORY_MB
    assert process.poll() is None


def test_unfinished_bodies_take_no_threads_of_the_daemon(daemon):
    """Guards against the same fault in the daemon."""
    process, address, settings = daemon
    process.send_signal(signal.SIGKILL)
    process.wait()
    text = settings.read_text().replace("threads = 256", f"threads = {FEW_THREADS}")
    settings.write_text(text)
    module = "poplarfold._internal.daemon.main"
    again = subprocess.Popen([sys.executable, "-m", module, "--settings", settings])
    try:
        wait_until(lambda: is_listening(address), 20.0)
        with Crowd(address, CALLERS, daemon_payload(chunks(1, 60_000))) as crowd:
            crowd.wait_sent()
            assert request_status(address, "/healthz") == 200
        assert again.poll() is None
    finally:
        again.kill()
        again.wait()


def is_listening(address):
    try:
        return request_status(address, "/healthz") == 200
    except OSError:
        return False
