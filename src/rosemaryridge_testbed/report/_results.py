"""Keep the results of one run of experiments."""

import pathlib
import typing as t

import msgspec

Row = dict[str, t.Any]


class Results(msgspec.Struct, frozen=True):
    """Hold each experiment's rows, and the version and seed that gave them."""

    version: str
    seed: int
    experiments: dict[str, list[Row]]


def write_results(results: Results, path: pathlib.Path) -> None:
    """Write results as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def read_results(path: pathlib.Path) -> Results:
    """Read results; raise msgspec.ValidationError for anything else."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def label(row: Row) -> str:
    """Return what names a row: its texts, and its first value without any."""
    texts = [value for value in row.values() if isinstance(value, str)]
    return ", ".join(texts) or ", ".join(map(str, list(row.values())[:2]))


def numbers(row: Row) -> dict[str, float]:
    """Return the figures of a row by column."""
    return {
        name: float(value)
        for name, value in row.items()
        if isinstance(value, int | float)
    }


def compare(before: t.Sequence[Row], after: t.Sequence[Row]) -> list[Row]:
    """Return the figures of rows that both runs have, side by side, with ratios."""
    earlier = {label(row): numbers(row) for row in before}
    found = []
    for row in after:
        name = label(row)
        for column, value in numbers(row).items():
            old = earlier.get(name, {}).get(column)
            if old is None:
                continue
            ratio = round(value / old, 3) if old else None
            found.append(
                {
                    "row": name,
                    "column": column,
                    "before": old,
                    "after": value,
                    "ratio": ratio,
                }
            )
    return found
