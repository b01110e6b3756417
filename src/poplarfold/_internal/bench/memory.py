"""Measures memory and processor time per row of a node's state.

Each kind of row is built by the same code as in a daemon, once under tracemalloc
for the memory and once without it for the time. A least-squares line over
several sizes separates the cost per row from the fixed cost of an empty node.
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Sequence
from statistics import correlation, linear_regression
from typing import Any, NamedTuple

from poplarfold._internal.core import events
from poplarfold._internal.core.catalogue_codec import Change, encode_change
from poplarfold._internal.core.claims_codec import Batch, Claim, Done, encode_batch
from poplarfold._internal.core.model import (
    CallClass,
    CatalogueEntry,
    EndpointRef,
    EndpointRole,
    EntryKind,
    EntryLimits,
    HostKey,
    Identity,
    LatencyTargets,
    Placement,
)
from poplarfold._internal.core.node import Node
from poplarfold._internal.core.state import AttemptRow, CallRow
from poplarfold._internal.core.systems import checkpoints, health
from poplarfold._internal.daemon.endpoint_reports import parse_report
from poplarfold._internal.daemon.host_list_client import parse_hosts
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.utils.rendezvous import weight

__all__ = ["KINDS", "MemoryRun", "run_memory"]

DOMAINS = tuple(f"d{number:02}" for number in range(21))
DOMAIN = DOMAINS[0]
SERVICE = "design-llm"
VERSION = "sha256:" + "0123456789abcdef" * 4
IDENTITY = Identity("glasscairn", SERVICE, VERSION)
CLAIMS_PER_BATCH = 20
ANSWER_BYTES = 200
# Digests of a prompt of 2,000 tokens.
PREFIXES = 8
READ_RECORDS = 100
ENTRY_ACCOUNTS = 20


class MemoryRun(NamedTuple):
    """One kind of row, measured at each of ``sizes``."""

    kind: str
    sizes: tuple[int, ...]


class Sample(NamedTuple):
    """Cost of ``rows`` rows: bytes in memory, records and checkpoint, and times."""

    rows: int
    memory_bytes: int
    step_s: float
    record_bytes: int = 0
    checkpoint_bytes: int = 0
    checkpoint_s: float = 0.0


class RowSource(NamedTuple):
    """Source of rows: events that create them, or a function that inserts them."""

    event_batches: list[list[NamedTuple]]
    record_bytes: int = 0
    insert: Callable[[Node], None] | None = None


def run_memory(run: MemoryRun) -> dict[str, Any]:
    """Measure a kind at each size and fit a line through the samples."""
    build = KINDS[run.kind]
    samples = [measure(build, size, run.kind) for size in run.sizes]
    result: dict[str, Any] = {
        "kind": run.kind,
        "samples": [sample._asdict() for sample in samples],
    }
    for field in Sample._fields[1:]:
        values = [float(getattr(sample, field)) for sample in samples]
        if not any(values):
            continue
        slope, intercept = linear_regression(run.sizes, values)
        scale = 1e6 if field.endswith("_s") else 1.0
        unit = "us" if field.endswith("_s") else "bytes"
        result[field] = {
            f"{unit}_per_row": round(scale * slope, 2),
            f"{unit}_fixed": round(scale * intercept, 1),
            "r_squared": round(correlation(run.sizes, values) ** 2, 5),
        }
    return result


def measure(build: Callable[[int], RowSource], size: int, kind: str) -> Sample:
    """Fill a node with ``size`` rows twice: for the time, then for the memory."""
    source = build(size)
    # The hash cache is global to the process. Each pass starts with an empty one.
    weight.cache_clear()
    node = empty_node()
    started = time.thread_time()
    fill(node, source)
    step_s = time.thread_time() - started
    checkpoint_bytes, checkpoint_s = 0, 0.0
    if kind == "claim":
        started = time.thread_time()
        bodies = checkpoints.claim_bodies(node.state, 1.0)
        checkpoint_s = time.thread_time() - started
        checkpoint_bytes = sum(map(len, bodies))
    del node
    weight.cache_clear()
    node = empty_node()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fill(node, build(size))
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Sample(
        size,
        after - before,
        step_s,
        source.record_bytes,
        checkpoint_bytes,
        checkpoint_s,
    )


def empty_node() -> Node:
    """Return a node that has read empty log streams to their end."""
    domains = tuple(
        DomainSettings(name, f"r{index % 8}", 19) for index, name in enumerate(DOMAINS)
    )
    node = Node(NodeSettings("n000", DOMAIN, domains), 1, 1)
    node.step(0.0, [events.CheckpointsRead(None, None)])
    return node


def fill(node: Node, source: RowSource) -> None:
    """Feed the events to a node, or insert the rows."""
    for batch in source.event_batches:
        node.step(0.01, batch)
    if source.insert is not None:
        source.insert(node)


def read_events(stream: str, records: Sequence[bytes]) -> list[list[NamedTuple]]:
    """Return the results of the log reads that deliver all records."""
    end = len(records)
    reads: list[list[NamedTuple]] = []
    for start in range(0, end, READ_RECORDS):
        rows = tuple(
            events.LogRecord(start + index, f"r{start + index}", data)
            for index, data in enumerate(records[start : start + READ_RECORDS])
        )
        reads.append([events.LogReadCompleted(stream, start, 0, end, rows)])
    return reads


def build_entries(size: int) -> RowSource:
    """Return log reads of published entries with ENTRY_ACCOUNTS accounts each."""
    records = []
    for number in range(size):
        entry = CatalogueEntry(
            f"model-{number}",
            EntryKind.MODEL,
            IDENTITY,
            CallClass.INTERACTIVE,
            LatencyTargets(0.46, 0.029),
            EntryLimits(concurrency=100),
            tuple(f"account-{account}" for account in range(ENTRY_ACCOUNTS)),
        )
        records.append(encode_change(Change(-1, "operator", entry)))
    return RowSource(read_events("catalogue", records), sum(map(len, records)))


def build_claims(size: int) -> RowSource:
    """Return log reads of claims and their outcomes, in separate records."""
    records: list[bytes] = []
    for start in range(0, size, CLAIMS_PER_BATCH):
        numbers = range(start, min(size, start + CLAIMS_PER_BATCH))
        owner = HostKey(f"n{start % 400:03}", 1_700_000_000_000)
        offset = len(records)
        digests = [number.to_bytes(16, "big") for number in numbers]
        claims = tuple(
            Claim(digest, f"op-{owner.host}-18bcfe56800-{number:x}", f"{number:032x}")
            for digest, number in zip(digests, numbers, strict=True)
        )
        records.append(encode_batch(Batch(owner, claims)))
        done = tuple(
            Done(digest, offset, 200, number.to_bytes(ANSWER_BYTES, "big"))
            for digest, number in zip(digests, numbers, strict=True)
        )
        records.append(encode_batch(Batch(owner, done)))
    return RowSource(read_events("claims", records), sum(map(len, records)))


def listed_endpoints(size: int, version: int = 1) -> events.HostListReceived:
    """Return a host list with ``size`` endpoints over all domains, and this node."""
    rows = [events.HostListRow("n000", "n000:80", "entry", DOMAIN, "", False)]
    for number in range(size):
        host = f"e{number:05}"
        domain = DOMAINS[number % len(DOMAINS)]
        rows.append(
            events.HostListRow(host, f"{host}:80", "endpoint", domain, SERVICE, False)
        )
    return events.HostListReceived(version, tuple(rows))


def build_endpoints(size: int) -> RowSource:
    """Return a host list of endpoints without reports."""
    return RowSource([[listed_endpoints(size)]])


def build_relisted(size: int) -> RowSource:
    """Return the same host list twice, with different versions."""
    lists = [listed_endpoints(size, version) for version in (1, 2)]
    return RowSource([[listed] for listed in lists])


def build_reported(size: int) -> RowSource:
    """Return a host list and a report of each endpoint."""

    def insert(node: Node) -> None:
        reports = []
        for number, address in enumerate(node.state.part(health.HealthState).endpoints):
            role = EndpointRole.DECODE if number % 2 else EndpointRole.PREFILL
            counts = (20, 0, 0, 2000, 2000)
            flags = (False, True, False)
            reports.append(
                events.EndpointReported(
                    address, 1, IDENTITY, role, *counts, *flags, (), 0
                )
            )
        node.step(0.02, reports)

    return RowSource([[listed_endpoints(size)]], 0, insert)


def build_members(size: int) -> RowSource:
    """Return a host list of entry hosts."""
    rows = [
        events.HostListRow(
            f"n{i:05}", f"n{i:05}:80", "entry", DOMAINS[i % len(DOMAINS)], "", False
        )
        for i in range(size)
    ]
    return RowSource([[events.HostListReceived(1, tuple(rows))]])


def build_calls(size: int) -> RowSource:
    """Return rows of running model calls, without threads and sockets."""

    def insert(node: Node) -> None:
        state = node.state
        for number in range(size):
            call_id, attempt_id = f"call-{number:08}", f"attempt-{number:08}"
            prefixes = tuple(f"{number + i:016x}" for i in range(PREFIXES))
            limits = (2000, 8000, prefixes, 200, 30.0 + number)
            arrival = events.CallArrived(call_id, "a", "captions", True, *limits)
            decode = EndpointRef(f"10.0.0.{number % 200}:80", 1)
            prefill = EndpointRef(f"10.0.1.{number % 200}:80", 1)
            placement = Placement(decode, prefill, f"lease-{number}", 1.0 + number, 0)
            row = CallRow(arrival, float(number), "running", attempt_id, 1)
            state.calls.put(call_id, row)
            attempt = AttemptRow(call_id, placement, IDENTITY, float(number))
            state.attempts.put(attempt_id, attempt)

    return RowSource([], 0, insert)


def build_host_list(size: int) -> RowSource:
    """Return a source that parses a host list of ``size`` rows."""
    hosts = [
        {
            "host": row.host,
            "address": f"10.0.{number // 256 % 256}.{number % 256}:8080",
            "kind": row.kind,
            "domain": row.domain,
            "service": row.service,
            "state": "live",
        }
        for number, row in enumerate(listed_endpoints(size - 1).hosts)
    ]
    body = json.dumps({"version": 1, "hosts": hosts}).encode()
    return RowSource([], len(body), lambda node: discard(parse_hosts(body)))


def build_reports(size: int) -> RowSource:
    """Return a source that parses ``size`` reports of busy decode engines."""
    work = [
        {
            "attempt": f"attempt-n{number:03}-18bcfe56800-{number:x}",
            "host": f"n{number:03}",
            "incarnation": 1_700_000_000_000,
            "state": "streaming",
        }
        for number in range(20)
    ]
    report = {
        "incarnation": 1_700_000_000_000,
        "identity": IDENTITY._asdict(),
        "role": "decode",
        "slots": 20,
        "busy": 20,
        "queued_tokens": 0,
        "pieces_total": 2000,
        "pieces_free": 100,
        "leaving": False,
        "fences": True,
        "knows_operations": False,
        "work": work,
        "cache_seq": 1_000_000,
    }
    body = json.dumps(report).encode()

    def insert(node: Node) -> None:
        for _ in range(size):
            discard(parse_report("10.0.0.1:8080", json.loads(body)))

    return RowSource([], size * len(body), insert)


def discard(value: object) -> None:
    """Discard a value of which only the creation is measured."""


KINDS: dict[str, Callable[[int], RowSource]] = {
    "entry": build_entries,
    "claim": build_claims,
    "endpoint": build_endpoints,
    "relisted": build_relisted,
    "reported": build_reported,
    "member": build_members,
    "call": build_calls,
    "hostlist": build_host_list,
    "report": build_reports,
}
