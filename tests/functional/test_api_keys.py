"""Tests of API keys with a router process against stand-ins of the platform."""

import json
import signal
import threading
import time

import pytest
from tests.lib.gateway_process import log_events, ready_fleet
from tests.lib.platform_standin import configuration, route, tenant
from tests.lib.waits import wait_until

KEYS = ("banfqasnmgkcuyj8pjbv", "k9m68k7b2ex5wa5xwyhk", "w3nq2zr7v5tydf8hs4xe")
# Lower than on a deployment, so that the tests need not wait.
BOUNDS = {
    "grace_s": 6,
    "config_apply_ms": 1000,
    "strict_revoke": True,
    "revoke_ms": 2500,
}
REVOKE_S = 2.5
APPLY_LIMIT_S = 4.0


def config(version, *tenants):
    routes = json.loads(configuration())["routes"]
    routes.append(route("open", "/open/", "idempotent", "registry", public=True))
    return configuration(version, routes=routes, tenants=list(tenants))


FIRST = config(7, tenant("huka", KEYS[0], KEYS[1], priority=0), tenant("moa", KEYS[2]))


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path, BOUNDS, FIRST) as found:
        wait_until(lambda: lookup(found, KEYS[0]).status == 200, 5.0)
        yield found
        received = [row for endpoint in endpoints(found) for row in endpoint.received]
        seen = repr(received) + found.log.read_text()
        seen += found.get("metrics", "/metrics").data.decode()
        assert not [key for key in KEYS if key in seen]


def endpoints(fleet):
    return (*fleet.plain, fleet.prefill, fleet.decode)


def runs(fleet):
    return [run for endpoint in endpoints(fleet) for run in endpoint.runs]


def lookup(fleet, key, path="/lookup/1", **headers):
    given = {"Poplarfold-Key": key} if key else {}
    return fleet.call("GET", path, {**given, **headers})


def account_changes(fleet, version):
    rows = log_events(fleet.log, "PF1203")
    return [row for row in rows if row["fields"]["version"] == version]


def test_key_decides_about_the_account(fleet):
    """Guards against a call without a valid key that runs, a caller that names its own
    account or priority, and an account that endpoints do not learn."""
    before = len(runs(fleet))
    assert [lookup(fleet, key).status for key in (None, "other")] == [401, 401]
    assert fleet.caption().status == 401
    assert len(runs(fleet)) == before
    # The log is written after the answers.
    wait_until(lambda: len(log_events(fleet.log, "PF1201")) >= 3, 2.0)
    rejected = log_events(fleet.log, "PF1201")
    assert [row["fields"]["has_key"] for row in rejected] == [False, True, False]
    assert rejected[0]["call_id"] == "9c41d07be2a35f68"
    forged = {"Poplarfold-Tenant": "forged", "Poplarfold-Request-Priority": "9"}
    assert lookup(fleet, KEYS[2], **forged).status == 200
    assert runs(fleet)[-1][2]["Poplarfold-Tenant"] == "moa"
    assert lookup(fleet, None, "/open/1", **forged).status == 200
    assert fleet.caption(**{"Poplarfold-Key": KEYS[1], **forged}).status == 200
    engines = [row for row in fleet.decode.received if "Poplarfold-Kv-Source" in row]
    engines += [row for row in fleet.prefill.received if "Poplarfold-Stage" in row]
    sent = [(r["Poplarfold-Tenant"], r["Poplarfold-Request-Priority"]) for r in engines]
    assert sent == [("huka", "0")] * 2
    assert "forged" not in repr([row.received for row in endpoints(fleet)])


def test_accounts_and_keys_come_and_go(fleet):
    """Guards against a key that stays valid, or is not yet, after a new version, and
    against series of metrics that add up over the versions."""
    assert lookup(fleet, KEYS[2]).status == 200
    moa = b'poplarfold_account_calls_total{account="moa",result="ok"} 1'
    # Calls are counted after their answers.
    wait_until(lambda: moa in fleet.get("metrics", "/metrics").data, 2.0)
    new = "p6cjx9u4mgb2wvke7tsz"
    changed = config(9, tenant("huka", KEYS[1]), tenant("kea", new))
    fleet.store.put("keyed.op", "config", b"\xff" + FIRST)
    fleet.store.put("keyed.op", "config", changed)
    wait_until(lambda: lookup(fleet, new).status == 200, APPLY_LIMIT_S)
    statuses = [lookup(fleet, key).status for key in KEYS]
    assert statuses == [401, 200, 401]
    kea = b'account="kea",result="ok"'
    wait_until(lambda: kea in fleet.get("metrics", "/metrics").data, 2.0)
    assert b'account="moa"' not in fleet.get("metrics", "/metrics").data
    # The log is written later, too.
    wait_until(lambda: account_changes(fleet, 9), 2.0)
    (event,) = account_changes(fleet, 9)
    assert (event["fields"]["added"], event["fields"]["removed"]) == (["kea"], ["moa"])
    assert new not in fleet.log.read_text()
    fleet.store.put("keyed.op", "config", configuration(10))
    wait_until(lambda: lookup(fleet, None).status == 200, APPLY_LIMIT_S)
    assert fleet.caption(**{"Poplarfold-Tenant": "forged"}).status == 200
    assert "Poplarfold-Tenant" not in fleet.decode.runs[-1][2]
    assert "Poplarfold-Request-Priority" not in fleet.decode.runs[-1][2]


@pytest.mark.parametrize("mode", ["reset", "silent"])
def test_host_without_the_store_stops_in_time(fleet, mode):
    """Guards against a revoked key that a host without the store still accepts, a 401
    for a key that may be new, and a host that does not serve again."""
    fleet.store.mode = mode
    fleet.store.put("keyed.op", "config", config(8, tenant("huka", KEYS[1])))
    removed_at = time.monotonic()
    sent_at = removed_at
    while sent_at < removed_at + REVOKE_S + 1.0:
        sent_at = time.monotonic()
        answer = lookup(fleet, KEYS[0])
        assert answer.status in (200, 503)
        assert answer.status == 503 or sent_at <= removed_at + REVOKE_S
        time.sleep(0.02)
    assert 0.1 < float(answer.getheader("Retry-After")) < 1.0
    assert lookup(fleet, "other").status == 503
    assert lookup(fleet, None, "/open/1").status == 200
    assert log_events(fleet.log, "PF1202")
    fleet.store.mode = "up"
    wait_until(lambda: lookup(fleet, KEYS[1]).status == 200, 6.0)
    assert lookup(fleet, KEYS[0]).status == 401


def test_host_that_was_paused_does_not_serve_a_revoked_key(fleet):
    """Guards against the first requests after a pause, which arrive before the host
    has read the configuration again."""
    before = len(runs(fleet))
    fleet.pause()
    fleet.store.put("keyed.op", "config", config(8, tenant("huka", KEYS[1])))
    time.sleep(REVOKE_S + 0.2)
    statuses = []
    callers = [
        threading.Thread(target=lambda: statuses.append(lookup(fleet, KEYS[0]).status))
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.2)
    fleet.process.send_signal(signal.SIGCONT)
    for caller in callers:
        caller.join()
    assert len(statuses) == 4 and set(statuses) <= {401, 503}
    assert len(runs(fleet)) == before
