"""Tests of calls that were taken and must not end without an answer."""

import fcntl
import http.client
import json
import os
import select
import signal
import threading
import time

import pytest
from tests.lib.gateway_process import ready_fleet, timed_stop
from tests.lib.platform_standin import EndpointStandIn
from tests.lib.waits import wait_until

GRACE_S = 6.0
# Longer than the pause after which a stream looks for another engine.
PAUSE_S = 3.5
# A stop without open calls decides to end after 3.0 s.
STOP_DECIDES_S = 3.1
CALLS = 40
CALL_PERIOD_S = 0.03
# A call that begins as the process ends is cut if it lasts as long as this.
WORK_S = 0.4
TOKENS = {"Poplarfold-Token-Count": "1000,200"}
SMALLEST_PIPE_BYTES = 4096


@pytest.fixture
def fleet(tmp_path):
    with ready_fleet(tmp_path, {"grace_s": GRACE_S}) as found:
        yield found


@pytest.mark.parametrize("after_events", [0, 2])
def test_silent_engine_is_not_given_up_while_no_other_has_room(fleet, after_events):
    """Guards against a sound stream that is cut, since its engine paused."""
    fleet.wait_counted()
    fleet.decode.pause_after, fleet.decode.pause_s = after_events, PAUSE_S
    connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
    wait_until(lambda: fleet.decode.runs, 5.0)
    fleet.decode.faults.add("no_room")
    answer = connection.getresponse()
    assert answer.status == 200
    assert answer.read().count(b"id: ") == fleet.decode.events
    assert len(fleet.decode.runs) == 1


def test_silent_engine_is_left_for_one_that_has_room(fleet):
    """Guards against a stream that waits for a silent engine while another is free."""
    free = EndpointStandIn("i-decode-2", "decode")
    free.faults.add("no_room")
    fleet.announce(free, "llm")
    fleet.wait_counted()
    wait_until(lambda: b"i-decode-2" in fleet.log.read_bytes(), 5.0)
    fleet.decode.pause_after, fleet.decode.pause_s = 2, 10.0
    try:
        connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
        answer = connection.getresponse()
        free.faults.clear()
        assert answer.read().count(b"id: ") == fleet.decode.events
        (resumed,) = free.runs
        assert resumed[2]["Last-Event-Id"] == "2"
    finally:
        free.stop()


class LateEngine(EndpointStandIn):
    """An engine that sends its head together with the first events, and late."""

    head_after_s = PAUSE_S

    def __init__(self, endpoint_id, stage):
        super().__init__(endpoint_id, stage)
        # The head is sent before that time if this happens.
        self.answers_after = threading.Event()
        self.has_answered = threading.Event()

    def stream(self, request, headers, body):
        self.runs.append((request.command, request.path, headers, body))
        self.answers_after.wait(self.head_after_s)
        request.send_response(200)
        for name, value in self.proof(headers).items():
            request.send_header(name, value)
        data = self.all_events(headers)
        request.send_header("Content-Length", str(len(data)))
        # One write, so that they arrive together.
        request._headers_buffer.append(b"\r\n" + data)
        request.flush_headers()
        self.has_answered.set()


class SlowLeases(EndpointStandIn):
    """An engine that takes a while to grant a slot."""

    lease_s = 0.3

    def __init__(self, endpoint_id, stage):
        super().__init__(endpoint_id, stage)
        self.is_asked = threading.Event()
        # A slot is granted before that time if this happens.
        self.grants_after = threading.Event()

    def take_lease(self, request, number):
        if "no_room" not in self.faults:
            self.is_asked.set()
            self.grants_after.wait(self.lease_s)
        super().take_lease(request, number)


def test_stream_that_has_answered_is_not_moved(fleet):
    """Guards against a stream that is moved although its engine has answered, when its
    first events came with the head while a slot was looked for."""
    late, free = LateEngine("i-decode", "decode"), SlowLeases("i-decode-2", "decode")
    free.faults.add("no_room")
    # The head comes while the other engine is asked for a slot, however late that is.
    late.answers_after, free.grants_after = free.is_asked, late.has_answered
    fleet.announce(late, "llm", born=1788179296999)
    fleet.announce(free, "llm")
    fleet.wait_counted()
    wait_until(lambda: b"i-decode-2" in fleet.log.read_bytes(), 5.0)
    try:
        connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
        wait_until(lambda: late.runs, 5.0)
        free.faults.clear()
        answer = connection.getresponse()
        assert answer.read().count(b"id: ") == late.events
        assert free.is_asked.is_set()
        assert (len(late.runs), len(free.runs)) == (1, 0)
    finally:
        late.stop()
        free.stop()


def test_stream_that_completes_no_event_is_moved_after_a_slow_lease(fleet):
    """Guards against a stream that stays at an engine which sends a byte now and then,
    and a slot elsewhere that is taken and given back again and again."""
    free = SlowLeases("i-decode-2", "decode")
    # Longer than the 0.1 s between two bytes, and well within the 0.4 s after which the
    # router gives a call for a slot up.
    free.lease_s = 0.15
    free.faults.add("no_room")
    fleet.announce(free, "llm")
    fleet.wait_counted()
    wait_until(lambda: b"i-decode-2" in fleet.log.read_bytes(), 5.0)
    fleet.decode.faults.add("drip_stream")
    try:
        connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
        wait_until(lambda: fleet.decode.runs, 5.0)
        free.faults.clear()
        answer = connection.getresponse()
        assert answer.read().count(b"id: ") == fleet.decode.events
        (resumed,) = free.runs
        assert resumed[2]["Last-Event-Id"] == "2"
    finally:
        free.stop()


class ObservedEngine(EndpointStandIn):
    """An engine whose connections can be looked at."""

    def __init__(self, endpoint_id):
        super().__init__(endpoint_id, "decode")
        self.sockets = []

    def stream(self, request, headers, body):
        self.sockets.append(request.connection)
        super().stream(request, headers, body)


def test_caller_that_leaves_after_a_look_for_another_engine_ends_its_stream(fleet):
    """Guards against an engine that works on for a caller who has left, since the look
    for a slot elsewhere took the stream's connection from the one that is closed."""
    paused, full = ObservedEngine("i-decode"), EndpointStandIn("i-decode-2", "decode")
    full.faults.add("no_room")
    fleet.announce(paused, "llm", born=1788179296999)
    fleet.announce(full, "llm")
    fleet.wait_counted()
    wait_until(lambda: b"i-decode-2" in fleet.log.read_bytes(), 5.0)
    paused.pause_after, paused.pause_s = 1, 2.5
    paused.event_period_s = 1.5
    try:
        connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
        answer = connection.getresponse()
        received = b""
        while b"id: 2" not in received:
            received += answer.read1()
        assert b"engine_silent" in fleet.log.read_bytes()
        connection.close()
        answer.close()
        assert select.select(paused.sockets, [], [], 0.5)[0]
    finally:
        paused.stop()
        full.stop()


def test_stop_keeps_to_the_grace_time_of_the_reread_settings(fleet):
    """Guards against a process that is killed, since its grace time was shortened while
    it ran."""
    shorter_s = 2.0
    fleet.bounds["grace_s"] = shorter_s
    fleet.boot.write_text(json.dumps(fleet.boot_fields()))
    fleet.process.send_signal(signal.SIGHUP)
    wait_until(lambda: b"PF2104" in fleet.log.read_bytes(), 5.0)
    fleet.decode.pause_s = 2 * GRACE_S
    stream = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
    wait_until(lambda: fleet.decode.runs, 5.0)
    ended_after_s = timed_stop(fleet.process, 2 * GRACE_S)
    stream.close()
    assert ended_after_s <= shorter_s


def test_stream_whose_prompt_is_blocked_stays_at_its_engine(fleet):
    """Guards against a sound stream that leaves its paused engine, although no engine
    gets its prompt any more."""
    deadly = [EndpointStandIn(f"i-deadly-{n}", "decode") for n in range(4)]
    free = EndpointStandIn("i-free", "decode")
    for engine in (*deadly, free):
        engine.faults.add("no_room")
        fleet.announce(engine, "llm")
    for engine in deadly:
        engine.deadly_part = "bad0"
    fleet.wait_counted()
    wait_until(lambda: b"i-free" in fleet.log.read_bytes(), 5.0)
    # Events keep coming until the prompt is blocked, which may take a while.
    fleet.decode.events, fleet.decode.event_period_s = 100, 0.1
    headers = {**TOKENS, "Poplarfold-Prompt-Prefix": "bad0:50,91bd:50"}
    try:
        connection = fleet.open("POST", "/caption/1", headers, b"prompt")
        answer = connection.getresponse()
        fleet.decode.faults.add("no_room")
        for engine in deadly:
            engine.faults.clear()
        while b"PF7201" not in fleet.log.read_bytes():
            fleet.call("POST", "/caption/1", headers, b"prompt")
        free.faults.clear()
        assert b"engine_silent" not in fleet.log.read_bytes()
        fleet.decode.event_period_s = PAUSE_S
        wait_until(lambda: b"engine_silent" in fleet.log.read_bytes(), PAUSE_S)
        fleet.decode.event_period_s = 0.0
        assert answer.read().count(b"id: ") == fleet.decode.events
        assert free.runs == []
    finally:
        for engine in (*deadly, free):
            engine.stop()


def test_caller_that_leaves_while_a_slot_is_asked_for_does_no_harm(fleet):
    """Guards against a sound engine that is avoided, since a caller left while it was
    asked for a slot."""
    fleet.store.put("keyed.servers", "i-decode", None)
    slow = SlowLeases("i-decode-2", "decode")
    fleet.announce(slow, "llm")
    fleet.wait_counted()
    wait_until(lambda: b"i-decode-2" in fleet.log.read_bytes(), 5.0)
    try:
        connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
        wait_until(lambda: slow.count, 5.0)
        connection.close()
        wait_until(lambda: b"PF1109" in fleet.log.read_bytes(), 5.0)
        assert b"PF1103" not in fleet.log.read_bytes()
    finally:
        slow.stop()


class SlowReleases(EndpointStandIn):
    """An engine that takes a while to give up the result of a prefill."""

    release_s = 1.0

    def serve(self, request, body):
        if request.path.startswith("/v1/kv-handle/"):
            time.sleep(self.release_s)
        super().serve(request, body)


def test_stop_answers_a_stream_before_its_prefill_is_released(fleet):
    """Guards against a stream without an answer at the end of a stop, since its thread
    waits for an engine."""
    late = LateEngine("i-decode", "decode")
    late.head_after_s = 2 * GRACE_S
    slow = SlowReleases("i-prefill", "prefill")
    fleet.announce(late, "llm", born=1788179296999)
    fleet.announce(slow, "llm", born=1788179296999)
    fleet.wait_counted()
    wait_until(lambda: fleet.log.read_bytes().count(b"1788179296999") >= 2, 5.0)
    try:
        connection = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
        connection.sock.settimeout(2 * GRACE_S)
        wait_until(lambda: late.runs, 5.0)
        assert slow.prefills
        fleet.process.send_signal(signal.SIGTERM)
        assert connection.getresponse().status == 504
    finally:
        late.stop()
        slow.stop()


class KeptConnection:
    """A caller that makes one call now and another one later on the same connection."""

    def __init__(self, fleet, number):
        self.number = number
        address = ("127.0.0.1", fleet.ports["front"])
        self.connection = http.client.HTTPConnection(*address, timeout=5)
        self.status = self.call("first")
        self.thread = threading.Thread(target=self.call_again)

    def call(self, name):
        request_id = f"{name}-{self.number}"
        headers = {"Host": "entry.example", "Poplarfold-Request-Id": request_id}
        # A connection that has been closed meanwhile is not opened anew.
        self.connection.auto_open = name == "first"
        try:
            self.connection.request("GET", "/lookup/1", headers=headers)
            answer = self.connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            return None
        return answer.status

    def call_again(self):
        self.status = self.call("second")


def restart_with_unread_log(fleet):
    """Start the process anew, with a log that nobody reads once it is ready."""
    log_read, log_write = os.pipe()
    fcntl.fcntl(log_write, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
    fleet.process.kill()
    fleet.process.wait()
    fleet.start(stdout=log_write)
    reader = LogReader(log_read)
    reader.start()
    fleet.wait_ready()
    reader.pause()
    return reader


def test_stop_cuts_no_call_while_its_log_is_written(fleet):
    """Guards against calls that are passed on after a stop has decided to end."""
    reader = restart_with_unread_log(fleet)
    callers = [KeptConnection(fleet, number) for number in range(CALLS)]
    for endpoint in fleet.plain:
        endpoint.work_s = WORK_S
    fleet.process.send_signal(signal.SIGTERM)
    # The time counts from when the process has noticed the signal.
    wait_until(lambda: fleet.ready_status() == 503, 2.0)
    time.sleep(STOP_DECIDES_S)
    for caller in callers:
        caller.thread.start()
        time.sleep(CALL_PERIOD_S)
        if fleet.process.poll() is not None:
            break
    started = [caller for caller in callers if caller.thread.ident]
    for caller in started:
        caller.thread.join(10.0)
    assert fleet.process.wait(GRACE_S) == 0
    reader.stop()
    ids = [
        headers["Poplarfold-Request-Id"]
        for e in fleet.plain
        for *_, headers, _ in e.runs
    ]
    cut = [
        c.number for c in started if c.status is None and f"second-{c.number}" in ids
    ]
    assert cut == []


class LogReader(threading.Thread):
    """Reads a pipe until it is paused, and holds the pipe open until it is stopped."""

    def __init__(self, descriptor):
        super().__init__(daemon=True)
        self.descriptor = descriptor
        self.is_paused = threading.Event()
        self.is_over = threading.Event()

    def run(self):
        while not self.is_paused.is_set() and os.read(self.descriptor, 65536):
            pass
        self.is_over.wait(30.0)
        os.close(self.descriptor)

    def pause(self):
        """Read no more. The log of the first calls then fills the pipe."""
        self.is_paused.set()

    def stop(self):
        self.is_over.set()


def test_process_whose_log_is_not_read_ends_within_its_grace(fleet):
    """Guards against a process that is killed, since it waits for its log too long."""
    reader = restart_with_unread_log(fleet)
    for number in range(CALLS):
        KeptConnection(fleet, number)
    # A stream that lasts beyond the grace.
    fleet.decode.pause_s = 2 * GRACE_S
    stream = fleet.open("POST", "/caption/1", TOKENS, b"prompt")
    wait_until(lambda: fleet.decode.runs, 5.0)
    ended_after_s = timed_stop(fleet.process, 2 * GRACE_S)
    reader.stop()
    stream.close()
    assert ended_after_s <= GRACE_S
