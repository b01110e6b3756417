"""A connection to an endpoint through a peer, which is read like any other one."""

import errno
import socket
from typing import Any

from poplarfold._internal.core.fleet.tunnel_messages import FRAME_LENGTH
from poplarfold._internal.http.answer_socket import DeadlineSocket

__all__ = ["TunnelSocket"]


class TunnelSocket(DeadlineSocket):
    """A socket to a peer that forwards the bytes of an endpoint in frames.

    Reads return the bytes without their frames. They raise ConnectionResetError if the
    tunnel ends before the peer has said that the endpoint ended in order.
    """

    frame_left = 0
    frame_head = b""
    has_ended = False

    def receive_into(self, buffer: Any, count: int = 0, flags: int = 0) -> int:
        """Read bytes of the endpoint; return 0 after its orderly end."""
        if self.has_ended:
            return 0
        if not self.frame_left:
            self._read_frame_head()
            if self.has_ended:
                return 0
        count = min(count or len(buffer), self.frame_left)
        received = socket.socket.recv_into(self, buffer, count, flags)
        if not received:
            self._raise_broken()
        self.frame_left -= received
        return received

    def recv(self, *arguments: Any) -> bytes:
        """Read like ``socket.recv``. Raises OSError."""
        buffer = bytearray(arguments[0])
        received = self.receive_into(memoryview(buffer))
        return bytes(buffer[:received])

    def check_end(self) -> None:
        """Accept the end that the peer has announced."""

    def _read_frame_head(self) -> None:
        """Read the length of the next frame; what came before a timeout is kept."""
        while len(self.frame_head) < FRAME_LENGTH.size:
            missing = FRAME_LENGTH.size - len(self.frame_head)
            data = socket.socket.recv(self, missing)
            if not data:
                self._raise_broken()
            self.frame_head += data
        (self.frame_left,) = FRAME_LENGTH.unpack(self.frame_head)
        self.frame_head = b""
        self.has_ended = not self.frame_left

    def _raise_broken(self) -> None:
        raise ConnectionResetError(errno.ECONNRESET, "the tunnel has ended")
