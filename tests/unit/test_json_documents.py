"""Tests of parsing JSON documents that another program has written."""

import json
import threading

import pytest

from poplarfold._internal.core.systems.orders import OrderState, fold_order_record
from poplarfold._internal.gateway.main import THREAD_STACK_BYTES
from poplarfold._internal.utils.json_documents import DEPTH_MAX, parse_json


def test_deep_documents_need_no_deep_stack():
    """Guards against a nested document that ends the process.

    The threads of the router have small stacks, on which the standard library's parser
    fails without an exception from Python 3.12 on.
    """
    found = []

    def parse():
        for text in ("[" * 900 + "]" * 900, '{"a":' * 900 + "0" + "}" * 900):
            try:
                parse_json(text.encode())
            except ValueError as error:
                found.append(error)

    usual = threading.stack_size(THREAD_STACK_BYTES)
    try:
        thread = threading.Thread(target=parse)
        thread.start()
        thread.join()
    finally:
        threading.stack_size(usual)
    assert len(found) == 2
    assert parse_json("[" * DEPTH_MAX + "]" * DEPTH_MAX)
    wide = json.dumps([{"a": "[{[" * 9, "b": '\\"['}] * 200)
    assert len(parse_json(wide.encode())) == 200


@pytest.mark.parametrize("text", [b"NaN", b"[Infinity]", b"\xff", b'["\xd8"]'])
def test_documents_that_are_no_json_are_rejected(text):
    """Guards against numbers that are neither smaller nor larger than any bound."""
    with pytest.raises(ValueError):
        parse_json(text)


LEASE = {"name": "cell", "host": "node-1", "incarnation": 1, "replaces": -1}


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b"[]",
        json.dumps({**LEASE, "incarnation": None}).encode(),
        json.dumps({**LEASE, "replaces": 1e308}).replace("1e+308", "1e999").encode(),
    ],
)
def test_odd_lease_record_is_ignored(data):
    """Guards against a record of another writer that ends the core's thread."""
    part = OrderState()
    fold_order_record(part, 0, data, 0)
    assert part.leases == {}
    fold_order_record(part, 1, json.dumps(LEASE).encode(), 0)
    assert part.leases["cell"].host == "node-1"
