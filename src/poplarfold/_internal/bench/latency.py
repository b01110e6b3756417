"""Compares calls through one daemon with direct calls to the stand-ins.

The daemon and the stand-ins run in separate processes. This process generates
the load in one event loop. Both sides make the same calls with the same number
of open streams: each stream starts its next call as soon as one ends.
"""

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from statistics import median, quantiles
from typing import Any, NamedTuple

import urllib3

from poplarfold._internal.bench.local_fleet import (
    ACCOUNT_TOKEN,
    GLASSCAIRN,
    HOST,
    OPERATOR_TOKEN,
    free_port,
    token_digest,
)
from poplarfold._internal.core.entry_codec import entry_fields
from poplarfold._internal.exceptions import LocalFleetError
from poplarfold._internal.utils.addresses import host_and_port

__all__ = ["LATENCY_STREAMS", "TARGETS", "LevelReport", "run_latency"]

LATENCY_STREAMS = (1, 32, 200)
DOMAIN = "galway-a"
DECODE_PROCESSES = 3
DECODES_PER_PROCESS = 5
PREFILLS = 6
PROMPT_BYTES = 2000
# The target scale of 14 million outputs/s at 69,000 requests/s is 203 per call.
OUTPUTS = 200
WARM_UP_S = 1.0
START_TIMEOUT_S = 20.0
LOOKUP_PERIOD_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Targets of the design page, in seconds.
TARGETS = {"added_first_output_s": 0.005, "lookup_p99_s": 0.020}
TARGET_FIRST_OUTPUT_STREAMS = 32
TARGET_LOOKUP_STREAMS = 200

SETTINGS = """\
[node]
host = "bench-1"
domain = "{domain}"
[domains.{domain}]
region = "west"
host_slots = 1
[listen]
callers = "{host}:{callers}"
operators = "{host}:{operators}"
peers = "{host}:{peers}"
[platform]
log_url = "http://{log}"
host_list_url = "http://{host_list}"
weight_store_url = "http://{host}:9"
[accounts]
{account} = "{account_digest}"
[operators]
operator = "{operator_digest}"
[requests]
threads = 256
[log]
path = "{log_path}"
"""


class LevelReport(NamedTuple):
    """Results at one number of concurrent streams, direct and through the daemon."""

    streams: int
    calls_direct: int
    calls_daemon: int
    failed_direct: int
    failed_daemon: int
    first_output_direct_s: float
    first_output_daemon_s: float
    added_first_output_s: float
    between_outputs_p95_direct_s: float
    between_outputs_p95_daemon_s: float
    outputs_per_s: float
    daemon_us_per_output: float
    daemon_core_share: float
    lookups: int
    lookup_p50_s: float
    lookup_p99_s: float
    lookup_direct_p99_s: float

    def missed_targets(self) -> Iterator[str]:
        """Yield a message for each target that this level misses."""
        if self.failed_daemon:
            yield f"{self.failed_daemon} calls failed at {self.streams} streams"
        limit = TARGETS["added_first_output_s"]
        if self.streams == TARGET_FIRST_OUTPUT_STREAMS:
            if self.added_first_output_s >= limit:
                yield f"first output at {self.streams} streams over {limit} s"
        limit = TARGETS["lookup_p99_s"]
        if self.streams == TARGET_LOOKUP_STREAMS and self.lookup_p99_s >= limit:
            yield f"lookups at {self.streams} streams over {limit} s"


class Client:
    """Minimal HTTP client on one persistent connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.closes_after_response = False

    async def request(
        self, method: str, path: str, body: bytes, headers: str = ""
    ) -> tuple[int, dict[str, str]]:
        """Send a request and return the status and headers of the response."""
        if self.closes_after_response:
            self.close()
        if self.writer is None or self.reader is None:
            self.reader, self.writer = await asyncio.open_connection(
                *host_and_port(self.address)
            )
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)
        raw = await self.reader.readuntil(b"\r\n\r\n")
        first, *rows = raw.decode("latin-1").split("\r\n")
        pairs = (row.partition(":") for row in rows if row)
        headers_by_name = {name.lower(): value.strip() for name, _, value in pairs}
        self.closes_after_response = (
            headers_by_name.get("connection", "").lower() == "close"
        )
        return int(first.split(" ")[1]), headers_by_name

    async def body(self, headers: dict[str, str]) -> bytes:
        """Read the whole body of a response."""
        assert self.reader is not None
        return await self.reader.readexactly(int(headers.get("content-length", 0)))

    async def stream(
        self,
        started_at: float,
        counter: "OutputCounter",
        count_outputs: Callable[[bytes], int],
    ) -> list[float] | None:
        """Return the times between outputs, or None if the stream is incomplete."""
        assert self.reader is not None
        times: list[float] = []
        is_complete = False
        while True:
            size = int(await self.reader.readline(), 16)
            data = await self.reader.readexactly(size + 2)
            if size == 0:
                break
            outputs = count_outputs(data)
            if outputs:
                times.append(time.monotonic())
                counter.outputs += outputs
                if len(times) == 1:
                    counter.first_outputs.append((started_at, times[0] - started_at))
            is_complete = b"[DONE]" in data or b'"done": true' in data
        if not is_complete or not times:
            return None
        pairs = zip(times, times[1:], strict=False)
        return [after - at for at, after in pairs]

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = self.reader = None
        self.closes_after_response = False


class Bench:
    """Addresses of one run, and the calls that are made to either side."""

    def __init__(
        self,
        callers: str,
        prefills: list[str],
        decodes: list[str],
        service: str,
        seed: int,
    ) -> None:
        self.callers = callers
        self.prefills = prefills
        self.decodes = decodes
        self.service = service
        self.rng = random.Random(seed)
        self.call_numbers = iter(range(10**9))
        self.counter = OutputCounter()

    def prompt(self) -> str:
        """Return a prompt that no engine has cached."""
        start = f"{self.rng.random()} "
        return start + "word " * ((PROMPT_BYTES - len(start)) // 5)

    async def call_daemon(self, clients: dict[str, Client]) -> list[float] | None:
        """Make one streamed call through the daemon."""
        client = get_client(clients, self.callers)
        entry = GLASSCAIRN.model_entry.name
        body = {
            "model": entry,
            "prompt": self.prompt(),
            "max_tokens": OUTPUTS,
            "stream": True,
        }
        data = json.dumps(body).encode()
        started_at = time.monotonic()
        status, headers = await client.request(
            "POST", "/v1/completions", data, AUTHORIZATION_HEADER
        )
        if status != 200:
            await client.body(headers)
            return None
        return await client.stream(started_at, self.counter, count_daemon_outputs)

    async def call_direct(self, clients: dict[str, Client]) -> list[float] | None:
        """Make the same call directly to the engines, chosen round-robin."""
        number = next(self.call_numbers)
        prefill = self.prefills[number % len(self.prefills)]
        decode = self.decodes[number % len(self.decodes)]
        common = {
            "attempt": f"direct-{number}",
            "host": "bench",
            "incarnation": 1,
            "identity": GLASSCAIRN.model_entry.identity._asdict(),
            "priority": 0,
        }
        prompt = self.prompt()
        started_at = time.monotonic()
        client = get_client(clients, decode)
        reserve_request = json.dumps({**common, "pieces": 8}).encode()
        status, headers = await client.request("POST", "/reserve", reserve_request)
        await client.body(headers)
        if status != 200:
            return None
        prefill_client = get_client(clients, prefill)
        prefill_request = json.dumps(
            {**common, "prompt": prompt, "prefixes": []}
        ).encode()
        status, headers = await prefill_client.request(
            "POST", "/prefill", prefill_request
        )
        answer = json.loads(await prefill_client.body(headers))
        if status != 200:
            return None
        decode_request = {
            **common,
            "kv": answer["kv"],
            "prompt_tokens": answer["tokens"],
            "max_outputs": OUTPUTS,
            "resume_from": 0,
        }
        status, headers = await client.request(
            "POST", "/decode", json.dumps(decode_request).encode()
        )
        if status != 200:
            await client.body(headers)
            return None
        return await client.stream(started_at, self.counter, count_engine_outputs)

    async def look_up(
        self, clients: dict[str, Client], through_daemon: bool
    ) -> float | None:
        """Make one lookup and return its duration in seconds, or None if it failed."""
        started_at = time.monotonic()
        if through_daemon:
            client = get_client(clients, self.callers)
            path = f"/v1/services/{GLASSCAIRN.lookup_entry.name}"
            headers = AUTHORIZATION_HEADER
        else:
            client = get_client(clients, self.service)
            path = "/call"
            identity = GLASSCAIRN.lookup_entry.identity
            headers = (
                f"Entry-Owner: {identity.owner}\r\nEntry-Service: {identity.service}"
                f"\r\nEntry-Version: {identity.version}\r\n"
            )
        body = json.dumps({"q": next(self.call_numbers)}).encode()
        status, answer = await client.request("POST", path, body, headers)
        await client.body(answer)
        return time.monotonic() - started_at if status == 200 else None


AUTHORIZATION_HEADER = f"Authorization: Bearer {ACCOUNT_TOKEN}\r\n"


def get_client(clients: dict[str, Client], address: str) -> Client:
    """Return the client for an address, creating it on first use."""
    if address not in clients:
        clients[address] = Client(address)
    return clients[address]


def count_engine_outputs(data: bytes) -> int:
    """Return the number of outputs in a chunk from an engine."""
    return data.count(b'"seq":')


def count_daemon_outputs(data: bytes) -> int:
    """Return the number of outputs in a chunk from the daemon.

    The daemon may merge several outputs into one event. Each output starts with a
    space.
    """
    start = data.find(b'"text": "')
    if start < 0:
        return 0
    return data.count(b" ", start + 9, data.find(b'", "finish_reason"', start))


class OutputCounter:
    """Counts the outputs of all streams as they arrive.

    ``first_outputs`` holds pairs of (start of the call, time to first output).
    """

    def __init__(self) -> None:
        self.outputs = 0
        self.first_outputs: list[tuple[float, float]] = []


class LoadResult(NamedTuple):
    """Measurements with one number of streams, either direct or through the daemon."""

    first_outputs_s: list[float]
    output_intervals_s: list[float]
    failed: int
    lookups_s: list[float]
    outputs_per_s: float
    core_share: float


async def run_load(
    bench: Bench,
    call: Callable[[dict[str, Client]], Awaitable[list[float] | None]],
    streams: int,
    seconds: float,
    pid: int,
    through_daemon: bool,
) -> LoadResult:
    """Keep ``streams`` calls open for some seconds, with concurrent lookups."""
    measure_from = time.monotonic() + WARM_UP_S
    measure_until = measure_from + seconds
    intervals: list[float] = []
    bench.counter.first_outputs.clear()
    lookups: list[float] = []
    failed = 0

    async def stream(delay_s: float) -> None:
        nonlocal failed
        clients: dict[str, Client] = {}
        await asyncio.sleep(delay_s)
        while time.monotonic() < measure_until:
            started = time.monotonic()
            intervals_of_call = await call(clients)
            if intervals_of_call is not None:
                intervals.extend(intervals_of_call)
            elif started >= measure_from:
                failed += 1
                await asyncio.sleep(0.05)
        for client in clients.values():
            client.close()

    async def look_up() -> None:
        clients: dict[str, Client] = {}
        while time.monotonic() < measure_until:
            elapsed_s = await bench.look_up(clients, through_daemon)
            if elapsed_s is not None and time.monotonic() > measure_from:
                lookups.append(elapsed_s)
            await asyncio.sleep(LOOKUP_PERIOD_S)
        for client in clients.values():
            client.close()

    async def measure() -> tuple[float, float]:
        await asyncio.sleep(measure_from - time.monotonic())
        at, outputs, cpu = time.monotonic(), bench.counter.outputs, cpu_seconds(pid)
        await asyncio.sleep(measure_until - at)
        elapsed_s = time.monotonic() - at
        outputs = bench.counter.outputs - outputs
        return outputs / elapsed_s, (cpu_seconds(pid) - cpu) / elapsed_s

    start_interval_s = WARM_UP_S / streams
    tasks = [stream(number * start_interval_s) for number in range(streams)]
    measured = asyncio.create_task(measure())
    await asyncio.gather(look_up(), *tasks)
    outputs_per_s, core_share = await measured
    rows = bench.counter.first_outputs
    first_outputs = [
        elapsed_s for started, elapsed_s in rows if started >= measure_from
    ]
    return LoadResult(
        first_outputs, intervals, failed, lookups, outputs_per_s, core_share
    )


def run_level(bench: Bench, pid: int, streams: int, seconds: float) -> LevelReport:
    """Measure one level: first direct, then through the daemon."""
    direct = asyncio.run(
        run_load(bench, bench.call_direct, streams, seconds, pid, False)
    )
    daemon = asyncio.run(
        run_load(bench, bench.call_daemon, streams, seconds, pid, True)
    )
    if not direct.first_outputs_s or not daemon.first_outputs_s:
        raise LocalFleetError(f"no call produced an output at {streams} streams")
    first_direct = median(direct.first_outputs_s)
    first_daemon = median(daemon.first_outputs_s)
    return LevelReport(
        streams=streams,
        calls_direct=len(direct.first_outputs_s),
        calls_daemon=len(daemon.first_outputs_s),
        failed_direct=direct.failed,
        failed_daemon=daemon.failed,
        first_output_direct_s=first_direct,
        first_output_daemon_s=first_daemon,
        added_first_output_s=first_daemon - first_direct,
        between_outputs_p95_direct_s=percentile(direct.output_intervals_s, 95),
        between_outputs_p95_daemon_s=percentile(daemon.output_intervals_s, 95),
        outputs_per_s=daemon.outputs_per_s,
        daemon_us_per_output=daemon.core_share / daemon.outputs_per_s * 1e6,
        daemon_core_share=daemon.core_share,
        lookups=len(daemon.lookups_s),
        lookup_p50_s=percentile(daemon.lookups_s, 50),
        lookup_p99_s=percentile(daemon.lookups_s, 99),
        lookup_direct_p99_s=percentile(direct.lookups_s, 99),
    )


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile, or NaN without at least two values."""
    if len(values) < 2:
        return float("nan")
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def cpu_seconds(pid: int) -> float:
    """Return the processor time that all threads of a process have used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


# Processes.


@contextmanager
def standin_process(*arguments: str) -> Iterator[Any]:
    """Run stand-ins in a process and yield the addresses that it prints."""
    command = [sys.executable, "-m", "poplarfold._internal.bench.latency_standins"]
    process = subprocess.Popen(
        [*command, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdout is not None and process.stdin is not None
    try:
        line = process.stdout.readline()
        if not line:
            raise LocalFleetError("the stand-ins did not start")
        yield json.loads(line)
    finally:
        process.stdin.close()
        process.wait(START_TIMEOUT_S)
        process.stdout.close()


@contextmanager
def daemon_process(settings: Path) -> Iterator[int]:
    """Run a daemon in a process and yield the process id."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "poplarfold._internal.daemon.main",
            "--settings",
            str(settings),
        ]
    )
    try:
        yield process.pid
    finally:
        process.terminate()
        try:
            process.wait(START_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def start_engines(stack: ExitStack) -> tuple[list[str], list[str]]:
    """Start prefill and decode engines and return their addresses."""
    count = str(PREFILLS)
    prefills = stack.enter_context(standin_process("prefill", "--count", count))
    decodes: list[str] = []
    for _ in range(DECODE_PROCESSES):
        count = str(DECODES_PER_PROCESS)
        decodes += stack.enter_context(standin_process("decode", "--count", count))
    return prefills, decodes


def put_on_host_list(host_list: str, endpoints: list[tuple[str, str]]) -> None:
    """Put the endpoints, given as (address, service), on the host list."""
    http = urllib3.PoolManager(retries=False)
    for number, (address, service) in enumerate(endpoints):
        row = {
            "fault": "put_host",
            "host": f"e{number}",
            "address": address,
            "kind": "endpoint",
            "domain": DOMAIN,
            "service": service,
        }
        http.request("POST", f"http://{host_list}/control", body=json.dumps(row))


def publish_entries(callers: str, operators: str) -> None:
    """Publish the model and the lookup entry as soon as the daemon is ready."""
    http = urllib3.PoolManager(retries=False)
    rejection_time = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < rejection_time:
        try:
            if http.request("GET", f"http://{callers}/readyz").status == 200:
                break
        except urllib3.exceptions.HTTPError:
            pass
        time.sleep(0.05)
    for entry in (GLASSCAIRN.model_entry, GLASSCAIRN.lookup_entry):
        answer = http.request(
            "POST",
            f"http://{operators}/operator/v1/entries",
            body=json.dumps({"base_revision": -1, "entry": entry_fields(entry)}),
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        if answer.status != 200:
            raise LocalFleetError(f"entry {entry.name!r} was rejected: {answer.data!r}")
    # Leaves time to poll the endpoints: the daemon polls each four times a second.
    time.sleep(1.0)


def run_latency(
    levels: tuple[int, ...] = LATENCY_STREAMS, seconds: float = 10.0, seed: int = 1
) -> list[LevelReport]:
    """Run the bench. Raises LocalFleetError if a process does not start."""
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        platform = stack.enter_context(standin_process("platform"))
        prefills, decodes = start_engines(stack)
        # The daemon cancels work of nodes that it does not know, so the direct
        # calls use a separate set of engines of the same size.
        direct = start_engines(stack)
        model = GLASSCAIRN.model_entry.identity.service
        endpoints = [(address, model) for address in prefills + decodes]
        service = GLASSCAIRN.lookup_entry.identity.service
        endpoints.append((platform["service"], service))
        put_on_host_list(platform["host_list"], endpoints)
        callers, operators = free_port(), free_port()
        settings = directory / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                domain=DOMAIN,
                host=HOST,
                callers=callers,
                operators=operators,
                peers=free_port(),
                log=platform["log"],
                host_list=platform["host_list"],
                account=GLASSCAIRN.account,
                account_digest=token_digest(ACCOUNT_TOKEN),
                operator_digest=token_digest(OPERATOR_TOKEN),
                log_path=directory / "daemon.log",
            )
        )
        pid = stack.enter_context(daemon_process(settings))
        publish_entries(f"{HOST}:{callers}", f"{HOST}:{operators}")
        bench = Bench(f"{HOST}:{callers}", *direct, platform["service"], seed)
        return [run_level(bench, pid, level, seconds) for level in levels]
