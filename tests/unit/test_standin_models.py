"""Tests of the stand-ins' models, in simulated time."""

import random
from itertools import pairwise

import pytest

from poplarfold._internal.core.model import EndpointRole, HostKey, Identity
from poplarfold._internal.standins.engine_model import (
    DecodeFailed,
    DecodeFinished,
    EngineConfig,
    EngineModel,
    FirstOutputMade,
    KvExport,
    PrefillFinished,
    PrefillWasted,
    Work,
)
from poplarfold._internal.standins.host_list_model import HostListModel
from poplarfold._internal.standins.log_model import LogConfig, LogModel
from poplarfold._internal.standins.service_model import (
    Call,
    ServiceBackend,
    ServiceConfig,
    ServiceModel,
)

IDENTITY = Identity("association", "abstractor", "v1")
OTHER = Identity("glasscairn", "abstractor", "v1")
NODE = HostKey("h1", 1)


def decode_engine(**changes):
    return EngineModel(EngineConfig("d1", IDENTITY, EndpointRole.DECODE, **changes))


def prefill_engine(**changes):
    return EngineModel(EngineConfig("p1", IDENTITY, EndpointRole.PREFILL, **changes))


def work(attempt, priority=0, identity=IDENTITY):
    return Work(attempt, NODE, identity, priority)


def kv(expires_at=1e9, tokens=1000):
    return KvExport("p1", "k", tokens, "key", expires_at)


def of_type(events, kind):
    return [event for event in events if isinstance(event, kind)]


def test_full_batch_stays_below_the_target_step_time():
    """Guards against a full engine that exceeds 29 ms between outputs."""
    engine = decode_engine()
    for n in range(20):
        assert engine.reserve(0.0, work(f"a{n}"), 10) is None
        assert engine.decode(0.0, work(f"a{n}"), kv(), 1000, 101) is None
    assert engine.reserve(0.0, work("a20"), 10) == "full"
    finished = of_type(engine.advance(60.0), DecodeFinished)
    assert len(finished) == 20
    assert all(0.02 < row.mean_interval_s < 0.029 for row in finished)
    assert engine.pieces_free == 2000


def test_outputs_do_not_depend_on_how_often_time_advances():
    """Guards against steps that are counted twice or skipped between advances."""

    def run(tick_s):
        rng = random.Random(5)
        engine = decode_engine(report_lag_s=0.0)
        seen = []
        at = 0.0
        for n in range(300):
            at += rng.expovariate(20.0)
            while tick_s and engine.now + tick_s < at:
                seen += engine.advance(engine.now + tick_s)
            name = f"a{n}"
            if engine.reserve(at, work(name), rng.randint(1, 90)) is None:
                engine.decode(at, work(name), kv(), 100, rng.randint(1, 60))
            if n % 7 == 0:
                engine.cancel(at, f"a{rng.randint(0, n)}")
        seen += engine.advance(at + 100.0)
        assert engine.pieces_free == 2000 and not engine.streams
        return [
            (row.attempt, round(row.at, 9)) for row in of_type(seen, DecodeFinished)
        ], engine.outputs_made

    whole = run(0.0)
    assert whole == run(0.001) == run(0.0173)
    assert len(whole[0]) > 100


def test_outputs_follow_steps_one_at_a_time():
    """Guards against outputs that are skipped or appear before their step ends."""
    engine = decode_engine()
    engine.decode(0.0, work("a"), kv(), 100, 30, resume_from=4)
    seen = [4]
    while "a" in engine.streams and len(seen) < 100:
        at = engine.next_step_at() or engine.next_event_at()
        engine.advance(at)
        seen.append(engine.outputs_of("a")[2])
    assert [b - a for a, b in pairwise(seen) if b != a] == [1] * 26


def test_evicted_result_fails_the_decode():
    """Guards against a decode that uses KV which was evicted during the transfer."""
    prefill, decode = prefill_engine(), decode_engine()
    assert prefill.prefill(0.0, work("a"), 1000, "key") is None
    (done,) = of_type(prefill.advance(0.1), PrefillFinished)
    assert prefill.export(done.at + 0.79, done.export.handle) == done.export
    decode.stall_transfers(0.0, 2.0)
    assert decode.decode(done.at + 0.5, work("a"), done.export, 1000, 5) is None
    (failed,) = of_type(decode.advance(5.0), DecodeFailed)
    assert failed.code == "kv_gone"
    assert failed.at == pytest.approx(done.at + 0.8)
    assert of_type(prefill.advance(5.0), PrefillWasted)[0].tokens == 1000
    assert prefill.export(5.0, done.export.handle) is None
    assert prefill.prefill_tokens_wasted == 1000
    assert decode.pieces_free == prefill.pieces_free == 2000


def test_priority_cache_and_batch_order_prefills():
    """Guards against urgent prefills that queue behind less urgent ones."""
    engine = prefill_engine()
    prefixes = tuple(f"p{n}" for n in range(30))
    engine.prefill(0.0, work("first", 9), 8000, "k", prefixes)
    engine.prefill(0.0, work("patient", 9), 8000, "k", prefixes)
    engine.prefill(0.0, work("urgent", 1), 8000, "k")
    done = of_type(engine.advance(10.0), PrefillFinished)
    assert [row.attempt for row in done] == ["first", "urgent", "patient"]
    assert [row.cached_tokens for row in done] == [0, 0, 30 * 256]
    assert done[2].at - done[1].at < 0.1 * (done[1].at - done[0].at)


def test_cache_events_are_late_and_have_gaps():
    """Guards against cache events that, unlike real ones, are prompt and complete."""
    engine = prefill_engine(cache_blocks=4, cache_gap_share=0.3)
    for n in range(10):
        engine.prefill(0.0, work(f"a{n}"), 1000, "k", (f"p{n}a", f"p{n}b"))
    engine.advance(1.0)
    assert engine.cache_changes(engine.cache_events[0][0] + 0.4, 0)[0] == ()
    changes, oldest = engine.cache_changes(9.0, 0)
    seqs = [change.seq for change in changes]
    assert seqs == sorted(seqs) and oldest == seqs[0]
    assert 15 < len(seqs) < engine.cache_seq == 36
    assert len(engine.cache) == 4


def test_cancelled_attempt_never_starts():
    """Guards against memory held by a start that arrives after its cancellation."""
    engine = decode_engine()
    engine.cancel(0.0, "a")
    assert engine.reserve(0.1, work("a"), 5) == "cancelled"
    assert engine.decode(0.1, work("a"), kv(), 10, 10) == "cancelled"
    engine.decode(0.1, work("b"), kv(), 10, 1000)
    engine.advance(1.0)
    engine.cancel(1.0, "b")
    assert engine.pieces_free == 2000 and engine.next_event_at() is None
    prefill = prefill_engine()
    for name in ("c", "d", "e"):
        prefill.prefill(0.0, work(name), 8000, "k")
    for name in ("c", "e"):
        prefill.cancel(0.1, name)
    (done,) = of_type(prefill.advance(0.5), PrefillFinished)
    assert done.attempt == "d"
    assert 3000 < prefill.prefill_tokens_wasted < 5000
    prefill.cancel(0.5, "d")
    assert prefill.pieces_free == 2000 and prefill.prefill_tokens_wasted > 11000


def test_lease_expires_and_load_reports_lag():
    """Guards against memory that stays reserved for a router that has failed.

    Also checks that load reports are delayed by ``report_lag_s``.
    """
    engine = decode_engine(lease_s=1.0, report_lag_s=0.5)
    engine.reserve(10.0, work("a"), 100)
    assert engine.report(10.3).busy == 0
    assert engine.report(10.7).work[0].attempt_id == "a"
    engine.reserve(10.8, work("a"), 100)
    assert engine.report(11.7).pieces_free == 1900
    assert engine.report(13.0).pieces_free == 2000
    assert engine.longest_hold_s == pytest.approx(1.8)


def test_new_work_is_refused_by_identity_leaving_and_change():
    """Guards against engines that serve another identity than the pinned one.

    Also guards against work that is accepted during a change or after leaving.
    """
    engine = decode_engine(load_duration_s=1.0)
    assert engine.reserve(0.0, work("a", identity=OTHER), 1) == "wrong_identity"
    assert engine.accept_order(0.0, "o1", "load", 7, OTHER) is None
    assert engine.accept_order(0.0, "o2", "load", 6, IDENTITY) == "stale_fencing"
    assert engine.reserve(0.5, work("b"), 1) == "full"
    assert engine.reserve(1.1, work("c", identity=OTHER), 1) is None
    engine.start_leaving(1.2)
    assert engine.reserve(5.0, work("d", identity=OTHER), 1) == "leaving"
    assert engine.late_work_after_leaving == 1
    unchecked = decode_engine(checks_identity=False, rejects_stale_fencing=False)
    assert unchecked.decode(0.0, work("a", identity=OTHER), kv(), 1, 1) is None
    assert unchecked.served_unpinned == 1
    unchecked.accept_order(1.0, "o1", "load", 7, OTHER)
    unchecked.accept_order(1.0, "o2", "load", 6, IDENTITY)
    assert unchecked.stale_orders_applied == 1


def test_first_output_waits_for_import_and_step():
    """Guards against a first output before the KV transfer and one step have ended."""
    engine = decode_engine()
    engine.decode(1.0, work("a"), kv(tokens=40_000), 100, 3)
    events = engine.advance(2.0)
    assert of_type(events, FirstOutputMade)[0].at == pytest.approx(1.1148)
    assert of_type(events, DecodeFinished)[0].outputs == 3


def service(backend=None, **changes):
    return ServiceModel(ServiceConfig("s1", IDENTITY, **changes), backend)


def filing(call, operation="op", fencing=5):
    return Call(call, operation, fencing, IDENTITY, b"{}")


def test_known_operation_runs_once_over_all_processes():
    """Guards against double runs that are caused by the stand-in itself."""
    backend = ServiceBackend()
    first, second = service(backend), service(backend)
    assert first.call(0.0, filing("c1")) is None
    assert first.call(0.0, filing("c2")) is None
    answers = first.advance(1.0)
    assert [row.request_id for row in answers] == ["c1", "c2"]
    assert answers[0].body == answers[1].body
    assert second.call(1.0, filing("c3", fencing=6)) is None
    assert second.advance(1.0)[0].body == answers[0].body
    assert second.call(1.0, filing("c4", fencing=5)) == "stale_fencing"
    assert second.operation(1.0, "op").state == "done"
    assert first.call(2.0, filing("c5", "op2")) is None
    assert second.call(2.0, filing("c6", "op2")) is None
    assert first.advance(3.0)[0].body == second.advance(3.0)[0].body
    assert backend.runs == {"op": 1, "op2": 1}
    assert list(backend.runs_by_request.values()) == [2]


def test_double_runs_are_counted():
    """Guards against double runs that the stand-in does not count."""
    unfenced = service(rejects_stale_fencing=False, knows_operations=False)
    unfenced.call(0.0, filing("c1"))
    unfenced.call(0.0, filing("c2", fencing=1))
    unfenced.advance(1.0)
    assert unfenced.backend.runs == {"op": 2}
    assert unfenced.operation(1.0, "op").state == "unknown"


def test_crash_keeps_effects_and_drops_the_queue():
    """Guards against a crash that loses a run, or counts one that never started."""
    model = service(workers=1)
    model.call(0.0, filing("c1", "op1"))
    model.call(0.0, filing("c2", "op2"))
    model.crash(0.001)
    assert model.operation(1.0, "op1").state == "done"
    assert model.operation(1.0, "op2").state == "unknown"
    assert model.backend.runs == {"op1": 1}


def test_log_rate_outage_retention_and_lost_answers():
    """Guards against a stand-in without the limits and failures of the real log."""
    log = LogModel(LogConfig(appends_per_s=100.0, retained_records=50))
    statuses = [log.append(n * 0.002, "s", f"r{n}", b"x").status for n in range(1000)]
    assert 200 <= statuses.count(200) <= 230 and statuses.count(429) > 700
    assert log.read(2.0, "s", 0, 10).status == 410
    tail = log.read(2.0, "s", log.streams["s"].next - 3, 10)
    assert [row.offset for row in tail.records] == [tail.next - 3 + n for n in range(3)]
    middle = log.read(2.0, "s", tail.first + 5, 4)
    assert [row.offset for row in middle.records][0] == tail.first + 5
    log.lose_append_answers(1)
    lost = log.append(9.0, "s", "lost", b"y")
    assert lost.answer_lost
    assert log.read(9.0, "s", lost.offset, 1).records[0].record_id == "lost"
    log.start_outage(10.0, 5.0)
    assert log.append(12.0, "s", "r", b"x").status == 503
    assert log.read(12.0, "s", lost.offset, 1).status == 503
    assert log.append(15.0, "s", "r", b"x").offset == lost.offset + 1


def test_removal_of_unknown_host_adds_no_version():
    """Guards against a new list version for a removal that changes nothing."""
    hosts = HostListModel(lag_s=2.0)
    assert hosts.listed(0.0).hosts == ()
    hosts.remove(0.0, "unknown")
    assert hosts.listed(9.0).version == 1
