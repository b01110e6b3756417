"""Counts the units that accounts use, within a sliding window and in all."""

import heapq
import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple
from zlib import crc32

__all__ = ["SLOT_S", "UsageCounter", "UsageRow", "account_key"]

# Units are kept by slots of this length. A slot counts until all of it has left the
# window, so that the count is never too low.
SLOT_S = 0.25
# What was asked for within this time tells the current demand.
DEMAND_S = 0.75


def account_key(name: str) -> int:
    """Return the number that stands for an account in messages.

    Two accounts with the same number would be counted together, which limits them too
    early but never too late.
    """
    return crc32(name.encode())


class UsageRow(NamedTuple):
    """The units of one account that were admitted and refused since the last report."""

    key: int
    admitted: int
    refused: int


class AccountUse:
    """The use of one account: by slot, within the window and in all."""

    def __init__(self) -> None:
        # Rows of slot number, admitted units, and units that were asked for.
        self.slots: deque[list[int]] = deque()
        self.in_window = 0
        # The units that were asked for in the newest slot and in the one before.
        self.asked = 0
        self.asked_before = 0
        self.admitted = 0
        self.refused = 0


class UsageCounter:
    """The use of many accounts. Times are seconds of the runtime's clock."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.uses: dict[int, AccountUse] = {}

    def add(self, row: UsageRow, now: float, is_recent: bool = True) -> None:
        """Count units; negative ones return units that were counted before.

        Units of any time within the window are no demand of now. Units are returned
        from the oldest slots first, and no more than these have, so that the units of
        other calls count until they leave the window.
        """
        self._add(row, now, is_recent, -math.inf)

    def give_back(self, key: int, units: int, counted_at: float, now: float) -> None:
        """Return units that were counted at a time, if they are in the window still."""
        first = math.floor(counted_at / SLOT_S)
        if (first + 1) * SLOT_S > now - self.window_s:
            self._add(UsageRow(key, -units, 0), now, True, first)

    def _add(self, row: UsageRow, now: float, is_recent: bool, first: float) -> None:
        """Count units; negative ones are returned from the slots since ``first``."""
        use = self.uses.setdefault(row.key, AccountUse())
        self._expire(use, now)
        number = math.floor(now / SLOT_S)
        if not use.slots or use.slots[-1][0] < number:
            use.slots.append([number, 0, 0])
            use.asked, use.asked_before = 0, use.asked
        admitted = row.admitted
        if admitted < 0:
            admitted = -take_units(use, -admitted, first)
        else:
            use.slots[-1][1] += admitted
        if is_recent:
            use.slots[-1][2] += admitted + row.refused
            use.asked = use.slots[-1][2]
        use.in_window += admitted
        use.admitted += admitted
        use.refused += row.refused

    def window_sum(self, key: int, now: float) -> int:
        """Return the units of an account that were admitted within the window."""
        use = self.uses.get(key)
        if use is None:
            return 0
        self._expire(use, now)
        return use.in_window

    def asked_sum(self, key: int, now: float) -> int:
        """Return the units of an account that were asked for within the window."""
        use = self.uses.get(key)
        if use is None:
            return 0
        self._expire(use, now)
        return sum(asked for _, _, asked in use.slots)

    def demand_per_s(self, key: int, now: float) -> float:
        """Return the units per second that the account has asked for lately."""
        use = self.uses.get(key)
        if use is None:
            return 0.0
        first = math.floor((now - DEMAND_S) / SLOT_S)
        asked = 0
        for number, _, units in reversed(use.slots):
            if number < first:
                break
            asked += units
        return max(0, asked) / DEMAND_S

    def used_per_s(self, key: int, now: float) -> float:
        """Return the units per second that were lately admitted of the demand."""
        use = self.uses.get(key)
        if use is None:
            return 0.0
        first = math.floor((now - DEMAND_S) / SLOT_S)
        admitted = sum(row[1] for row in use.slots if row[0] >= first)
        return min(max(0, admitted) / DEMAND_S, self.demand_per_s(key, now))

    def release_s(self, key: int, units: float, now: float) -> float:
        """Return the time until that many units of an account have left the window."""
        use = self.uses.get(key)
        if units <= 0 or use is None:
            return 0.0
        for number, admitted, _ in use.slots:
            units -= admitted
            if units <= 0:
                return max(0.0, (number + 1) * SLOT_S + self.window_s - now)
        return self.window_s

    def new_rows(
        self, cursor: dict[int, tuple[int, int]], rows_max: int | None = None
    ) -> list[UsageRow]:
        """Return what was counted since the last call with the same cursor.

        Of more than ``rows_max`` rows, the largest are returned. The others stay due
        and grow until it is their turn.
        """
        for key in cursor.keys() - self.uses.keys():
            del cursor[key]
        rows = []
        for key, use in self.uses.items():
            admitted, refused = cursor.get(key, (0, 0))
            if (use.admitted, use.refused) != (admitted, refused):
                rows.append(
                    UsageRow(key, use.admitted - admitted, use.refused - refused)
                )
        if rows_max is not None:
            rows = heapq.nlargest(
                rows_max, rows, key=lambda row: abs(row.admitted) + row.refused
            )
        for row in rows:
            use = self.uses[row.key]
            cursor[row.key] = (use.admitted, use.refused)
        return rows

    def window_cursor(self, now: float) -> dict[int, tuple[int, int]]:
        """Return a cursor whose first rows are all units within the window."""
        for use in self.uses.values():
            self._expire(use, now)
        return {
            key: (use.admitted - use.in_window, use.refused)
            for key, use in self.uses.items()
        }

    def reset(self) -> None:
        """Forget all use."""
        self.uses.clear()

    def keep(self, keys: Mapping[int, object], now: float) -> None:
        """Forget the unused accounts that are not among those given."""
        for key in self.uses.keys() - keys.keys():
            if self.window_sum(key, now) == 0:
                del self.uses[key]

    def _expire(self, use: AccountUse, now: float) -> None:
        while use.slots and (use.slots[0][0] + 1) * SLOT_S <= now - self.window_s:
            use.in_window -= use.slots.popleft()[1]


def take_units(use: AccountUse, units: int, first: float) -> int:
    """Take admitted units from the slots since ``first``; return how many."""
    left = units
    for slot in use.slots:
        if slot[0] >= first:
            taken = min(left, slot[1])
            slot[1] -= taken
            left -= taken
    return units - left
