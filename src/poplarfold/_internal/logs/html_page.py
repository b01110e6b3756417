"""Writes a time line as one self-contained HTML page.

The page loads nothing: its content security policy forbids every request.
Logged text is data in it and never markup.
"""

import json
from importlib.resources import files

from poplarfold._internal.logs.catalogue import EVENTS
from poplarfold._internal.logs.routes import call_ids, describe_event, endpoints_of
from poplarfold._internal.logs.timeline import TimeLine

__all__ = ["EVENTS_MAX", "html_page"]

# A browser draws and filters this many without a noticeable delay.
EVENTS_MAX = 100_000
DATA_MARK = "/*DATA*/"


def html_page(line: TimeLine, call_id: str | None = None) -> str:
    """Return the page. ``call_id`` is the request that it shows at first.

    Only the first EVENTS_MAX events are kept; the page says so.
    """
    processes = [clock.process for clock in line.clocks]
    index = {process: number for number, process in enumerate(processes)}
    start = line.events[0].time_s if line.events else 0.0
    data = {
        "start": start,
        "call": call_id or "",
        "omitted": max(0, len(line.events) - EVENTS_MAX),
        "kinds": {number: [kind.name, kind.alert] for number, kind in EVENTS.items()},
        "processes": [
            {
                "name": f"{clock.process.host} / {clock.process.incarnation}",
                "shift_s": clock.shift_s,
                "error_s": clock.error_s,
            }
            for clock in line.clocks
        ],
        "events": [
            [
                round(row.time_s - start, 6),
                index[row.event.process],
                row.event.number,
                call or "",
                endpoints_of(row.event),
                describe_event(row.event),
            ]
            for row, call in zip(line.events[:EVENTS_MAX], call_ids(line), strict=False)
        ],
    }
    template = files("poplarfold._internal.logs").joinpath("timeline.html")
    # Escaped, so that logged text cannot end the script element.
    encoded = json.dumps(data).replace("<", "\\u003c").replace(">", "\\u003e")
    return template.read_text("utf-8").replace(DATA_MARK, encoded, 1)
