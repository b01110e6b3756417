"""Decodes and builds the headers of calls and answers."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from poplarfold._internal.core.fleet.rows import EndpointLoad
from poplarfold._internal.core.fleet.server_signals import ServerSignal
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.platform.api_keys import header_key_digest

__all__ = [
    "AnswerMetadata",
    "CallTarget",
    "CallerCall",
    "caller_answer_headers",
    "decode_answer_metadata",
    "decode_call",
    "endpoint_headers",
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
API_KEY = "Poplarfold-Key"
ACCOUNT = "Poplarfold-Tenant"
PRIORITY = "Poplarfold-Request-Priority"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
SERVER_STAMP = "Poplarfold-Server-Stamp"
SERVER_LOAD = "Poplarfold-Server-Load"
NOT_EXECUTED = "Poplarfold-Not-Executed"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
RETRY_AFTER = "Retry-After"
# The platform's headers begin with one of these.
PLATFORM_PREFIXES = ("poplarfold-", "server-")
TOO_BUSY_STATUS = 503

# Further parts of a prompt, and those with longer ids, are not looked at.
SHARED_PARTS_MAX = 32
PART_MAX_CHARS = 64

# Only the router may set these headers; those that a caller sends are removed.
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
        API_KEY,
        ACCOUNT,
        PRIORITY,
        "Poplarfold-Expected-Version",
        "Kv-Fetch",
        "Wait-Ms",
    )
)
# Known headers of answers; Server-Timing is a common one that is not the platform's.
ANSWER_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        SERVER_STAMP,
        SERVER_LOAD,
        NOT_EXECUTED,
        SERVER_LEAVING,
        SERVER_LIMIT,
        "Poplarfold-Instance-Id",
        "Poplarfold-Weight-Versions",
        "Server-Timing",
    )
)
# Headers that apply to a single connection and are not forwarded (RFC 9110, section
# 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        # What an endpoint tells the router of itself.
        SERVER_LEAVING.lower(),
        SERVER_LIMIT.lower(),
        "expect",
        "content-length",
    )
)


class CallerCall(NamedTuple):
    """One call as its caller sent it.

    ``request_id`` identifies one attempt of the caller; a retry has another id.
    ``deadline_s`` is how long the caller waits. ``resume_after`` is the id of the
    last event that the caller has received, or None. ``resumes`` is the id of the
    caller's attempt that brought the first event of the stream, or None.
    ``shared_parts`` are the ids of
    the parts of the prompt that other prompts may share, in order. ``headers`` are
    those to forward. ``key_digest`` is the digest of the caller's API key, or None.
    ``has_token_count`` is true if the counts of tokens were sent and are well-formed.
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
    shared_parts: tuple[str, ...] = ()
    key_digest: bytes | None = None
    has_token_count: bool = False
    resumes: str | None = None


class CallTarget(NamedTuple):
    """The values that the router sets on one call to an endpoint.

    Any endpoint at the address other than ``endpoint_id`` refuses the call.
    ``kv_source`` is the address and handle of a finished prefill, ``lease`` the id
    of a reserved slot. ``account`` is the name of the caller's account. ``priority``
    is set for engines only, and only if the deployment has accounts.
    """

    endpoint_id: str
    remaining_s: float
    role: EndpointRole = EndpointRole.SERVICE
    kv_source: str | None = None
    lease: str | None = None
    resume_after: str | None = None
    account: str | None = None
    priority: int | None = None


class AnswerMetadata(NamedTuple):
    """What an answer says about its origin, execution, encoding and endpoint.

    ``not_run`` is the endpoint's assurance that the call has not run and will not
    run. ``is_other_endpoint`` means that the address now belongs to another
    endpoint, and that the answer says nothing of the one that was called.
    ``unknown_headers`` are headers of the platform that this release does not know.
    """

    request_id: str | None
    is_stamped: bool
    not_run: bool
    is_other_endpoint: bool
    is_encoded: bool
    load: EndpointLoad | None
    signal: ServerSignal = ServerSignal()
    unknown_headers: tuple[str, ...] = ()

    def belongs_to(self, call: CallerCall, was_reused: bool = False) -> bool:
        """Return whether the answer may be forwarded to the caller of ``call``.

        A truncated header block parses as one with fewer headers. Hence an answer
        without the call's id or the endpoint's stamp is rejected. An answer that
        assures that the call has not run needs neither of the two, but must not carry
        the id of another call. If the connection has carried a call before
        (``was_reused``), it needs the call's id: a faulty endpoint may repeat the
        refusal of an earlier call.
        """
        if self.request_id is None and self.not_run:
            return not was_reused
        is_whole = self.is_stamped and not self.is_encoded
        return self.request_id == call.request_id and (is_whole or self.not_run)


def decode_call(method: str, target: str, headers: Mapping[str, str]) -> CallerCall:
    """Decode a call from its request line and headers (names in any case).

    Missing or malformed counts are decoded as 0.
    """
    lower_headers = {name.lower(): value for name, value in headers.items()}
    dropped = connection_names(lower_headers.get("connection", ""))
    kept = tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not is_router_header(name)
        and name.lower() not in dropped
    )
    counts = lower_headers.get(TOKEN_COUNT.lower(), "")
    tokens, outputs = decode_counts(counts)
    return CallerCall(
        request_id=lower_headers.get(REQUEST_ID.lower(), ""),
        method=method,
        path=target,
        host=lower_headers.get("host", "").rpartition(":")[0].lower()
        if ":" in lower_headers.get("host", "")
        else lower_headers.get("host", "").lower(),
        deadline_s=decode_milliseconds(lower_headers.get(DEADLINE.lower())),
        prompt_tokens=tokens,
        max_outputs=outputs,
        expected_outputs=int(
            decode_number(lower_headers.get(LENGTH_HINT.lower())) or outputs
        ),
        resume_after=lower_headers.get(LAST_EVENT_ID.lower()),
        headers=kept,
        shared_parts=decode_shared_parts(lower_headers.get(PROMPT_PREFIX.lower(), "")),
        key_digest=header_key_digest(lower_headers.get(API_KEY.lower())),
        has_token_count=has_both_counts(counts),
        resumes=lower_headers.get(RESUMES.lower()) or None,
    )


def is_router_header(name: str) -> bool:
    """Return whether a caller must not set a header.

    Endpoints behind a CGI-style interface read an underscore in a name as a hyphen.
    """
    return name.lower().replace("_", "-") in ROUTER_HEADERS


def decode_shared_parts(value: str) -> tuple[str, ...]:
    """Decode ``ID:TOKENS,ID:TOKENS``, without the last part.

    That one belongs to the call itself or to its session.
    """
    parts = [part.partition(":")[0].strip() for part in value.split(",")]
    known = [part for part in parts[:-1] if 0 < len(part) <= PART_MAX_CHARS]
    return tuple(known[:SHARED_PARTS_MAX])


def connection_names(value: str) -> frozenset[str]:
    """Return the header names that a Connection header lists."""
    return frozenset(part.strip().lower() for part in value.split(","))


def decode_counts(value: str) -> tuple[int, int]:
    """Decode ``PROMPT_TOKENS,OUTPUT_LIMIT``."""
    tokens, _, outputs = value.partition(",")
    return int(decode_number(tokens) or 0), int(decode_number(outputs) or 0)


def has_both_counts(value: str) -> bool:
    """Return whether a text is a well-formed ``PROMPT_TOKENS,OUTPUT_LIMIT``."""
    parts = value.split(",")
    return len(parts) == 2 and all(decode_number(part) is not None for part in parts)


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
    if target.account is not None:
        headers[ACCOUNT] = target.account
    if target.priority is not None:
        headers[PRIORITY] = str(target.priority)
    resume_after = target.resume_after or call.resume_after
    if resume_after is not None:
        headers[LAST_EVENT_ID] = resume_after
    return headers


def decode_answer_metadata(status: int, headers: Mapping[str, str]) -> AnswerMetadata:
    """Decode what an answer says about its origin, execution, encoding and endpoint."""
    is_other = status == 421
    return AnswerMetadata(
        request_id=headers.get(REQUEST_ID),
        is_stamped=SERVER_STAMP in headers,
        not_run=is_other or NOT_EXECUTED in headers,
        is_other_endpoint=is_other,
        is_encoded="Content-Encoding" in headers,
        load=None if is_other else decode_load(headers.get(SERVER_LOAD)),
        signal=ServerSignal() if is_other else decode_signal(status, headers),
        unknown_headers=find_unknown_headers(headers),
    )


def find_unknown_headers(headers: Iterable[str]) -> tuple[str, ...]:
    """Return the names of the platform's headers that this release does not know."""
    names = (name.lower() for name in headers)
    return tuple(
        name
        for name in names
        if name.startswith(PLATFORM_PREFIXES) and name not in ANSWER_HEADERS
    )


def decode_signal(status: int, headers: Mapping[str, str]) -> ServerSignal:
    """Decode what an endpoint says of itself. A malformed limit counts as none."""
    is_busy = status == TOO_BUSY_STATUS
    return ServerSignal(
        headers.get(SERVER_LEAVING) == "1",
        decode_number(headers.get(RETRY_AFTER)) if is_busy else None,
        decode_number(headers.get(SERVER_LIMIT)),
    )


def decode_load(value: str | None) -> EndpointLoad | None:
    """Decode ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PERCENT``.

    Returns None if one of the first three figures is missing or malformed. Further
    figures than these are ignored, as is a malformed fourth one.
    """
    parts = value.split(",") if value else []
    numbers = [decode_number(part) for part in parts[:3]]
    if len(numbers) < 3 or None in numbers:
        return None
    running, waiting, slots = (int(number or 0) for number in numbers)
    percent = decode_number(parts[3]) if len(parts) > 3 else None
    # No work takes no time: zero is no pace.
    slowdown = percent / 100 if percent else None
    return EndpointLoad(running, waiting, slots, slowdown)


def caller_answer_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's answer to forward to the caller."""
    rows = list(headers)
    listed = ",".join(value for name, value in rows if name.lower() == "connection")
    dropped = connection_names(listed)
    return [
        (name, value)
        for name, value in rows
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in dropped
    ]
