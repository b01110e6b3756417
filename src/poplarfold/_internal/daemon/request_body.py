"""Decodes request bodies and headers of callers. Errors are typed, with a reason."""

import hashlib
import json
import math
import re
import time
from collections.abc import Mapping
from email.utils import parsedate_to_datetime
from typing import Any, NamedTuple

from poplarfold._internal.exceptions import IdempotencyKeyError, RequestError

__all__ = [
    "CallerRequestBody",
    "parse_age",
    "parse_chat",
    "parse_completion",
    "parse_deadline_s",
    "parse_idempotency_key",
    "prefix_digests",
    "token_count",
]

BYTES_PER_TOKEN = 4
PREFIX_BLOCK_TOKENS = 256
PREFIX_BLOCK_BYTES = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN
PREFIX_DIGEST_BYTES = 8
DEFAULT_MAX_OUTPUTS = 512
MAX_OUTPUTS_LIMIT = 65_536
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
DEADLINE_MS = re.compile(r"[0-9]{1,9}")


class CallerRequestBody(NamedTuple):
    """The fields of a model call. ``entry`` is the ``model`` field of the body."""

    entry: str
    prompt: str
    max_outputs: int
    is_stream: bool
    with_usage: bool


def parse_object(data: bytes) -> dict[str, Any]:
    """Decode a body that must be a JSON object. Raises RequestError."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RequestError(f"the body is not valid JSON: {error}") from None
    if not isinstance(body, dict):
        raise RequestError("the body is not a JSON object")
    return body


def parse_completion(data: bytes) -> CallerRequestBody:
    """Decode the body of /v1/completions. Raises RequestError."""
    body = parse_object(data)
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise RequestError("prompt: must be a string")
    return build_request_body(body, prompt)


def parse_chat(data: bytes) -> CallerRequestBody:
    """Decode the body of /v1/chat/completions. Raises RequestError.

    The prompt has one line ``role: text`` per message.
    """
    body = parse_object(data)
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError("messages: must be a list with at least one message")
    lines = []
    for number, message in enumerate(messages):
        field = f"messages[{number}]"
        if not isinstance(message, dict):
            raise RequestError(f"{field}: must be an object")
        role = message.get("role")
        if not isinstance(role, str) or not role:
            raise RequestError(f"{field}.role: must be a string")
        lines.append(f"{role}: {content_text(message.get('content'), field)}")
    if not any(line.partition(": ")[2] for line in lines):
        raise RequestError("messages: all messages are empty")
    return build_request_body(body, "\n".join(lines))


def content_text(content: object, field: str) -> str:
    """Return the text of a message, whose content is a string or text parts."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise RequestError(f"{field}.content: must be a string or a list of parts")
    texts = []
    for part in content:
        text = part.get("text") if isinstance(part, dict) else None
        if not isinstance(text, str) or part.get("type") != "text":
            raise RequestError(
                f"{field}.content: only parts of type text are supported"
            )
        texts.append(text)
    return "".join(texts)


def build_request_body(body: dict[str, Any], prompt: str) -> CallerRequestBody:
    """Validate the fields that both kinds of model call share."""
    entry = body.get("model")
    if not isinstance(entry, str) or not entry:
        raise RequestError("model: must name a catalogue entry")
    if not prompt:
        raise RequestError("prompt: must not be empty")
    try:
        prompt.encode()
    except UnicodeEncodeError:
        raise RequestError("prompt: contains an unpaired surrogate") from None
    is_stream = body.get("stream", False)
    if not isinstance(is_stream, bool):
        raise RequestError("stream: must be true or false")
    options = body.get("stream_options")
    if options is not None and not isinstance(options, dict):
        raise RequestError("stream_options: must be an object")
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    if limit is None:
        limit = DEFAULT_MAX_OUTPUTS
    if type(limit) is not int or not 1 <= limit <= MAX_OUTPUTS_LIMIT:
        raise RequestError(
            f"max_tokens: must be an integer from 1 to {MAX_OUTPUTS_LIMIT}"
        )
    if body.get("n", 1) != 1:
        raise RequestError("n: only one completion per call is supported")
    with_usage = bool(options and options.get("include_usage"))
    return CallerRequestBody(entry, prompt, limit, is_stream, with_usage)


def token_count(prompt_bytes: int) -> int:
    """Return the estimated number of tokens of a prompt."""
    return max(1, prompt_bytes // BYTES_PER_TOKEN)


def prefix_digests(prompt: bytes) -> tuple[str, ...]:
    """Return a digest for each prefix that consists of whole blocks."""
    digest = hashlib.blake2b(digest_size=PREFIX_DIGEST_BYTES)
    digests = []
    last = len(prompt) - PREFIX_BLOCK_BYTES
    for start in range(0, last + 1, PREFIX_BLOCK_BYTES):
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        digests.append(digest.copy().hexdigest())
    return tuple(digests)


def parse_idempotency_key(headers: Mapping[str, str]) -> str | None:
    """Return the Idempotency-Key header. Raises IdempotencyKeyError."""
    key = headers.get("Idempotency-Key")
    if key is None:
        return None
    if not IDEMPOTENCY_KEY.fullmatch(key):
        raise IdempotencyKeyError(
            "Idempotency-Key: must be 1 to 255 visible ASCII characters"
        )
    return key


def parse_age(headers: Mapping[str, str]) -> float | None:
    """Return the age of the key in seconds from Idempotency-Date, an HTTP date.

    Raises RequestError. A date in the future counts as now, since callers' clocks
    may differ.
    """
    text = headers.get("Idempotency-Date")
    if text is None:
        return None
    try:
        at = parsedate_to_datetime(text).timestamp()
    except (TypeError, ValueError, OverflowError):
        raise RequestError("Idempotency-Date: must be an HTTP date") from None
    return max(0.0, time.time() - at)


def parse_deadline_s(
    headers: Mapping[str, str], default_s: float, maximum_s: float
) -> float:
    """Return the time limit of the call in seconds. Raises RequestError."""
    text = headers.get("Poplarfold-Deadline-Ms")
    if text is None:
        return default_s
    if not DEADLINE_MS.fullmatch(text) or int(text) < 1:
        raise RequestError("Poplarfold-Deadline-Ms: must be a positive integer")
    seconds = int(text) / 1000.0
    return min(seconds, maximum_s) if math.isfinite(seconds) else maximum_s
