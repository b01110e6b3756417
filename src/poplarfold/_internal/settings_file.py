"""Reads a daemon's settings file: TOML into one validated NamedTuple.

One check reports every problem with its file, line and key, so that the file
can be corrected in one pass.

    >>> parse_settings("[node]\\nhots = 1\\n", "a.toml").unwrap_err().problems[0]
    SettingsProblem(file='a.toml', line=2, key='node.hots', message='...')
"""

import difflib
import math
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from poplarfold._internal.daemon_settings import (
    DaemonSettings,
    ListenAddress,
    PeerSettings,
    TimeoutSettings,
    TlsSettings,
)
from poplarfold._internal.exceptions import SettingsError, SettingsProblem
from poplarfold._internal.settings import DomainSettings, NodeSettings
from poplarfold._internal.settings_keys import (
    KEYS,
    NAME_PATTERN,
    POLICIES,
    KeySpec,
    check_value,
    split_address,
)
from poplarfold._internal.toml_file import TomlFile, parse_toml, read_toml

__all__ = [
    "KEYS",
    "POLICIES",
    "DaemonSettings",
    "KeySpec",
    "ListenAddress",
    "PeerSettings",
    "TimeoutSettings",
    "TlsSettings",
    "check_settings",
    "parse_settings",
    "read_settings",
]

BITS_PER_BYTE = 8
BYTES_PER_MBIT = 1_000_000 // BITS_PER_BYTE


class _Reader:
    """Collects the values and the problems of one file."""

    def __init__(self, source: TomlFile) -> None:
        self.source = source
        self.document = source.document
        self.values: dict[str, Any] = {}
        self.problems: list[SettingsProblem] = []

    def add_problem(self, key: str, message: str) -> None:
        """Record a problem at the line of the key or of its nearest table."""
        self.problems.append(self.source.problem(key, message))

    def read(self) -> None:
        """Check each key of the document; add or report the keys that are missing."""
        specs = {spec.path: spec for spec in KEYS}
        for path, pattern, value in flatten(self.document, specs):
            spec = specs.get(pattern)
            if spec is None:
                self.add_problem(path, unknown_key_message(pattern, path, specs))
                continue
            problem = check_value(spec, value)
            if problem:
                self.add_problem(path, problem)
            else:
                self.values[path] = value
        for spec in KEYS:
            for path in self._expand(spec.path):
                if path in self.values or self._has_problem(path):
                    continue
                if spec.default is None:
                    self.add_problem(path, "the key is missing")
                else:
                    self.values[path] = spec.default

    def names(self, table: str) -> list[str]:
        """Return the names of the subtables or keys of a table such as ``peers``."""
        found = self.document.get(table)
        return list(found) if isinstance(found, dict) else []

    def _expand(self, pattern: str) -> list[str]:
        if "*" not in pattern:
            return [pattern]
        table, _, rest = pattern.partition(".*")
        return [f"{table}.{name}{rest}" for name in self.names(table)]

    def _has_problem(self, path: str) -> bool:
        return any(
            path == problem.key or path.startswith(problem.key + ".")
            for problem in self.problems
        )


def parse_settings(
    text: str | bytes, file: str = "<settings>"
) -> Result[DaemonSettings, SettingsError]:
    """Check a settings file; return the settings, or all problems."""
    return parse_toml(text, file).and_then(check_settings)


def read_settings(path: Path) -> Result[DaemonSettings, SettingsError]:
    """Read and check a settings file."""
    return read_toml(path).and_then(check_settings)


def check_settings(source: TomlFile) -> Result[DaemonSettings, SettingsError]:
    """Check the content of a settings file; return the settings, or all problems."""
    reader = _Reader(source)
    reader.read()
    check_relations(reader)
    if reader.problems:
        problems = sorted(reader.problems, key=lambda problem: problem.line)
        return Err(SettingsError.from_problems(problems))
    return Ok(build_settings(reader))


def flatten(
    document: Mapping[str, Any], specs: Mapping[str, KeySpec]
) -> Iterator[tuple[str, str, object]]:
    """Yield (path, pattern, value) for each value.

    The pattern is the path with ``*`` for the name of a named table or key.
    """
    named_tables = {path.partition(".*")[0] for path in specs if "*" in path}
    known_tables = {path.partition(".")[0] for path in specs}
    for table, content in document.items():
        if not isinstance(content, dict) or table not in known_tables:
            yield table, table, content
            continue
        for key, value in content.items():
            if table not in named_tables:
                yield f"{table}.{key}", f"{table}.{key}", value
            elif f"{table}.*" in specs or not isinstance(value, dict):
                yield f"{table}.{key}", f"{table}.*", value
            else:
                for inner, leaf in value.items():
                    yield f"{table}.{key}.{inner}", f"{table}.*.{inner}", leaf


def unknown_key_message(pattern: str, path: str, specs: Mapping[str, KeySpec]) -> str:
    """Return the message for an unknown key, with the most similar known key."""
    if pattern == path and "." not in path:
        tables = {spec.partition(".")[0] for spec in specs}
        if path in tables:
            return "must be a table"
        close = difflib.get_close_matches(path, tables, 1)
        return "unknown table or key" + (f"; did you mean {close[0]}?" if close else "")
    if pattern.endswith(".*"):
        return "must be a table"
    parent, _, key = pattern.rpartition(".")
    siblings = [spec.rpartition(".")[2] for spec in specs if in_table(spec, parent)]
    close = difflib.get_close_matches(key, siblings, 1)
    return "unknown key" + (f"; did you mean {close[0]}?" if close else "")


def in_table(path: str, table: str) -> bool:
    """Return whether a path is a direct key of the table."""
    return path.rpartition(".")[0] == table


def check_relations(reader: _Reader) -> None:
    """Check the constraints between several keys."""
    values = reader.values
    for table in ("domains", "peers", "accounts", "operators", "endpoint_rules"):
        for name in reader.names(table):
            # Names are used in ids, headers and metric labels.
            if not NAME_PATTERN.fullmatch(name):
                reader.add_problem(f"{table}.{name}", "the name has invalid characters")
    domains = reader.names("domains")
    domain = values.get("node.domain")
    if domain is not None and domain not in domains:
        reader.add_problem("node.domain", f"there is no table [domains.{domain}]")
    slots = values.get(f"domains.{domain}.host_slots")
    slot = values.get("node.host_slot")
    if slots is not None and slot is not None and slot >= slots:
        reader.add_problem("node.host_slot", f"must be below host_slots = {slots}")
    for name in reader.names("peers"):
        peer_domain = values.get(f"peers.{name}.domain")
        if peer_domain is not None and peer_domain not in domains:
            reader.add_problem(
                f"peers.{name}.domain", f"there is no table [domains.{peer_domain}]"
            )
        if name == values.get("node.host"):
            reader.add_problem(f"peers.{name}", "a node must not be its own peer")
    _check_tokens(reader)
    _check_listen_addresses(reader)
    tls = [values.get(f"tls.{key}") for key in TlsSettings._fields]
    if any(tls) and not all(tls):
        reader.add_problem(
            "tls", f"{', '.join(TlsSettings._fields)} must be set together"
        )
    default_deadline_s = values.get("timeouts.default_deadline_s", 0)
    if default_deadline_s > values.get("timeouts.max_deadline_s", math.inf):
        reader.add_problem(
            "timeouts.default_deadline_s", "must not exceed max_deadline_s"
        )


def _check_tokens(reader: _Reader) -> None:
    owners: dict[str, str] = {}
    for table in ("accounts", "operators"):
        for name in reader.names(table):
            digest = reader.values.get(f"{table}.{name}")
            if digest is None:
                continue
            other = owners.setdefault(digest, f"{table}.{name}")
            if other != f"{table}.{name}":
                reader.add_problem(f"{table}.{name}", f"has the same token as {other}")


def _check_listen_addresses(reader: _Reader) -> None:
    seen: dict[str, str] = {}
    for key in ("listen.callers", "listen.operators", "listen.peers"):
        value = reader.values.get(key)
        if value is None or value.endswith(":0"):
            continue
        other = seen.setdefault(value, key)
        if other != key:
            reader.add_problem(key, f"is the same address as {other}")


def build_settings(reader: _Reader) -> DaemonSettings:
    """Build the settings from the checked values."""
    values = reader.values

    def listen(key: str) -> ListenAddress:
        address = split_address(values[f"listen.{key}"], 0)
        assert address is not None
        return address

    node = NodeSettings(
        host=values["node.host"],
        domain=values["node.domain"],
        domains=tuple(
            DomainSettings(
                name,
                values[f"domains.{name}.region"],
                values[f"domains.{name}.host_slots"],
            )
            for name in reader.names("domains")
        ),
        host_slot=values["node.host_slot"],
        policy=values["node.policy"],
        link_bytes_per_s=int(values["link.rate_mbit_per_s"] * BYTES_PER_MBIT),
        claim_horizon_s=float(values["claims.horizon_s"]),
        endpoint_rules=tuple(
            (
                name,
                values[f"endpoint_rules.{name}.refuses_old_fencing"],
                values[f"endpoint_rules.{name}.knows_operations"],
            )
            for name in reader.names("endpoint_rules")
        ),
        strict_invariants=values["node.strict_invariants"],
        peers=tuple(
            (name, values[f"peers.{name}.address"], values[f"peers.{name}.domain"])
            for name in reader.names("peers")
        ),
    )
    tls_paths = [values[f"tls.{key}"] for key in TlsSettings._fields]
    return DaemonSettings(
        node=node,
        caller_listen=listen("callers"),
        operator_listen=listen("operators"),
        peer_listen=listen("peers"),
        log_url=values["platform.log_url"].rstrip("/"),
        host_list_url=values["platform.host_list_url"].rstrip("/"),
        weight_store_url=values["platform.weight_store_url"].rstrip("/"),
        peers=tuple(
            PeerSettings(
                name, values[f"peers.{name}.address"], values[f"peers.{name}.domain"]
            )
            for name in reader.names("peers")
        ),
        accounts={
            name: values[f"accounts.{name}"] for name in reader.names("accounts")
        },
        operators={
            name: values[f"operators.{name}"] for name in reader.names("operators")
        },
        tls=TlsSettings(*map(Path, tls_paths)) if all(tls_paths) else None,
        request_threads=values["requests.threads"],
        body_limit_bytes=values["requests.body_limit_bytes"],
        memory_bytes=values["requests.memory_bytes"],
        max_connections=values["requests.max_connections"],
        timeouts=TimeoutSettings(
            *(float(values[f"timeouts.{key}"]) for key in TimeoutSettings._fields)
        ),
        log_path=Path(values["log.path"]) if values["log.path"] else None,
        kept_thread_share=float(values["requests.kept_thread_share"]),
    )
