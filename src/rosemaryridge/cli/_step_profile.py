"""Show from log lines in which steps slow and failed statements spent their time."""

import collections
import statistics
import typing as t

from rosemaryridge.cli._log_view import parse_lines

HEADER = ("at", "step", "statements", "total_s", "share", "median_ms", "p95_ms")
# Who logs the steps: the proxy of the caller, or the owner of the target.
_PLACES = {"statement": "proxy", "owner_slow": "owner"}
_REST = "(other)"


def step_profile(lines: t.Iterable[str]) -> list[tuple[t.Any, ...]]:
    """Return the time of each step, most first; columns as in HEADER.

    `share` is that of the statements' whole time. What lies between the steps of a
    statement is one more; concurrent attempts overlap, so that shares may exceed 1.
    """
    times: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    totals: collections.Counter[str] = collections.Counter()
    for line in parse_lines(lines):
        place = _PLACES.get(line["event"])
        steps = line.get("steps_ms")
        if place is None or not isinstance(steps, dict):
            continue
        steps = dict(steps)
        took_ms = float(line.get("took_ms", sum(steps.values())))
        rest_ms = took_ms - sum(steps.values())
        if rest_ms >= 1.0:
            steps[_REST] = rest_ms
        totals[place] += took_ms
        for step, step_ms in steps.items():
            times[place, step].append(float(step_ms))
    ordered = sorted(times.items(), key=lambda item: -sum(item[1]))
    return [
        (
            place,
            step,
            len(found),
            round(sum(found) / 1000.0, 2),
            round(sum(found) / totals[place], 3) if totals[place] else 0.0,
            round(statistics.median(found)),
            round(sorted(found)[int(0.95 * (len(found) - 1))]),
        )
        for (place, step), found in ordered
    ]
