"""Encoding of messages between nodes as CBOR maps ``{"v": 1, "t": TYPE, ...}``.

Fields are encoded by name. Unknown fields are ignored, and missing fields take the
default of the message type, so that nodes of different releases can communicate.
Any other mismatch with the message type is a protocol error.
"""

import types
import typing
from collections.abc import Callable, Iterable
from typing import Any

import cbor2
from result import Err, Ok, Result

from poplarfold._internal.exceptions import PeerProtocolError

__all__ = ["MESSAGE_MAX_BYTES", "MessageCodec"]

# The largest message is a catalogue of several thousand entries.
MESSAGE_MAX_BYTES = 4_000_000
VALUE_DEPTH_MAX = 6
TEXT_MAX_CHARS = 65_536
ITEMS_MAX = 100_000
INTEGER_MAX = 2**63 - 1

ValueBuilder = Callable[[Any], Any]


class FieldError(Exception):
    """A value does not match the type or limits of its field."""


class MessageCodec:
    """Encodes and decodes the message types of one protocol between nodes.

    ``types`` are NamedTuple classes, and ``version`` is sent with each message.
    """

    def __init__(self, types: Iterable[type], version: int) -> None:
        self.version = version
        self.builders = {kind: field_builders(kind) for kind in types}
        self.type_of_name = {kind.__name__: kind for kind in self.builders}

    def encode(self, message: Any) -> bytes:
        """Encode a message as one CBOR map."""
        name = type(message).__name__
        return cbor2.dumps({"v": self.version, "t": name} | message._asdict())

    def decode(self, data: bytes) -> Result[Any, PeerProtocolError]:
        """Decode a message. An unknown type, of a later release, yields Ok(None)."""
        if len(data) > MESSAGE_MAX_BYTES:
            return Err(PeerProtocolError(f"message too large: {len(data)} bytes"))
        try:
            fields = cbor2.loads(
                data,
                max_depth=VALUE_DEPTH_MAX,
                allow_indefinite=False,
                allow_duplicate_keys=False,
                strict_hashable_types=True,
            )
        except Exception as error:
            # The CBOR decoder raises many exception types on arbitrary bytes.
            return Err(PeerProtocolError(f"malformed CBOR: {error!r}"[:500]))
        if not isinstance(fields, dict) or fields.get("v") != self.version:
            return Err(
                PeerProtocolError("not a CBOR map of the supported protocol version")
            )
        name = fields.get("t")
        if not isinstance(name, str):
            return Err(PeerProtocolError("the message type is missing"))
        kind = self.type_of_name.get(name)
        if kind is None:
            return Ok(None)
        return self._build(kind, fields)

    def _build(
        self, kind: type, fields: dict[str, Any]
    ) -> Result[Any, PeerProtocolError]:
        values = {}
        for field, builder in self.builders[kind].items():
            if field not in fields:
                if field in kind._field_defaults:  # type: ignore[attr-defined]
                    continue
                return Err(PeerProtocolError(f"{kind.__name__}.{field} is missing"))
            try:
                values[field] = builder(fields[field])
            except FieldError as error:
                return Err(PeerProtocolError(f"{kind.__name__}.{field}: {error}"))
        return Ok(kind(**values))


def field_builders(kind: type) -> dict[str, ValueBuilder]:
    """Return the validating function of each field of a message type."""
    return {
        field: builder_of(hint)
        for field, hint in typing.get_type_hints(kind).items()
        if field in kind._fields  # type: ignore[attr-defined]
    }


def builder_of(hint: Any) -> ValueBuilder:
    """Return the function that validates and converts values of a type."""
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        (inner,) = [builder_of(a) for a in arguments if a is not types.NoneType]
        return lambda value: None if value is None else inner(value)
    if origin is tuple and arguments[-1] is Ellipsis:
        return list_builder(builder_of(arguments[0]))
    if origin is tuple:
        return row_builder([builder_of(a) for a in arguments], lambda *row: row)
    if hasattr(hint, "_fields"):
        hints = typing.get_type_hints(hint)
        return row_builder([builder_of(hints[f]) for f in hint._fields], hint)
    return SCALARS[hint]


def list_builder(item: ValueBuilder) -> ValueBuilder:
    def build(value: Any) -> Any:
        if not isinstance(value, list) or len(value) > ITEMS_MAX:
            raise FieldError(f"not a list of at most {ITEMS_MAX} items")
        return tuple(item(element) for element in value)

    return build


def row_builder(columns: list[ValueBuilder], make: Callable[..., Any]) -> ValueBuilder:
    def build(value: Any) -> Any:
        if not isinstance(value, list) or len(value) != len(columns):
            raise FieldError(f"not a row of {len(columns)} values")
        pairs = zip(columns, value, strict=True)
        return make(*(column(element) for column, element in pairs))

    return build


def build_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > TEXT_MAX_CHARS:
        raise FieldError("not a string, or too long")
    return value


def build_integer(value: Any) -> int:
    if type(value) is not int or abs(value) > INTEGER_MAX:
        raise FieldError("not a 64-bit integer")
    return value


def build_number(value: Any) -> float:
    if type(value) not in (int, float):
        raise FieldError("not a number")
    # False for NaN, too.
    if not -INTEGER_MAX <= value <= INTEGER_MAX:
        raise FieldError("not a finite number")
    return float(value)


def build_boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise FieldError("not a boolean")
    return value


def build_bytes(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise FieldError("not a byte string")
    return value


SCALARS: dict[type, ValueBuilder] = {
    str: build_text,
    int: build_integer,
    float: build_number,
    bool: build_boolean,
    bytes: build_bytes,
}
