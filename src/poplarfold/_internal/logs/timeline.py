"""Merges the events of many processes into one timeline.

Within one process, the monotonic clock orders the events. The wall clocks of two
processes cannot be compared directly. Their offset is estimated, as in NTP
(RFC 5905, section 8), from messages whose sending and receipt were both logged.
With messages in both directions the error of the offset is at most half the
shortest round trip. Without them, the wall clocks are used and the process is
marked as approximate.
"""

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from statistics import median
from typing import NamedTuple

from poplarfold._internal.logs.catalogue import EVENTS, MessageEnd
from poplarfold._internal.logs.reader import LogEvent, ProcessKey

__all__ = ["ProcessClock", "TimedEvent", "Timeline", "merge"]


class ProcessClock(NamedTuple):
    """How the clock of one process was aligned with the common time axis.

    ``shift_s`` is the correction added to its wall clock. ``error_s`` bounds the
    error relative to ``aligned_to``; it is None without messages in both
    directions.
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


class Timeline(NamedTuple):
    """All events in the order of time, and the alignment of each process."""

    events: list[TimedEvent]
    clocks: list[ProcessClock]


class MinDelay(NamedTuple):
    """The smallest delay of messages from one process to another, by their own clocks.

    It includes the unknown offset between the clocks and may be negative.
    """

    seconds: float
    messages: int


def merge(events: Iterable[LogEvent]) -> Timeline:
    """Merge the events of all processes on one time axis.

    Events of one process stay in the order of its monotonic clock, even if its
    wall clock was changed meanwhile.
    """
    by_process: dict[ProcessKey, list[LogEvent]] = defaultdict(list)
    for event in events:
        by_process[event.process].append(event)
    wall_offsets = {
        # The median is robust against steps of the wall clock.
        process: median(event.wall - event.monotonic for event in rows)
        for process, rows in by_process.items()
    }
    clocks = align(wall_offsets, message_delays(by_process, wall_offsets))
    timed = [
        TimedEvent(
            event.monotonic + wall_offsets[process] + clocks[process].shift_s,
            event,
        )
        for process, rows in by_process.items()
        for event in rows
    ]
    timed.sort(key=lambda row: (row.time_s, row.event.process, row.event.order))
    return Timeline(timed, [clocks[process] for process in sorted(clocks)])


def message_delays(
    by_process: Mapping[ProcessKey, list[LogEvent]],
    wall_offsets: Mapping[ProcessKey, float],
) -> dict[tuple[ProcessKey, ProcessKey], MinDelay]:
    """Return the smallest delay for each ordered pair of processes."""
    sends: dict[tuple[object, ...], LogEvent] = {}
    receipts: list[tuple[tuple[object, ...], LogEvent]] = []
    for rows in by_process.values():
        for event in rows:
            kind = EVENTS.get(event.number)
            for end in kind.message_ends if kind else ():
                key = message_key(end, event)
                if key is None:
                    continue
                if end.is_send:
                    # Keep the first sending of a repeated message, since every copy
                    # arrives after it.
                    known = sends.get(key)
                    if known is None or event.monotonic < known.monotonic:
                        sends[key] = event
                else:
                    receipts.append((key, event))
    delays: dict[tuple[ProcessKey, ProcessKey], MinDelay] = {}
    for key, receipt in receipts:
        send = sends.get(key)
        if send is None or send.process == receipt.process:
            continue
        delay = (receipt.monotonic + wall_offsets[receipt.process]) - (
            send.monotonic + wall_offsets[send.process]
        )
        pair = (send.process, receipt.process)
        known_delay = delays.get(pair, MinDelay(delay, 0))
        delays[pair] = MinDelay(
            min(known_delay.seconds, delay), known_delay.messages + 1
        )
    return delays


def message_key(end: MessageEnd, event: LogEvent) -> tuple[object, ...] | None:
    """Return the key that the send and the receipt of one message share."""
    values = [
        event.call_id if key == "call_id" else event.fields.get(key) for key in end.keys
    ]
    if not all(isinstance(value, str | int) for value in values):
        return None
    return (end.message, *values)


def align(
    wall_offsets: Mapping[ProcessKey, float],
    delays: Mapping[tuple[ProcessKey, ProcessKey], MinDelay],
) -> dict[ProcessKey, ProcessClock]:
    """Align each process with another one that it exchanged messages with.

    The process with the most partners is the reference of its group.
    """
    partners: dict[ProcessKey, list[ProcessKey]] = {
        process: [] for process in wall_offsets
    }
    for sender, receiver in delays:
        if receiver not in partners[sender]:
            partners[sender].append(receiver)
            partners[receiver].append(sender)
    clocks: dict[ProcessKey, ProcessClock] = {}
    order = sorted(wall_offsets, key=lambda process: (-len(partners[process]), process))
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
    forward: MinDelay | None,
    backward: MinDelay | None,
) -> ProcessClock:
    """Align a process with one that is already aligned."""
    messages = sum(delays.messages for delays in (forward, backward) if delays)
    error: float | None = None
    shift = 0.0
    if forward and backward:
        shift = (backward.seconds - forward.seconds) / 2
        round_trip = forward.seconds + backward.seconds
        error = max(0.0, round_trip) / 2 + (known.error_s or 0.0)
    elif forward and forward.seconds < 0:
        # Messages in one direction only: no receipt may precede its send.
        shift = -forward.seconds
    elif backward and backward.seconds < 0:
        shift = backward.seconds
    return ProcessClock(process, known.shift_s + shift, error, known.process, messages)
