"""The router's settings on the platform, read from a TOML file and validated."""

import math
import sys
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.admission_queue import AdmissionPolicy
from poplarfold._internal.exceptions import SettingsError, SettingsProblem
from poplarfold._internal.toml_file import TomlFile, read_toml

__all__ = [
    "OLD_TABLES",
    "GatewaySettings",
    "GatewaySettingsFile",
    "RenamedKey",
    "check_gateway_settings",
    "read_gateway_settings",
]

ADMISSION = "admission"
# Old names of tables. Version 0.1 is the last one that reads them.
OLD_TABLES = {"door": ADMISSION}


class RenamedKey(NamedTuple):
    """A key that a file has by its old name, at this line."""

    old: str
    new: str
    line: int


class GatewaySettings(NamedTuple):
    """Limits of one process. Times are in seconds.

    ``request_threads`` limits the requests in progress. ``kept_thread_share`` of them
    serve no streams, so that other calls need not wait until a stream ends.

    Request bodies and answers may hold ``caller_memory_share`` of the process's memory.
    At most ``caller_connections`` connections of callers are open, fewer if the host
    allows fewer descriptors; ``kept_descriptors`` of these, and one for each request
    thread (at most half of the rest), are kept for other uses. If the configuration
    does not state it, a caller may pause for ``caller_idle_s`` within a body or an
    answer.

    Timeouts: ``connect_s`` for connecting to an endpoint or the store,
    ``lease_call_s`` for a call that reserves or releases a resource of an engine,
    ``prefill_s`` for a prefill, ``store_call_s`` for a call to the store. For a
    stream that can be resumed, ``first_output_s`` is the timeout of the first
    event and ``silence_s`` the idle timeout between two events.

    If the queue of the prefill engines takes longer than ``prefill_wait_share`` of
    the latency target, the decode engine itself prefills prompts that pause its other
    streams for up to ``own_prefill_pause_share`` of the accepted pause.

    A read of the configuration waits for ``route_wait_share`` of the time within
    which a configuration must be in force. The endpoints are read again after
    ``endpoint_poll_share`` of the time after which a leaving endpoint must get no
    work.

    A planned stop serves requests for at least ``stop_linger_s`` and ends
    ``stop_margin_s`` before the platform's grace time does. Streams that arrive
    more than ``stop_streams_s`` after the stop began are rejected, because they might
    not end in time, and so are calls whose deadline comes after it. In the last
    ``stop_answers_s`` the calls that are still open are ended and answered.

    At most ``tunnels`` connections of peers to endpoints are forwarded at a time.

    The slack of the retry budget is divided among ``unknown_nodes`` until the
    number of nodes has been read from the store.
    """

    request_threads: int = 96
    kept_thread_share: float = 0.15
    caller_memory_share: float = 0.3
    caller_connections: int = 4096
    kept_descriptors: int = 200
    caller_idle_s: float = 15.0
    metrics_port: int = 9464
    connect_s: float = 0.3
    lease_call_s: float = 0.4
    prefill_s: float = 1.0
    prefill_wait_share: float = 0.35
    own_prefill_pause_share: float = 0.75
    first_output_s: float = 2.0
    silence_s: float = 2.0
    store_call_s: float = 0.8
    route_wait_share: float = 0.4
    endpoint_poll_share: float = 0.4
    tunnels: int = 128
    unknown_nodes: int = 400
    stop_linger_s: float = 3.0
    stop_margin_s: float = 0.3
    stop_streams_s: float = 0.3
    stop_answers_s: float = 0.3
    log_queue_lines: int = 2000
    admission: AdmissionPolicy = AdmissionPolicy()


class GatewaySettingsFile(NamedTuple):
    """The settings in a file, and the keys in it that are to be renamed."""

    settings: GatewaySettings
    renamed: tuple[RenamedKey, ...] = ()


def read_gateway_settings(path: Path) -> Result[GatewaySettingsFile, SettingsError]:
    """Read a settings file; missing keys keep their defaults.

    The error has a problem for each unknown key and each invalid value.
    """
    return read_toml(path).and_then(check_gateway_settings)


def check_gateway_settings(
    source: TomlFile,
) -> Result[GatewaySettingsFile, SettingsError]:
    """Check the content of a settings file; return the settings, or all problems."""
    problems: list[SettingsProblem] = []
    renamed: list[RenamedKey] = []
    tables = {ADMISSION, *OLD_TABLES}
    top = {key: value for key, value in source.document.items() if key not in tables}
    fields = check_keys(top, GatewaySettings, "", source, problems)
    policy = check_table(ADMISSION, source, problems)
    for old, new in OLD_TABLES.items():
        if old not in source.document:
            continue
        old_policy = check_table(old, source, problems)
        if new in source.document:
            message = f"is the old name of [{new}], which the file has, too"
            problems.append(source.problem(old, message))
        renamed.append(RenamedKey(old, new, source.problem(old, "").line))
        policy = {**old_policy, **policy}
    if problems:
        problems.sort(key=lambda problem: problem.line)
        return Err(SettingsError.from_problems(problems))
    settings = GatewaySettings(**fields)._replace(admission=AdmissionPolicy(**policy))
    return Ok(GatewaySettingsFile(settings, tuple(renamed)))


def check_table(
    table: str, source: TomlFile, problems: list[SettingsProblem]
) -> dict[str, Any]:
    """Return the valid fields of a table of the admission policy, if there is one."""
    fields = source.document.get(table, {})
    if not isinstance(fields, dict):
        problems.append(source.problem(table, "must be a table"))
        return {}
    return check_keys(fields, AdmissionPolicy, f"{table}.", source, problems)


def check_keys(
    fields: dict[str, Any],
    kind: type[NamedTuple],
    prefix: str,
    source: TomlFile,
    problems: list[SettingsProblem],
) -> dict[str, Any]:
    """Return the valid fields, and append a problem for each other one."""
    types = get_type_hints(kind)
    checked = {}
    for key, value in fields.items():
        problem = check_value(types.get(key), value)
        if problem is None:
            checked[key] = float(value) if types[key] is float else value
        else:
            problems.append(source.problem(prefix + key, problem))
    return checked


def check_value(kind: object, value: object) -> str | None:
    """Return the problem of a value of the type ``kind``, or None if it is valid."""
    if kind not in (int, float):
        return "is not a key of this file"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return "must be a number"
    if kind is int and not isinstance(value, int):
        return "must be a whole number"
    if kind is float and isinstance(value, int) and value > sys.float_info.max:
        return "is too large"
    if value < 0:
        return "must not be negative"
    if isinstance(value, float) and not math.isfinite(value):
        return "must be a finite number"
    return None
