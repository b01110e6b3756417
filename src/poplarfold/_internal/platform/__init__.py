"""Adapter to the platform: its names, formats and calls.

This package makes no decisions. It translates between the platform's protocol and the
project's own types. No module outside this package knows the names of the protocol.
"""

from poplarfold._internal.platform.boot import HostSettings, read_boot_file
from poplarfold._internal.platform.calls import (
    CallerCall,
    CallTarget,
    caller_answer_headers,
    decode_answer_metadata,
    decode_call,
    endpoint_headers,
)
from poplarfold._internal.platform.engines import EngineClient, OrderRequest
from poplarfold._internal.platform.records import (
    decode_endpoint,
    decode_routes,
)
from poplarfold._internal.platform.store import (
    ORIGINS_TOPIC,
    VERSIONS_TOPIC,
    Appended,
    AppendPlace,
    Record,
    RecordBatch,
    StoreClient,
    StoreTopic,
)

__all__ = [
    "AppendPlace",
    "Appended",
    "CallTarget",
    "CallerCall",
    "EngineClient",
    "HostSettings",
    "ORIGINS_TOPIC",
    "OrderRequest",
    "Record",
    "RecordBatch",
    "StoreClient",
    "StoreTopic",
    "VERSIONS_TOPIC",
    "caller_answer_headers",
    "decode_answer_metadata",
    "decode_call",
    "decode_endpoint",
    "decode_routes",
    "endpoint_headers",
    "read_boot_file",
]
