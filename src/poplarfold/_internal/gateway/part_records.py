"""The records by which the nodes keep suspected parts of prompts in the store."""

import json

from poplarfold._internal.core.fleet.prompt_suspects import (
    CRASHES_KEPT,
    EngineKey,
    PartState,
)
from poplarfold._internal.exceptions import PlatformFormatError
from poplarfold._internal.utils.checks import check_integer, check_text
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["decode_part_state", "encode_part_state"]


def encode_part_state(state: PartState) -> bytes:
    """Return the value of a part's record. Earlier releases write no order."""
    fields: dict[str, object] = {
        "depth": state.depth,
        "round": state.round,
        "blocks": state.blocks,
        "incidents": state.incidents,
        "crashes": [list(key) for key in state.crashes],
    }
    if state.order:
        fields["order"] = state.order
    return json.dumps(fields).encode()


def decode_part_state(part: str, value: bytes) -> PartState:
    """Decode the record of a part. Raises PlatformFormatError."""
    try:
        fields = parse_json(value)
        crashes = [
            EngineKey(check_text(name, "endpoint"), check_integer(at, "incarnation"))
            for name, at in fields["crashes"]
        ]
        if len(crashes) > CRASHES_KEPT:
            raise ValueError(f"more than {CRASHES_KEPT} crashes")
        return PartState(
            part,
            check_integer(fields["depth"], "depth"),
            check_integer(fields["round"], "round"),
            check_integer(fields["blocks"], "blocks"),
            check_integer(fields["incidents"], "incidents"),
            tuple(sorted(crashes)),
            check_integer(fields.get("order", 0), "order"),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        problem = f"state of part {part}: {error!r}"
        raise PlatformFormatError(problem[:300]) from error
