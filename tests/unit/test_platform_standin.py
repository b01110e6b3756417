"""Tests of the platform's stand-in that other tests rely on."""

import socket
import threading

from tests.lib.platform_standin import EndpointStandIn

CALLERS = 100
CONNECT_LIMIT_S = 5.0


def test_calls_at_once_connect_while_the_stand_in_accepts_none(monkeypatch):
    """Guards against calls that are rejected as not sent since a stand-in is slow.

    With the standard library's queue of 5 connections, more calls at once get none
    within the 0.3 s for which the router waits, and answer 503 in place of 504.
    """
    accepts = threading.Event()
    endpoint = EndpointStandIn("i-1")
    accept = endpoint.server.get_request

    def accept_later():
        accepts.wait()
        return accept()

    monkeypatch.setattr(endpoint.server, "get_request", accept_later)
    host, _, port = endpoint.address.rpartition(":")
    opened = []
    try:
        for _ in range(CALLERS):
            opened.append(
                socket.create_connection((host, int(port)), timeout=CONNECT_LIMIT_S)
            )
    finally:
        for sock in opened:
            sock.close()
        accepts.set()
        endpoint.stop()
