"""Merges the events of many processes into one time line.

Within one process the monotonic clock orders the events. Between two
processes wall clocks prove nothing: their offset is estimated from messages
whose sending and receipt were both logged, as NTP does (RFC 5905, section 8):
with messages in both directions the offset is known to half the shortest
round trip. Where there are none, the wall clocks are used and the process is
marked as approximate.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from statistics import median
from typing import NamedTuple

from poplarfold._internal.logs.catalogue import EVENTS, LinkEnd
from poplarfold._internal.logs.reader import LogEvent, ProcessKey

__all__ = ["ProcessClock", "TimedEvent", "TimeLine", "merge"]


class ProcessClock(NamedTuple):
    """How the time of one process was placed on the common axis.

    ``shift_s`` was added to its wall clock. ``error_s`` bounds the error
    against ``aligned_to``, or is None if only wall clocks were compared.
    """

    process: ProcessKey
    shift_s: float
    error_s: float | None
    aligned_to: ProcessKey | None
    messages: int


class TimedEvent(NamedTuple):
    """An event and its time on the common axis, in seconds since the epoch."""

    time_s: float
    event: LogEvent


class TimeLine(NamedTuple):
    """All events in order, and how each process was aligned."""

    events: list[TimedEvent]
    clocks: list[ProcessClock]


class Delays(NamedTuple):
    """The least apparent delay of messages from one process to another."""

    least_s: float
    messages: int


def merge(events: Iterable[LogEvent]) -> TimeLine:
    """Place all events on one axis.

    Events of one process keep the order of its monotonic clock, whatever its
    wall clock did meanwhile.
    """
    by_process: dict[ProcessKey, list[LogEvent]] = defaultdict(list)
    for event in events:
        by_process[event.process].append(event)
    base = {
        # The median ignores steps of the wall clock.
        process: median(event.wall - event.monotonic for event in rows)
        for process, rows in by_process.items()
    }
    clocks = align(base, message_delays(by_process, base))
    timed = [
        TimedEvent(
            event.monotonic + base[process] + clocks[process].shift_s,
            event,
        )
        for process, rows in by_process.items()
        for event in rows
    ]
    timed.sort(key=lambda row: (row.time_s, row.event.process, row.event.order))
    return TimeLine(timed, [clocks[process] for process in sorted(clocks)])


def message_delays(
    by_process: Mapping[ProcessKey, list[LogEvent]], base: Mapping[ProcessKey, float]
) -> dict[tuple[ProcessKey, ProcessKey], Delays]:
    """Return the least apparent delay for each ordered pair of processes."""
    sends: dict[tuple[object, ...], LogEvent] = {}
    receipts: list[tuple[tuple[object, ...], LogEvent]] = []
    for rows in by_process.values():
        for event in rows:
            kind = EVENTS.get(event.number)
            for end in kind.link_ends if kind else ():
                key = link_key(end, event)
                if key is None:
                    continue
                if end.is_send:
                    # The earliest sending bounds the receipt of any repeat.
                    known = sends.get(key)
                    if known is None or event.monotonic < known.monotonic:
                        sends[key] = event
                else:
                    receipts.append((key, event))
    delays: dict[tuple[ProcessKey, ProcessKey], Delays] = {}
    for key, receipt in receipts:
        send = sends.get(key)
        if send is None or send.process == receipt.process:
            continue
        delay = (receipt.monotonic + base[receipt.process]) - (
            send.monotonic + base[send.process]
        )
        pair = (send.process, receipt.process)
        known_delay = delays.get(pair, Delays(delay, 0))
        delays[pair] = Delays(min(known_delay.least_s, delay), known_delay.messages + 1)
    return delays


def link_key(end: LinkEnd, event: LogEvent) -> tuple[object, ...] | None:
    """Return what both ends of one message have in common."""
    values = [
        event.call_id if key == "call_id" else event.fields.get(key) for key in end.keys
    ]
    if not all(isinstance(value, str | int) for value in values):
        return None
    return (end.link, *values)


def align(
    base: Mapping[ProcessKey, float],
    delays: Mapping[tuple[ProcessKey, ProcessKey], Delays],
) -> dict[ProcessKey, ProcessClock]:
    """Shift each process that exchanged messages with another one.

    The process with the most partners is the reference of its group.
    """
    partners: dict[ProcessKey, list[ProcessKey]] = {process: [] for process in base}
    for sender, receiver in delays:
        if receiver not in partners[sender]:
            partners[sender].append(receiver)
            partners[receiver].append(sender)
    clocks: dict[ProcessKey, ProcessClock] = {}
    order = sorted(base, key=lambda process: (-len(partners[process]), process))
    for root in order:
        if root in clocks:
            continue
        clocks[root] = ProcessClock(root, 0.0, None, None, 0)
        queue = deque([root])
        while queue:
            known = queue.popleft()
            for process in sorted(set(partners[known])):
                if process in clocks:
                    continue
                clocks[process] = align_pair(
                    clocks[known],
                    process,
                    delays.get((known, process)),
                    delays.get((process, known)),
                )
                queue.append(process)
    return clocks


def align_pair(
    known: ProcessClock,
    process: ProcessKey,
    there: Delays | None,
    back: Delays | None,
) -> ProcessClock:
    """Place a process relative to one that is placed already."""
    messages = sum(delays.messages for delays in (there, back) if delays)
    error: float | None = None
    shift = 0.0
    if there and back:
        shift = (back.least_s - there.least_s) / 2
        round_trip = there.least_s + back.least_s
        error = max(0.0, round_trip) / 2 + (known.error_s or 0.0)
    elif there and there.least_s < 0:
        # Only one direction: no message is received before it is sent.
        shift = -there.least_s
    elif back and back.least_s < 0:
        shift = back.least_s
    return ProcessClock(process, known.shift_s + shift, error, known.process, messages)
