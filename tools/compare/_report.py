"""Write results as a table, as JSON and as a plot."""

import dataclasses
import json
import pathlib
import typing as t

from tools.compare._differences import Difference

# Figures of a table that is not asked for all.
_MAIN = ("worth", "served", "refused", "openings", "store calls", "broken rules")


def table(differences: t.Iterable[Difference], every: bool = False) -> str:
    """Return a Markdown table; without `every`, of the main figures that differ."""
    lines = [
        "| site, day | variant | figure | former | median | least | most"
        " | better, worse of |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for item in differences:
        if not every and (item.figure not in _MAIN or not (item.better + item.worse)):
            continue
        values = (item.former, item.median, item.least, item.most)
        digits = 0 if item.former >= 20.0 else 4
        shown = [f"{values[0]:.{digits}f}"]
        shown += [f"{value:+.{digits}f}" for value in values[1:]]
        lines.append(
            f"| {item.site}, {item.day} | {item.variant} | {item.figure} | "
            + " | ".join(shown)
            + f" | {item.better}, {item.worse} of {item.plays} |"
        )
    return "\n".join(lines)


def write_json(path: pathlib.Path, differences: t.Iterable[Difference]) -> None:
    """Write all differences."""
    rows = [dataclasses.asdict(item) for item in differences]
    path.write_text(json.dumps(rows, indent=1) + "\n")


def plot(path: pathlib.Path, differences: t.Iterable[Difference]) -> None:
    """Draw the change of worth by variant, site and day, from least to most."""
    from matplotlib import pyplot as plt

    rows = [item for item in differences if item.figure == "worth"]
    figure, axes = plt.subplots(figsize=(8.0, 1.0 + 0.3 * len(rows)))
    for index, item in enumerate(rows):
        axes.plot([item.least, item.most], [index, index], color="tab:gray")
        color = "tab:blue" if item.is_told_apart else "tab:gray"
        axes.plot(item.median, index, "o", color=color)
    labels = [f"{item.variant}: {item.site}, {item.day}" for item in rows]
    axes.set_yticks(range(len(rows)), labels)
    axes.axvline(0.0, color="black", linewidth=0.5)
    axes.set_xlabel("change of worth on the same day and seed: least, median, most")
    axes.invert_yaxis()
    figure.savefig(path, bbox_inches="tight")
    plt.close(figure)
