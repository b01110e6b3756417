"""HTTP client for the platform's list of live and leaving hosts."""

from result import Err, Ok, Result

from poplarfold._internal.core.events import HostListReceived, HostListRow
from poplarfold._internal.daemon.log_client import address_of
from poplarfold._internal.exceptions import EndpointError
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target
from poplarfold._internal.utils.json_documents import parse_json
from poplarfold._internal.utils.malformed import MALFORMED_DOCUMENT_ERRORS

__all__ = ["HostListClient", "parse_hosts"]

READ_TIMEOUT_S = 2.0


class HostListClient:
    """Fetches the host list from the platform."""

    def __init__(self, client: EndpointClient, url: str) -> None:
        self.client = client
        self.address = address_of(url)

    def fetch(self) -> Result[HostListReceived, EndpointError]:
        """Fetch the current list. The error says why that failed."""
        result = self.client.exchange(
            Target(self.address, "GET", "/hosts"), None, {}, READ_TIMEOUT_S
        )
        if result.is_err():
            return Err(result.unwrap_err().error)
        answer = result.unwrap()
        if answer.status != 200:
            return Err(
                EndpointError(f"the host list responded with status {answer.status}")
            )
        return parse_hosts(answer.body)


def parse_hosts(body: bytes) -> Result[HostListReceived, EndpointError]:
    """Parse the body of a host list response."""
    try:
        found = parse_json(body)
        rows = tuple(
            HostListRow(
                host=str(row["host"]),
                address=str(row["address"]),
                kind=str(row["kind"]),
                domain=str(row["domain"]),
                service=str(row.get("service") or ""),
                leaving=row["state"] == "leaving",
            )
            for row in found["hosts"]
        )
        return Ok(HostListReceived(int(found["version"]), rows))
    except MALFORMED_DOCUMENT_ERRORS as error:
        return Err(EndpointError(f"malformed host list: {error!r}"))
