"""Run statements on SQLite instead of PostgreSQL's executor."""

import pathlib
import sqlite3
import tempfile
import typing as t

from pg_mimic import PgError

from rosemaryridge_testbed.target._log import Entry

_SQLSTATES = (
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
    """Convert an SQLite error to a PgError with PostgreSQL's SQLSTATE."""
    text = str(exc)
    state = next((state for part, state in _SQLSTATES if part in text), "XX000")
    if state != "23505":
        return PgError(state, text)
    column = text.rpartition(" ")[2]
    table = column.partition(".")[0]
    fields = {"t": table, "n": f"{table}_key", "D": f"Key ({column}) already exists."}
    return PgError(state, "duplicate key value violates unique constraint", **fields)


class Executor:
    """Run statements on one SQLite connection."""

    def __init__(self, path: pathlib.Path):
        self.transaction_time = ""
        self.conn = sqlite3.connect(path, isolation_level=None, cached_statements=500)
        self.conn.execute("PRAGMA journal_mode=WAL")
        self.conn.execute("PRAGMA synchronous=OFF")
        self.conn.execute("PRAGMA foreign_keys=ON")
        self._register()

    def _register(self) -> None:
        no_ops = ("pg_sleep", "pg_advisory_unlock_all")
        for name in no_ops:
            self.conn.create_function(name, -1, lambda *_args: "")
        self.conn.create_function("rr_now", 0, lambda: self.transaction_time)
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
        """Open a write transaction."""
        self.run("BEGIN IMMEDIATE", {})

    def commit(self) -> None:
        """Commit the open transaction."""
        self.run("COMMIT", {})

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.conn.in_transaction:
            self.conn.rollback()

    def replay(self, entry: Entry) -> None:
        """Run a log entry's statements in one transaction."""
        self.transaction_time = entry.at
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
    """Manage the database file and rebuild it from log entries."""

    def __init__(self) -> None:
        self._dir = tempfile.TemporaryDirectory(prefix="rosemaryridge-target-")
        self.generation = 0
        self.applier = self.open()

    def open(self) -> Executor:
        """Open another connection to the current file."""
        return Executor(pathlib.Path(self._dir.name) / f"{self.generation}.sqlite")

    def rebuild(self, entries: t.Sequence[Entry]) -> None:
        """Create a new file and apply only these entries."""
        self.applier.close()
        self.generation += 1
        self.applier = self.open()
        for entry in entries:
            self.applier.replay(entry)

    def close(self) -> None:
        """Close the connection and remove the files."""
        self.applier.close()
        self._dir.cleanup()
