"""Tell a time that goes on while the machine is suspended."""

import time


def boottime() -> float:
    """Return seconds since the machine's start, suspended time included.

    The age of evidence is measured on this clock: on the steady clock a proxy that
    wakes from suspension would take old evidence for fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
