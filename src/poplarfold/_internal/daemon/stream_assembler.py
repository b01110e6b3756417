"""Joins the outputs of a call's attempts into one answer without gaps."""

import json

from result import Err, Ok, Result

from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["StreamAssembler"]

# Outputs that came before their turn. A real engine is at most a few ahead.
EARLY_LIMIT = 256
EVENT_LIMIT_BYTES = 1_000_000


class StreamAssembler:
    """Accepts only the chosen attempt's outputs, each once and in order.

    Outputs that come early are held until their turn. ``next_seq`` is the
    number of the next output that the caller needs, over all attempts.

        assembler = StreamAssembler()
        assembler.choose("a-1")
        assembler.feed(b'data: {"attempt":"a-1","seq":0,"text":"Hi"}\\n\\n')
    """

    def __init__(self) -> None:
        self.attempt_id = ""
        self.next_seq = 0
        self.total: int | None = None
        self.early: dict[int, str] = {}
        self.buffer = b""

    @property
    def done(self) -> bool:
        """Whether the engine has finished and no output is missing."""
        return self.total is not None and self.next_seq >= self.total

    def choose(self, attempt_id: str) -> None:
        """Accept outputs of this attempt only, on a new connection."""
        self.attempt_id = attempt_id
        self.total = None
        self.early.clear()
        self.buffer = b""

    def feed(self, data: bytes) -> Result[list[str], EndpointError]:
        """Take bytes of the stream and return the outputs that are due now."""
        self.buffer += data
        *events, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > EVENT_LIMIT_BYTES:
            return Err(EndpointError("an event of the stream is too long"))
        due: list[str] = []
        for event in events:
            if event.startswith(b"data: "):
                try:
                    # Decoding here spares json the search for the encoding.
                    self._accept(json.loads(event[6:].decode()), due)
                except EndpointError as error:
                    return Err(error)
                except MALFORMED_DOCUMENT_ERRORS as error:
                    return Err(EndpointError(f"malformed event in a stream: {error}"))
        if len(self.early) > EARLY_LIMIT:
            return Err(EndpointError(f"output {self.next_seq} is missing"))
        return Ok(due)

    def _accept(self, event: dict[str, object], due: list[str]) -> None:
        if event["attempt"] != self.attempt_id:
            return
        if "error" in event:
            raise EndpointError(f"the engine ended the stream: {event['error']}")
        if event.get("done"):
            outputs = event["outputs"]
            if not isinstance(outputs, int):
                raise TypeError("'outputs' is not an integer")
            self.total = outputs
            return
        seq, text = event["seq"], event["text"]
        if not isinstance(seq, int) or not isinstance(text, str):
            raise TypeError("'seq' or 'text' has a wrong type")
        if seq == self.next_seq:
            due.append(text)
            self.next_seq += 1
            while self.early and self.next_seq in self.early:
                due.append(self.early.pop(self.next_seq))
                self.next_seq += 1
        elif seq > self.next_seq:
            self.early.setdefault(seq, text)
