"""Every decoder returns a value or a typed error for arbitrary input.

The input is arbitrary bytes, or a valid document in which some values are replaced
by arbitrary ones. The latter also reaches code after the first checks.
"""

import copy
import json
import tracemalloc

from hypothesis import example, given, settings, strategies as st
from result import Err, Ok

from poplarfold._internal.cli.entry_files import parse_entry
from poplarfold._internal.cli.operator_client import read_answer
from poplarfold._internal.core import catalogue_codec, checkpoint_codec, claims_codec
from poplarfold._internal.core.commands import ReadLog
from poplarfold._internal.core.entry_codec import decode_entry, encode_entry
from poplarfold._internal.daemon import request_body
from poplarfold._internal.daemon.endpoint_reports import (
    parse_cache_events,
    parse_report,
)
from poplarfold._internal.daemon.host_list_client import parse_hosts
from poplarfold._internal.daemon.log_client import parse_read
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.exceptions import PoplarfoldError, SettingsError
from poplarfold._internal.gateway.settings import check_gateway_settings
from poplarfold._internal.http.exchange import Answer
from poplarfold._internal.logs.reader import parse_line
from poplarfold._internal.settings_file import parse_settings
from poplarfold._internal.toml_file import parse_toml

FIXED = settings(derandomize=True, max_examples=250, deadline=None)
DEEPLY_NESTED = b"[" * 100_000
HUGE_INTEGER = b'{"seq": 1' + b"0" * 5000 + b"}"
NUMBERS = st.sampled_from(
    [float("inf"), float("nan"), -1, 2**63, 10**400, 1e308, 0, True, -0.5]
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | NUMBERS | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)

ENTRY = {
    "name": "caption",
    "kind": "model",
    "owner": "glasscairn",
    "service": "design-llm",
    "version": "sha256:1",
    "class": "interactive",
    "targets": {"first_output_s": 0.46, "between_outputs_s": 0.029},
    "limits": {"concurrency": 4},
    "accounts": ["a"],
    "revision": 3,
}
EVENT = {
    "number": "PF1001",
    "host": "g1",
    "incarnation": 1,
    "call_id": None,
    "fields": {"attempt": "a"},
    "monotonic": 1.5,
    "timestamp": 1e9,
}
REPORT = {
    "incarnation": 1,
    "identity": {"owner": "o", "service": "s", "version": "v"},
    "role": "decode",
    **dict.fromkeys(["slots", "busy", "queued_tokens", "pieces_total"], 1),
    **dict.fromkeys(["pieces_free", "cache_seq"], 1),
    **dict.fromkeys(["leaving", "fences", "knows_operations"], False),
    "work": [{"attempt": "a", "host": "h", "incarnation": 1, "state": "decode"}],
}
CACHE = {"events": [{"seq": 1, "kind": "stored", "prefix": "p"}], "oldest": 0}
HOST_ROW = dict.fromkeys(["host", "address", "kind", "domain", "service", "state"], "x")
HOSTS = {"version": 1, "hosts": [HOST_ROW]}
LOG = {
    "first": 0,
    "next": 1,
    "records": [{"offset": 0, "record_id": "r", "data": "AAAA"}],
}
CATALOGUE = {
    "v": 1,
    "offset": 9,
    "above": -1,
    "entries": [{"revision": 3, "entry": {}}],
}
CHAT = {
    "model": "caption",
    "messages": [{"role": "user", "content": [{"type": "text", "text": "x"}]}],
    "max_tokens": 5,
    "stream": True,
    "stream_options": {"include_usage": True},
}
OUTPUT = {"attempt": "a-1", "seq": 0, "text": "Hi"}


def paths(value, prefix=()):
    """Yield the path of each value in a document."""
    yield prefix
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, inner in items:
        yield from paths(inner, (*prefix, key))


@st.composite
def mutants(draw, document):
    """Draw a valid document with one or two values replaced or removed."""
    holder = {"": copy.deepcopy(document)}
    for path in draw(st.lists(st.sampled_from(list(paths(document))), max_size=2)):
        target = holder
        *parents, last = ("", *path)
        try:
            for key in parents:
                target = target[key]
            if last != "" and draw(st.booleans()):
                del target[last]
            else:
                target[last] = draw(NUMBERS | JSON)
        except (KeyError, IndexError, TypeError):
            continue
    return holder[""]


def encoded(document):
    """Draw a mutant of a document encoded as JSON, or arbitrary bytes."""
    texts = mutants(document).map(lambda value: json.dumps(value).encode())
    return texts | st.binary(max_size=200)


def assert_typed(outcome, kind=PoplarfoldError):
    """Check that a result is a value, or an error of the type ``kind``."""
    assert isinstance(outcome, Ok | Err)
    if isinstance(outcome, Err):
        assert isinstance(outcome.err_value, kind)


SETTINGS_TEXT = """
[node]
host = "g1"
domain = "d"
[domains.d]
region = "r"
host_slots = 1
[listen]
callers = "h:1"
operators = "h:2"
peers = "h:3"
[platform]
log_url = "http://l"
host_list_url = "http://h"
weight_store_url = "http://w"
"""
TOML_TOKENS = st.sampled_from(
    ["[", "]", "[[", "=", '"', "'''", "\n", "node", "peers", ".", "{", "}", "1e999"]
    + ["0x" + "f" * 6000, "9" * 6000, "nan", "host", "accounts", "\x00", "\ud800"]
)


@FIXED
@given(st.binary(max_size=300) | st.lists(TOML_TOKENS, max_size=20).map("".join))
@example(b"a = " + DEEPLY_NESTED)
@example(b"a = " + b"{a=" * 100_000)
@example(b"[requests]\nthreads = " + b"9" * 6000)
@example(b"[requests]\nthreads = 0x" + b"f" * 6000)
def test_settings(data):
    """Guards against a traceback instead of the list of problems."""
    whole = SETTINGS_TEXT.encode() if isinstance(data, bytes) else SETTINGS_TEXT
    for text in (data, whole + data):
        outcome = parse_settings(text, "x.toml")
        assert_typed(outcome, SettingsError)
        if isinstance(outcome, Err):
            assert all(problem.line >= 1 for problem in outcome.err_value.problems)


GATEWAY_TOKENS = st.sampled_from(
    ["[", "]", "=", '"', "\n", "admission", "door", ".", "{", "}", "1e999", "nan", "-"]
    + ["connect_s", "tunnels", "queue_max", "9" * 400, "9" * 6000, "0x" + "f" * 6000]
)


@FIXED
@given(st.binary(max_size=300) | st.lists(GATEWAY_TOKENS, max_size=20).map("".join))
@example(b"connect_s = " + b"9" * 400)
@example(b"connect_s = 0x" + b"f" * 6000)
@example(b"connect_s = -0x" + b"f" * 6000)
@example(b"tunnels = 0x" + b"f" * 6000)
@example(b"[admission]\nretry_after_s = " + b"9" * 400)
def test_gateway_settings(data):
    """Guards against a traceback instead of the list of problems."""
    outcome = parse_toml(data, "x.toml").and_then(check_gateway_settings)
    assert_typed(outcome, SettingsError)
    if isinstance(outcome, Err):
        assert all(problem.line >= 1 for problem in outcome.err_value.problems)


@FIXED
@given(encoded(ENTRY))
@example(DEEPLY_NESTED)
@example(HUGE_INTEGER)
def test_entries(data):
    """Guards against an entry that stops the fold of the catalogue."""
    outcome = decode_entry(data)
    assert_typed(outcome)
    if isinstance(outcome, Ok):
        assert decode_entry(encode_entry(outcome.ok_value)) == outcome
    assert_typed(parse_entry(data, "x.json"), SettingsError)


@FIXED
@given(encoded(EVENT))
@example(DEEPLY_NESTED)
@example(HUGE_INTEGER)
def test_log_records(data):
    """Guards against a log line that stops the reading of all others."""
    event = parse_line(data)
    assert event is None or event.number.startswith("PF")


@FIXED
@given(encoded(CATALOGUE))
@example(DEEPLY_NESTED)
def test_catalogue_states_and_checkpoints(data):
    """Guards against a damaged checkpoint that keeps a node from starting."""
    assert_typed(catalogue_codec.decode_state(data))
    assert_typed(catalogue_codec.decode_change(data))
    assert_typed(checkpoint_codec.decode_part(data))
    assert_typed(claims_codec.decode_batch(data))
    assert_typed(claims_codec.decode_rows(data, 1.0))


@FIXED
@given(st.binary(max_size=40), st.integers(0, 200), st.integers(0, 255))
def test_a_damaged_checkpoint_part_is_never_read_as_another(body, position, byte):
    """Guards against a flipped byte that the checksum does not see."""
    part = checkpoint_codec.CheckpointPart("catalogue", 5, "c-1", 0, 1, body)
    data = bytearray(checkpoint_codec.encode_part(part))
    data[position % len(data)] = byte
    outcome = checkpoint_codec.decode_part(bytes(data))
    assert_typed(outcome)
    assert isinstance(outcome, Err) or outcome.ok_value == part


@FIXED
@given(st.lists(encoded(OUTPUT), max_size=4), st.integers(1, 50))
@example([DEEPLY_NESTED], 1_000)
@example([HUGE_INTEGER], 1_000)
def test_output_streams(events, chunk):
    """Guards against an engine whose bytes end the handler's thread."""
    data = b"".join(b"data: " + event + b"\n\n" for event in events)
    assembler = StreamAssembler()
    assembler.choose("a-1")
    for start in range(0, len(data), chunk):
        outcome = assembler.feed(data[start : start + chunk])
        assert_typed(outcome)
        if isinstance(outcome, Err):
            return
        assert all(isinstance(text, str) for text in outcome.ok_value)


def test_a_stream_without_end_is_held_in_bounded_memory():
    """Guards against an engine that exhausts a node's memory with one long event."""
    assembler = StreamAssembler()
    tracemalloc.start()
    try:
        for _ in range(1_000):
            if assembler.feed(b"x" * 10_000).is_err():
                break
        else:
            raise AssertionError("10 MB without an event were accepted")
        # The size limit of one event, and copies of its buffer while it grows.
        assert tracemalloc.get_traced_memory()[1] < 8_000_000
    finally:
        tracemalloc.stop()


@FIXED
@given(mutants(REPORT), mutants(CACHE))
def test_reports_of_endpoints(report, cache):
    """Guards against one endpoint whose report stops all polls."""
    parse_report("e:1", report)
    parse_cache_events("e:1", cache)


@FIXED
@given(encoded(HOSTS))
@example(DEEPLY_NESTED)
def test_host_lists(data):
    """Guards against a host list that stops the thread which reads it."""
    assert_typed(parse_hosts(data))


@FIXED
@given(encoded(LOG), st.sampled_from([200, 410, 500]))
@example(DEEPLY_NESTED, 200)
def test_answers_of_the_log(data, status):
    """Guards against an answer of the log that stops its reader."""
    parse_read(ReadLog("s", 0, 10, 1.0), Answer(status, {}, data))


@FIXED
@given(encoded(CHAT), st.text(max_size=40))
@example(DEEPLY_NESTED, "Mon, 99 Jan 99999 99:99:99 +9999")
def test_requests_of_callers(data, header):
    """Guards against a request that gets an answer 500."""
    headers = dict.fromkeys(
        ["Idempotency-Date", "Idempotency-Key", "Poplarfold-Deadline-Ms"], header
    )
    for parse in (
        lambda: request_body.parse_chat(data),
        lambda: request_body.parse_completion(data),
        lambda: request_body.parse_age(headers),
        lambda: request_body.parse_idempotency_key(headers),
        lambda: request_body.parse_deadline_s(headers, 1.0, 60.0),
    ):
        try:
            parse()
        except PoplarfoldError as error:
            assert error.status == 400


@FIXED
@given(encoded({"error": {"code": "x", "message": "y"}}), st.sampled_from([200, 409]))
@example(DEEPLY_NESTED, 200)
def test_answers_of_daemons(data, status):
    """Guards against a traceback of the command-line tool."""
    assert_typed(read_answer("http://x", status, data))
