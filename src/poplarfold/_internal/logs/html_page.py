"""Renders a timeline as one self-contained HTML page.

The page loads no other resources: its content security policy forbids every
request. Logged text is embedded as data and never as markup.
"""

import json
from importlib.resources import files

from poplarfold._internal.logs.catalogue import EVENTS
from poplarfold._internal.logs.routes import call_ids, describe_event, endpoints_of
from poplarfold._internal.logs.timeline import Timeline

__all__ = ["EVENTS_MAX", "html_page"]

# Browsers draw and filter this many events without a noticeable delay.
EVENTS_MAX = 100_000
DATA_PLACEHOLDER = "/*DATA*/"


def html_page(timeline: Timeline, call_id: str | None = None) -> str:
    """Return the page. ``call_id`` is the request selected when it opens.

    The page contains the first EVENTS_MAX events and says how many it omits.
    """
    processes = [clock.process for clock in timeline.clocks]
    index = {process: number for number, process in enumerate(processes)}
    start = timeline.events[0].time_s if timeline.events else 0.0
    data = {
        "start": start,
        "call": call_id or "",
        "omitted": max(0, len(timeline.events) - EVENTS_MAX),
        "kinds": {number: [kind.name, kind.alert] for number, kind in EVENTS.items()},
        "processes": [
            {
                "name": f"{clock.process.host} / {clock.process.incarnation}",
                "shift_s": clock.shift_s,
                "error_s": clock.error_s,
            }
            for clock in timeline.clocks
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
            for row, call in zip(
                timeline.events[:EVENTS_MAX], call_ids(timeline), strict=False
            )
        ],
    }
    template = files("poplarfold._internal.logs").joinpath("timeline.html")
    # Escaped so that logged text cannot close the script element.
    encoded = json.dumps(data).replace("<", "\\u003c").replace(">", "\\u003e")
    return template.read_text("utf-8").replace(DATA_PLACEHOLDER, encoded, 1)
