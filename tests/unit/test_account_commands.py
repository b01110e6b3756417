"""Tests of the commands about client accounts of gateways."""

import io
import json
from contextlib import contextmanager

import pytest
from tests.lib.platform_standin import boot_fields, configuration, tenant

from poplarfold._internal.cli.account_metrics import parse_metrics, read_metrics
from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import main
from poplarfold._internal.core.fleet.account_quota import HostQuota, QuotaRule
from poplarfold._internal.core.fleet.accounts import AccountLimit, UsageUnit
from poplarfold._internal.core.fleet.quota_check import CallSize, check_call
from poplarfold._internal.exceptions import (
    MetricsFormatError,
    MetricsUnavailableError,
)
from poplarfold._internal.gateway.metrics import GatewayGauges, GatewayMetrics

KEYS = ("banfqasnmgkcuyj8pjbv", "k9m68k7b2ex5wa5xwyhk", "w3nq2zr7v5tydf8hs4xe")
ODD_NAME = 'a"b\\c",result="ok"} 9'


def metrics_text(*units, version=7):
    """Return the text of a gateway with admitted units by account."""
    metrics = GatewayMetrics()
    for account, result, count in units:
        metrics.count_account_units(account, result, count)
        with metrics.counting_account_call(account):
            pass
    names = frozenset(account for account, _, _ in units)
    return metrics.render(GatewayGauges(version, 1, 2, {}, names, {}, {}))


def write(path, content):
    path.write_bytes(content)
    return str(path)


def run(capsys, *words, code=ExitCode.SUCCESS):
    assert main(["account", *words]) == code
    return capsys.readouterr()


def test_usage_is_summed_over_the_processes(capsys, tmp_path):
    """Guards against a process that is left out, and against returned units that still
    count as used."""
    first = metrics_text(("huka", "admitted", 1600), ("huka", "returned", 600))
    second = metrics_text(("huka", "refused", 5), (ODD_NAME, "admitted", 2), version=8)
    files = [write(tmp_path / "1", first), write(tmp_path / "2", second)]
    found = json.loads(run(capsys, "usage", *files, "--json").out)
    assert (found["processes"], found["versions"]) == (2, [7, 8])
    odd, huka = found["accounts"]
    assert (odd["account"], odd["units"]) == (ODD_NAME, {"admitted": 2})
    assert (huka["calls"], huka["used_units"]) == ({"ok": 3}, 1000)
    assert huka["units"] == {"admitted": 1600, "refused": 5, "returned": 600}
    row = run(capsys, "usage", *files).out.splitlines()[-1].split()
    assert row == ["huka", "3", "3", "-", "1600", "600", "5", "1000"]


def test_source_that_cannot_be_read_is_named(capsys, tmp_path):
    """Guards against a sum that silently lacks a process or counts it twice."""
    good = write(tmp_path / "good", metrics_text(("huka", "admitted", 3)))
    other = write(tmp_path / "other", b"# HELP up\nup 1\n")
    shown = run(capsys, "usage", good, other, code=ExitCode.INVALID_FILE)
    assert "huka" in shown.out
    assert f"not counted: {other}: the text is not one of a gateway" in shown.err
    missing = str(tmp_path / "missing")
    assert "cannot be read" in run(capsys, "usage", missing, code=3).err
    run(capsys, "usage", good, good, code=ExitCode.USAGE)


def test_gateway_is_read_at_its_address():
    """Guards against the wrong path, and an error page that is taken for metrics."""
    asked = []

    class Response(io.BytesIO):
        status = 200

    def request(method, url, **_):
        asked.append(url)
        response = Response(metrics_text(("huka", "admitted", 3)))
        response.status = 404 if url.endswith("/other") else 200
        return response

    def refuse(method, url, **_):
        raise ConnectionRefusedError("refused")

    address = "http://127.0.0.1:9464"
    assert read_metrics(address, request).unwrap().units == {("huka", "admitted"): 3}
    failed = read_metrics(f"{address}/other", request).unwrap_err()
    assert isinstance(failed, MetricsUnavailableError)
    assert asked == [f"{address}/metrics", f"{address}/other"]
    failed = read_metrics(address, refuse).unwrap_err()
    assert isinstance(failed, MetricsUnavailableError)


@pytest.mark.parametrize("value", ["nan", "-1", "1e999", "x", "\x1b"])
def test_malformed_metrics_are_a_typed_failure(value):
    """Guards against a crash or a wrong sum from a broken text."""
    sample = f'poplarfold_account_units_total{{account="a",result="admitted"}} {value}'
    text = b"poplarfold_routes_version 7\n" + sample.encode()
    error = parse_metrics("m", text).unwrap_err()
    assert isinstance(error, MetricsFormatError)
    assert "\x1b" not in str(error)
    assert parse_metrics("m", b"\xff").is_err()


@contextmanager
def no_key_in(capsys, monkeypatch):
    """Check that nothing that is printed meanwhile has an API key."""
    shown = []
    read = capsys.readouterr
    monkeypatch.setattr(capsys, "readouterr", lambda: shown.append(read()) or shown[-1])
    yield
    assert shown
    assert not [key for key in KEYS if key in repr(shown)]


def test_list_shows_accounts_and_never_a_key(capsys, monkeypatch, tmp_path):
    """Guards against a key on the terminal, also from a malformed document."""
    rows = [tenant("moa", KEYS[2], unit="requests"), tenant("huka", *KEYS[:2], burst=0)]
    good = write(tmp_path / "good", configuration(7, tenants=rows))
    broken = dict(rows[0], api_keys=KEYS[0])
    bad = write(tmp_path / "bad", configuration(7, tenants=[broken]))
    torn = write(tmp_path / "torn", configuration(7, tenants=rows)[:-5])
    none = write(tmp_path / "none", configuration(7))
    with no_key_in(capsys, monkeypatch):
        found = json.loads(run(capsys, "list", good, "--json").out)["accounts"]
        assert [(row["name"], row["keys"]) for row in found] == [
            ("huka", 2),
            ("moa", 1),
        ]
        assert found[0]["limit"] is None
        assert (found[1]["limit"]["unit"], found[1]["limit"]["burst"]) == (
            "requests",
            171315,
        )
        assert "171315 requests/s" in run(capsys, "list", good).out
        for path in (bad, torn, str(tmp_path / "missing")):
            run(capsys, "list", path, code=ExitCode.INVALID_FILE)
        assert "has no accounts" in run(capsys, "list", none).out


@pytest.mark.parametrize(
    ("limit", "bounds", "words", "expected"),
    [
        ({}, {}, (), None),
        ({}, {}, ("--hosts", "82", "--stream-tokens", "5270"), None),
        ({}, {}, ("--hosts", "400", "--stream-tokens", "5270"), "share_below_call"),
        ({"unit": "requests", "rate_per_s": 1}, {}, (), None),
        ({"rate_per_s": 10, "burst": 100}, {}, (), "never_fits"),
        (
            {"rate_per_s": 10, "burst": 100},
            {"quota_slack": 120000},
            (),
            "limit_below_call",
        ),
        ({"rate_per_s": 0}, {}, ("--stream-tokens", "9999999"), None),
    ],
)
def test_check_names_quotas_that_are_too_small(
    capsys, tmp_path, limit, bounds, words, expected
):
    """Guards against a quota that is found too small only when calls are refused."""
    config = configuration(7, tenants=[tenant("huka", KEYS[0], **limit)])
    boots = [
        write(tmp_path / host, json.dumps(boot(host, bounds)).encode())
        for host in ("h1", "h2")
    ]
    paths = [write(tmp_path / "config", config), *boots, boots[0]]
    code = ExitCode.FAILED if expected else ExitCode.SUCCESS
    found = json.loads(run(capsys, "check", *paths, *words, "--json", code=code).out)
    assert found["hosts"] == (int(words[1]) if "--hosts" in words else 2)
    flaws = [(row["flaw"], row["hosts"]) for row in found["findings"]]
    assert flaws == ([(expected, ["h1", "h2"])] if expected else [])
    shown = run(capsys, "check", *paths, *words, code=code).out
    for row in found["findings"]:
        assert str(row["call"]["units"]) in shown
        assert f"{row['usable']:.0f}" in shown
    run(capsys, "check", *paths, "--hosts", "1", code=ExitCode.USAGE)
    run(capsys, "check", paths[0], paths[0], code=ExitCode.INVALID_FILE)


@pytest.mark.parametrize("value", [0, -1, float("nan"), float("inf")])
def test_check_rejects_a_rule_that_makes_no_sense(capsys, tmp_path, value):
    """Guards against quotas that pass because no comparison with the rule is true."""
    config = write(tmp_path / "c", configuration(7, tenants=[tenant("a", KEYS[0])]))
    fields = json.dumps(boot("h1", {"quota_window_s": value})).encode()
    shown = run(capsys, "check", config, write(tmp_path / "b", fields), code=3)
    assert "h1: the rule for quotas is invalid" in shown.err


def boot(host, bounds):
    ports = {"front": 1, "ready": 2}
    all_bounds = {"quota_window_s": 8, "quota_over": 0.1, **bounds}
    return boot_fields(host, ports, "127.0.0.1:3", all_bounds)


class Dice:
    """Draws the same number each time."""

    def __init__(self, drawn):
        self.drawn = drawn

    def random(self):
        return self.drawn


@pytest.mark.parametrize("hosts", [1, 3, 82, 400])
@pytest.mark.parametrize("units", [100, 5270, 30000])
def test_check_agrees_with_the_decision_of_an_isolated_host(hosts, units):
    """Guards against figures that differ from those by which hosts admit calls."""
    limit = AccountLimit(UsageUnit.TOKENS, 4000.0, 4000.0, 200.0)
    rule = QuotaRule(8.0, 0.1, 1000.0)
    found = check_call(limit, rule, hosts, CallSize("stream", units))
    chance = 1.0 if found is None else found.chance
    for drawn in (chance - 1e-6, chance + 1e-6):
        host = HostQuota(rule, Dice(drawn))
        is_admitted = host.admit(1, limit, units, hosts, 0.0).is_ok()
        assert is_admitted == (drawn < chance or chance == 1.0)
