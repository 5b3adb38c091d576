"""Generate load on a fleet and record the history that its callers see."""

from rosemaryridge_testbed.load._caller import Caller
from rosemaryridge_testbed.load._caller import outcome_from_error
from rosemaryridge_testbed.load._load import Load
from rosemaryridge_testbed.load._load import LoadOptions
from rosemaryridge_testbed.load._load import create_table
from rosemaryridge_testbed.load._load import final_rows
from rosemaryridge_testbed.load._recorder import Recorder
from rosemaryridge_testbed.load._trial import Trial
from rosemaryridge_testbed.load._trial import now

__all__ = [
    "Caller",
    "Load",
    "LoadOptions",
    "Recorder",
    "Trial",
    "create_table",
    "final_rows",
    "now",
    "outcome_from_error",
]
