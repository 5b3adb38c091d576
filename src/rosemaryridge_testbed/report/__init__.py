"""Store, compare and plot results of experiments."""

from rosemaryridge_testbed.report._plot import plot
from rosemaryridge_testbed.report._results import Results
from rosemaryridge_testbed.report._results import compare
from rosemaryridge_testbed.report._results import read_results
from rosemaryridge_testbed.report._results import write_results
from rosemaryridge_testbed.report._table import format_table

__all__ = [
    "Results",
    "compare",
    "format_table",
    "plot",
    "read_results",
    "write_results",
]
