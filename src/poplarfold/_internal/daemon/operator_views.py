"""Views of a node's state for operators. They run on the core thread."""

import time
from typing import Any

from poplarfold._internal.core.entry_codec import entry_fields
from poplarfold._internal.core.state import NodeState
from poplarfold._internal.core.systems import membership
from poplarfold._internal.core.systems.health import HealthState

__all__ = ["endpoints", "entries", "status"]


def entries(state: NodeState) -> dict[str, Any]:
    """Return the catalogue in force."""
    rows = [
        {**entry_fields(entry), "revision": entry.revision}
        for entry in state.entries.values()
    ]
    return {"entries": rows}


def status(state: NodeState) -> dict[str, Any]:
    """Return the node's state and what it knows about each domain."""
    revision = max((entry.revision for entry in state.entries.values()), default=-1)
    return {
        "host": state.me.host,
        "incarnation": state.me.incarnation,
        "domain": state.settings.domain,
        "ready": state.catalogue_ready and not state.draining,
        "draining": state.draining,
        "open_calls": len(state.calls),
        "unconfirmed_cancels": len(state.cancels),
        "revision": revision,
        "domains": {
            row.domain: {
                "reachable": row.is_reachable,
                "revision": row.in_force,
                "live_hosts": len(row.live_hosts),
                "heard_s_ago": row.heard_s_ago,
            }
            for row in membership.domain_status(state, time.monotonic())
        },
    }


def endpoints(state: NodeState) -> dict[str, Any]:
    """Return the endpoints that this node knows, with their latest load reports."""
    rows = []
    for row in state.part(HealthState).endpoints.values():
        report = row.report
        rows.append(
            {
                "address": row.address,
                "report": None
                if report is None
                else {
                    "incarnation": report.incarnation,
                    "identity": report.identity._asdict(),
                    "role": report.role.value,
                    "slots": report.slots,
                    "busy": report.busy,
                    "queued_tokens": report.queued_tokens,
                    "leaving": report.leaving,
                },
            }
        )
    return {"endpoints": rows}
