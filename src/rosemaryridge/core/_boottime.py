"""Read a clock that advances while the machine is suspended."""

import time


def boottime() -> float:
    """Return seconds since the machine's start, suspended time included.

    The ages of positions and of confirmations of the primary are measured on this
    clock. The monotonic clock stops during suspension, so a resumed proxy would treat
    an outdated position as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
