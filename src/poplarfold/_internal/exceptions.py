"""The exceptions of the project.

Each exception carries a stable ``code``, the HTTP ``status`` that a client
receives for it and, for non-repeatable calls, an ``outcome``. The core returns
these objects as values inside ``result.Err``; only the code around the core
raises them.

    >>> EntryNotFoundError("captions").as_body("c-1")["error"]["code"]
    'entry_not_found'
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import ClassVar, NamedTuple, TypedDict


class Outcome(StrEnum):
    """What is known about the execution of a non-repeatable call."""

    NOT_RUN = "not_run"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    DONE = "done"


class ErrorDetail(TypedDict):
    """The fields of an error response."""

    code: str
    message: str
    outcome: str | None
    call_id: str | None


class ErrorBody(TypedDict):
    """The JSON body of an error response."""

    error: ErrorDetail


class PoplarfoldError(Exception):
    """Base class of all exceptions of the project."""

    code: ClassVar[str] = "internal_error"
    status: ClassVar[int] = 500
    outcome: Outcome | None = None

    def as_body(self, call_id: str | None = None) -> ErrorBody:
        """Return the JSON body that a caller receives for this error."""
        return {
            "error": {
                "code": self.code,
                "message": str(self),
                "outcome": self.outcome.value if self.outcome else None,
                "call_id": call_id,
            }
        }

    def with_outcome(self, outcome: Outcome) -> "PoplarfoldError":
        """Set the outcome of the non-repeatable call and return this error."""
        self.outcome = outcome
        return self


class RetryLaterError(Exception):
    """Mixin of errors whose calls have not run, and may succeed in ``remaining_s``."""

    def __init__(self, message: str, remaining_s: float) -> None:
        super().__init__(message)
        self.remaining_s = remaining_s


class SettingsProblem(NamedTuple):
    """One problem in a file. ``key`` is empty for a problem of the whole file."""

    file: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        subject = f"{self.key}: " if self.key else ""
        return f"{self.file}:{self.line}: {subject}{self.message}"


class SettingsError(PoplarfoldError):
    """A settings file is invalid. The message names each key and its line."""

    code = "invalid_settings"
    problems: tuple[SettingsProblem, ...] = ()

    @classmethod
    def from_problems(cls, problems: Sequence[SettingsProblem]) -> "SettingsError":
        """Return one error that lists all problems, one per line."""
        error = cls("\n".join(map(str, problems)))
        error.problems = tuple(problems)
        return error


class UsageError(PoplarfoldError):
    """The command line is wrong."""

    code = "usage"


class CommandUnavailableError(PoplarfoldError):
    """The installation does not contain the command."""

    code = "command_unavailable"


class DaemonUnreachableError(PoplarfoldError):
    """The daemon did not respond to the command-line tool."""

    code = "daemon_unreachable"


class DaemonRefusedError(PoplarfoldError):
    """The daemon responded to the command-line tool with an error.

    ``remote_code`` is the error code from the daemon, ``remote_status`` the
    HTTP status and ``body`` the whole response body.
    """

    code = "daemon_refused"
    remote_code: str = ""
    remote_status: int = 0
    body: dict[str, object] = {}


class LogFileError(PoplarfoldError):
    """A log file cannot be read, or contains no events."""

    code = "invalid_log_file"


class MetricsUnavailableError(PoplarfoldError):
    """A gateway's metrics cannot be read from its address."""

    code = "metrics_unavailable"


class MetricsFormatError(PoplarfoldError):
    """A metrics text cannot be read, or is not one of a gateway."""

    code = "invalid_metrics"


# Invalid requests.


class RequestError(PoplarfoldError):
    """The request is malformed."""

    code = "invalid_request"
    status = 400


class AuthenticationError(PoplarfoldError):
    """The credential is missing or unknown."""

    code = "unauthenticated"
    status = 401


class EntryNotFoundError(PoplarfoldError):
    """The entry does not exist, or the account may not use it."""

    code = "entry_not_found"
    status = 404


class EntryKindError(PoplarfoldError):
    """A model call names a service entry, or a service call a model entry."""

    code = "wrong_entry_kind"
    status = 400


class IdempotencyKeyError(PoplarfoldError):
    """The Idempotency-Key header is missing or malformed."""

    code = "idempotency_key_required"
    status = 400


class IdempotencyMismatchError(PoplarfoldError):
    """The idempotency key was used before with another request body."""

    code = "idempotency_key_reused"
    status = 422


class PathNotFoundError(PoplarfoldError):
    """The HTTP path does not exist."""

    code = "path_not_found"
    status = 404


class MethodNotAllowedError(PoplarfoldError):
    """The HTTP path does not support this method."""

    code = "method_not_allowed"
    status = 405


class RequestTimeoutError(PoplarfoldError):
    """The request did not arrive in time."""

    code = "request_timeout"
    status = 408


class PromptTooLargeError(PoplarfoldError):
    """The prompt does not fit any engine or the request limit."""

    code = "prompt_too_large"
    status = 413


# Rejections for lack of capacity, time or a catalogue.


class CallerMemoryError(PoplarfoldError):
    """This process has no memory left for the request. It has not run."""

    code = "no_memory"
    status = 503


class TargetUnattainableError(PoplarfoldError):
    """Even an idle engine could not meet the latency target of the call's class."""

    code = "target_unattainable"
    status = 422


class NodeNotReadyError(PoplarfoldError):
    """The node has not loaded a catalogue yet, or is stopping."""

    code = "not_ready"
    status = 503


class NoEndpointError(PoplarfoldError):
    """No live endpoint serves the identity that the entry pins."""

    code = "no_endpoint"
    status = 503


class OverloadedError(PoplarfoldError):
    """The call could not meet the latency target of its class."""

    code = "overloaded"
    status = 429


class LimitReachedError(PoplarfoldError):
    """This node's share of a limit of the entry is used up."""

    code = "limit_reached"
    status = 429


class LinkBudgetError(PoplarfoldError):
    """The byte budget of the link between regions is used up."""

    code = "link_budget_reached"
    status = 429


class DeadlineExceededError(PoplarfoldError):
    """The deadline of the call has passed."""

    code = "deadline_exceeded"
    status = 504


class UpstreamFailedError(PoplarfoldError):
    """The endpoints failed and the retry budget or the deadline is used up."""

    code = "upstream_failed"
    status = 502


class CallerDisconnectedError(PoplarfoldError):
    """The caller closed its connection."""

    code = "caller_gone"
    status = 499


# Calls that must run at most once.


class CallInProgressError(PoplarfoldError):
    """Another request with the same key is running."""

    code = "in_progress"
    status = 409
    outcome: Outcome | None = Outcome.IN_PROGRESS


class OutcomeUnknownError(PoplarfoldError):
    """The call may or may not have run and will not be run again."""

    code = "outcome_unknown"
    status = 409
    outcome: Outcome | None = Outcome.UNKNOWN


class LogUnavailableError(PoplarfoldError):
    """The log service did not respond in time."""

    code = "log_unavailable"
    status = 503


# The catalogue.


class EntryInvalidError(PoplarfoldError):
    """A catalogue entry is malformed. The message names the field."""

    code = "invalid_entry"
    status = 400


class RevisionConflictError(PoplarfoldError):
    """The base revision of an amendment is not the current revision.

    ``current`` holds the fields of the current entry, if they are known.
    """

    code = "revision_conflict"
    status = 409
    current: object = None


class LogGapError(PoplarfoldError):
    """Offsets of a stream are not contiguous."""

    code = "log_gap"


class CheckpointError(PoplarfoldError):
    """A checkpoint is corrupt or of an unknown version."""

    code = "invalid_checkpoint"


# Endpoints and peers.


class EndpointError(PoplarfoldError):
    """The endpoint responded with an error, or its connection failed."""

    code = "endpoint_error"
    status = 502


class EndpointUnreachableError(EndpointError):
    """The connection to the endpoint failed before anything was sent."""

    code = "endpoint_unreachable"


class RequestNotSendableError(EndpointUnreachableError):
    """A request cannot be written for the endpoint, for example its headers."""

    code = "request_not_sendable"


class DescriptorShortageError(EndpointUnreachableError):
    """This node has no descriptor or memory left for a connection to the endpoint."""

    code = "no_descriptor"


class EndpointRefusedError(EndpointError):
    """The endpoint refused the work before it started (full or leaving)."""

    code = "endpoint_refused"


class EndpointStalledError(EndpointError):
    """The endpoint sent nothing within the idle timeout."""

    code = "endpoint_stalled"


class EndpointCutOffError(EndpointStalledError):
    """This node was cut off from the endpoint while it waited for the answer."""

    code = "endpoint_cut_off"


class ResponseMismatchError(EndpointError):
    """The response on the connection belongs to another request."""

    code = "foreign_answer"


class IdentityMismatchError(EndpointError):
    """The endpoint serves another identity than the entry pins."""

    code = "identity_mismatch"


class KvEvictedError(EndpointError):
    """The prefill result was evicted before the decode engine imported it."""

    code = "kv_gone"


class StaleFencingError(EndpointError):
    """The endpoint has seen a higher fencing number."""

    code = "stale_fencing"


class LocalFleetError(PoplarfoldError):
    """A local fleet of stand-ins and daemons did not start or work as expected."""

    code = "fleet_failed"


class PeerProtocolError(PoplarfoldError):
    """A peer sent a malformed or oversized message."""

    code = "peer_protocol"


class RecordGapError(PoplarfoldError):
    """Records of a topic are missing between what is known and what a relay sent."""

    code = "record_gap"


class InvariantViolationError(PoplarfoldError):
    """An invariant of the core does not hold."""

    code = "invariant_violation"


class PlatformFormatError(PoplarfoldError):
    """A file, record or response of the platform cannot be decoded."""

    code = "platform_format"


class AnswerTooLargeError(EndpointError):
    """An endpoint sent more bytes of an answer than there is memory for."""

    code = "answer_too_large"


class EventTooLongError(EndpointError):
    """An endpoint sent bytes that contain no end of an event."""

    code = "event_too_long"


class ListenError(PoplarfoldError):
    """A listener of this process could not be opened."""

    code = "cannot_listen"


class StoreUnavailableError(PoplarfoldError):
    """The platform's store did not respond, or refused the call."""

    code = "store_unavailable"
    status = 503


class StoreGapError(StoreUnavailableError):
    """Records after the requested offset have been deleted from the store."""

    code = "store_gap"


class StoreTopicMissingError(StoreUnavailableError):
    """The topic does not exist in the store, since nothing was written to it yet."""

    code = "store_topic_missing"


class NoRouteTableError(PoplarfoldError):
    """This node has not received a configuration yet. The call has not run."""

    code = "no_route_table"
    status = 503


class UnknownKeyError(PoplarfoldError):
    """The request has no API key, or one of no client account. It has not run."""

    code = "unknown_key"
    status = 401


class ConfigurationTooOldError(RetryLaterError, PoplarfoldError):
    """This node's configuration is too old to check an API key. The call has not run.

    The node may know a current one after ``remaining_s``.
    """

    code = "configuration_too_old"
    status = 503


class RouteNotFoundError(PoplarfoldError):
    """No published route matches the host and path of the call."""

    code = "route_not_found"
    status = 404


class NotRunError(PoplarfoldError):
    """No endpoint accepted the call. It has not run and will not run."""

    code = "not_run"
    status = 503


class PromptBlockedError(RetryLaterError, PoplarfoldError):
    """A part of the prompt crashes engines. The call has not run.

    Requests with the part are rejected for ``remaining_s`` more.
    """

    code = "prompt_blocked"
    status = 503


class QuotaExceededError(RetryLaterError, PoplarfoldError):
    """The account's quota over all hosts is used up. The call has not run.

    Units of the account are expected to be free again in ``remaining_s``.
    """

    code = "quota_exceeded"
    status = 429


class EndpointsAwayError(RetryLaterError, PoplarfoldError):
    """All endpoints of the service have asked for a pause. The call has not run.

    The first of them wants calls again in ``remaining_s``.
    """

    code = "endpoints_away"
    status = 503


class DecodePoolFullError(PoplarfoldError):
    """All decode engines are full. The call has not run.

    Room is expected in ``remaining_s``, or after the usual time if that is None.
    """

    code = "no_room"
    status = 503

    def __init__(self, message: str, remaining_s: float | None = None) -> None:
        super().__init__(message)
        self.remaining_s = remaining_s


class CallTimeoutError(PoplarfoldError):
    """The call has reached its deadline. It may have run."""

    code = "call_timeout"
    status = 504


class StreamVersionUnknownError(PoplarfoldError):
    """Which software version began the stream cannot be read now. It has not run."""

    code = "stream_version_unknown"
    status = 503


class StreamVersionGoneError(PoplarfoldError):
    """No engine of the software version that began the stream is left. Begin anew."""

    code = "stream_version_gone"
    status = 503


class StreamsFullError(PoplarfoldError):
    """This host has no thread left for a stream. The call has not run."""

    code = "streams_full"
    status = 503


class StoppingError(PoplarfoldError):
    """This node is stopping. The call has not run."""

    code = "stopping"
    status = 503
