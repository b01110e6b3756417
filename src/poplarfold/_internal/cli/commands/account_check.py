"""``poplarfold account check``: finds quotas that hosts cannot give out."""

import json
import math
from argparse import ArgumentParser, Namespace
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.parser import add_json_option
from poplarfold._internal.cli.platform_files import read_configuration, read_host
from poplarfold._internal.core.fleet.account_quota import QuotaRule
from poplarfold._internal.core.fleet.accounts import (
    AccountLimit,
    AccountTable,
    UsageUnit,
)
from poplarfold._internal.core.fleet.quota_check import (
    QuotaFinding,
    QuotaFlaw,
    call_sizes,
    check_call,
)
from poplarfold._internal.exceptions import PlatformFormatError, UsageError
from poplarfold._internal.platform import HostSettings
from poplarfold._internal.utils.results import value_or_raise

__all__ = ["add_arguments", "run"]

COUNT_MAX = 2**31


class AccountFinding(NamedTuple):
    """A quota that is too small under the rule of some hosts."""

    account: str
    limit: AccountLimit
    rule: QuotaRule
    hosts: list[str]
    finding: QuotaFinding


def add_arguments(parser: ArgumentParser) -> None:
    """Add the arguments of ``poplarfold account check`` to the parser."""
    parser.add_argument(
        "config", type=Path, metavar="CONFIG", help="configuration document (JSON)"
    )
    parser.add_argument(
        "boots", nargs="+", type=Path, metavar="BOOT", help="boot file of a host"
    )
    parser.add_argument(
        "--hosts",
        type=positive_count,
        metavar="N",
        help="number of hosts of the deployment (default: those of the boot files)",
    )
    parser.add_argument(
        "--stream-tokens",
        type=positive_count,
        metavar="N",
        help="prompt and output tokens of a usual stream (default: streams are not "
        "checked)",
    )
    add_json_option(parser)


def positive_count(text: str) -> int:
    """Parse a whole number from 1 to COUNT_MAX."""
    value = int(text)
    if not 1 <= value <= COUNT_MAX:
        raise ValueError(f"must be from 1 to {COUNT_MAX}")
    return value


def run(options: Namespace) -> int:
    """Print each quota that is too small. The exit code is 1 if there is any."""
    routes = value_or_raise(read_configuration(options.config))
    rules = hosts_by_rule(value_or_raise(read_host(path)) for path in options.boots)
    named = len({name for names in rules.values() for name in names})
    hosts = options.hosts or named
    if hosts < named:
        raise UsageError(f"--hosts {hosts}: the boot files name {named} hosts")
    table = routes.accounts or AccountTable([])
    rows = list(findings(table, rules, hosts, options.stream_tokens))
    notes = list(notes_on(table, rules, options.stream_tokens))
    if options.json:
        print(json.dumps(as_document(rows, notes, hosts, len(table.limits()))))
    else:
        for row in rows:
            print(describe(row, hosts))
        count = len(table.limits())
        print(f"{count} account(s) with a limit checked, {len(rows)} finding(s)")
        for note in notes:
            print(f"note: {note}")
    return int(ExitCode.FAILED if rows else ExitCode.SUCCESS)


def hosts_by_rule(hosts: Iterable[HostSettings]) -> dict[QuotaRule, list[str]]:
    """Return the names of the hosts that have each rule, usually one for all.

    Raises PlatformFormatError if a rule has a number that makes no sense, with which
    every quota would seem to be large enough.
    """
    rules: dict[QuotaRule, list[str]] = {}
    for host in hosts:
        bounds = host.bounds
        rule = QuotaRule(bounds.quota_window_s, bounds.quota_over, bounds.quota_slack)
        if not (all(0 <= value < math.inf for value in rule) and rule.window_s > 0):
            raise PlatformFormatError(f"{host.host}: the rule for quotas is invalid")
        names = rules.setdefault(rule, [])
        if host.host not in names:
            names.append(host.host)
    return rules


def findings(
    table: AccountTable,
    rules: dict[QuotaRule, list[str]],
    hosts: int,
    stream_tokens: int | None,
) -> Iterator[AccountFinding]:
    """Yield what is wrong with each account, by name."""
    for name, limit in sorted(table.limits().items()):
        for rule, names in rules.items():
            for call in call_sizes(limit, stream_tokens):
                finding = check_call(limit, rule, hosts, call)
                if finding is not None:
                    yield AccountFinding(name, limit, rule, names, finding)


def notes_on(
    table: AccountTable, rules: dict[QuotaRule, list[str]], stream_tokens: int | None
) -> Iterator[str]:
    """Yield what the check leaves open."""
    limits = table.limits()
    if not limits:
        yield "no account has a limit"
    if len(rules) > 1:
        yield f"the boot files have {len(rules)} different rules for quotas"
    units = {limit.unit for limit in limits.values()}
    if UsageUnit.TOKENS in units and stream_tokens is None:
        yield "streams were not checked, since --stream-tokens is not given"


def describe(row: AccountFinding, hosts: int) -> str:
    """Return a finding with its figures, as a sentence."""
    found, limit, rule = row.finding, row.limit, row.rule
    call = "one request"
    if limit.unit is UsageUnit.TOKENS:
        call = f"a {found.call.kind} of {found.call.units} tokens"
    quota = (
        f"{limit.rate_per_s:g}/s x {rule.window_s:g} s + burst {limit.burst:g} = "
        f"{figure(found.quota)}"
    )
    usable, share = figure(found.usable), figure(found.share)
    if found.flaw is QuotaFlaw.NEVER_FITS:
        return (
            f"{row.account}: {call} never fits while hosts hear each other: the quota "
            f"of a window is {quota}, and {usable} with what hosts give out beyond it"
        )
    if found.flaw is QuotaFlaw.LIMIT_BELOW_CALL:
        return (
            f"{row.account}: {call} is above the quota of a window, {quota}; it only "
            f"fits into the {usable} that hosts give out with the slack of the rule, "
            f"and the share of an isolated host is {share}"
        )
    return (
        f"{row.account}: {call} is above the equal share of an isolated host, {usable} "
        f"/ {hosts} hosts = {share} (the quota of a window is {quota}); such a host "
        f"admits it with probability {found.chance:.2g}, at most once in "
        f"{rule.window_s:g} s"
    )


def figure(units: float) -> str:
    """Return a number of units as text, whole unless it is small."""
    return f"{units:.0f}" if units >= 100 else f"{units:.3g}"


def as_document(
    rows: list[AccountFinding], notes: list[str], hosts: int, checked: int
) -> dict[str, object]:
    """Return the findings as a JSON document."""
    return {
        "hosts": hosts,
        "checked": checked,
        "findings": [
            {
                "account": row.account,
                "limit": row.limit._asdict(),
                "rule": row.rule._asdict(),
                "hosts": row.hosts,
                **row.finding._asdict(),
                "call": row.finding.call._asdict(),
            }
            for row in rows
        ],
        "notes": notes,
    }
