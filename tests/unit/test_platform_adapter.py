"""Tests of decoding the platform's formats into the project's own types."""

import json
import struct

import pytest
from tests.lib.platform_standin import configuration, route

from poplarfold._internal.core.fleet.order_lease import fencing_number
from poplarfold._internal.core.fleet.rows import CallKind, EndpointLoad
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.http.exchange import Answer
from poplarfold._internal.platform import (
    CallTarget,
    caller_answer_headers,
    decode_answer_metadata,
    decode_call,
    decode_endpoint,
    decode_routes,
    endpoint_headers,
    read_boot_file,
)
from poplarfold._internal.platform.store import StoreClient, decode_read


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("e4402b7d:250", ()),
        ("", ()),
        (f"{'a' * 65}:1, 91bd:2,,:3,own:4", ("91bd",)),
        (",".join(f"p{n}:1" for n in range(100)), tuple(f"p{n}" for n in range(32))),
    ],
)
def test_last_part_of_a_prompt_is_its_own(value, parts):
    """Guards against a part that is blocked although no other prompt can share it, and
    against ids of any length and number in the memory of all nodes."""
    call = decode_call("POST", "/a/", {"Poplarfold-Prompt-Prefix": value})
    assert call.shared_parts == parts


ENTRY = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "lhr-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "decode",
    "seq": 4,
    "born": 1788179296174,
    "a_new_field": [1],
}
CALL_HEADERS = {
    "Host": "Entry.example:80",
    "Poplarfold-Request-Id": "9c41",
    "Poplarfold-Token-Count": "1460,80",
    "Poplarfold-Deadline-Ms": "14000",
    "Connection": "keep-alive, X-Private",
    "X-Private": "1",
    "X-Kept": "2",
}


def entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def without(name):
    return json.dumps({key: ENTRY[key] for key in ENTRY if key != name}).encode()


def test_endpoint_entry():
    """Guards against fields that are decoded with a wrong meaning."""
    row = decode_endpoint("i-1", entry())
    assert row.endpoint_id == "i-1"
    assert row.role is EndpointRole.DECODE
    assert row.failure_domain == "lhr-a"
    assert row.incarnation == 1788179296174
    assert not row.is_leaving
    assert decode_endpoint("i-1", entry(state="draining")).is_leaving


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"null",
        b"[" * 100_000,
        entry(state="rebooting"),
        entry(state=None),
        entry(service=7),
        entry(service=""),
        entry(address="10.0.0.1"),
        entry(address="10.0.0.1:99999"),
        entry(address="example.com:80"),
        entry(slots="12"),
        entry(slots=-1),
        entry(slots=True),
        entry(stage="both"),
        entry(stage=[]),
        entry(born="1"),
        entry(cold_left_ms=None),
        json.dumps({"service": "llm"}).encode(),
        entry(seq=None),
        entry(seq=1.5),
        entry(version=1),
        *(without(name) for name in ENTRY if name not in ("stage", "a_new_field")),
    ],
)
def test_malformed_entry_is_rejected(value):
    """Guards against a malformed entry that gets calls or crashes a thread."""
    with pytest.raises(PlatformFormatError):
        decode_endpoint("i-1", value)


UNSENDABLE = ["", " ", "a ", " a", "a\n", "a\r\nX-A: 1", "a\x00", "a\x7f", "\xe9",
              "\u0661", "\ufffd", "\ud800"]  # fmt: skip


@pytest.mark.parametrize("text", UNSENDABLE)
def test_entry_that_cannot_be_sent_as_it_is_is_rejected(text):
    """Guards against an endpoint with whose id or names no request can be sent, or
    only other ones than the store has."""
    with pytest.raises(PlatformFormatError) as raised:
        decode_endpoint(text, entry())
    str(raised.value).encode()
    for name in ("service", "version"):
        with pytest.raises(PlatformFormatError):
            decode_endpoint("i-1", entry(**{name: text}))


def test_entry_with_any_visible_text_is_kept():
    """Guards against sound endpoints that are not used for an unusual id."""
    visible = "".join(map(chr, range(0x20, 0x7F))).strip()
    row = decode_endpoint(visible, entry(service=visible, version=visible))
    assert (row.endpoint_id, row.service, row.software_version) == (visible,) * 3


@pytest.mark.parametrize(
    "address",
    ["0177.0.0.1:80", "10.0.0.01:80", "10.0.0.1:080", "10.0.0.1:+80", "10.0.0.1: 80",
     "10.0.0.1:80\n", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "10.1:80",
     "10.0.0.1:\u0668\u0660", "\u0661.0.0.1:80", "[::1]:80", "10.0.0.1:65536"],
)  # fmt: skip
def test_entry_with_an_address_of_no_host_is_rejected(address):
    """Guards against an endpoint that cannot be connected to, or whose address the
    resolver reads as another one."""
    with pytest.raises(PlatformFormatError):
        decode_endpoint("i-1", entry(address=address))


def test_configuration():
    """Guards against kinds, times and weights that are decoded wrongly."""
    table = decode_routes(configuration())
    kinds = {row.name: row.kind for row in table.routes}
    assert kinds == {
        "caption": CallKind.STREAM,
        "filing": CallKind.NON_REPEATABLE,
        "lookup": CallKind.IDEMPOTENT,
    }
    by_name = {row.name: row for row in table.routes}
    assert by_name["lookup"].repeatable and by_name["caption"].repeatable
    assert not by_name["filing"].repeatable
    assert by_name["lookup"].timeout_s == 1.5
    assert table.services["llm"].has_engines
    assert not table.services["registry"].has_engines


def test_split_route():
    """Guards against a traffic split that sends all calls to one service."""
    row = route("a", "/a/", "idempotent", "x")
    del row["service"]
    row["traffic_split"] = [
        {"service": "x", "weight": 90},
        {"service": "y", "weight": 10},
    ]
    (found,) = decode_routes(configuration(routes=[row])).routes
    assert [share.service for share in found.services] == ["x", "y"]


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", configuration(routes=[{}])])
def test_incomplete_configuration_is_rejected(value):
    """Guards against routes that disappear because of a malformed record."""
    with pytest.raises(PlatformFormatError):
        decode_routes(value)


def test_call_headers():
    """Guards against forwarding headers that apply to a single connection."""
    call = decode_call("POST", "/caption/1", CALL_HEADERS)
    assert call.host == "entry.example"
    assert (call.prompt_tokens, call.max_outputs) == (1460, 80)
    assert call.deadline_s == 14.0
    names = {name for name, _ in call.headers}
    assert "X-Kept" in names
    assert not names & {"Connection", "X-Private", "Poplarfold-Deadline-Ms"}


@pytest.mark.parametrize(
    "name",
    [
        "Poplarfold-Kv-Hold",
        "poplarfold-kv-source",
        "Poplarfold-Stage",
        "Poplarfold-Pin-Ms",
        "Poplarfold-Kv-Backup",
        "Poplarfold-Target-Instance",
    ],
)
def test_caller_cannot_set_the_routers_headers(name):
    """Guards against a caller that uses the KV cache or slot of another caller."""
    call = decode_call("POST", "/caption/1", {**CALL_HEADERS, name: "forged"})
    headers = endpoint_headers(call, CallTarget("i-1", 2.0))
    assert "forged" not in headers.values()


def test_remaining_deadline_and_resume_position_replace_those_of_the_caller():
    """Guards against an endpoint that gets more time than the caller has left."""
    call = decode_call("POST", "/caption/1", {**CALL_HEADERS, "Last-Event-Id": "3"})
    target = CallTarget("i-1", 1.25, EndpointRole.DECODE, resume_after="7")
    headers = endpoint_headers(call, target)
    assert headers["Poplarfold-Deadline-Ms"] == "1250"
    assert headers["Last-Event-Id"] == "7"
    assert "Poplarfold-Stage" not in headers


def test_malformed_counts_cause_no_error():
    """Guards against a malformed header that crashes the request's thread."""
    for value in ("", ",", "x,y", "-1,5", "1e400,2", "nan,nan"):
        call = decode_call("POST", "/", {"Poplarfold-Token-Count": value})
        assert call.prompt_tokens >= 0


def test_origin_of_an_answer():
    """Guards against forwarding an answer of another request or without the stamp."""
    call = decode_call("GET", "/", {"Poplarfold-Request-Id": "9c41"})
    own = {"Poplarfold-Request-Id": "9c41", "Poplarfold-Server-Stamp": "s"}
    assert decode_answer_metadata(200, own).belongs_to(call)
    assert not decode_answer_metadata(
        200, {**own, "Poplarfold-Request-Id": "0"}
    ).belongs_to(call)
    assert not decode_answer_metadata(
        200, {"Poplarfold-Request-Id": "9c41"}
    ).belongs_to(call)
    assert not decode_answer_metadata(
        200, {**own, "Content-Encoding": "gzip"}
    ).belongs_to(call)
    rejected = decode_answer_metadata(503, {"Poplarfold-Not-Executed": "1"})
    assert rejected.not_run and rejected.belongs_to(call)
    assert (
        decode_answer_metadata(421, {}).not_run
        and not decode_answer_metadata(503, {}).not_run
    )
    load = decode_answer_metadata(200, {**own, "Poplarfold-Server-Load": "3,1,8"}).load
    assert load == EndpointLoad(3, 1, 8)


def test_hop_by_hop_headers_of_an_answer_are_removed():
    """Guards against an answer with two Content-Length headers."""
    rows = [("Content-Length", "5"), ("Connection", "X-A"), ("X-A", "1"), ("X-B", "2")]
    assert caller_answer_headers(rows) == [("X-B", "2")]


def keyed(key, value):
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


def test_records_of_a_read():
    """Guards against an end offset that skips or repeats records."""
    data = struct.pack(">QQ", 9, 0) + keyed("a", b"1") + keyed("b", b"")
    read = decode_read(data, 7)
    assert read.end == 9
    assert [(row.key, row.value) for row in read.records] == [("a", b"1"), ("b", None)]


def test_record_with_a_wrong_key_length_is_skipped_but_counted():
    """Guards against one malformed record that blocks reading all others."""
    bad = struct.pack(">I", 2) + b"\xffx"
    read = decode_read(struct.pack(">QQ", 9, 0) + bad + keyed("a", b"1"), 7)
    assert read.end == 9 and [row.key for row in read.records] == ["a"]


def test_truncated_read_is_rejected():
    """Guards against using a record that was truncated in transit."""
    data = struct.pack(">QQ", 9, 0) + keyed("a", b"12")[:-1]
    with pytest.raises(ValueError):
        decode_read(data, 7)


WRONG = (float("nan"), -1.0, "8", True, None)


def boot_fields(**changes):
    fields = {
        "node_name": "front-lhr-a-1",
        "zone": "lhr-a",
        "region": "lahore",
        "ip": "10.1.0.35",
        "zones": {"lhr-a": "lahore"},
        "listen": {"front": "10.1.0.35:8144", "ready": "10.1.0.35:8140"},
        "port_range": [7660, 7675],
        "limits": {"memory_mb": 150},
        "bounds": {"drain_ms": 2500, "grace_s": 8, "retry_budget_ratio": 0.2},
        "platform": {"address": "10.200.1.7:8142"},
        "unknown": {"to": "this version"},
    }
    return {**fields, **changes}


def test_answer_without_an_era_counts_for_the_highest_one():
    """Guards against answers that are ignored as outdated, since a late one of an
    earlier era came before them."""
    store = StoreClient(None, "10.200.1.7:8142")
    named = [Answer(200, {"Store-Era": era}, b"") for era in ("4", "3")]
    assert [store.era_of(answer) for answer in named] == [4, 3]
    assert store.era_of(Answer(200, {}, b"")) == 4


def test_eras_whose_fencing_numbers_are_not_exact_in_json_are_ignored():
    """Guards against a claim with a fencing number that an engine rounds."""
    store = StoreClient(None, "10.200.1.7:8142")
    highest = Answer(200, {"Store-Era": str(2**21 - 1)}, b"")
    above = Answer(200, {"Store-Era": str(2**21)}, b"")
    assert [store.era_of(answer) for answer in (highest, above)] == [2**21 - 1] * 2
    assert fencing_number(2**32 - 1, 2**21 - 1) <= 2**53


def test_boot_file(tmp_path):
    """Guards against a new field of the platform that prevents the start."""
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(boot_fields()))
    host = read_boot_file(str(path))
    assert host.caller_listen == ("10.1.0.35", 8144)
    assert host.bounds.leaving_s == 2.5
    assert host.store_address == "10.200.1.7:8142"
    assert host.endpoint_silence_s == 3.6


def test_heartbeat_in_the_boot_file(tmp_path):
    """Guards against a bound for expired entries that is not the platform's."""
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(boot_fields(heartbeat_ms=2500)))
    assert read_boot_file(str(path)).endpoint_silence_s == 7.5


def test_time_of_an_append_in_the_boot_file(tmp_path):
    """Guards against nodes that write at once what the store takes one by one."""
    path = tmp_path / "boot.json"
    fields = boot_fields()
    path.write_text(json.dumps(fields))
    assert read_boot_file(str(path)).store_append_s == 0.004
    fields["platform"]["append_ms"] = 9.5
    path.write_text(json.dumps(fields))
    assert read_boot_file(str(path)).store_append_s == 0.0095


@pytest.mark.parametrize(
    ("value", "expected"), [(True, True), (False, False), (None, False), ("no", False)]
)
def test_first_start_in_the_boot_file(tmp_path, value, expected):
    """Guards against a process that takes a restart for the first start of all nodes,
    since its file has no such field or a malformed one."""
    path = tmp_path / "boot.json"
    changes = {} if value is None else {"bootstrap": value}
    path.write_text(json.dumps(boot_fields(**changes)))
    assert read_boot_file(str(path)).is_first_start is expected


@pytest.mark.parametrize("changes", [{"listen": {}}, {"platform": None}, {"zones": 3}])
def test_malformed_boot_file(tmp_path, changes):
    """Guards against a start without required settings."""
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(boot_fields(**changes)))
    with pytest.raises(PlatformFormatError):
        read_boot_file(str(path))


def test_unknown_header_of_the_platform_is_named():
    """Guards against a demand of an endpoint that is ignored without a trace."""
    known = {"Poplarfold-Server-Load": "1,0,4", "Server": "x", "Content-Length": "2"}
    headers = {**known, "Server-Wish": "1", "Poplarfold-Mood": "low"}
    unknown = decode_answer_metadata(200, headers).unknown_headers
    assert unknown == ("server-wish", "poplarfold-mood")
    assert decode_answer_metadata(200, known).unknown_headers == ()


@pytest.mark.parametrize(
    "text",
    ["[" * 100_000, '{"a":' * 50_000, "null", "\ud800", ""]
    + [json.dumps(boot_fields(limits={"memory_mb": 10**400}))]
    + [json.dumps(boot_fields(limits={"max_fds": float("inf")}))]
    + [json.dumps(boot_fields(bounds={"grace_s": grace_s})) for grace_s in WRONG],
)
def test_malformed_boot_file_is_an_error_of_the_platform(tmp_path, text):
    """Guards against a process that ends at a SIGHUP with all its calls, since its
    settings file cannot be decoded."""
    path = tmp_path / "boot.json"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    with pytest.raises(PlatformFormatError):
        read_boot_file(str(path))
