"""Keep a target's log of committed transactions."""

import pathlib
import typing as t

import msgspec

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

Call = tuple[str, dict[str, t.Any]]


class Entry(msgspec.Struct, frozen=True):
    """Hold one committed transaction, or a promotion, which has no statements."""

    term: int
    lsn: int
    at: str
    calls: tuple[Call, ...] = ()

    @property
    def position(self) -> Position:
        """Return the entry's place in the log."""
        return Position(self.term, self.lsn)


class Log:
    """Append entries, find what two logs share, and drop a tail.

    With a path, the entries outlive the process.
    """

    def __init__(self, path: pathlib.Path | None = None):
        self.entries: list[Entry] = []
        self._path = path
        if path is not None and path.exists():
            lines = path.read_bytes().splitlines()
            self.entries = [msgspec.json.decode(line, type=Entry) for line in lines]

    @property
    def last(self) -> Position:
        """Return the position of the last entry."""
        return self.entries[-1].position if self.entries else ORIGIN

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        assert entry.lsn == len(self.entries) + 1
        self.entries.append(entry)
        if self._path is not None:
            with self._path.open("ab") as file:
                file.write(msgspec.json.encode(entry) + b"\n")

    def terms(self) -> list[int]:
        """Return the term of each entry, in order."""
        return [entry.term for entry in self.entries]

    def shared(self, terms: list[int]) -> int:
        """Return how many first entries a log with these terms has in common."""
        lsn = min(len(terms), len(self.entries))
        while lsn and self.entries[lsn - 1].term != terms[lsn - 1]:
            lsn -= 1
        return lsn

    def truncate(self, lsn: int) -> None:
        """Drop every entry after a position."""
        del self.entries[lsn:]
        if self._path is not None:
            lines = [msgspec.json.encode(entry) + b"\n" for entry in self.entries]
            self._path.write_bytes(b"".join(lines))
