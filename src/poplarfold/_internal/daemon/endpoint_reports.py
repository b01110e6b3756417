"""Load reports, cache events and orders: the control requests to endpoints."""

import json
from typing import Any

from poplarfold._internal.core.commands import FetchCacheEvents, SendOrder
from poplarfold._internal.core.events import (
    CacheEvent,
    CacheEventsReceived,
    EndpointPollFailed,
    EndpointReported,
    OrderAnswered,
    WorkItem,
)
from poplarfold._internal.core.model import EndpointRole, HostKey, Identity
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target, is_believed_without_id
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["EndpointPoller", "parse_cache_events", "parse_report"]

POLL_TIMEOUT_S = 1.0


class EndpointPoller:
    """Fetches load reports and cache events from endpoints, and sends them orders."""

    def __init__(self, client: EndpointClient, me: HostKey) -> None:
        self.client = client
        self.me = me

    def fetch_report(self, address: str) -> EndpointReported | EndpointPollFailed:
        """Fetch a load report. A failure is confirmed on a new connection first."""
        target = Target(address, "GET", "/report")
        result = self.client.exchange(
            target,
            None,
            {},
            POLL_TIMEOUT_S,
            belongs_to_request=is_believed_without_id,
        )
        if result.is_err() and not result.unwrap_err().refused:
            # A reused connection that fails proves nothing about the process.
            result = self.client.exchange(
                target, None, {}, POLL_TIMEOUT_S, use_new_connection=True
            )
        if result.is_err():
            return EndpointPollFailed(address, result.unwrap_err().refused)
        answer = result.unwrap()
        report = parse_report(address, answer.json()) if answer.status == 200 else None
        return report or EndpointPollFailed(address, False)

    def fetch_cache_events(
        self, command: FetchCacheEvents
    ) -> CacheEventsReceived | None:
        """Fetch the engine's cache events, or None if it does not respond."""
        target = Target(command.address, "GET", f"/cache_events?after={command.after}")
        result = self.client.exchange(
            target,
            None,
            {},
            POLL_TIMEOUT_S,
            belongs_to_request=is_believed_without_id,
        )
        if result.is_err() or result.unwrap().status != 200:
            return None
        return parse_cache_events(command.address, result.unwrap().json())

    def send_order(self, command: SendOrder, timeout_s: float) -> OrderAnswered | None:
        """Send an order. Returns None if its effect is unknown."""
        body = {
            "order_id": command.order_id,
            "kind": command.kind,
            "fencing": command.fencing,
            "identity": command.identity._asdict(),
            "role": command.role,
            "host": self.me.host,
            "incarnation": self.me.incarnation,
        }
        result = self.client.exchange(
            Target(command.address, "POST", "/orders"),
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
            timeout_s,
            belongs_to_request=is_believed_without_id,
        )
        if result.is_err():
            return None
        answer = result.unwrap()
        stale = answer.json().get("code") == "stale_fencing"
        accepted = answer.status == 200
        return OrderAnswered(command.order_id, command.address, accepted, stale)


def parse_report(address: str, body: dict[str, Any]) -> EndpointReported | None:
    """Return the event for a load report, or None if it is malformed."""
    try:
        identity = body["identity"]
        return EndpointReported(
            address=address,
            incarnation=int(body["incarnation"]),
            identity=Identity(
                str(identity["owner"]),
                str(identity["service"]),
                str(identity["version"]),
            ),
            role=EndpointRole(body["role"]),
            slots=int(body["slots"]),
            busy=int(body["busy"]),
            queued_tokens=int(body["queued_tokens"]),
            pieces_total=int(body["pieces_total"]),
            pieces_free=int(body["pieces_free"]),
            leaving=bool(body["leaving"]),
            rejects_stale_fencing=bool(body["fences"]),
            knows_operations=bool(body["knows_operations"]),
            work=tuple(
                WorkItem(
                    str(row["attempt"]),
                    HostKey(str(row["host"]), int(row["incarnation"])),
                    str(row["state"]),
                )
                for row in body["work"]
            ),
            cache_seq=int(body["cache_seq"]),
        )
    except MALFORMED_DOCUMENT_ERRORS:
        return None


def parse_cache_events(
    address: str, body: dict[str, Any]
) -> CacheEventsReceived | None:
    """Return the event for cache events, or None if they are malformed."""
    try:
        changes = tuple(
            CacheEvent(int(row["seq"]), row["kind"] == "stored", str(row["prefix"]))
            for row in body["events"]
        )
        return CacheEventsReceived(
            address, int(body.get("incarnation", 0)), changes, int(body["oldest"])
        )
    except MALFORMED_DOCUMENT_ERRORS:
        return None
