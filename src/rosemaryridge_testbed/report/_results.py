"""Store and compare the results of runs of experiments."""

import pathlib
import typing as t

import msgspec

Row = dict[str, t.Any]


class Results(msgspec.Struct, frozen=True):
    """Store the rows of each experiment with the version and seed of the run."""

    version: str
    seed: int
    experiments: dict[str, list[Row]]


def write_results(results: Results, path: pathlib.Path) -> None:
    """Write results as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def read_results(path: pathlib.Path) -> Results:
    """Read results; raise msgspec.ValidationError if the file has another shape."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def label(row: Row) -> str:
    """Return the label of a row: its texts, or its first two values without any."""
    texts = [value for value in row.values() if isinstance(value, str)]
    return ", ".join(texts) or ", ".join(map(str, list(row.values())[:2]))


def numbers(row: Row) -> dict[str, float]:
    """Return the numeric values of a row by column."""
    return {
        name: float(value)
        for name, value in row.items()
        if isinstance(value, int | float)
    }


def compare(before: t.Sequence[Row], after: t.Sequence[Row]) -> list[Row]:
    """Return the values of rows with the same label in both runs, with ratios."""
    earlier_values = {label(row): numbers(row) for row in before}
    pairs = []
    for row in after:
        name = label(row)
        for column, value in numbers(row).items():
            old = earlier_values.get(name, {}).get(column)
            if old is None:
                continue
            ratio = round(value / old, 3) if old else None
            pairs.append(
                {
                    "row": name,
                    "column": column,
                    "before": old,
                    "after": value,
                    "ratio": ratio,
                }
            )
    return pairs
