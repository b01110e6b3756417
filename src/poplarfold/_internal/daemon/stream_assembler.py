"""Joins the outputs of a call's attempts into one gapless sequence."""

from result import Err, Ok, Result

from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["StreamAssembler"]

# The limit of outputs that wait for a missing earlier one. Real engines are at most
# a few outputs ahead.
REORDER_LIMIT = 256
EVENT_LIMIT_BYTES = 1_000_000


class StreamAssembler:
    """Accepts only the current attempt's outputs, each once and in order.

    Outputs that arrive out of order are buffered. ``next_seq`` is the sequence
    number of the next output that the caller needs, across all attempts.

        assembler = StreamAssembler()
        assembler.choose("a-1")
        assembler.feed(b'data: {"attempt":"a-1","seq":0,"text":"Hi"}\\n\\n')
    """

    def __init__(self) -> None:
        self.attempt_id = ""
        self.next_seq = 0
        self.total: int | None = None
        self.out_of_order: dict[int, str] = {}
        self.buffer = b""

    @property
    def done(self) -> bool:
        """Whether the engine has finished and no outputs are missing."""
        return self.total is not None and self.next_seq >= self.total

    def choose(self, attempt_id: str) -> None:
        """Parse a new connection from its start, for outputs of this attempt only."""
        self.attempt_id = attempt_id
        self.total = None
        self.out_of_order.clear()
        self.buffer = b""

    def feed(self, data: bytes) -> Result[list[str], EndpointError]:
        """Parse bytes of the stream and return the outputs that are now in order."""
        self.buffer += data
        *events, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > EVENT_LIMIT_BYTES:
            return Err(EndpointError("stream event is too long"))
        ready: list[str] = []
        for event in events:
            if event.startswith(b"data: "):
                try:
                    self._accept(parse_json(event[6:]), ready)
                except EndpointError as error:
                    return Err(error)
                except MALFORMED_DOCUMENT_ERRORS as error:
                    return Err(EndpointError(f"malformed stream event: {error}"))
        if len(self.out_of_order) > REORDER_LIMIT:
            return Err(EndpointError(f"output {self.next_seq} is missing"))
        return Ok(ready)

    def _accept(self, event: dict[str, object], ready: list[str]) -> None:
        if event["attempt"] != self.attempt_id:
            return
        if "error" in event:
            raise EndpointError(f"the engine ended the stream: {event['error']}")
        if event.get("done"):
            outputs = event["outputs"]
            if not isinstance(outputs, int):
                raise TypeError("'outputs' is not an integer")
            if outputs < self.next_seq:
                raise EndpointError(f"the engine counts {outputs} outputs, too few")
            self.total = outputs
            return
        seq, text = event["seq"], event["text"]
        if not isinstance(seq, int) or not isinstance(text, str):
            raise TypeError("'seq' is not an integer or 'text' is not a string")
        if seq == self.next_seq:
            ready.append(text)
            self.next_seq += 1
            while self.out_of_order and self.next_seq in self.out_of_order:
                ready.append(self.out_of_order.pop(self.next_seq))
                self.next_seq += 1
        elif seq > self.next_seq:
            self.out_of_order.setdefault(seq, text)
