"""Tests of ``poplarfold check`` with settings of gateways and of daemons."""

import json

import pytest
from tests.unit.test_settings_file import GOOD

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import main


@pytest.fixture
def write(tmp_path):
    def write_file(content, name="gateway.toml"):
        path = tmp_path / name
        path.write_text(content)
        return str(path)

    return write_file


@pytest.mark.parametrize(
    "content",
    [
        "metrics_port = 9464\n",
        "[admission]\nqueue_max = 7\n",
        "connect_s = 1\n[admission]\nforecast_waits = 1\nretry_after_s = 2.5\n",
    ],
)
def test_valid_settings_of_a_gateway_have_no_problems(content, write, capsys):
    """Guards against a gateway's file that is checked as one of a daemon."""
    assert main(["check", write(content)]) == ExitCode.SUCCESS
    output = capsys.readouterr()
    assert (output.out, output.err) == ("1 file(s) checked, no problems\n", "")


def test_all_problems_of_a_gateway_are_listed_at_once(write, capsys):
    """Guards against a check that stops at the first problem, or names no key."""
    path = write(
        'metric_port = 1\nconnect_s = "soon"\nunknown_nodes = -1\n'
        "[admission]\nfresh = 1\n[tuning]\n"
    )
    assert main(["check", path]) == ExitCode.INVALID_FILE
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err.split("\n") == [
        f"{path}:1: metric_port: is not a key of this file",
        f"{path}:2: connect_s: must be a number",
        f"{path}:3: unknown_nodes: must not be negative",
        f"{path}:5: admission.fresh: is not a key of this file",
        f"{path}:6: tuning: is not a key of this file",
        "",
    ]


def test_the_old_name_of_a_table_is_a_warning(write, capsys):
    """Guards against an old name that is only noticed when the gateway refuses it."""
    path = write("[door]\nqueue_max = 7\n")
    assert main(["check", path]) == ExitCode.SUCCESS
    message = "is the old name of [admission]; the next version rejects it"
    output = capsys.readouterr()
    assert output.err == f"{path}:1: door: {message} (warning)\n"
    assert main(["check", path, "--json"]) == ExitCode.SUCCESS
    assert json.loads(capsys.readouterr().out) == {
        "problems": [],
        "warnings": [{"file": path, "line": 1, "key": "door", "message": message}],
    }


def test_both_names_of_a_table_are_a_problem(write, capsys):
    """Guards against a check that passes a file that the gateway refuses."""
    path = write("[door]\nqueue_max = 7\n[admission]\nqueue_max = 7\n")
    assert main(["check", path, "--json"]) == ExitCode.INVALID_FILE
    found = json.loads(capsys.readouterr().out)
    assert [(row["line"], row["key"]) for row in found["problems"]] == [(1, "door")]
    assert found["warnings"] == []


def test_files_of_both_kinds_are_checked_in_one_call(write, capsys):
    """Guards against a problem of one file that hides those of another."""
    paths = [
        write("connect_s = true\n"),
        write(GOOD.replace('"west"', "3"), "node.toml"),
        write(GOOD, "good.toml"),
        write("{}", "entry.json"),
    ]
    assert main(["check", *paths, "--json"]) == ExitCode.INVALID_FILE
    found = json.loads(capsys.readouterr().out)["problems"]
    assert [(row["file"], row["key"]) for row in found][:2] == [
        (paths[0], "connect_s"),
        (paths[1], "domains.galway-a.region"),
    ]
    assert {row["file"] for row in found} == {paths[0], paths[1], paths[3]}


@pytest.mark.parametrize("stray", ["connect_s = 1\n", "x = 1\n", "[admission]\n"])
def test_a_daemon_s_file_stays_one_with_a_stray_key(stray, write, capsys):
    """Guards against a daemon's file whose keys are all reported as unknown."""
    text = stray + GOOD if "=" in stray else GOOD + stray
    assert main(["check", write(text), "--json"]) == ExitCode.INVALID_FILE
    found = json.loads(capsys.readouterr().out)["problems"]
    key = stray.split(" ")[0].strip("[]\n")
    assert [row["key"] for row in found] == [key]


def test_a_file_without_keys_is_a_gateway_s_if_the_option_says_so(write, capsys):
    """Guards against a gateway's file of comments that cannot be checked.

    Without the option it is a daemon's file whose keys are missing.
    """
    path = write("# metrics_port = 9464\n")
    assert main(["check", path, "--gateway"]) == ExitCode.SUCCESS
    assert main(["check", path]) == ExitCode.INVALID_FILE
    assert f"{path}:1: node.host: the key is missing" in capsys.readouterr().err


@pytest.mark.parametrize("options", [[], ["--gateway"]])
@pytest.mark.parametrize("content", ["connect_s = ", "[admission", "a = " + "[" * 9999])
def test_a_malformed_file_is_a_problem(content, options, write, capsys):
    """Guards against a traceback for a file that is not TOML."""
    path = write(content)
    assert main(["check", path, *options]) == ExitCode.INVALID_FILE
    assert capsys.readouterr().err.startswith(f"{path}:1: ")


def test_a_missing_file_is_a_problem(tmp_path, capsys):
    """Guards against a traceback when the path is wrong."""
    path = str(tmp_path / "gateway.toml")
    assert main(["check", path, "--gateway"]) == ExitCode.INVALID_FILE
    assert f"{path}:0: cannot be read" in capsys.readouterr().err
