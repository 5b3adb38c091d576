"""Emulate a PostgreSQL target with asynchronous replication."""

from rosemaryridge_testbed.target._admin import run_target
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._server import TargetOptions

__all__ = ["Knobs", "TargetOptions", "run_target"]
