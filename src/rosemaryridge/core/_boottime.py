"""Read a clock that advances while the machine is suspended."""

import time


def boottime() -> float:
    """Return seconds since the machine's start, suspended time included.

    The age of evidence is measured on this clock. The monotonic clock stops during
    suspension, so a resumed proxy would treat outdated evidence as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
