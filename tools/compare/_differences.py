"""Summarize differences between a variant and the former way."""

import dataclasses
import statistics
import typing as t

from tools.compare._bench import Cell

# Figures by variant and cell.
Results = t.Mapping[tuple[str, Cell], t.Mapping[str, float]]
# Less is better for these.
_COSTS = ("refused", "failed", "price: ", "openings", "store calls", "broken rules")
# Differences below this are rounding.
_EQUAL = 5e-5


@dataclasses.dataclass(frozen=True)
class Difference:
    """Describe how a figure of a variant differs from the former on the same plays.

    `better` and `worse` count the plays.
    """

    site: str
    day: str
    variant: str
    figure: str
    former: float
    median: float
    least: float
    most: float
    better: int
    worse: int
    plays: int

    @property
    def is_told_apart(self) -> bool:
        """Return whether all plays, three at least, differ in one direction."""
        return self.plays >= 3 and self.plays in (self.better, self.worse)


def is_cost(figure: str) -> bool:
    """Return whether less of a figure is better."""
    return figure.startswith(_COSTS) or figure == "processor s"


def compare(results: Results, former: str, variant: str) -> list[Difference]:
    """Return the differences by site and day, then over all plays."""
    cells = [cell for name, cell in results if name == variant]
    pairs = [cell for cell in cells if (former, cell) in results]
    groups: dict[tuple[str, str], list[Cell]] = {}
    for cell in pairs:
        groups.setdefault((cell.site.stem, cell.day_name), []).append(cell)
    if len(groups) > 1:
        groups["all", "all"] = pairs
    return [
        _difference(results, former, variant, place, group, figure)
        for place, group in groups.items()
        for figure in _figures(results, former, variant, group)
    ]


def _figures(
    results: Results, former: str, variant: str, cells: list[Cell]
) -> list[str]:
    names: dict[str, None] = {}
    for cell in cells:
        names.update(dict.fromkeys(results[former, cell]))
        names.update(dict.fromkeys(results[variant, cell]))
    return list(names)


def _difference(
    results: Results,
    former: str,
    variant: str,
    place: tuple[str, str],
    cells: list[Cell],
    figure: str,
) -> Difference:
    before = [results[former, cell].get(figure, 0.0) for cell in cells]
    after = [results[variant, cell].get(figure, 0.0) for cell in cells]
    changes = [new - old for old, new in zip(before, after, strict=True)]
    up = sum(1 for change in changes if change > _EQUAL)
    down = sum(1 for change in changes if change < -_EQUAL)
    better, worse = (down, up) if is_cost(figure) else (up, down)
    return Difference(
        *place,
        variant,
        figure,
        statistics.median(before),
        statistics.median(changes),
        min(changes),
        max(changes),
        better,
        worse,
        len(changes),
    )
