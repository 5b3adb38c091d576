"""Play days on the bench through its command line."""

import dataclasses
import hashlib
import json
import pathlib
import shutil
import subprocess
import typing as t

# Prices that are shown by the quantity which they are for.
QUANTITIES = {
    "new connections to servers": "openings",
    "cloud calls": "store calls",
    "processor seconds": "processor s",
}


@dataclasses.dataclass(frozen=True)
class Cell:
    """Name one play: the day of a site, its seed, and how it is played."""

    site: pathlib.Path
    day: str
    seed: int
    vary: bool = False
    small: bool = False
    charge_cpu: bool = False

    @property
    def day_name(self) -> str:
        """Return the day's name, or that of its file."""
        return pathlib.Path(self.day).stem

    def key(self) -> str:
        """Return a text that is the same for plays of the same day."""
        day = pathlib.Path(self.day)
        content = day.read_bytes() if day.is_file() else b""
        parts = (self.site.read_bytes(), content, self.day_name.encode())
        digest = hashlib.sha256(b"\0".join(parts)).hexdigest()[:12]
        flags = "".join(
            str(int(flag)) for flag in (self.vary, self.small, self.charge_cpu)
        )
        return f"{digest}-{self.seed}-{flags}"


class BenchFailed(Exception):
    """Raised when a play ends without a report."""


def play(
    bench: pathlib.Path, directory: pathlib.Path, cell: Cell, why: str
) -> dict[str, t.Any]:
    """Play a day in a checkout and return the bench's report; raise BenchFailed."""
    report = directory / "target" / "report.json"
    report.unlink(missing_ok=True)
    command = [str(bench), "run", str(cell.site), cell.day]
    command += ["--seed", str(cell.seed), "--why", why, "--report", str(report)]
    if cell.vary:
        command.append("--vary")
    if cell.small:
        command.append("--small")
    if not cell.charge_cpu:
        command.append("--no-cpu")
    run = subprocess.run(
        command, cwd=directory, capture_output=True, text=True, check=False
    )
    if not report.exists():
        raise BenchFailed((run.stdout + run.stderr)[-2000:])
    return json.loads(report.read_text())


def keep_journal(directory: pathlib.Path, journal: pathlib.Path) -> None:
    """Copy the journal entries of a checkout that are not kept yet."""
    for path in (directory / "journal").rglob("*"):
        kept = journal / path.relative_to(directory / "journal")
        if path.is_file() and not kept.exists():
            kept.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(path, kept)


def figures(report: dict[str, t.Any]) -> dict[str, float]:
    """Return the figures of a report that are compared.

    Worth, parts and prices are in the bench's units of worth; a price counts what is
    taken off. A day that breaks a rule has them all the same.
    """
    found = {"worth": report["G"]}
    for name in ("served", "refused", "failed"):
        found[name] = report[name]
    for name, _, value in report["parts"]:
        found[f"part: {name}"] = value
    for name, quantity, price in report["prices"]:
        if price > 0.0:
            found[f"price: {name}"] = price
        if name in QUANTITIES:
            found[QUANTITIES[name]] = quantity
    found["broken rules"] = float(sum(map(_count, report["breaks"].values())))
    return found


def _count(breaks: t.Any) -> int:
    return breaks if isinstance(breaks, int) else len(breaks)
