"""Plot the results of one experiment."""

import pathlib
import typing as t

from rosemaryridge_testbed.report._results import Row
from rosemaryridge_testbed.report._results import label
from rosemaryridge_testbed.report._results import numbers

_WIDTH_IN = 9.0
_BAR_IN = 0.28
_MARGIN_IN = 0.9


def plot(name: str, rows: t.Sequence[Row], path: pathlib.Path) -> None:
    """Write a PNG file with one bar chart for each numeric column."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = list(numbers(rows[0])) if rows else []
    if not columns:
        return
    height = len(columns) * (len(rows) * _BAR_IN + _MARGIN_IN)
    figure, axes = pyplot.subplots(
        len(columns), 1, figsize=(_WIDTH_IN, height), squeeze=False
    )
    labels = [f"{index + 1}. {label(row)}" for index, row in enumerate(rows)]
    for axis, column in zip(axes[:, 0], columns, strict=True):
        values = [numbers(row).get(column, 0.0) for row in rows]
        bars = axis.barh(labels, values)
        axis.bar_label(bars, fmt="%.4g", padding=2)
        axis.invert_yaxis()
        axis.margins(x=0.15)
        axis.set_title(f"{name}: {column}", loc="left")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
