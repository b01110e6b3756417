"""Answers of engines with an error status in place of a stream."""

from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.http.answer_memory import HeldBytes
from poplarfold._internal.http.endpoint_stream import EndpointStream
from poplarfold._internal.platform import caller_answer_headers

__all__ = ["relay_failure"]


def relay_failure(
    context: CallContext, stream: EndpointStream, held: HeldBytes, has_started: bool
) -> None:
    """Forward an answer with an error status to a caller.

    ``held`` accounts for its body. Raises EndpointError if the call may be repeated,
    or if the stream ``has_started`` so that the caller can get no other answer.
    """
    parts = []
    while not stream.ended:
        result = stream.read()
        context.check_caller()
        if result.is_err():
            raise result.unwrap_err().error
        parts.append(result.unwrap())
        held.resize(held.size + len(parts[-1]))
    if stream.is_truncated or has_started:
        raise EndpointError("the answer was truncated")
    if stream.status >= 500 and context.route.resumable:
        raise EndpointError(f"{stream.address} answered {stream.status}")
    headers = caller_answer_headers(stream.headers.items())
    holding = held.detach()
    try:
        context.exchange.send_whole(stream.status, headers, b"".join(parts), holding)
    finally:
        holding.release()
