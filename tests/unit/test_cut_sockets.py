"""Tests of the connections of a host that a test partitions from its endpoints."""

import errno
import fcntl
import resource
import socket
import threading

import pytest
from tests.lib.cut_gateway import CutMode, CutSockets, write_control

# Above the descriptors of other tests. A new socket gets the lowest free descriptor,
# and threads of earlier tests may free lower ones than the one that a test closes.
UNUSED_DESCRIPTOR = min(4096, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - 1


def socket_at(descriptor):
    """Return a new socket that has a descriptor, which must be free."""
    with socket.socket() as made:
        copy = fcntl.fcntl(made, fcntl.F_DUPFD_CLOEXEC, descriptor)
    assert copy == descriptor
    return socket.socket(fileno=copy)


def test_refused_port_is_given_to_no_server(tmp_path):
    """Guards against cut hosts whose requests reach a server of another test, at the
    port that is to refuse them. Their calls may have run then, and get 502."""
    control = tmp_path / "cut"
    write_control(control, CutMode.NONE, [])
    sockets = CutSockets(control)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(sockets.refused_address, 5.0)
    with pytest.raises(OSError) as taken:
        socket.create_server(sockets.refused_address)
    assert taken.value.errno == errno.EADDRINUSE


@pytest.mark.parametrize("mode", [CutMode.RESET, CutMode.HANG])
def test_connection_that_is_made_as_a_cut_begins_is_cut(tmp_path, mode):
    """Guards against cut hosts that keep serving calls over one connection: it was not
    open yet as the open ones were cut, and was then kept for further calls."""
    control = tmp_path / "cut"
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        write_control(control, CutMode.NONE, [f"127.0.0.1:{address[1]}"])
        sockets = CutSockets(control)
        connect = sockets.connect

        def cut_then_connect(sock, target):
            write_control(control, mode, [f"127.0.0.1:{address[1]}"])
            sockets.read()
            connect(sock, target)

        sockets.connect = cut_then_connect
        with socket.socket() as client:
            client.settimeout(2.0)
            sockets.connect_or_cut(client, address)
            accepted, _ = server.accept()
            with accepted:
                if mode is CutMode.RESET:
                    assert client.recv(20) == b""
                else:
                    accepted.sendall(b"whole answer")
                    client.settimeout(0.2)
                    with pytest.raises(TimeoutError):
                        client.recv(20)


def test_connection_that_gets_the_descriptor_of_a_closed_one_is_not_cut(
    tmp_path, monkeypatch
):
    """Guards against a caller, or a call to the store, that gets no answer since its
    connection has the descriptor of one to an endpoint, which a thread closed while it
    was being cut."""
    control = tmp_path / "cut"
    for name in ("connect", "_real_close"):
        # They are restored with the test.
        monkeypatch.setattr(socket.socket, name, getattr(socket.socket, name))
    with (
        socket.create_server(("127.0.0.1", 0)) as endpoint,
        socket.create_server(("127.0.0.1", 0)) as store,
    ):
        addresses = [f"127.0.0.1:{endpoint.getsockname()[1]}"]
        write_control(control, CutMode.NONE, addresses)
        sockets = CutSockets(control)
        sockets.replace_calls()
        closed = socket_at(UNUSED_DESCRIPTOR)
        closed.connect(endpoint.getsockname())
        opened = []

        def close_and_open():
            closed.close()
            opened.append(socket_at(UNUSED_DESCRIPTOR))
            opened[0].connect(store.getsockname())

        thread = threading.Thread(target=close_and_open)
        make_pair = socket.socketpair

        def pair_after_close():
            thread.start()
            thread.join(0.5)
            return make_pair()

        monkeypatch.setattr(socket, "socketpair", pair_after_close)
        write_control(control, CutMode.HANG, addresses)
        sockets.read()
        thread.join(5.0)
        (sock,) = opened
        accepted, _ = store.accept()
        with sock, accepted:
            assert sock.fileno() == UNUSED_DESCRIPTOR
            accepted.sendall(b"whole answer")
            sock.settimeout(2.0)
            assert sock.recv(20) == b"whole answer"
