"""Callers of every class, and what they record for the checks."""

import json
import random
import threading
import time
from collections import Counter

from tests.functional.soak.processes import ACCOUNT_TOKEN
from tests.functional.soak.wire import (
    ERRORS,
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
    """What all callers saw, under one lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls = Counter()
        self.outcomes = Counter()
        self.violations = []
        # (time, daemon, answer key) of callers that went before the end.
        self.gone = []
        # Filings by request digest: the answers in order, or names of failures.
        self.filings = {}
        # (daemon, begin, end, outcome) of the calls, for planned stops.
        self.spans = []
        self.streaming = Counter()
        self.most_streaming = Counter()

    def violate(self, invariant, detail):
        """Record a violation with its time."""
        with self.lock:
            at = round(time.monotonic(), 3)
            row = {"invariant": invariant, "detail": detail, "at": at}
            self.violations.append(row)

    def begin_stream(self, entry, step):
        """Count the streams of an entry that callers receive at one time."""
        with self.lock:
            self.streaming[entry] += step
            most = max(self.most_streaming[entry], self.streaming[entry])
            self.most_streaming[entry] = most


class Caller(threading.Thread):
    """One caller that makes calls one after another until it is stopped."""

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
                    # A filing goes through daemons of its own choice.
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
        leave_after = None
        if self.rng.random() < 0.2:
            leave_after = self.rng.randint(0, outputs)
            # Long enough that memory which is not freed is still held at the end.
            outputs = ABANDONED_OUTPUTS
        body = {"model": entry, "prompt": prompt}
        body |= {"max_tokens": outputs, "stream": True}
        key = answer_key(self.identity, prompt)
        headers = {**AUTHORIZATION, "Content-Type": "application/json"}
        stream = None
        try:
            stream = Stream(
                daemon.callers, "/v1/completions", body, headers, CALL_TIMEOUT_S
            )
            if stream.answer.status != 200:
                return self.refusal(stream.answer.status, stream.answer.read())
            return self.read_answer(stream, daemon, entry, key, outputs, leave_after)
        except ERRORS as error:
            return failure_name(error)
        finally:
            if stream is not None:
                stream.close()

    def read_answer(self, stream, daemon, entry, key, outputs, leave_after):
        """Check each piece of the answer against the only right one."""
        expected = "".join(output_text(key, seq) for seq in range(outputs))
        received = ""
        self.record.begin_stream(entry, 1)
        try:
            if leave_after == 0:
                return self.leave(stream, daemon, key)
            done = False
            for event in stream.events():
                if done:
                    self.record.violate("answered-once", f"{key}: events after the end")
                if event is None:
                    done = True
                    continue
                if "error" in event:
                    return f"error_{event['error']['code']}"
                received += "".join(row["text"] for row in event["choices"])
                if not expected.startswith(received):
                    detail = f"{key} from {daemon.host}: {received[-80:]!r}"
                    self.record.violate("whole-own-answer", detail)
                    return "wrong"
                if leave_after is not None and received.count(" ") >= leave_after:
                    return self.leave(stream, daemon, key)
            if not done:
                return "broken"
            if received != expected:
                detail = f"{key}: ended after {received.count(' ')} of {outputs}"
                self.record.violate("whole-own-answer", detail)
                return "short"
            return "ok"
        finally:
            self.record.begin_stream(entry, -1)

    def leave(self, stream, daemon, key):
        stream.close()
        with self.record.lock:
            self.record.gone.append((time.monotonic(), daemon, key))
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
            daemon.callers, "POST", path, body, headers, CALL_TIMEOUT_S
        )
        if not isinstance(answer, Answer):
            return answer
        if answer.status != 200:
            return self.refusal(answer.status, answer.body)
        found = json.loads(answer.body)
        if found.get("request_sha256") != request_digest(body):
            self.record.violate("whole-own-answer", f"lookup got {found}")
            return "wrong"
        return "ok"

    def make_filing(self):
        """File once, and often again with the same key through any daemon."""
        body = json.dumps({"filing": self.name_call()}).encode()
        key = f"filing-{self.number}-{self.count}"
        headers = {**AUTHORIZATION, "Content-Type": "application/json"}
        headers["Idempotency-Key"] = key
        answers = []
        tries = self.rng.choice((1, 2, 3))
        # A third of the filings are sent through several daemons at once.
        if self.rng.random() < 0.33:
            threads = [
                threading.Thread(target=self.file, args=(body, headers, answers))
                for _ in range(tries)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        else:
            for _ in range(tries):
                if not answers or not self.stopping.is_set():
                    self.file(body, headers, answers)
        with self.record.lock:
            self.record.filings[request_digest(body)] = (key, answers)
        last = answers[-1]
        if not isinstance(last, Answer):
            return last
        if last.status == 200:
            return "ok"
        return self.refusal(last.status, last.body)

    def file(self, body, headers, answers):
        daemon = self.rng.choice(self.daemons)
        path = "/v1/services/filings"
        began = time.monotonic()
        answer = try_request(
            daemon.callers, "POST", path, body, headers, CALL_TIMEOUT_S
        )
        answers.append(answer)
        if not isinstance(answer, Answer):
            with self.record.lock:
                span = (daemon.host, began, time.monotonic(), f"filings:{answer}")
                self.record.spans.append(span)
