"""Measure processor time and memory at several sizes and fit a line."""

import asyncio
import dataclasses
import gc
import statistics
import time
import tracemalloc
import typing as t

from rosemaryridge_testbed.experiments._registry import Row


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Hold the costs at three or more sizes, to fit the cost of each further item."""

    name: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]

    def row(self) -> Row:
        """Return the least-squares fit and its coefficient of determination."""
        line = statistics.linear_regression(self.sizes, self.costs)
        flat = len(set(self.costs)) < 2
        r = 1.0 if flat else statistics.correlation(self.sizes, self.costs)
        return {
            "per": self.name,
            "unit": self.unit,
            "slope": float(f"{line.slope:.4g}"),
            "at zero": float(f"{line.intercept:.4g}"),
            "r2": round(r * r, 3),
            "sizes": "/".join(f"{size:g}" for size in self.sizes),
            "costs": "/".join(f"{cost:.4g}" for cost in self.costs),
        }


def memory_bytes(build: t.Callable[[], object]) -> int:
    """Return the bytes allocated for the object that `build` returns."""
    gc.collect()
    tracemalloc.start()
    obj = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del obj
    return size


def cpu_s(function: t.Callable[[], object]) -> float:
    """Return the processor time of a call in seconds, the minimum of three runs."""
    times = []
    for _ in range(3):
        start = time.process_time()
        function()
        times.append(time.process_time() - start)
    return min(times)


async def cpu_rate(duration_s: float) -> float:
    """Return this process's processor time a second over `duration_s` seconds."""
    start, wall_start = time.process_time(), time.monotonic()
    await asyncio.sleep(duration_s)
    return (time.process_time() - start) / (time.monotonic() - wall_start)
