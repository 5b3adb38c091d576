"""Run the real programs under random faults and check their guarantees."""

from rosemaryridge_testbed.soak._faults import FAULTS
from rosemaryridge_testbed.soak._ledger import Ledger
from rosemaryridge_testbed.soak._ledger import Rule
from rosemaryridge_testbed.soak._soak import Soak
from rosemaryridge_testbed.soak._soak import SoakOptions

__all__ = ["FAULTS", "Ledger", "Rule", "Soak", "SoakOptions"]
