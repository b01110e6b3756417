"""Chunked decoding and the assembly of outputs, without network I/O."""

import json

import pytest
from hypothesis import given, strategies as st

from poplarfold._internal.daemon.request_body import prefix_digests, token_count
from poplarfold._internal.daemon.stream_assembler import StreamAssembler
from poplarfold._internal.http.chunked import ChunkDecoder


def event(attempt, seq, text):
    row = {"attempt": attempt, "seq": seq, "text": text}
    return f"data: {json.dumps(row)}\n\n".encode()


@given(st.permutations(list(range(12))), st.data())
def test_outputs_come_once_and_in_order(order, data):
    """Guards against repeated, foreign or reordered outputs in an answer."""
    assembler = StreamAssembler()
    assembler.choose("a-2")
    body = b"".join(
        event("a-1", seq, "foreign") + event("a-2", seq, str(seq)) * 2 for seq in order
    )
    body += b': heartbeat\n\ndata: {"attempt": "a-2", "done": true, "outputs": 12}\n\n'
    texts = []
    while body:
        size = data.draw(st.integers(1, len(body)))
        texts += assembler.feed(body[:size]).unwrap()
        body = body[size:]
    assert texts == [str(seq) for seq in range(12)]
    assert assembler.done


def test_next_attempt_resumes_without_a_gap():
    """Guards against late outputs of a failed attempt that reach the caller."""
    assembler = StreamAssembler()
    assembler.choose("a-1")
    early = event("a-1", 0, "x") + event("a-1", 2, "held back")
    assert assembler.feed(early).unwrap() == ["x"]
    assembler.choose("a-2")
    resumed = event("a-1", 1, "late") + event("a-2", 1, "y") + event("a-2", 2, "z")
    assert assembler.feed(resumed).unwrap() == ["y", "z"]
    end = b'data: {"attempt": "a-2", "done": true, "outputs": 4}\n\n'
    assembler.feed(end)
    assert not assembler.done


@pytest.mark.parametrize(
    "data",
    [
        b"data: {\n\n",
        b"data: 7\n\n",
        b'data: {"attempt": "a"}\n\n',
        b'data: {"attempt": "a", "seq": "0", "text": ""}\n\n',
        b'data: {"attempt": "a", "error": {"code": "cancelled"}}\n\n',
        b"x" * 1_100_000,
    ],
)
def test_malformed_streams_are_errors(data):
    """Guards against malformed streams that crash a thread or exhaust memory."""
    assembler = StreamAssembler()
    assembler.choose("a")
    assert assembler.feed(data).is_err()


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=8), st.data())
def test_chunks_are_decoded_in_any_portions(chunks, data):
    """Guards against content that depends on how packets are cut."""
    body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    body += b"0\r\n\r\n"
    decoder = ChunkDecoder()
    content = b""
    while body:
        size = data.draw(st.integers(1, len(body)))
        content += decoder.feed(body[:size])
        body = body[size:]
    assert content == b"".join(chunks)
    assert decoder.ended


@pytest.mark.parametrize(
    "data", [b"zz\r\n", b"-1\r\n", b"ffffffff\r\n", b"1" * 1_000_100]
)
def test_malformed_chunks_are_errors(data):
    """Guards against malformed or huge chunk sizes that exhaust memory."""
    with pytest.raises(ValueError):
        ChunkDecoder().feed(data)


def test_prefix_digests_cover_whole_blocks():
    """Guards against equal digests for prompts that differ in that prefix."""
    first = prefix_digests(b"a" * 3000)
    other = prefix_digests(b"a" * 1024 + b"b" * 1976)
    assert (len(first), token_count(3)) == (2, 1)
    assert first[0] == other[0]
    assert first[1] != other[1]


def test_stream_does_not_end_with_fewer_outputs_than_were_sent():
    """Guards against a stream that seems complete, since the engine that resumed it
    counts only its own outputs."""
    assembler = StreamAssembler()
    assembler.choose("a-1")
    assembler.feed(event("a-1", 0, "x") + event("a-1", 1, "y"))
    assembler.choose("a-2")
    done = b'data: {"attempt": "a-2", "done": true, "outputs": 1}\n\n'
    assert assembler.feed(done).is_err() and not assembler.done


def test_answers_that_are_no_events_are_not_joined_to_a_stream():
    """Guards against the text of an error in the middle of a stream."""
    for data in (b"failed\n\n", b"HTTP/1.1 500 Failed\r\n\r\nno\n\n", b""):
        assembler = StreamAssembler()
        assembler.choose("a-1")
        assembler.feed(event("a-1", 0, "x"))
        assembler.choose("a-2")
        assert assembler.feed(data).unwrap() == [] and not assembler.done
