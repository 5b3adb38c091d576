"""Explore random schedules of one group and its proxies in virtual time."""

from rosemaryridge_testbed.schedules._explore import OWNED_OPTIONS
from rosemaryridge_testbed.schedules._explore import Result
from rosemaryridge_testbed.schedules._explore import explore
from rosemaryridge_testbed.schedules._proxy import Options
from rosemaryridge_testbed.schedules._step_faults import explore_steps

__all__ = ["OWNED_OPTIONS", "Options", "Result", "explore", "explore_steps"]
