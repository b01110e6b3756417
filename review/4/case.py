"""An entry of another writer makes the gateway miss that a server is gone."""

import itertools
import threading
import time
from pathlib import Path

from review.common.deployment import (
    BOUNDS,
    IS_TROUBLED,
    STABLE_S,
    new_id,
    read_answer,
    request_bytes,
    run_case,
)
from review.common.standins import Server

FOLDER = Path(__file__).resolve().parent
CALLERS = 10
CALLER_PERIOD_S = 0.3
FOREIGN_FROM_S = 2.0
REMOVED_AT_S = 5.0
# How long the removed server goes on serving.
SERVES_ON_S = 8.0
LENGTH_S = 12.0
DRAIN_S = BOUNDS["drain_ms"] / 1000
# A field that can't be read: a whole number with 400 digits.
UNREADABLE = int("9" * 400)


def write_foreign(deployment, ended):
    """Write two entries that no server has made, as often as servers write theirs."""
    model = deployment.servers[0]
    for seq in itertools.count(1):
        key = f"other-writer-{seq % 2}"
        value = model.entry(
            address="127.0.0.1:9", seq=seq, cold_left_ms=UNREADABLE, slots=6
        )
        deployment.store.put("keyed.servers", key, value)
        deployment.record.add(f"another writer writes the entry {key}")
        if ended.wait(Server.BEAT_S / 2):
            return


def keep_calling(machine, record, answered, ends_at):
    """Send lookups on a kept connection."""
    sock = machine.connect()
    while time.monotonic() < ends_at:
        request_id = new_id()
        headers = {"Poplarfold-Deadline-Ms": "2000"}
        record.add(f"{request_id} sent")
        try:
            sock.sendall(request_bytes("GET", "/lookup/1", request_id, headers))
            status, _, _ = read_answer(sock)
            record.add(f"{request_id} answered: {status}")
            answered.append(status)
        except OSError as error:
            record.add(f"{request_id} broken off: {error!r}")
            sock.close()
            sock = machine.connect()
        time.sleep(CALLER_PERIOD_S)
    sock.close()


def play(deployment):
    """Play the case; return whether DRAIN was broken."""
    record = deployment.record
    for zone in ("galway-a", "galway-b", "dublin-a", "galway-b"):
        deployment.add_server("desk", zone=zone)
    deployment.add_server("llm", "prefill", 24)
    deployment.add_server("llm", "decode", 24)
    machine = deployment.add_machine("front-galway-a-1")
    machine.wait_ready()
    time.sleep(STABLE_S + 0.5)
    begins_at = time.monotonic()
    answered = []
    ended = threading.Event()
    threads = [
        threading.Thread(
            target=keep_calling, args=(machine, record, answered, begins_at + LENGTH_S)
        )
        for _ in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(FOREIGN_FROM_S)
    if IS_TROUBLED:
        threading.Thread(
            target=write_foreign, args=(deployment, ended), daemon=True
        ).start()
    time.sleep(REMOVED_AT_S - FOREIGN_FROM_S)
    leaving = deployment.servers[0]
    leaving.is_beating = False
    deployment.store.put("keyed.servers", leaving.server_id, None)
    removed_at = record.add(f"the entry of server {leaving.server_id} is removed")
    time.sleep(SERVES_ON_S)
    for thread in threads:
        thread.join(30)
    ended.set()
    late = [at for at, _, _ in leaving.arrivals if at > removed_at + DRAIN_S]
    before = sum(at < removed_at for at, _, _ in leaving.arrivals)
    whole = answered.count(200)
    record.add(
        f"{whole} of {len(answered)} answers are 200; {before} requests reached "
        f"{leaving.server_id} before the removal, {len(late)} later than drain_ms "
        f"after it; DRAIN broken: {bool(late)}"
    )
    if whole < 100 or not before:
        raise RuntimeError("too few requests were served")
    return bool(late)


if __name__ == "__main__":
    run_case(FOLDER, play)
