"""Describes the events of a gateway's call in sentences, with the inputs of decisions.

sentence("PF1104", {"service": "registry"})
"""

import inspect
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from poplarfold._internal import exceptions
from poplarfold._internal.exceptions import PoplarfoldError
from poplarfold._internal.logs.catalogue import EVENTS
from poplarfold._internal.logs.routes import as_text, seconds

__all__ = ["confirmation", "meaning_of_code", "sentence"]

Fields = Mapping[str, Any]

STREAM_REFUSALS = {
    "target": "a new stream could no longer be on time",
    "late_wait": "a retry had waited as long as it may",
    "queue_full": "the queue was full, and the stream's account was furthest above its "
    "share",
    "no_engine": "no decode engine was in use, or none of them responded",
}
CHOICES = {
    "best": "it had the lowest expected time",
    "equal": "it was drawn from endpoints that were nearly equal",
    "trial": "it was avoided for its failures and was tried again",
    "repeat": "another endpoint had failed before",
}
UNKNOWN_REASON = "the reason is unknown to this version"
MEANINGS: dict[str, str] = {
    kind.code: " ".join((inspect.getdoc(kind) or "").split("\n\n")[0].split())
    for kind in vars(exceptions).values()
    if isinstance(kind, type) and issubclass(kind, PoplarfoldError)
}


def sentence(number: str, fields: Fields) -> str:
    """Return what an event says; an unknown event is described by its fields."""
    describe = SENTENCES.get(number)
    if describe is not None:
        return describe(fields)
    kind = EVENTS.get(number)
    rows = ", ".join(f"{key} {as_text(value)}" for key, value in fields.items())
    return f"{kind.name if kind else 'unknown event'}: {rows}."


def meaning_of_code(code: object) -> str:
    """Return what an error code means, or an empty string if it is unknown."""
    return MEANINGS.get(code, "") if isinstance(code, str) else ""


def confirmation(known: object) -> str:
    """Return how old a node's knowledge of a topic was, and where it came from."""
    if not isinstance(known, Mapping):
        return "never confirmed"
    age = seconds(known.get("age_s"))
    return f"confirmed {age} before (source: {as_text(known.get('source'))})"


def number_of(value: object) -> float | None:
    """Return a logged number, or None if the value is none."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value


def units_text(value: object) -> str:
    """Return a number of units as text."""
    return "1 unit" if value == 1 else f"{as_text(value)} units"


def describe_routed(fields: Fields) -> str:
    """Describe PF1101."""
    account, deadline = fields.get("account"), fields.get("deadline_s")
    owner = f"for the account {as_text(account)}" if account else "without an account"
    limit = f", with {seconds(deadline)} left" if deadline is not None else ""
    return (
        f"The request was admitted on the route {as_text(fields.get('route'))} to the "
        f"service {as_text(fields.get('service'))}, {owner}{limit}; "
        f"{as_text(fields.get('prompt_tokens'))} prompt tokens."
    )


def describe_key(fields: Fields) -> str:
    """Describe PF1201."""
    version = as_text(fields.get("version"))
    if fields.get("has_key"):
        found = f"no account of configuration version {version} has its API key"
    else:
        found = "it had no API key, and the route is not public"
    known = confirmation(fields.get("known"))
    return f"The request was rejected: {found} (version {version}, {known})."


def describe_unchecked_key(fields: Fields) -> str:
    """Describe PF1202."""
    return (
        "The API key could not be checked: configuration version "
        f"{as_text(fields.get('version'))} was {confirmation(fields.get('known'))}, "
        "and a key may have been added or revoked since. Nothing ran; the same request "
        "may be sent again, best to another host."
    )


def describe_quota(fields: Fields) -> str:
    """Describe PF1211: the inputs of the refusal, and which of them decided."""
    parts = [
        f"The quota of the account {as_text(fields.get('account'))} refused the call, "
        f"which needs {units_text(fields.get('units'))}: this host knew of "
        f"{units_text(fields.get('room'))} left and of a demand of "
        f"{units_text(fields.get('demand_per_s'))} per second, and had itself admitted "
        f"{units_text(fields.get('own_units'))} within the window (configuration "
        f"version {as_text(fields.get('version'))}).",
        quota_reason(fields),
        *relay_texts(fields.get("relays")),
        unheard_text(fields),
        f"The caller was told to come back after {seconds(fields.get('retry_after_s'))}"
        ". Nothing ran.",
    ]
    return " ".join(filter(None, parts))


def quota_reason(fields: Fields) -> str:
    """Return whether the room was too small, or a part of the calls was refused."""
    room, units = number_of(fields.get("room")), number_of(fields.get("units"))
    if room is None or units is None:
        return "The room had changed before the line was written."
    if room < units:
        return "The room was smaller than the call."
    return (
        "The call fitted, but at this demand the room would be used up before all "
        "hosts know of it, so a part of the calls is refused."
    )


def relay_texts(relays: object) -> Iterator[str]:
    """Yield what each relay had sent of the account."""
    for name, level in relays.items() if isinstance(relays, Mapping) else ():
        if isinstance(level, Mapping):
            room, age = units_text(level.get("room")), seconds(level.get("age_s"))
            yield f"The relay {as_text(name)} had sent {room}, {age} before."
        else:
            yield f"The relay {as_text(name)} had sent no level of the account."


def unheard_text(fields: Fields) -> str:
    """Return how many hosts this one heard, if that lowered the room."""
    nodes, heard = number_of(fields.get("nodes")), number_of(fields.get("heard_hosts"))
    if nodes is None or heard is None or heard >= nodes:
        return ""
    if heard > 1:
        return (
            f"As a relay it heard {heard} of {nodes} hosts and kept a share free for "
            "each of the others."
        )
    # A host that is no relay hears only itself, and relies on its relays.
    if fields.get("relays"):
        return ""
    return (
        f"It heard no other host, so it kept to an equal share, 1 of {nodes}, of what "
        "the quota allows."
    )


def describe_stream_refusal(fields: Fields) -> str:
    """Describe PF3611."""
    reason = as_text(fields.get("reason"))
    expected, position = fields.get("expected_s"), fields.get("position")
    kind = "a retry" if fields.get("is_late") else "a new stream"
    wait = "unknown" if expected is None else seconds(expected)
    place = "not in the queue any more" if position is None else f"place {position}"
    return (
        f"The stream got no decode slot ({reason}): "
        f"{STREAM_REFUSALS.get(reason, UNKNOWN_REASON)}. "
        f"It was {kind}, waited {seconds(fields.get('waited_s'))}, {place}; the wait "
        f"expected of a new stream was {wait}, the route's target "
        f"{seconds(fields.get('target_s'))}."
    )


def describe_choice(fields: Fields) -> str:
    """Describe PF3601."""
    choice = fields.get("choice")
    row: Fields = choice if isinstance(choice, Mapping) else {}
    reason = as_text(row.get("reason"))
    age = row.get("age_s")
    figures = "unknown" if age is None else f"{seconds(age)} old"
    return (
        f"The {as_text(fields.get('role'))} endpoint {as_text(row.get('endpoint'))} "
        f"was chosen of {as_text(row.get('candidates'))}, "
        f"{as_text(row.get('avoided'))} of them avoided ({reason}: "
        f"{CHOICES.get(reason, UNKNOWN_REASON)}): expected "
        f"{seconds(row.get('expected_s'))}, failure rate "
        f"{as_text(row.get('failure_rate'))}, slowdown "
        f"{as_text(row.get('slowdown'))}, figures {figures}."
    )


def describe_repeat(fields: Fields) -> str:
    """Describe PF3602."""
    outcome = "succeeded" if fields.get("ok") else "failed as well"
    where = "the same" if fields.get("same_domain") else "another"
    return (
        f"After {as_text(fields.get('first'))} had failed, the attempt at "
        f"{as_text(fields.get('second'))} in {where} failure domain {outcome}."
    )


def describe_answer(fields: Fields) -> str:
    """Describe PF1102."""
    end = " and said that the call has not run" if fields.get("not_run") else ""
    return (
        f"{as_text(fields.get('endpoint'))} answered with status "
        f"{as_text(fields.get('status'))} after {seconds(fields.get('answer_s'))}{end}."
    )


def describe_failure(fields: Fields) -> str:
    """Describe PF1103."""
    outcome = "may have run there" if fields.get("sent") else "has not run there"
    return (
        f"The attempt at {as_text(fields.get('endpoint'))} failed with "
        f"{as_text(fields.get('code'))}: {as_text(fields.get('problem'))}; the call "
        f"{outcome}."
    )


def describe_end(fields: Fields) -> str:
    """Describe PF1109."""
    return (
        f"The call ended with {as_text(fields.get('code'))} (status "
        f"{as_text(fields.get('status'))}): {as_text(fields.get('problem'))}."
    )


SENTENCES: dict[str, Callable[[Fields], str]] = {
    "PF1101": describe_routed,
    "PF1102": describe_answer,
    "PF1103": describe_failure,
    "PF1104": lambda fields: (
        f"A further attempt was denied: this node's share of the retry budget of the "
        f"service {as_text(fields.get('service'))} was used up."
    ),
    "PF1105": lambda fields: (
        f"{as_text(fields.get('endpoint'))} reserved a decode slot for "
        f"{as_text(fields.get('tokens'))} tokens, {seconds(fields.get('waited_s'))} "
        "after the call arrived."
    ),
    "PF1106": lambda fields: (
        f"{as_text(fields.get('endpoint'))} processed the prompt "
        f"({as_text(fields.get('tokens'))} tokens) in "
        f"{seconds(fields.get('prefill_s'))}."
    ),
    "PF1107": lambda fields: (
        f"The stream of {as_text(fields.get('endpoint'))} was complete after "
        f"{seconds(fields.get('stream_s'))}: {as_text(fields.get('events'))} events, "
        f"longest pause {seconds(fields.get('pause_s'))}."
    ),
    "PF1108": lambda fields: (
        f"{as_text(fields.get('endpoint'))} did not confirm the release of its "
        f"{as_text(fields.get('kind'))}, which expires by itself."
    ),
    "PF1109": describe_end,
    "PF1110": lambda fields: (
        "No prefill engine could process the prompt, so "
        f"{as_text(fields.get('endpoint'))} did both."
    ),
    "PF1111": lambda fields: (
        f"The process of {as_text(fields.get('endpoint'))} ended under the stream; the "
        "parts of its prompt are suspect."
    ),
    "PF1112": lambda fields: (
        f"{as_text(fields.get('endpoint'))} has been silent for so long that another "
        "engine is looked for; the stream stays until there is one."
    ),
    "PF1201": describe_key,
    "PF1202": describe_unchecked_key,
    "PF1211": describe_quota,
    "PF3601": describe_choice,
    "PF3602": describe_repeat,
    "PF3611": describe_stream_refusal,
}
