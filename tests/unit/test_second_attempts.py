"""Tests of the attempts of plain calls, with a client that answers by a script."""

import socket
from types import SimpleNamespace

import pytest
from result import Err, Ok
from tests.lib.platform_standin import configuration
from tests.lib.relay_nodes import host_settings

from poplarfold._internal.core.fleet.account_admission import AdmittedCaller
from poplarfold._internal.core.fleet.rows import EndpointLoad, FleetEndpoint
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.gateway.choice_log import LOGGED_CHOICES_PER_S
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.fleet import Fleet
from poplarfold._internal.gateway.metrics import GatewayMetrics
from poplarfold._internal.gateway.plain_calls import PlainCall
from poplarfold._internal.gateway.settings import GatewaySettings
from poplarfold._internal.http.answer_memory import AnswerMemory
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Answer
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.platform import decode_call, decode_routes
from poplarfold._internal.utils.clock import boot_time

REQUEST = {"Host": "entry.example:80", "Poplarfold-Request-Id": "9c41"}
ANSWER = {
    "Poplarfold-Request-Id": "9c41",
    "Poplarfold-Server-Stamp": "s",
    "Poplarfold-Server-Load": "1,0,4,100",
}
BROKEN = Err(Failure(EndpointError("connection reset"), sent=True))


class Gateway:
    """A gateway's calls to three endpoints, of which two share a failure domain."""

    def __init__(self):
        regions = {"lhr-a": "lahore", "lhr-b": "lahore"}
        host = host_settings("node-1", "127.0.0.1:9")._replace(regions=regions)
        # The only node has the whole retry budget.
        self.fleet = Fleet(host, GatewaySettings(unknown_nodes=1), 1)
        self.fleet.directory.apply_routes(decode_routes(configuration(9)))
        self.fleet.directory.set_store_status(True, boot_time())
        self.rows = {}
        for name, domain in (("a-1", "lhr-a"), ("a-2", "lhr-a"), ("b-1", "lhr-b")):
            row = self.rows[name] = FleetEndpoint(
                name, 1, "registry", name, domain, EndpointRole.SERVICE, 4, False, 0.0
            )
            self.fleet.directory.apply_endpoint(name, row, boot_time())
        self.memory = AnswerMemory()
        self.answers = {}
        self.sent = []
        self.logged = []

    def exchange(self, target, *_, **__):
        self.sent.append(target.address)
        found = self.answers.get(target.address, 200)
        return found if found is BROKEN else Ok(Answer(found, ANSWER, b""))

    def know(self, name, outcomes):
        """Record the outcomes of earlier calls at an endpoint."""
        for ok in outcomes:
            load = EndpointLoad(0, 0, 4, 1.0)
            self.fleet.record_answer(self.rows[name], boot_time() - 0.05, ok, load)

    def call(self, path):
        """Make one call and return the status that its caller gets."""
        self.sent.clear()
        statuses = []
        services = SimpleNamespace(
            fleet=self.fleet, client=self, metrics=GatewayMetrics(),
            record_signal=lambda *given: self.fleet.record_signal(*given[:2]),
            write_log=lambda number, _, fields: self.logged.append((number, fields)),
        )  # fmt: skip
        exchange = SimpleNamespace(
            send_whole=lambda *row: statuses.append(row[0]), arrived_at=boot_time()
        )
        call = decode_call("GET", path, REQUEST)
        matched = self.fleet.match(call.host, call.path)
        self.fleet.record_request(matched.service)
        try:
            caller = AdmittedCaller()
            context = CallContext(services, exchange, call, matched, b"", caller)
            PlainCall(context).run()
        except EndpointError:
            return 502
        return statuses[0]

    def events(self, number):
        return [fields for name, fields in self.logged if name == number]


@pytest.mark.parametrize("failure", [500, BROKEN])
def test_second_attempt_goes_to_a_sound_endpoint_in_another_domain(failure):
    """Guards against a second attempt that fails for the same cause as the first."""
    gateway = Gateway()
    gateway.know("a-1", [True] * 20)
    gateway.know("a-2", [True] * 10)
    gateway.know("b-1", [True] * 10)
    gateway.answers = {"a-1": failure, "a-2": failure}
    assert gateway.call("/lookup/1") == 200
    assert gateway.sent[0] in ("a-1", "a-2") and gateway.sent[1:] == ["b-1"]
    (repeat,) = gateway.events("PF3602")
    assert (repeat["second"], repeat["same_domain"], repeat["ok"]) == (
        "b-1",
        False,
        True,
    )


def test_second_attempt_avoids_an_endpoint_that_fails_calls():
    """Guards against a second attempt at another endpoint that fails part of its calls.

    It is in another domain than the first, which the choice prefers otherwise.
    """
    gateway = Gateway()
    gateway.know("a-1", [True] * 20)
    gateway.know("a-2", [True] * 10)
    gateway.know("b-1", [True, False, True, False, True] * 4)
    gateway.answers = {"a-1": 500}
    for _ in range(5):
        assert gateway.call("/lookup/1") == 200
        assert "b-1" not in gateway.sent


def test_call_that_must_not_be_repeated_is_sent_once():
    """Guards against a second attempt of a call that may have run."""
    gateway = Gateway()
    for name in gateway.rows:
        gateway.know(name, [True] * 5)
        gateway.answers[name] = 500
    assert gateway.call("/filing/1") == 500
    assert len(gateway.sent) == 1


def test_request_that_fails_at_two_endpoints_is_not_counted_against_them():
    """Guards against avoiding endpoints for requests that no endpoint can answer."""
    gateway = Gateway()
    for name in gateway.rows:
        gateway.know(name, [True] * 5)
        gateway.answers[name] = 500
    for _ in range(5):
        assert gateway.call("/lookup/1") == 500
        assert len(gateway.sent) == 2
    stats = [gateway.fleet.endpoint_stats.get(row) for row in gateway.rows.values()]
    assert sum(row.failures.failures for row in stats) < 0.01
    assert gateway.fleet.gauges().paces["registry"].avoided == 0


def test_logged_choices_are_bounded_and_only_by_pace():
    """Guards against a log that grows with each call, or without stated paces."""
    gateway = Gateway()
    gateway.fleet.clock = lambda: 1000.0
    gateway.answers = {}
    for _ in range(30):
        gateway.call("/lookup/1")
    found = gateway.events("PF3601")
    assert len(found) == LOGGED_CHOICES_PER_S
    # The first choice was made before any endpoint had stated its pace.
    assert found[0]["choice"]["age_s"] is None or found[0]["choice"]["slowdown"] == 1.0
    gateway.fleet.clock = lambda: 1001.0
    gateway.call("/lookup/1")
    assert gateway.events("PF3601")[-1]["skipped"] == 29 - LOGGED_CHOICES_PER_S
    silent = Gateway()
    three = {**ANSWER, "Poplarfold-Server-Load": "1,0,4"}
    silent.exchange = lambda target, *_, **__: Ok(Answer(200, three, b""))
    silent.call("/lookup/1")
    silent.call("/lookup/1")
    assert silent.events("PF3601") == [] and silent.fleet.gauges().paces == {}


def test_statistics_of_removed_endpoints_do_not_pile_up():
    """Guards against rows of endpoints whose last call ended after their removal."""
    fleet = Gateway().fleet
    for number in range(5):
        row = FleetEndpoint(
            f"c-{number}", 1, "short", "c", "lhr-a", EndpointRole.SERVICE, 4, False, 0.0
        )
        fleet.directory.apply_endpoint(row.endpoint_id, row, boot_time())
        assert fleet.pick("short", EndpointRole.SERVICE) == row
        change = fleet.directory.withdraw_endpoint(row.endpoint_id, 0.0)
        with fleet.lock:
            fleet.remove_endpoint_stats([change])
        fleet.finish_call(row)
    assert len(fleet.endpoint_stats.rows) <= 1


def test_call_that_leaves_a_cut_path_starts_no_cooldown():
    """Guards against sound endpoints that get no calls for a second or more, since
    their paths are found to be cut, and calls that waited there have gone on."""
    gateway = Gateway()
    paths = SimpleNamespace(
        connect=lambda address, connect_directly, time_left_s: connect_directly(),
        may_use_kept=lambda address: True,
        await_answer=lambda sock, address, until: False,
    )
    client = EndpointClient(30.0, paths=paths)
    gateway.exchange = client.exchange
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        for name, row in gateway.rows.items():
            gateway.rows[name] = row._replace(address=address)
            gateway.fleet.directory.apply_endpoint(
                name, gateway.rows[name], boot_time()
            )
        assert gateway.call("/lookup/1") == 502
    assert len(gateway.events("PF1103")) == 2
    stats = [gateway.fleet.endpoint_stats.read(row) for row in gateway.rows.values()]
    assert [row.cooldown_until for row in stats] == [0.0] * 3
    assert [row.failure_rate for row in stats] == [0.0] * 3
