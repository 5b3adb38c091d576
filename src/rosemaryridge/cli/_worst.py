"""Show from log lines in which seconds statements failed, and why."""

import collections
import dataclasses
import re
import statistics
import typing as t

from rosemaryridge.cli._log_view import Line
from rosemaryridge.cli._log_view import parse_lines

HEADER = (
    "from_s",
    "refused",
    "late",
    "unknown",
    "held",
    "median_ms",
    "service",
    "databases",
    "reasons",
)
_REFUSED = ("busy", "lagging", "read only", "aborted")
_UNKNOWN = ("unknown outcome", "timeout")
# A refusal after this time was held: the caller could have repeated it elsewhere.
_HELD_MS = 400
_MOST_REASONS = 3
# Ids, numbers and what follows a reason differ from line to line.
_VARIABLE = re.compile(r"\b\w+-[0-9a-f]{6,}\b|\d[\d./]*|; retry after.*")


@dataclasses.dataclass(slots=True)
class _Period:
    took_ms: list[int] = dataclasses.field(default_factory=list)
    held: int = 0
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    services: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    databases: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, line: Line) -> None:
        outcome, took_ms = line.get("outcome", ""), int(line.get("took_ms", 0))
        kind = _kind_of(outcome)
        self.outcomes[kind] += 1
        self.took_ms.append(took_ms)
        self.held += kind == "refused" and took_ms >= _HELD_MS
        self.services[str(line.get("service"))] += 1
        self.databases[str(line.get("database"))] += 1
        if kind != "late":
            self.reasons[normalize_reason(line.get("detail", ""))] += 1

    def row(self, from_s: float) -> tuple[t.Any, ...]:
        return (
            round(from_s, 1),
            self.outcomes["refused"],
            self.outcomes["late"],
            self.outcomes["unknown"],
            self.held,
            int(statistics.median(self.took_ms)),
            self.services.most_common(1)[0][0],
            _shares(self.databases),
            _shares(self.reasons),
        )


def worst_periods(
    lines: t.Iterable[str], period_s: float, most: int
) -> list[tuple[t.Any, ...]]:
    """Return the periods with most statements that failed or were late, worst first.

    Columns as in HEADER; times are seconds since the first line.
    """
    periods: dict[int, _Period] = collections.defaultdict(_Period)
    started_at: float | None = None
    for line in parse_lines(lines):
        started_at = line["at"] if started_at is None else min(started_at, line["at"])
        if line["event"] == "statement":
            periods[int(line["at"] // period_s)].add(line)
    ordered = sorted(periods.items(), key=lambda item: -len(item[1].took_ms))
    return [
        period.row(number * period_s - (started_at or 0.0))
        for number, period in ordered[:most]
    ]


def normalize_reason(detail: str) -> str:
    """Return a reason without the ids and numbers of one statement."""
    return _VARIABLE.sub("…", detail).removesuffix("…").strip()[:60] or "none given"


def _kind_of(outcome: str) -> str:
    if outcome in _REFUSED:
        return "refused"
    if outcome in _UNKNOWN:
        return "unknown"
    return "late" if outcome == "slow" else "other"


def _shares(counts: collections.Counter[str]) -> str:
    return ", ".join(f"{name} {n}" for name, n in counts.most_common(_MOST_REASONS))
