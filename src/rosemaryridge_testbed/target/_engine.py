"""Run statements on sqlite in place of PostgreSQL's executor."""

import pathlib
import sqlite3
import tempfile
import typing as t

from pg_mimic import PgError

from rosemaryridge_testbed.target._log import Entry

_PATTERNS = (
    ("UNIQUE constraint failed", "23505"),
    ("NOT NULL constraint failed", "23502"),
    ("CHECK constraint failed", "23514"),
    ("FOREIGN KEY constraint failed", "23503"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("has no column named", "42703"),
    ("no such function", "42883"),
    ("already exists", "42P07"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
)


def pg_error(exc: sqlite3.Error) -> PgError:
    """Translate an error of sqlite to one with PostgreSQL's SQLSTATE."""
    text = str(exc)
    state = next((state for part, state in _PATTERNS if part in text), "XX000")
    if state != "23505":
        return PgError(state, text)
    column = text.rpartition(" ")[2]
    table = column.partition(".")[0]
    fields = {"t": table, "n": f"{table}_key", "D": f"Key ({column}) already exists."}
    return PgError(state, "duplicate key value violates unique constraint", **fields)


class Executor:
    """Run statements on one sqlite connection."""

    def __init__(self, path: pathlib.Path):
        self.now_text = ""
        self.conn = sqlite3.connect(path, isolation_level=None, cached_statements=500)
        self.conn.execute("PRAGMA journal_mode=WAL")
        self.conn.execute("PRAGMA synchronous=OFF")
        self.conn.execute("PRAGMA foreign_keys=ON")
        self._register()

    def _register(self) -> None:
        nothing = ("pg_sleep", "pg_advisory_unlock_all")
        for name in nothing:
            self.conn.create_function(name, -1, lambda *_args: "")
        self.conn.create_function("rr_now", 0, lambda: self.now_text)
        self.conn.create_function("current_setting", -1, lambda *_args: "off")
        self.conn.create_function("set_config", 3, lambda _n, value, _local: value)
        self.conn.create_function("version", 0, lambda: "PostgreSQL 16.0 stand-in")

    def run(self, text: str, params: t.Mapping[str, t.Any]) -> sqlite3.Cursor:
        """Run one statement; raise PgError."""
        try:
            return self.conn.execute(text, params)
        except sqlite3.Error as exc:
            raise pg_error(exc) from exc

    def begin(self) -> None:
        """Open a writing transaction."""
        self.run("BEGIN IMMEDIATE", {})

    def commit(self) -> None:
        """Commit the open transaction."""
        self.run("COMMIT", {})

    def rollback(self) -> None:
        """Undo the open transaction, where there is one."""
        if self.conn.in_transaction:
            self.conn.rollback()

    def replay(self, entry: Entry) -> None:
        """Run a log entry's statements in a transaction of their own."""
        self.now_text = entry.at
        self.begin()
        for text, params in entry.calls:
            self.run(text, params).fetchall()
        self.commit()

    def schema(self) -> dict[str, dict[str, str]]:
        """Return the declared type of each column of each table."""
        rows = self.conn.execute(
            "SELECT m.name, c.name, c.type FROM sqlite_master m,"
            " pragma_table_info(m.name) c WHERE m.type = 'table'"
        )
        tables: dict[str, dict[str, str]] = {}
        for table, column, kind in rows:
            tables.setdefault(table.lower(), {})[column.lower()] = kind or "TEXT"
        return tables

    def schema_version(self) -> int:
        """Return a number that changes with the schema."""
        return self.conn.execute("PRAGMA schema_version").fetchone()[0]

    def close(self) -> None:
        """Close the connection."""
        self.conn.close()


class Engine:
    """Own the database file and rebuild it from a log's first entries."""

    def __init__(self) -> None:
        self._dir = tempfile.TemporaryDirectory(prefix="rosemaryridge-target-")
        self.generation = 0
        self.applier = self.open()

    def open(self) -> Executor:
        """Open a further connection to the current file."""
        return Executor(pathlib.Path(self._dir.name) / f"{self.generation}.sqlite")

    def rebuild(self, entries: t.Sequence[Entry]) -> None:
        """Start a new file that holds only these entries."""
        self.applier.close()
        self.generation += 1
        self.applier = self.open()
        for entry in entries:
            self.applier.replay(entry)

    def close(self) -> None:
        """Remove the files."""
        self.applier.close()
        self._dir.cleanup()
