"""Tests of the gateway's settings file: accepted values and the reported problems."""

import pytest

from poplarfold._internal.core.fleet.admission_queue import AdmissionPolicy
from poplarfold._internal.gateway.settings import (
    GatewaySettings,
    RenamedKey,
    check_gateway_settings,
    read_gateway_settings,
)
from poplarfold._internal.toml_file import parse_toml


def check(text):
    return parse_toml(text, "gateway.toml").and_then(check_gateway_settings)


def problems(text):
    return [
        (problem.line, problem.key, problem.message)
        for problem in check(text).unwrap_err().problems
    ]


def test_missing_keys_keep_their_defaults():
    """Guards against a file that changes more than the keys in it."""
    found = check("connect_s = 1\n[admission]\nqueue_max = 7\n").unwrap()
    policy = AdmissionPolicy(queue_max=7)
    assert found.settings == GatewaySettings(connect_s=1.0, admission=policy)
    assert isinstance(found.settings.connect_s, float)
    assert found.renamed == ()
    assert check("").unwrap().settings == GatewaySettings()


def test_all_problems_are_listed_with_their_lines():
    """Guards against a check that stops at the first problem."""
    text = (
        'metric_port = 1\nconnect_s = "soon"\ntunnels = 1.5\n'
        "[admission]\nfresh = 1\nqueue_max = true\nretry_after_s = -1\n[node]\n"
    )
    assert problems(text) == [
        (1, "metric_port", "is not a key of this file"),
        (2, "connect_s", "must be a number"),
        (3, "tunnels", "must be a whole number"),
        (5, "admission.fresh", "is not a key of this file"),
        (6, "admission.queue_max", "must be a number"),
        (7, "admission.retry_after_s", "must not be negative"),
        (8, "node", "is not a key of this file"),
    ]
    message = str(check(text).unwrap_err())
    assert "gateway.toml:5: admission.fresh: is not a key of this file" in message


@pytest.mark.parametrize("value", ["nan", "-nan", "inf", "1e999"])
def test_limits_are_finite_numbers(value):
    """Guards against a time limit that never ends a wait, or ends each at once."""
    assert problems(f"connect_s = {value}") == [
        (1, "connect_s", "must be a finite number")
    ]


@pytest.mark.parametrize("table", ["admission", "door"])
def test_a_table_must_be_a_table(table):
    """Guards against a traceback for a value in the place of a table."""
    assert problems(f"{table} = 5") == [(1, table, "must be a table")]


def test_the_old_name_of_the_admission_table_is_read():
    """Guards against an older file whose limits are ignored, or read unnoticed."""
    old = check("tunnels = 3\n[door]\nqueue_max = 7\n").unwrap()
    new = check("tunnels = 3\n[admission]\nqueue_max = 7\n").unwrap()
    assert old.settings == new.settings
    assert old.renamed == (RenamedKey("door", "admission", 2),)
    assert problems("[door]\nfresh = 1\n") == [
        (2, "door.fresh", "is not a key of this file")
    ]


def test_the_old_and_the_new_name_together_are_an_error():
    """Guards against limits that depend on which of the two tables is read last."""
    text = "[admission]\nqueue_max = 7\n[door]\nqueue_max = 8\nfresh = 1\n"
    message = "is the old name of [admission], which the file has, too"
    assert problems(text) == [
        (3, "door", message),
        (5, "door.fresh", "is not a key of this file"),
    ]


@pytest.mark.parametrize("content", [b"[admission", b"tunnels = 1 2", b"# \xff"])
def test_a_malformed_file_is_a_typed_error(content, tmp_path):
    """Guards against a traceback for a file that is not TOML."""
    path = tmp_path / "gateway.toml"
    path.write_bytes(content)
    error = read_gateway_settings(path).unwrap_err()
    assert error.code == "invalid_settings"
    assert str(error).startswith(f"{path}:1: ")


def test_a_missing_file_is_a_typed_error(tmp_path):
    """Guards against a traceback when the path is wrong."""
    error = read_gateway_settings(tmp_path / "none.toml").unwrap_err()
    assert "none.toml:0: cannot be read" in str(error)
