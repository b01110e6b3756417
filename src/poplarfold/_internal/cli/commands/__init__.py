"""Registry of the subcommands, whose modules are imported on demand.

Each module defines ``add_arguments(parser)`` and ``run(options) -> int``. The
modules of ``poplarfold bench NAME`` are named ``bench_NAME``, and those of
``poplarfold account NAME`` are named ``account_NAME``. A module is imported only
when its command runs, so that ``poplarfold status`` does not load the benchmarks.
"""

import importlib
from argparse import ArgumentParser, Namespace
from typing import NamedTuple, Protocol, cast

from poplarfold._internal.exceptions import CommandUnavailableError

__all__ = [
    "ACCOUNT_COMMANDS",
    "BENCH_COMMANDS",
    "COMMANDS",
    "GROUPS",
    "CommandModule",
    "CommandSpec",
    "load",
]


class CommandModule(Protocol):
    """The interface of a subcommand's module."""

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the options and arguments of the command."""

    def run(self, options: Namespace) -> int:
        """Run the command and return its exit code."""


class CommandSpec(NamedTuple):
    """A subcommand. ``module`` is relative to this package."""

    name: str
    module: str
    summary: str


def _registry(*specs: CommandSpec) -> dict[str, CommandSpec]:
    return {spec.name: spec for spec in specs}


COMMANDS = _registry(
    CommandSpec("publish", "publish", "publish a new catalogue entry"),
    CommandSpec("amend", "amend", "change a published catalogue entry"),
    CommandSpec("show", "show", "show the catalogue entries in force"),
    CommandSpec("check", "check", "check settings files and entries"),
    CommandSpec("status", "status", "show the state of a node and its domains"),
    CommandSpec("drain", "drain", "stop a node without interrupting its calls"),
    CommandSpec("timeline", "timeline", "merge the logs of many processes"),
    CommandSpec("why", "why", "explain why a gateway answered a call as it did"),
    CommandSpec("account", "account", "show the accounts of gateways and their use"),
    CommandSpec("demo", "demo", "run sample calls on two daemons with stand-ins"),
    CommandSpec("bench", "bench", "measure latency, goodput, faults and control cost"),
)

BENCH_COMMANDS = _registry(
    CommandSpec("latency", "bench_latency", "compare a daemon with a direct call"),
    CommandSpec("goodput", "bench_goodput", "measure goodput and wasted prefill"),
    CommandSpec("faults", "bench_faults", "count violations under random faults"),
    CommandSpec(
        "control", "bench_control", "measure traffic, CPU time and memory per idle node"
    ),
    CommandSpec(
        "memory", "bench_memory", "measure memory and CPU time per row of state"
    ),
    CommandSpec("report", "bench_report", "plot the results of goodput runs"),
)

ACCOUNT_COMMANDS = _registry(
    CommandSpec("usage", "account_usage", "show the calls and units of each account"),
    CommandSpec("list", "account_list", "list the accounts of a configuration"),
    CommandSpec("check", "account_check", "find quotas that hosts cannot give out"),
)

# The commands that have subcommands of their own.
GROUPS = {"account": ACCOUNT_COMMANDS, "bench": BENCH_COMMANDS}


def load(spec: CommandSpec) -> CommandModule:
    """Import the module of a command.

    Raises CommandUnavailableError if the command or a package it needs is not
    installed.
    """
    module = f"{__name__}.{spec.module}"
    try:
        return cast(CommandModule, importlib.import_module(module))
    except ModuleNotFoundError as error:
        if error.name == module:
            raise CommandUnavailableError(
                f"this installation does not contain the command {spec.name!r}"
            ) from error
        raise CommandUnavailableError(
            f"the command {spec.name!r} needs the package {error.name!r}, which is "
            "not installed"
        ) from error
