"""Format rows as a text table."""

import typing as t

from rosemaryridge_testbed.report._results import Row


def format_table(rows: t.Sequence[Row]) -> str:
    """Return rows with the same columns as aligned lines."""
    if not rows:
        return "(no rows)"
    names = list(rows[0])
    lines = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
