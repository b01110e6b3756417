"""The record of the software version that begins a stream."""

from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.exceptions import StreamVersionUnknownError
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.gateway.origin_log import Recording

__all__ = ["StreamRecording"]


class StreamRecording:
    """Has the version of one new stream recorded, if the store needs a record."""

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.versions = context.services.versions
        self.recording: Recording | None = None

    def begin(self, endpoint: FleetEndpoint, attempt: int) -> None:
        """Have the version of an endpoint recorded, beside the prefill."""
        if self.context.route.resumable:
            request_id = self.context.call.request_id
            self.recording = self.versions.begin(request_id, endpoint, attempt)

    def wait(self, endpoint: FleetEndpoint) -> None:
        """Wait for the record before the stream begins at an endpoint.

        Raises StreamVersionUnknownError if the stream must not begin without it.
        """
        if self.recording is None:
            return
        if self.versions.wait_written(self.recording, self.context.remaining_s()):
            return
        self.context.check_caller()
        may_begin = self.versions.may_begin_unrecorded(endpoint.service)
        version = endpoint.software_version
        self.context.log("PF1114", software_version=version, has_begun=may_begin)
        if not may_begin:
            # A further attempt would need a record as well, since this one may be
            # written later.
            raise StreamVersionUnknownError("what begins the stream is not recorded")
