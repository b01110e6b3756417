"""Tests of the look for another engine while a stream's own one is silent."""

from types import SimpleNamespace

from poplarfold._internal.exceptions import StreamVersionUnknownError
from poplarfold._internal.gateway.stream_failover import StreamFailover


def test_silent_stream_stays_if_no_version_is_known_for_another_one(monkeypatch):
    """Guards against a stream that ends as not run although its engine has it, because
    the store is away while a slot elsewhere is looked for."""

    def raise_unknown():
        raise StreamVersionUnknownError("the store is away")

    fleet = SimpleNamespace(may_spend_retry=lambda service: True)
    context = SimpleNamespace(
        services=SimpleNamespace(fleet=fleet), service="llm", log=None
    )
    setup = SimpleNamespace(version_to_use=raise_unknown)
    failover = StreamFailover(context, setup)
    monkeypatch.setattr(failover, "_may_wait", lambda sock: False)
    assert not failover.find(sock=None, may_repeat=True)
