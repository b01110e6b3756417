"""What one call shows about the parts of its prompt."""

from poplarfold._internal.core.fleet.prompt_suspects import SOUND_AFTER_S
from poplarfold._internal.core.fleet.rows import FleetEndpoint
from poplarfold._internal.exceptions import EndpointError, EndpointStalledError
from poplarfold._internal.gateway.context import CallContext
from poplarfold._internal.http.failures import Failure
from poplarfold._internal.utils.clock import boot_time

__all__ = ["PartEvidence"]


class PartEvidence:
    """Reports crashed engines and sound answers of one call to the part guard.

    ``begin`` must be called when an attempt is sent to an engine.
    """

    def __init__(self, context: CallContext) -> None:
        self.context = context
        self.parts = context.call.shared_parts
        self.guard = context.services.guard
        self.sent_at = 0.0
        # When the current attempt was first answered, or None before that.
        self.answered_at: float | None = None
        self.is_sound = False
        # Whether a part of this call's prompt may have crashed an engine.
        self.is_suspect = False
        # Whether this call tests a blocked part of its prompt.
        self.is_test = False

    def begin(self, sent_at: float) -> None:
        """Begin an attempt at an engine."""
        self.sent_at = sent_at
        self.answered_at = None
        self.is_sound = False

    def check(self, is_unexecuted: bool) -> None:
        """Raise an error if requests with a part of this prompt are rejected now.

        Raises PromptBlockedError only if nothing has run, EndpointError otherwise. A
        call that was let through to test a block is not rejected by a later check.
        """
        if is_unexecuted:
            self.is_test = self.is_test or self.guard.check(self.parts)
        elif self.is_blocked():
            self.is_suspect = True
            raise EndpointError("engines have crashed under a part of the prompt")

    def is_blocked(self) -> bool:
        """Return whether requests with a part of this prompt are rejected now."""
        return self.guard.blocked_part(self.parts) is not None

    def may_repeat(self) -> bool:
        """Return whether the call may go to another engine."""
        return not self.is_suspect or self.guard.may_repeat(self.parts)

    def record_events(self) -> None:
        """Record that events have arrived."""
        now = boot_time()
        if self.answered_at is None:
            self.answered_at = now
        elif now - self.answered_at >= SOUND_AFTER_S:
            self.record_sound()

    def record_sound(self) -> None:
        """Record that an engine has answered the prompt for long enough."""
        if not self.is_sound:
            self.is_sound = True
            self.guard.record_sound(self.parts, self.sent_at)

    def record_break(self, endpoint: FleetEndpoint, failure: Failure) -> None:
        """Record a connection that broke before the stream was found to be sound.

        The parts of the prompt are suspect only if the engine's process has ended.
        """
        is_stalled = isinstance(failure.error, EndpointStalledError)
        if self.is_sound or is_stalled or not failure.sent or not self.parts:
            return
        services = self.context.services
        connect_s = services.fleet.settings.connect_s
        if not services.engines.has_ended(endpoint.address, connect_s):
            return
        self.is_suspect = True
        self.guard.record_crash(self.parts, endpoint, self.sent_at)
        self.context.log(
            "PF1111",
            endpoint=endpoint.endpoint_id,
            born=endpoint.incarnation,
            parts=list(self.parts),
            was_answered=self.answered_at is not None,
        )
