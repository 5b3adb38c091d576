"""Keep, compare and plot results of experiments."""

from rosemaryridge_testbed.report._plot import plot
from rosemaryridge_testbed.report._results import Results
from rosemaryridge_testbed.report._results import compare
from rosemaryridge_testbed.report._results import read_results
from rosemaryridge_testbed.report._results import write_results
from rosemaryridge_testbed.report._table import table

__all__ = ["Results", "compare", "plot", "read_results", "table", "write_results"]
