"""The peer protocol: its codec, and the peer link over loopback sockets."""

import datetime
import queue
import time

import cbor2
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given, strategies as st
from websockets.sync.client import connect

from poplarfold._internal.core.claims_codec import decode_batch, decode_rows
from poplarfold._internal.core.events import (
    HostListRow,
    PeerConnectFailed,
    PeerReceived,
)
from poplarfold._internal.core.messages import Ack, Hello, Ping
from poplarfold._internal.core.model import HostKey
from poplarfold._internal.core.peer_codec import decode, encode
from poplarfold._internal.daemon.peer_link import PeerLink
from poplarfold._internal.daemon.tls import PeerTls

VALUES = st.recursive(
    st.none() | st.integers() | st.text() | st.floats() | st.binary(),
    lambda inner: st.lists(inner, max_size=4),
)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_no_exception(data):
    """Guards against one malformed message that stops the link's thread."""
    assert decode(data).is_err() or decode(data).unwrap() is None
    decode_batch(data)
    decode_rows(data, 0.0)


@given(VALUES, VALUES, VALUES)
def test_fields_of_other_types_never_reach_the_core(probe, revision, updates):
    """Guards against fields of a wrong type that raise an exception in the core."""
    fields = {"v": 1, "t": "Ping", "probe": probe, "revision": revision}
    decoded = decode(cbor2.dumps(fields | {"updates": updates, "later": 1}))
    if decoded.is_ok():
        assert encode(decoded.unwrap())
        assert type(probe) is int and type(revision) is int
        assert all(len(update) == 5 for update in decoded.unwrap().updates)


def key_files(path, name, authority=None, is_authority=False):
    """Write a key and a certificate for the host id ``name``."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    start = datetime.datetime.now(datetime.UTC) - datetime.timedelta(hours=1)
    signer_name, signer = authority or (subject, key)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(signer_name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
        .add_extension(x509.BasicConstraints(is_authority, None), True)
        .sign(signer, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (path / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    secret = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (path / f"{name}.key").write_bytes(secret)
    return subject, key


@pytest.fixture
def start_link():
    links = []

    def start(host, tls=None):
        inbox, logs = queue.Queue(), []
        link = PeerLink(
            ("127.0.0.1", 0),
            lambda: HostKey(host, 1),
            "galway-a",
            inbox.put,
            lambda number, call_id, fields: logs.append(number),
            tls,
        )
        link.start()
        links.append(link)
        link.inbox, link.logs = inbox, logs
        return link

    yield start
    for link in links:
        link.stop()


def route(link, host, port):
    address = f"127.0.0.1:{port}"
    link.update_routes([HostListRow(host, address, "entry", "galway-a", "", False)])


def wait_for(link, kind):
    end = time.monotonic() + 10.0
    while time.monotonic() < end:
        event = link.inbox.get(timeout=10.0)
        if isinstance(event, kind) and not isinstance(
            getattr(event, "message", None), Hello
        ):
            return event
    raise AssertionError(f"no {kind.__name__}")


def test_messages_pass_and_a_closed_port_is_reported(start_link):
    """Guards against replies that need a second connection, and lost refusals.

    A reply must use the connection on which the message arrived. A refused
    connection must be reported to the core.
    """
    one, two = start_link("g1"), start_link("g2")
    route(one, "g2", two.port)
    one.send("g2", Ping(1, 2, ()))
    assert wait_for(two, PeerReceived) == PeerReceived(HostKey("g1", 1), Ping(1, 2, ()))
    two.send("g1", Ack(1, 2, ()))
    assert wait_for(one, PeerReceived).message == Ack(1, 2, ())
    closed = start_link("g3")
    route(one, "g3", closed.port)
    closed.stop()
    one.send("g3", Ping(1, 2, ()))
    assert wait_for(one, PeerConnectFailed) == PeerConnectFailed("g3", True)


def test_a_malformed_message_closes_the_connection(start_link):
    """Guards against a peer that stays connected after malformed data."""
    link = start_link("g1")
    with connect(f"ws://127.0.0.1:{link.port}/") as peer:
        peer.send(encode(Hello("g9", 1, "galway-a")))
        peer.recv()
        peer.send(b"\xff")
        with pytest.raises(Exception, match="1008"):
            peer.recv(timeout=10.0)
    assert link.logs == ["PF6102"]


def test_a_certificate_of_another_host_is_rejected(start_link, tmp_path):
    """Guards against a node that impersonates another one."""
    authority = key_files(tmp_path, "authority", is_authority=True)
    for name in ("g1", "g2"):
        key_files(tmp_path, name, authority)

    def tls(name):
        files = (f"{name}.crt", f"{name}.key", "authority.crt")
        return PeerTls(*(tmp_path / file for file in files))

    one, two = start_link("g1", tls("g1")), start_link("g2", tls("g2"))
    route(one, "g2", two.port)
    one.send("g2", Ping(1, 2, ()))
    assert wait_for(two, PeerReceived).message == Ping(1, 2, ())
    impostor = start_link("g7", tls("g2"))
    route(impostor, "g1", one.port)
    impostor.send("g1", Ping(3, 3, ()))
    end = time.monotonic() + 10.0
    while "PF6103" not in one.logs and time.monotonic() < end:
        time.sleep(0.01)
    assert "PF6103" in one.logs
    senders = {event.sender.host for event in list(one.inbox.queue)}
    assert "g7" not in senders
