"""Tests of the settings file: accepted values and the reported problems."""

import pytest

from poplarfold._internal import settings_keys
from poplarfold._internal.core.systems import policies
from poplarfold._internal.settings_file import parse_settings, read_settings

GOOD = """
[node]
host = "g1"
domain = "galway-a"

[domains.galway-a]
region = "west"
host_slots = 1

[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "[::1]:8082"

[platform]
log_url = "http://127.0.0.1:9001/"
host_list_url = "http://127.0.0.1:9002"
weight_store_url = "http://127.0.0.1:9003"

[accounts]
studio = "%s"

[endpoint_rules.order-desk]
knows_operations = true
""" % ("a" * 64)


def problems(text):
    return [
        (problem.line, problem.key)
        for problem in parse_settings(text, "a.toml").unwrap_err().problems
    ]


def test_a_complete_file_is_converted():
    """Guards against a value that keeps the file's unit, such as Mbit per second."""
    settings = parse_settings(GOOD + "[link]\nrate_mbit_per_s = 8\n").unwrap()
    assert settings.node.link_bytes_per_s == 1_000_000
    assert settings.peer_listen == ("::1", 8082)
    assert settings.log_url == "http://127.0.0.1:9001"
    assert settings.node.endpoint_rules == (("order-desk", False, True),)
    assert settings.tls is None and settings.log_path is None


def test_all_problems_are_listed_with_their_lines():
    """Guards against a check that stops at the first problem."""
    text = (
        GOOD.replace('"west"', "3").replace('"127.0.0.1:8080"', '"here"')
        + '[claims]\nhorizon_ms = 5\n[peers.g2]\naddress = "a:1"\ndomain = "x"\n'
    )
    found = problems(text)
    lines = text.split("\n")
    assert [(key, lines[line - 1].split(" ")[0]) for line, key in found] == [
        ("domains.galway-a.region", "region"),
        ("listen.callers", "callers"),
        ("claims.horizon_ms", "horizon_ms"),
        ("peers.g2.domain", "domain"),
    ]
    message = str(parse_settings(text, "a.toml").unwrap_err())
    assert "a.toml:26: claims.horizon_ms: unknown key; did you mean horizon_s?" in (
        message
    )


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("host_slots = 1", "host_slots = 0", "domains.galway-a.host_slots"),
        ("host_slots = 1", "host_slots = true", "domains.galway-a.host_slots"),
        ('host = "g1"', "", "node.host"),
        ('host = "g1"', 'host = "g\\n1"', "node.host"),
        ("[node]", "[node]\nhost_slot = 1", "node.host_slot"),
        ("[node]", '[node]\npolicy = "best"', "node.policy"),
        ('"galway-a"', '"dublin-a"', "node.domain"),
        ("a" * 64, "A" * 64, "accounts.studio"),
        ("[accounts]", f'[operators]\nx = "{"a" * 64}"\n[accounts]', "operators.x"),
        ("8081", "8080", "listen.operators"),
        ('"http://127.0.0.1:9002"', '"ftp://x"', "platform.host_list_url"),
        ("[accounts]", '[tls]\nkey_path = "k"\n[accounts]', "tls"),
        ("[accounts]", "[link]\nrate_mbit_per_s = nan\n[accounts]", None),
        ("[accounts]", "[timeouts]\nconnect_s = inf\n[accounts]", None),
        ("[accounts]", "[limits]\n[accounts]", "limits"),
        ("[accounts]", "[peers]\ng2 = 1\n[accounts]", "peers.g2"),
        ("[node]", "x = 1\n[node]", "x"),
        ("[node]", "[node", ""),
    ],
)
def test_each_wrong_value_names_its_key(old, new, key):
    """Guards against a wrong value that reaches a running daemon."""
    found = problems(GOOD.replace(old, new, 1))
    assert len(found) == 1
    assert key is None or found[0][1] == key


def test_a_missing_file_is_a_typed_error(tmp_path):
    """Guards against a traceback when the path is wrong."""
    error = read_settings(tmp_path / "none.toml").unwrap_err()
    assert error.code == "invalid_settings"
    assert "none.toml" in str(error)


def test_each_policy_of_the_settings_exists():
    """Guards against a policy that passes the check but does not exist in the core."""
    assert set(settings_keys.POLICIES) == set(policies.POLICIES)
