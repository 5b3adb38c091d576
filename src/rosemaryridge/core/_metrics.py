"""Collect metrics and render them in Prometheus's text format.

Deployed processes use this module instead of `rosemaryridge.telemetry.Metrics`. Memory
is billed, and the library behind that class adds 1.1 MB to each process.
"""

import bisect
import typing as t

_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
_PREFIX = "rosemaryridge_entry_"

Labels = tuple[tuple[str, str], ...]
GaugeReader = t.Callable[[], t.Iterable[tuple[str, Labels, float]]]


class MetricsRegistry:
    """Hold counters and latency histograms by name and labels, and read gauges."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], list[float]] = {}
        self._gauges: list[GaugeReader] = []

    def inc(self, name: str, **labels: str) -> None:
        """Increment a counter; its name ends in `_total`."""
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + 1

    def observe(self, name: str, value_s: float, **labels: str) -> None:
        """Add an observation in seconds to a histogram."""
        key = (name, tuple(labels.items()))
        cells = self._histograms.get(key)
        if cells is None:
            # A count per bucket, the count above the last bound, then the sum.
            cells = self._histograms[key] = [0.0] * (len(_BUCKETS_S) + 2)
        cells[bisect.bisect_left(_BUCKETS_S, value_s)] += 1
        cells[-1] += value_s

    def add_gauges(self, read_gauges: GaugeReader) -> None:
        """Register a callable that returns the gauges at each rendering."""
        self._gauges.append(read_gauges)

    def value(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        return self._counters.get((name, tuple(labels.items())), 0)

    def render(self) -> bytes:
        """Return all metrics in Prometheus's text format."""
        lines = [_line(*key, value) for key, value in sorted(self._counters.items())]
        for read_gauges in self._gauges:
            lines += [_line(*gauge) for gauge in read_gauges()]
        for (name, labels), cells in sorted(self._histograms.items()):
            lines += _histogram(name, labels, cells)
        return ("\n".join(lines) + "\n").encode()


def _histogram(name: str, labels: Labels, cells: list[float]) -> list[str]:
    lines, total = [], 0.0
    for bound, count in zip((*map(str, _BUCKETS_S), "+Inf"), cells, strict=False):
        total += count
        lines.append(_line(f"{name}_bucket", (*labels, ("le", bound)), total))
    lines.append(_line(f"{name}_count", labels, total))
    lines.append(_line(f"{name}_sum", labels, cells[-1]))
    return lines


def _line(name: str, labels: Labels, value: float) -> str:
    inner = ",".join(f'{key}="{_escape(text)}"' for key, text in labels)
    return (
        f"{_PREFIX}{name}{{{inner}}} {value:g}"
        if inner
        else f"{_PREFIX}{name} {value:g}"
    )


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
