"""Measure processor time and memory at several sizes and fit slopes."""

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
    """Say what one more of something costs, in a unit, from three sizes or more."""

    name: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]

    def row(self) -> Row:
        """Return the fit by least squares and how well it fits."""
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
    """Return the bytes that an object which `build` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def cpu_s(act: t.Callable[[], object]) -> float:
    """Return the processor time of an act in seconds, the least of three runs."""
    times = []
    for _ in range(3):
        start = time.process_time()
        act()
        times.append(time.process_time() - start)
    return min(times)


async def cpu_while(run_s: float) -> float:
    """Return the processor time a second that the process uses for a while."""
    start, began = time.process_time(), time.monotonic()
    await asyncio.sleep(run_s)
    return (time.process_time() - start) / (time.monotonic() - began)
