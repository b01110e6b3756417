"""Functional test of the demo command on real sockets."""

import json

import pytest

from poplarfold._internal.cli.main import main


@pytest.mark.parametrize("deployment", ["association", "glasscairn"])
def test_demo_results_match_its_report(deployment, tmp_path, capsys):
    """Guards against a demo that reports success without checking its calls."""
    prompt = tmp_path / "prompt.txt"
    prompt.write_text("A short transcript.\n" * 200)
    options = ["demo", "--input", str(prompt), "--deployment", deployment, "--json"]
    assert main(options) == 0
    report = json.loads(capsys.readouterr().out)
    (shown,) = report["deployments"]
    assert shown["once_runs"] == 1
    assert shown["problems"] == []
    assert shown["duration_s"] < 30
    filed, filed_again = shown["calls"][1:3]
    assert filed["daemon"] != filed_again["daemon"]
    assert filed["answer"] == filed_again["answer"]
