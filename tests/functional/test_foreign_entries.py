"""Entries of other writers, from the store's answer to the request on the wire."""

import json

import pytest
from hypothesis import Phase, given, settings, strategies as st
from tests.lib.gateway_process import ready_fleet
from tests.lib.platform_standin import EndpointStandIn
from tests.lib.ports import free_port
from tests.lib.waits import wait_until

SERVERS = "keyed.servers"
TARGET = "Poplarfold-Target-Instance"
APPLY_LIMIT_S = 4.0
CALLS_OF_AN_EXAMPLE = 2
ODD_TEXTS = [
    "", " ", " v1", "v1 ", "v\n1", "v1\r\nX-A: 1", "v\t1", "v\x001", "v\x7f1", "vé",
    "v\u0661", "\ufffd", "v" * 300,
]  # fmt: skip
ODD_ADDRESSES = [
    "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", ":80", "[::1]:80",
    "127.0.0.1:80\r\n", "localhost:80", "127.1:80", "0177.0.0.1:80", "127.0.0.1:080",
    "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "127.0.0.1:8\u0660",
]  # fmt: skip
ODD_IDS = [
    b"\xff", b"i-registry-\xff", "i-\u0100".encode(), b"i-\xc3\xa9", b"i\r\nX-A: 1",
    b"i\n", b" i", b"i ", b"i\x00", b"\x7f", b"i 1", b"~",
]  # fmt: skip
TEXTS = st.sampled_from(ODD_TEXTS) | st.text(max_size=8)
CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "service": TEXTS,
        "address": st.sampled_from([*ODD_ADDRESSES, "closed"]) | st.text(max_size=12),
        "zone": TEXTS,
        "version": TEXTS,
        "stage": st.sampled_from(["prefill", "decode", "both"]),
        "slots": st.sampled_from([0, 1, 2**53, 2**53 + 1, 1.5, None]),
        "born": st.sampled_from([0, 2**53, -1, "1"]),
        "seq": st.sampled_from([0, 2**53, None]),
    },
)
SERVICES = st.sampled_from(["registry", "llm"])
IDS = st.sampled_from(ODD_IDS) | st.binary(min_size=1, max_size=24)


class AnyTarget(EndpointStandIn):
    """A server that serves requests for any id, and records the ids."""

    def __init__(self, stage=None):
        super().__init__("any", stage)
        self.targets = []

    def serve(self, request, body):
        if TARGET in request.headers:
            self.targets.append(request.headers[TARGET].encode("latin-1"))
            del request.headers[TARGET]
        super().serve(request, body)


class ForeignWriter:
    """Writes entries of any bytes into the store of a fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.servers = {role: AnyTarget(role) for role in (None, "prefill", "decode")}
        self.closed = f"127.0.0.1:{free_port()}"
        self.ids = set()
        self.kept = []

    def value(self, service, changes):
        """Return an entry of one of the servers, with some fields changed."""
        stage = changes.get("stage") if service == "llm" else None
        server = self.servers.get(stage, self.servers["decode"])
        if service == "llm" and stage is None:
            stage = "decode"
        fields = {**json.loads(server.entry(service, stage=stage)), **changes}
        if fields["address"] == "closed":
            fields["address"] = self.closed
        if fields["stage"] is None:
            del fields["stage"]
        return json.dumps(fields).encode()

    def replace(self, entries):
        """Delete the entries written before, write others, and await their reading."""
        store = self.fleet.store
        rows = [(key, b"") for key in self.kept] + entries
        self.kept = [key for key, _ in entries]
        self.ids.update(self.kept)
        with store.lock:
            for key, value in rows:
                store.logs[SERVERS].append(bytes([len(key)]) + key + value)
                text = key.decode("utf-8", "replace")
                store.newest[SERVERS].pop(text, None)
                if value:
                    store.newest[SERVERS][text] = value
            end = len(store.logs[SERVERS])
        # The next read begins behind what the router has applied.
        wait_until(lambda: self.has_read(end), APPLY_LIMIT_S)

    def has_read(self, end):
        start = f"topic={SERVERS}&part=0&from={end}&"
        with self.fleet.store.lock:
            return any(start in f"{call}&" for call in self.fleet.store.calls[-50:])

    def check_served(self):
        """Check that calls of each kind are served, and whose ids went out."""
        for _ in range(CALLS_OF_AN_EXAMPLE):
            assert self.fleet.call("POST", "/filing/1", body=b"text").status == 200
            assert self.fleet.call("GET", "/lookup/1").status == 200
            answer = self.fleet.caption()
            assert (answer.status, answer.data.count(b"\n\n")) == (200, 5)
        assert b"PF9004" not in self.fleet.log.read_bytes()
        for server in self.servers.values():
            assert set(server.targets) <= self.ids

    def stop(self):
        for server in self.servers.values():
            server.stop()


@pytest.fixture(scope="module")
def writer(tmp_path_factory):
    with ready_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        for endpoint in fleet.plain:
            # Slower than the router takes an endpoint for that it has not used yet.
            endpoint.work_s = 0.1
        writer = ForeignWriter(fleet)
        yield writer
        writer.stop()


# An example takes two seconds, as the router reads the store that often; so would each
# step of shrinking.
@settings(max_examples=12, phases=[Phase.generate], report_multiple_bugs=False)
@given(st.lists(st.tuples(IDS, SERVICES, CHANGES), min_size=1, max_size=8))
def test_generated_entries_stop_no_service(writer, rows):
    """Guards against an entry that cannot be sent or connected to as it is and makes
    the router answer the calls of a service with an error of its own."""
    writer.replace([(row[0], writer.value(*row[1:])) for row in rows])
    writer.check_served()


def test_odd_entries_at_the_start_stop_no_service(writer):
    """Guards against the same fault for entries that a router reads as it starts."""
    entries = [(key, writer.value("registry", {})) for key in ODD_IDS]
    for number, text in enumerate(ODD_TEXTS):
        value = writer.value("llm", {"version": text})
        entries.append((b"i-version-%d" % number, value))
    for number, address in enumerate(ODD_ADDRESSES):
        value = writer.value("registry", {"address": address})
        entries.append((b"i-address-%d" % number, value))
    writer.replace(entries)
    writer.fleet.restart()
    writer.check_served()
