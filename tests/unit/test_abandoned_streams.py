"""Tests of the connections of streams whose callers end while an answer is awaited."""

import contextlib
import socket
import threading

import pytest

from poplarfold._internal.exceptions import CallerDisconnectedError
from poplarfold._internal.http.endpoint_client import EndpointClient
from poplarfold._internal.http.exchange import Target


def test_connection_is_closed_if_the_wait_for_an_answer_fails():
    """Guards against an engine that works on a stream which its caller has left."""
    ended = threading.Event()
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        with connection, contextlib.suppress(ConnectionResetError):
            while connection.recv(1000):
                pass
        ended.set()

    threading.Thread(target=serve, daemon=True).start()

    def give_up(sock):
        raise CallerDisconnectedError("the caller has disconnected")

    address = f"127.0.0.1:{listener.getsockname()[1]}"
    with listener:
        with pytest.raises(CallerDisconnectedError) as raised:
            client = EndpointClient(5.0)
            client.open_stream(
                Target(address, "POST", "/"), b"x", {}, 5.0, await_answer=give_up
            )
        # The traceback keeps the connection alive, as that of an error in use does. The
        # listener stays open, since the engine may accept the connection only now.
        assert ended.wait(5.0), raised
