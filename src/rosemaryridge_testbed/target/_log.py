"""Store a target's log of committed transactions."""

import pathlib
import typing as t

import msgspec

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position

LoggedStatement = tuple[str, dict[str, t.Any]]


class Entry(msgspec.Struct, frozen=True):
    """Record a committed transaction, or a promotion, which has no statements."""

    term: int
    lsn: int
    at: str
    calls: tuple[LoggedStatement, ...] = ()

    @property
    def position(self) -> Position:
        """Return the entry's position in the log."""
        return Position(self.term, self.lsn)


class Log:
    """Append entries, find the common prefix of two logs, and truncate.

    With a path, the entries are stored on disk and loaded after a restart.
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

    def common_length(self, terms: list[int]) -> int:
        """Return the length of the common prefix with a log that has these terms."""
        lsn = min(len(terms), len(self.entries))
        while lsn and self.entries[lsn - 1].term != terms[lsn - 1]:
            lsn -= 1
        return lsn

    def truncate(self, lsn: int) -> None:
        """Drop every entry after `lsn`."""
        del self.entries[lsn:]
        if self._path is not None:
            lines = [msgspec.json.encode(entry) + b"\n" for entry in self.entries]
            self._path.write_bytes(b"".join(lines))
