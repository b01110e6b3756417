"""Tests of reading and merging the logs of several processes."""

import errno
import io
import json
import re

from poplarfold._internal.cli.exit_codes import ExitCode
from poplarfold._internal.cli.main import main
from poplarfold._internal.logs.html_page import html_page
from poplarfold._internal.logs.reader import parse_line, read_logs
from poplarfold._internal.logs.routes import find_route, route_lines
from poplarfold._internal.logs.timeline import merge
from poplarfold._internal.logs.writer import EventWriter


class LoggingProcess:
    """A process whose wall clock is off by ``wall_error`` seconds."""

    def __init__(self, host, wall_error):
        self.stream = io.BytesIO()
        self.now = 0.0
        self.writer = EventWriter(
            self.stream,
            host,
            1,
            monotonic=lambda: self.now + 1000 * wall_error,
            wall=lambda: 1e9 + self.now + wall_error,
        )

    def write(self, now, number, call_id, **fields):
        self.now = now
        self.writer.write_event(number, call_id, fields)


def merge_logs_of(tmp_path, *processes):
    paths = []
    for index, process in enumerate(processes):
        path = tmp_path / f"{index}.log"
        path.write_bytes(process.stream.getvalue())
        paths.append(path)
    return merge(read_logs(paths).unwrap().events)


def test_wall_clocks_that_differ_do_not_reverse_cause_and_effect(tmp_path):
    """Guards against a grant that is shown before the call that requested it."""
    caller, owner = LoggingProcess("g1", 0.0), LoggingProcess("g2", -7.0)
    for start in (0.0, 10.0):
        call, lease = f"c-{start}", f"l-{start}"
        caller.write(start, "PF1001", call)
        owner.write(start + 0.002, "PF3001", call, lease=lease)
        caller.write(start + 0.004, "PF1003", call, lease=lease)
    timeline = merge_logs_of(tmp_path, caller, owner)
    numbers = [row.event.number for row in timeline.events]
    assert numbers == ["PF1001", "PF3001", "PF1003"] * 2
    (clock,) = [clock for clock in timeline.clocks if clock.aligned_to]
    assert abs(abs(clock.shift_s) - 7.0) <= clock.error_s <= 0.0021


def test_a_process_without_messages_is_marked_as_approximate(tmp_path):
    """Guards against an order of events inferred from the wall clocks of two hosts."""
    one, other = LoggingProcess("g1", 0.0), LoggingProcess("g2", -7.0)
    one.write(0.0, "PF2001", None)
    other.write(1.0, "PF2001", None)
    assert all(
        clock.error_s is None for clock in merge_logs_of(tmp_path, one, other).clocks
    )


def test_a_step_of_the_wall_clock_does_not_reorder_one_process(tmp_path):
    """Guards against sorting the events of one process by its wall clock."""
    process = LoggingProcess("g1", 0.0)
    process.write(0.0, "PF1001", "c-1")
    process.writer.wall = lambda: 1e9 - 3600
    process.write(1.0, "PF1004", "c-1")
    process.write(2.0, "PF1005", "c-1")
    numbers = [row.event.number for row in merge_logs_of(tmp_path, process).events]
    assert numbers == ["PF1001", "PF1004", "PF1005"]


def test_incomplete_and_foreign_lines_are_skipped(tmp_path):
    """Guards against a log that cannot be read after a crash."""
    process = LoggingProcess("g1", 0.0)
    process.write(0.0, "PF1001", "c-1")
    line = process.stream.getvalue()
    path = tmp_path / "torn.log"
    content = [line, b"kernel: oom\n", b'{"number": 5}\n', b"[" * 5000 + b"\n"]
    content += [b"x" * 600_000 + b"\n", line[:40] + line, line[:-20]]
    path.write_bytes(b"".join(content))
    files = read_logs([path]).unwrap()
    assert (len(files.events), files.skipped) == (2, 5)


def test_an_event_with_values_that_json_rejects_is_written(tmp_path):
    """Guards against an event that is lost because JSON cannot encode a value."""
    process = LoggingProcess("g1", 0.0)
    process.write(0.0, "PF1002", None, a="\ud800\n", b=10**400, c={1}, d=b"\xff")
    event = parse_line(process.stream.getvalue())
    assert process.stream.getvalue().count(b"\n") == 1
    assert set(event.fields) == {"a", "b", "c", "d"}
    assert json.dumps(event.fields)


def refuse(data):
    raise OSError(errno.ENOSPC, "No space left on device")


def test_a_full_disk_does_not_stop_the_process():
    """Guards against a call that fails because its log line cannot be written."""
    process = LoggingProcess("g1", 0.0)
    write, process.stream.write = process.stream.write, refuse
    process.write(0.0, "PF2001", None)
    process.stream.write = write
    process.write(1.0, "PF2001", None)
    assert json.loads(process.stream.getvalue())["lost_events"] == 1


def timeline_of_a_retried_call(tmp_path):
    node = LoggingProcess("g1", 0.0)
    node.write(0.0, "PF1001", "c-1", entry="captions", account="studio")
    node.write(0.1, "PF3001", "c-1", lease="l", considered=[["e:2", "full"]])
    node.write(0.1, "PF1003", "c-1", attempt="a-1", prefill="e:1", decode="e:2")
    node.write(0.2, "PF4001", "c-1", code="kv_gone", start_at=0.2)
    node.write(0.3, "PF1003", "c-1", attempt="a-2", prefill="e:1", decode="e:3")
    node.write(0.3, "PF1003", "c-2", attempt="b-1", prefill="e:1", decode="e:3")
    node.write(0.4, "PF1007", None, attempt="a-1", endpoint="e:2", after_s=0.1)
    node.write(0.4, "PF1007", None, attempt="b-1", endpoint="e:3", after_s=0.1)
    node.write(0.5, "PF1004", "c-1", attempt="a-2", after_s=0.5)
    node.write(0.9, "PF1005", "c-1", code=None, outputs=9, attempts=2, duration_s=0.9)
    return merge_logs_of(tmp_path, node)


def test_a_route_shows_reasons_attempts_and_unconfirmed_cancels(tmp_path):
    """Guards against a route that does not show engine memory still held."""
    route = find_route(timeline_of_a_retried_call(tmp_path), "c-1")
    text = "\n".join(route_lines(route))
    assert "call c-1: whole; 9 outputs, 2 attempts, 0.900 s" in text
    assert "    e:2: full" in text
    assert "a-2 at +0.3000 s: prefill e:1, decode e:3, first output after" in text
    assert route.confirmed == [("a-1", "e:2")]
    assert route.unconfirmed == [("a-1", "e:1")]
    assert "b-1" not in text


def test_the_page_is_self_contained_and_escapes_logged_text(tmp_path):
    """Guards against logged text that runs as a script or loads a resource."""
    node = LoggingProcess("g1", 0.0)
    node.write(0.0, "PF1002", "</script><b>", code="x", entry="<img src=http://a>")
    page = html_page(merge_logs_of(tmp_path, node), "c-1")
    assert page.count("</script>") == 2
    assert "<img" not in page and "src=" not in page.replace("img src=", "")
    assert "default-src 'none'" in page
    start = page.index('id="data">') + len('id="data">')
    data = json.loads(page[start : page.index("</script>", start)])
    assert data["events"][0][3] == "</script><b>" and data["call"] == "c-1"


def test_the_page_shows_cancels_with_their_call(tmp_path):
    """Guards against a request filter that hides the request's cancels."""
    page = html_page(timeline_of_a_retried_call(tmp_path))
    calls = re.findall(r'"PF1007", "(.*?)"', page)
    assert calls == ["c-1", "c-2"]


def test_the_command_reads_files_and_names_an_unknown_call(tmp_path, capsys):
    """Guards against an unknown call id that is shown as a call without events."""
    timeline_of_a_retried_call(tmp_path)
    log, page = str(tmp_path / "0.log"), tmp_path / "page.html"
    assert main(["timeline", log]) == 0
    assert capsys.readouterr().out.count("\n") == 10
    assert main(["timeline", log, "--call", "c-9"]) == ExitCode.NOT_FOUND
    assert main(["timeline", log, "--call", "c-1", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["cancels_unconfirmed"]
    assert main(["timeline", log, "--html", str(page)]) == 0
    assert "c-2" in page.read_text()
    assert main(["timeline", str(tmp_path / "no")]) == ExitCode.INVALID_FILE


def test_a_request_of_a_gateway_is_explained_by_its_id(tmp_path):
    """Guards against a route that omits the gateway's events of a request on the
    prepared platform."""
    node = LoggingProcess("front-lhr-a-1", 0.0)
    node.write(0.0, "PF1101", "cut", route="abstract", service="llm", version=2)
    node.write(0.1, "PF1102", "cut", endpoint="i-1", status=200, answer_s=0.064)
    problem = "connection reset"
    node.write(0.2, "PF1103", "cut", endpoint="i-1", problem=problem, sent=True)
    node.write(0.2, "PF1109", "cut", code="endpoint_error", problem=problem)
    node.write(0.3, "PF1102", "plain", endpoint="i-2", status=500, answer_s=0.02)
    node.write(0.4, "PF1107", "whole", events=9, stream_s=1.5, pause_s=0.1)
    timeline = merge_logs_of(tmp_path, node)
    text = "\n".join(route_lines(find_route(timeline, "cut")))
    assert text.startswith("call cut: failed with endpoint_error: connection reset")
    assert "+0.1000 s i-1: status 200 after 0.064 s" in text
    assert "+0.2000 s i-1: connection reset, may have run" in text
    assert find_route(timeline, "plain").outcome == "answered by i-2 with status 500"
    assert (
        find_route(timeline, "whole").outcome
        == "whole; 9 events, 1.500 s, pause 0.100 s"
    )
