"""Tests of the example settings and entries of both deployments."""

from pathlib import Path

import pytest

from poplarfold._internal.cli.entry_files import read_entry
from poplarfold._internal.cli.main import main
from poplarfold._internal.settings_file import read_settings

ROOT = Path(__file__).resolve().parents[2] / "examples"
WORKLOADS = {
    "association": {"abstract", "filing", "lookup"},
    "glasscairn": {"caption", "payment-hold", "lookup"},
}


@pytest.mark.parametrize("deployment", WORKLOADS)
def test_the_settings_of_all_hosts_are_consistent(deployment, capsys):
    """Guards against inconsistent hosts, such as shares above the limit in total."""
    folder = ROOT / deployment
    paths = sorted(folder.glob("*.toml"))
    assert main(["check", *map(str, [*paths, *folder.glob("entries/*.json")])]) == 0
    hosts = [read_settings(path).unwrap() for path in paths]
    assert 6 <= len(hosts) <= 9
    assert [host.node.host for host in hosts] == [path.stem for path in paths]
    first = hosts[0]
    for host in hosts:
        assert host.node.domains == first.node.domains
        assert host.accounts == first.accounts and host.operators == first.operators
        assert host.node.link_bytes_per_s == 15_000_000 // 8
        assert host.node.endpoint_rules == first.node.endpoint_rules
        others = {
            (other.node.host, str(other.peer_listen), other.node.domain)
            for other in hosts
            if other is not host
        }
        assert set(host.peers) == others
    slots = {(host.node.domain, host.node.host_slot) for host in hosts}
    assert len(slots) == len(hosts)
    assert sum(host.node.share for host in hosts) == pytest.approx(1.0)


@pytest.mark.parametrize("deployment", WORKLOADS)
def test_every_workload_has_an_entry(deployment):
    """Guards against a missing entry, or an entry for an unknown account."""
    settings = read_settings(next((ROOT / deployment).glob("*.toml"))).unwrap()
    paths = (ROOT / deployment / "entries").glob("*.json")
    entries = [read_entry(path).unwrap() for path in paths]
    assert {entry.name for entry in entries} == WORKLOADS[deployment]
    for entry in entries:
        assert entry.fields["owner"] == deployment
        assert set(entry.fields["accounts"]) <= set(settings.accounts)
