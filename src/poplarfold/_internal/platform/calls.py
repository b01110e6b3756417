"""The headers of calls and answers, decoded once into the project's types."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import EndpointLoad
from poplarfold._internal.core.model import EndpointRole

__all__ = [
    "AnswerProof",
    "CallTarget",
    "CallerCall",
    "caller_answer_headers",
    "decode_call",
    "endpoint_headers",
    "read_proof",
]

REQUEST_ID = "Poplarfold-Request-Id"
DEADLINE = "Poplarfold-Deadline-Ms"
TARGET_INSTANCE = "Poplarfold-Target-Instance"
STAGE = "Poplarfold-Stage"
KV_SOURCE = "Poplarfold-Kv-Source"
KV_HOLD = "Poplarfold-Kv-Hold"
TOKEN_COUNT = "Poplarfold-Token-Count"
LENGTH_HINT = "Poplarfold-Length-Hint"
PROMPT_PREFIX = "Poplarfold-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
STAMP = "Poplarfold-Server-Stamp"
LOAD = "Poplarfold-Server-Load"
NOT_EXECUTED = "Poplarfold-Not-Executed"

# Only the router may set these; what a caller sends under these names is dropped.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        TARGET_INSTANCE,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        "Poplarfold-Pin-Ms",
        "Poplarfold-Kv-Backup",
        "Poplarfold-Request-Priority",
        "Poplarfold-Expected-Version",
        "Kv-Fetch",
        "Wait-Ms",
    )
)
# RFC 9110, section 7.6.1: these concern one connection only.
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)


class CallerCall(NamedTuple):
    """One caller's call as it was sent.

    ``request_id`` names one attempt of the caller; a repeat has another.
    ``deadline_s`` is the time that the caller waits. ``resume_after`` is the
    last event that the caller has, or None. ``headers`` are those to pass on.
    """

    request_id: str
    method: str
    path: str
    host: str
    deadline_s: float | None
    prompt_tokens: int
    max_outputs: int
    expected_outputs: int
    resume_after: str | None
    headers: tuple[tuple[str, str], ...]


class CallTarget(NamedTuple):
    """What the router sets on one call to an endpoint.

    ``endpoint_id`` makes any other endpoint at the address refuse the call.
    ``kv_source`` is the address and handle of a finished prefill, ``lease`` a
    reserved slot.
    """

    endpoint_id: str
    remaining_s: float
    role: EndpointRole = EndpointRole.SERVICE
    kv_source: str | None = None
    lease: str | None = None
    resume_after: str | None = None


class AnswerProof(NamedTuple):
    """What an endpoint's answer says of itself.

    ``not_run`` is the endpoint's promise that the call has not run and will
    not. ``is_other_endpoint`` means that the address has been given away.
    """

    request_id: str | None
    is_stamped: bool
    not_run: bool
    is_other_endpoint: bool
    is_encoded: bool
    load: EndpointLoad | None

    def belongs_to(self, call: CallerCall) -> bool:
        """Return whether the answer may be passed on to the caller of a call.

        A head that was cut off parses as one with fewer headers, so an answer
        without the call's id or the endpoint's stamp proves nothing. A promise
        not to run the call needs neither.
        """
        if self.request_id is None and self.not_run:
            return True
        is_whole = self.is_stamped and not self.is_encoded
        return self.request_id == call.request_id and (is_whole or self.not_run)


def decode_call(method: str, target: str, headers: Mapping[str, str]) -> CallerCall:
    """Decode a call from its request line and headers (names in any case).

    Counts that are missing or malformed are 0.
    """
    low = {name.lower(): value for name, value in headers.items()}
    dropped = connection_names(low.get("connection", ""))
    kept = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
        and name.lower() not in ROUTER_HEADERS
        and name.lower() not in dropped
    )
    tokens, outputs = decode_counts(low.get(TOKEN_COUNT.lower(), ""))
    return CallerCall(
        request_id=low.get(REQUEST_ID.lower(), ""),
        method=method,
        path=target,
        host=low.get("host", "").rpartition(":")[0].lower()
        if ":" in low.get("host", "")
        else low.get("host", "").lower(),
        deadline_s=decode_milliseconds(low.get(DEADLINE.lower())),
        prompt_tokens=tokens,
        max_outputs=outputs,
        expected_outputs=int(decode_number(low.get(LENGTH_HINT.lower())) or outputs),
        resume_after=low.get(LAST_EVENT_ID.lower()),
        headers=kept,
    )


def connection_names(value: str) -> frozenset[str]:
    """Return the header names that a Connection header lists."""
    return frozenset(part.strip().lower() for part in value.split(","))


def decode_counts(value: str) -> tuple[int, int]:
    """Decode the numbers of prompt tokens and of output tokens at most."""
    tokens, _, outputs = value.partition(",")
    return int(decode_number(tokens) or 0), int(decode_number(outputs) or 0)


def decode_number(value: str | None) -> float | None:
    """Return a number from 0 to 1e12, or None if the text is not one."""
    try:
        found = float(value) if value else None
    except ValueError:
        return None
    return found if found is not None and 0 <= found <= 1e12 else None


def decode_milliseconds(value: str | None) -> float | None:
    """Return seconds, or None if the text is not a number of milliseconds."""
    found = decode_number(value)
    return None if found is None else found / 1000


def endpoint_headers(call: CallerCall, target: CallTarget) -> dict[str, str]:
    """Return the headers of a call to an endpoint."""
    headers: dict[str, str] = {}
    for name, value in call.headers:
        if name.lower() != LAST_EVENT_ID.lower():
            headers[name] = value
    headers[DEADLINE] = str(max(1, int(target.remaining_s * 1000)))
    headers[TARGET_INSTANCE] = target.endpoint_id
    if target.role is EndpointRole.PREFILL:
        headers[STAGE] = "prefill"
    if target.kv_source is not None:
        headers[KV_SOURCE] = target.kv_source
    if target.lease is not None:
        headers[KV_HOLD] = target.lease
    resume_after = target.resume_after or call.resume_after
    if resume_after is not None:
        headers[LAST_EVENT_ID] = resume_after
    return headers


def read_proof(status: int, headers: Mapping[str, str]) -> AnswerProof:
    """Decode what an answer says of itself."""
    is_other = status == 421
    return AnswerProof(
        request_id=headers.get(REQUEST_ID),
        is_stamped=STAMP in headers,
        not_run=is_other or NOT_EXECUTED in headers,
        is_other_endpoint=is_other,
        is_encoded="Content-Encoding" in headers,
        load=decode_load(headers.get(LOAD)),
    )


def decode_load(value: str | None) -> EndpointLoad | None:
    """Decode the numbers of running and waiting requests and of slots."""
    parts = value.split(",") if value else []
    if len(parts) != 3:
        return None
    numbers = [decode_number(part) for part in parts]
    if None in numbers:
        return None
    running, waiting, slots = (int(number or 0) for number in numbers)
    return EndpointLoad(running, waiting, slots)


def caller_answer_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer that a caller receives."""
    rows = list(headers)
    listed = ",".join(value for name, value in rows if name.lower() == "connection")
    dropped = connection_names(listed)
    return [
        (name, value)
        for name, value in rows
        if name.lower() not in HOP_HEADERS and name.lower() not in dropped
    ]
