"""The router's own calls to engines: leases, prefills and role orders."""

import json
import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

from result import Err, Ok, Result

from poplarfold._internal.core.fleet.rows import EndpointLoad, FleetEndpoint
from poplarfold._internal.core.fleet.server_signals import ServerSignal
from poplarfold._internal.core.model import EndpointRole
from poplarfold._internal.exceptions import EndpointError, EndpointRefusedError
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import AbortHandle, Answer, Target
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.platform.calls import (
    TARGET_INSTANCE,
    AnswerMetadata,
    CallerCall,
    CallTarget,
    decode_answer_metadata,
    endpoint_headers,
)
from poplarfold._internal.utils.addresses import host_and_port
from poplarfold._internal.utils.checks import check_sendable
from poplarfold._internal.utils.clock import boot_time

__all__ = ["EngineClient", "Lease", "OrderRequest", "PrefillResult"]

JSON_HEADERS = {"Content-Type": "application/json"}


class Lease(NamedTuple):
    """A reserved slot at a decode engine, with the load that the engine reported."""

    lease_id: str
    load: EndpointLoad | None


class PrefillResult(NamedTuple):
    """The result of a prefill, which the engine keeps under ``handle``."""

    handle: str
    tokens: int
    load: EndpointLoad | None


class OrderRequest(NamedTuple):
    """An order to an engine to change its role.

    ``holder`` is the host whose node gives the order. The engine refuses the order
    unless it has accepted exactly ``accepted`` orders before.
    """

    role: EndpointRole
    holder: str
    fencing_number: int
    accepted: int


class EngineClient:
    """Client for the router's own calls to engines. Thread-safe.

    ``on_signal`` gets what each answer says of its engine, when it was called, and
    which headers of the platform in the answer are unknown.
    """

    def __init__(
        self,
        endpoint_client: EndpointClient,
        on_signal: Callable[[FleetEndpoint, ServerSignal, float, Sequence[str]], None],
    ) -> None:
        self.endpoint_client = endpoint_client
        self.on_signal = on_signal

    def take_lease(
        self,
        engine: FleetEndpoint,
        tokens: int,
        ttl_s: float,
        timeout_s: float,
        handle: AbortHandle,
    ) -> Result[Lease, Failure]:
        """Reserve a slot and memory for ``tokens`` at a decode engine.

        An error means that no work was started. If the answer was lost, the engine
        may still hold the lease until it expires after ``ttl_s``.
        """
        body = json.dumps({"tokens": tokens, "ttl_ms": int(ttl_s * 1000)}).encode()
        headers = {**JSON_HEADERS, TARGET_INSTANCE: engine.endpoint_id}
        sent_at = boot_time()
        result = self.endpoint_client.exchange(
            Target(engine.address, "POST", "/v1/hold-take"),
            body,
            headers,
            timeout_s,
            handle=handle,
        )
        if result.is_err():
            return Err(result.unwrap_err())
        answer = result.unwrap()
        metadata = self._decode_metadata(engine, answer, sent_at)
        lease_id = sendable_field(answer, "hold")
        if answer.status == 200 and lease_id is not None:
            return Ok(Lease(lease_id, metadata.load))
        message = f"{engine.address} refused a lease with status {answer.status}"
        return Err(Failure(EndpointRefusedError(message), sent=False))

    def release_lease(self, address: str, lease_id: str, timeout_s: float) -> bool:
        """Release an unused lease; return whether the engine confirmed it."""
        return self._delete(address, f"/v1/hold-drop/{lease_id}", timeout_s)

    def release_prefill(self, address: str, handle: str, timeout_s: float) -> bool:
        """Release the result of a prefill; return whether the engine confirmed it."""
        return self._delete(address, f"/v1/kv-handle/{handle}", timeout_s)

    def prefill(
        self,
        engine: FleetEndpoint,
        call: CallerCall,
        body: bytes,
        target: CallTarget,
        timeout_s: float,
        handle: AbortHandle,
    ) -> Result[PrefillResult, Failure]:
        """Have an engine prefill the prompt of a call, without running the call.

        ``target`` must have the role of a prefill engine.
        """
        sent_at = boot_time()
        result = self.endpoint_client.exchange(
            Target(engine.address, call.method, call.path),
            body,
            endpoint_headers(call, target),
            timeout_s,
            use_new_connection=True,
            handle=handle,
        )
        if result.is_err():
            return Err(result.unwrap_err())
        answer = result.unwrap()
        metadata = self._decode_metadata(engine, answer, sent_at)
        kv_handle = sendable_field(answer, "handle")
        is_own = metadata.request_id in (None, call.request_id)
        if answer.status == 200 and kv_handle is not None and is_own:
            tokens = answer.json().get("tokens")
            count = tokens if type(tokens) is int else 0
            return Ok(PrefillResult(kv_handle, count, metadata.load))
        message = f"{engine.address} answered a prefill with status {answer.status}"
        kind = EndpointRefusedError if metadata.not_run else EndpointError
        return Err(Failure(kind(message), sent=not metadata.not_run))

    def accepted_orders(self, engine: FleetEndpoint, timeout_s: float) -> int | None:
        """Return how many orders an engine has accepted.

        Returns None if the engine does not report that, or while it is carrying out
        an order.
        """
        sent_at = boot_time()
        result = self.endpoint_client.exchange(
            Target(engine.address, "GET", "/v1/report"),
            None,
            {TARGET_INSTANCE: engine.endpoint_id},
            timeout_s,
        )
        if result.is_err():
            return None
        metadata = self._decode_metadata(engine, result.unwrap(), sent_at)
        if metadata.signal.is_leaving or result.unwrap().status != 200:
            return None
        report = result.unwrap().json()
        accepted = report.get("seq")
        if report.get("busy") is not False or type(accepted) is not int:
            return None
        return accepted

    def order_role(
        self, engine: FleetEndpoint, request: OrderRequest, timeout_s: float
    ) -> int | None:
        """Order an engine to change its role.

        Returns the HTTP status, or None if there was no answer.
        """
        body = {
            "op": "stage",
            "stage": request.role.value,
            "holder": request.holder,
            "fence": request.fencing_number,
            "expect": request.accepted,
        }
        sent_at = boot_time()
        result = self.endpoint_client.exchange(
            Target(engine.address, "POST", "/v1/order"),
            json.dumps(body).encode(),
            {**JSON_HEADERS, TARGET_INSTANCE: engine.endpoint_id},
            timeout_s,
            use_new_connection=True,
        )
        if result.is_err():
            return None
        self._decode_metadata(engine, result.unwrap(), sent_at)
        return result.unwrap().status

    def has_ended(self, address: str, timeout_s: float) -> bool:
        """Return whether it is sure that no process listens at an engine's address.

        An engine that another node reaches is only cut off from this one, which may
        also be so if no other node can say whether it reaches the engine.
        """
        paths = self.endpoint_client.paths
        try:
            socket.create_connection(host_and_port(address), timeout_s).close()
        except ConnectionRefusedError:
            return paths is None or paths.is_reached_elsewhere(address) is False
        except OSError:
            return False
        return False

    def _decode_metadata(
        self, engine: FleetEndpoint, answer: Answer, sent_at: float
    ) -> AnswerMetadata:
        """Decode an answer's metadata, and pass on what it says of its engine."""
        metadata = decode_answer_metadata(answer.status, answer.headers)
        if not metadata.is_other_endpoint:
            self.on_signal(engine, metadata.signal, sent_at, metadata.unknown_headers)
        return metadata

    def _delete(self, address: str, path: str, timeout_s: float) -> bool:
        result = self.endpoint_client.exchange(
            Target(address, "DELETE", path), None, {}, timeout_s
        )
        return result.is_ok() and result.unwrap().status in (200, 404)


def sendable_field(answer: Answer, name: str) -> str | None:
    """Return a text that an engine wants back in a header, or None if it has none.

    A text that no header can have would make the next request fail, also at another
    engine, against which that would count.
    """
    try:
        return check_sendable(answer.json().get(name), name)
    except (TypeError, ValueError):
        return None
