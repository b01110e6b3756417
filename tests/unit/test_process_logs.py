"""Tests of the way in which tests read the logs of processes that they start."""

import json

from tests.lib.cut_fleet import known_nodes
from tests.lib.gateway_process import log_events, log_lines


class Node:
    """A process of which only the log is of interest."""

    def __init__(self, log):
        self.log = log


def test_line_that_is_being_written_is_not_read(tmp_path):
    """Guards against tests that fail since they read a part of a line: the kernel may
    show a reader the beginning of what another process is writing."""
    log = tmp_path / "log"
    rows = [
        {"number": "PF6301", "fields": {"nodes": 3}},
        {"number": "PF1203", "fields": {"version": 9}},
        {"number": "PF6301", "fields": {"nodes": 4}},
    ]
    data = b"".join(json.dumps(row).encode() + b"\n" for row in rows)
    ends = [at + 1 for at, byte in enumerate(data) if byte == ord("\n")]
    for size in range(len(data) + 1):
        log.write_bytes(data[:size])
        whole = sum(end <= size for end in ends)
        assert [json.loads(line) for line in log_lines(log)] == rows[:whole]
        found = [row for row in rows[:whole] if row["number"] == "PF6301"]
        assert log_events(log, "PF6301") == found
        counts = [row["fields"]["nodes"] for row in found]
        assert known_nodes(Node(log)) == (counts[-1] if counts else 0)
