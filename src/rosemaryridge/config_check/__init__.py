"""Check a configuration of the platform before it is sent."""

from rosemaryridge.config_check._changes import compare
from rosemaryridge.config_check._findings import Assumptions
from rosemaryridge.config_check._findings import Finding
from rosemaryridge.config_check._findings import Severity
from rosemaryridge.config_check._rules import check

__all__ = ["Assumptions", "Finding", "Severity", "check", "compare"]
