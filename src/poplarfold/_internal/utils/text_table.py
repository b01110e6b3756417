"""Plain-text tables for terminals."""

from collections.abc import Iterable, Iterator, Sequence

__all__ = ["text_table"]


def text_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns.

    >>> list(text_table(("a", "b"), [("long", "x")]))
    ['a     b', 'long  x']
    """
    table = [list(header), *map(list, rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()
