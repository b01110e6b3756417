"""Callers of all call classes and the results that they record for the checks."""

import json
import random
import threading
import time
from collections import Counter

from tests.functional.soak.processes import ACCOUNT_TOKEN
from tests.functional.soak.wire import (
    CONNECTION_ERRORS,
    Answer,
    Stream,
    failure_name,
    try_request,
)

from poplarfold._internal.standins.answers import answer_key, output_text
from poplarfold._internal.standins.service_model import request_digest

CALL_TIMEOUT_S = 20.0
ABANDONED_OUTPUTS = 3000
AUTHORIZATION = {"Authorization": f"Bearer {ACCOUNT_TOKEN}"}
WORDS = "counsel objected noted record survey witness filing register".split()


class Record:
    """Results of all callers, guarded by one lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls = Counter()
        self.outcomes = Counter()
        self.violations = []
        # Model calls that the caller abandoned: (time, daemon, answer key).
        self.abandoned_calls = []
        # By request digest: (idempotency key, answers or names of failures in order).
        self.filings = {}
        # All calls, to check planned stops: (host of the daemon, begin, end, outcome).
        self.spans = []
        self.streaming = Counter()
        self.most_streaming = Counter()

    def add_violation(self, invariant, detail):
        """Record a violation with its time."""
        with self.lock:
            at = round(time.monotonic(), 3)
            row = {"invariant": invariant, "detail": detail, "at": at}
            self.violations.append(row)

    def update_stream_count(self, entry, change):
        """Update the number of concurrent streams of an entry and its maximum."""
        with self.lock:
            self.streaming[entry] += change
            most = max(self.most_streaming[entry], self.streaming[entry])
            self.most_streaming[entry] = most


class Caller(threading.Thread):
    """A caller that makes one call after another until it is stopped."""

    def __init__(self, number, seed, daemons, record, identity, kinds):
        super().__init__(name=f"caller-{number}", daemon=True)
        self.number = number
        self.rng = random.Random(seed * 1000 + number)
        self.daemons = daemons
        self.record = record
        self.identity = identity
        self.kinds = kinds
        self.stopping = threading.Event()
        self.count = 0

    def run(self):
        while not self.stopping.is_set():
            self.count += 1
            kind = self.rng.choice(self.kinds)
            daemon = self.rng.choice(self.daemons)
            with self.record.lock:
                self.record.calls[kind] += 1
            began = time.monotonic()
            if kind == "filings":
                outcome = self.make_filing()
            elif kind == "lookups":
                outcome = self.make_lookup(daemon)
            else:
                outcome = self.make_model_call(daemon, kind)
            with self.record.lock:
                self.record.outcomes[f"{kind}:{outcome}"] += 1
                if kind != "filings":
                    # Filings choose their own daemons and record their own spans.
                    span = (daemon.host, began, time.monotonic(), f"{kind}:{outcome}")
                    self.record.spans.append(span)
            if outcome not in ("ok", "gone"):
                self.stopping.wait(self.rng.uniform(0.02, 0.2))

    def name_call(self):
        return f"call {self.number}-{self.count}"

    # Model calls.

    def make_model_call(self, daemon, entry):
        words = self.rng.choices(WORDS, k=self.rng.choice((20, 200, 2000)))
        prompt = f"{self.name_call()}: {' '.join(words)}"
        outputs = self.rng.randint(1, 90)
        abandon_after = None
        if self.rng.random() < 0.2:
            abandon_after = self.rng.randint(0, outputs)
            # The decode runs so long that leaked memory is still held at the end.
            outputs = ABANDONED_OUTPUTS
        body = {"model": entry, "prompt": prompt}
        body |= {"max_tokens": outputs, "stream": True}
        key = answer_key(self.identity, prompt)
        headers = {**AUTHORIZATION, "Content-Type": "application/json"}
        stream = None
        try:
            stream = Stream(
                daemon.callers_address, "/v1/completions", body, headers, CALL_TIMEOUT_S
            )
            if stream.answer.status != 200:
                return self.refusal(stream.answer.status, stream.answer.read())
            return self.read_answer(stream, daemon, entry, key, outputs, abandon_after)
        except CONNECTION_ERRORS as error:
            return failure_name(error)
        finally:
            if stream is not None:
                stream.close()

    def read_answer(self, stream, daemon, entry, key, outputs, abandon_after):
        """Check each part of the answer against the only correct answer."""
        expected = "".join(output_text(key, seq) for seq in range(outputs))
        received = ""
        self.record.update_stream_count(entry, 1)
        try:
            if abandon_after == 0:
                return self.abandon(stream, daemon, key)
            done = False
            for event in stream.events():
                if done:
                    self.record.add_violation(
                        "answered-once", f"{key}: events after the end"
                    )
                if event is None:
                    done = True
                    continue
                if "error" in event:
                    return f"error_{event['error']['code']}"
                received += "".join(row["text"] for row in event["choices"])
                if not expected.startswith(received):
                    detail = f"{key} from {daemon.host}: {received[-80:]!r}"
                    self.record.add_violation("whole-own-answer", detail)
                    return "wrong"
                if abandon_after is not None and received.count(" ") >= abandon_after:
                    return self.abandon(stream, daemon, key)
            if not done:
                return "broken"
            if received != expected:
                detail = f"{key}: ended after {received.count(' ')} of {outputs}"
                self.record.add_violation("whole-own-answer", detail)
                return "short"
            return "ok"
        finally:
            self.record.update_stream_count(entry, -1)

    def abandon(self, stream, daemon, key):
        stream.close()
        with self.record.lock:
            self.record.abandoned_calls.append((time.monotonic(), daemon, key))
        return "gone"

    def refusal(self, status, body):
        try:
            return f"{status}_{json.loads(body)['error']['code']}"
        except (ValueError, KeyError, TypeError):
            return f"{status}_untyped"

    # Service calls.

    def make_lookup(self, daemon):
        body = json.dumps({"lookup": self.name_call()}).encode()
        headers = {**AUTHORIZATION, "Content-Type": "application/json"}
        path = "/v1/services/lookups"
        answer = try_request(
            daemon.callers_address, "POST", path, body, headers, CALL_TIMEOUT_S
        )
        if not isinstance(answer, Answer):
            return answer
        if answer.status != 200:
            return self.refusal(answer.status, answer.body)
        found = json.loads(answer.body)
        if found.get("request_sha256") != request_digest(body):
            self.record.add_violation("whole-own-answer", f"lookup got {found}")
            return "wrong"
        return "ok"

    def make_filing(self):
        """Send a filing, a non-repeatable call, up to three times with one key."""
        body = json.dumps({"filing": self.name_call()}).encode()
        key = f"filing-{self.number}-{self.count}"
        headers = {**AUTHORIZATION, "Content-Type": "application/json"}
        headers["Idempotency-Key"] = key
        answers = []
        tries = self.rng.choice((1, 2, 3))
        # A third of the filings send their repeats concurrently.
        if self.rng.random() < 0.33:
            threads = [
                threading.Thread(target=self.send_filing, args=(body, headers, answers))
                for _ in range(tries)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        else:
            for _ in range(tries):
                if not answers or not self.stopping.is_set():
                    self.send_filing(body, headers, answers)
        with self.record.lock:
            self.record.filings[request_digest(body)] = (key, answers)
        last = answers[-1]
        if not isinstance(last, Answer):
            return last
        if last.status == 200:
            return "ok"
        return self.refusal(last.status, last.body)

    def send_filing(self, body, headers, answers):
        daemon = self.rng.choice(self.daemons)
        path = "/v1/services/filings"
        began = time.monotonic()
        answer = try_request(
            daemon.callers_address, "POST", path, body, headers, CALL_TIMEOUT_S
        )
        answers.append(answer)
        if not isinstance(answer, Answer):
            with self.record.lock:
                span = (daemon.host, began, time.monotonic(), f"filings:{answer}")
                self.record.spans.append(span)
