"""The order of a producer's appends to a partition, as the store keeps it."""

from typing import NamedTuple

ANSWERS_KEPT = 5


class Turn(NamedTuple):
    """What the store does with an append.

    It is rejected for a reason (``why``), or answered as the equal append before, whose
    ``answer`` is not None, or carried out.
    """

    why: str = ""
    answer: int | None = None


class Producers:
    """The epochs and sequence numbers that each partition has seen."""

    def __init__(self) -> None:
        # By partition and producer: the epoch, and the offsets by sequence number.
        self.rows: dict[tuple[str, str], tuple[int, dict[int, int]]] = {}

    def check(self, log: str, producer: str, epoch: int, seq: int) -> Turn:
        known, answers = self.rows.get((log, producer), (0, {}))
        if epoch < known:
            return Turn(why="fenced")
        if epoch > known:
            return Turn()
        if seq in list(answers)[-ANSWERS_KEPT:]:
            return Turn(answer=answers[seq])
        return Turn() if seq == max(answers, default=-1) + 1 else Turn(why="seq")

    def note(self, log: str, producer: str, epoch: int, seq: int, offset: int) -> None:
        known, answers = self.rows.get((log, producer), (0, {}))
        answers = answers if epoch == known else {}
        self.rows[log, producer] = (epoch, {**answers, seq: offset})
