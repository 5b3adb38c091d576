"""Run a platform, targets, faulty links and proxies as local processes."""

from rosemaryridge_testbed.fleet._fleet import Fleet
from rosemaryridge_testbed.fleet._options import BUSINESS
from rosemaryridge_testbed.fleet._options import PASSWORD
from rosemaryridge_testbed.fleet._options import SERVICE
from rosemaryridge_testbed.fleet._options import USER
from rosemaryridge_testbed.fleet._options import FleetOptions
from rosemaryridge_testbed.fleet._options import Latencies
from rosemaryridge_testbed.fleet._ports import free_ports
from rosemaryridge_testbed.fleet._processes import Processes
from rosemaryridge_testbed.fleet._wait import eventually

__all__ = [
    "BUSINESS",
    "PASSWORD",
    "SERVICE",
    "USER",
    "Fleet",
    "FleetOptions",
    "Latencies",
    "Processes",
    "eventually",
    "free_ports",
]
