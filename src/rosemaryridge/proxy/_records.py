"""Keep the record of a keyed request beside its work, in the same transaction."""

import base64
import dataclasses
import hashlib
import typing as t

import asyncpg
import msgspec

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire import Column
from rosemaryridge.wire import Fetched
from rosemaryridge.wire import Parameters
from rosemaryridge.wire import TargetConnection
from rosemaryridge.wire import convert
from rosemaryridge.wire import formats_of

_TABLE = "rosemaryridge_requests"
_CREATE = (
    f"CREATE TABLE IF NOT EXISTS {_TABLE} ("
    "business text NOT NULL, request_key text NOT NULL, fingerprint text NOT NULL, "
    "state text NOT NULL, answer text, created_at timestamptz NOT NULL, "
    "PRIMARY KEY (business, request_key))"
)
_INSERT = (
    f"INSERT INTO {_TABLE} (business, request_key, fingerprint, state, created_at) "
    "VALUES ($1, $2, $3, $4, now()) ON CONFLICT (business, request_key) DO NOTHING"
)
_SELECT = (
    f"SELECT fingerprint, state, answer FROM {_TABLE} "
    "WHERE business = $1 AND request_key = $2"
)
_UPDATE = f"UPDATE {_TABLE} SET answer = $3 WHERE business = $1 AND request_key = $2"
_RUN = "run"
_CLOSED = "closed"
_MAX_ANSWER_BYTES = 65_536
_ALREADY_THERE = ("23505", "42P07")


class StoredAnswer(msgspec.Struct, frozen=True):
    """Hold the answer that a second try is given."""

    tag: str
    columns: tuple[tuple[str, int], ...] = ()
    formats: tuple[int, ...] = ()
    rows: tuple[tuple[bytes | None, ...], ...] = ()

    def rows_in(self, formats: t.Sequence[int]) -> list[list[bytes | None]]:
        """Return the rows in the formats that are wanted now."""
        kinds = [oid for _, oid in self.columns]
        return [
            [
                convert(value, oid, given, wanted)
                for value, oid, given, wanted in zip(
                    row, kinds, self.formats, formats, strict=True
                )
            ]
            for row in self.rows
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Hold what is known of a key that was used before."""

    fingerprint: str
    was_run: bool
    answer: StoredAnswer | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Name a request by its business and key, and what it asked for."""

    business: str
    key: str
    fingerprint: str

    def check(self, record: Record) -> StoredAnswer:
        """Return the first answer; raise Refusal where there is none to give."""
        if not record.was_run:
            raise Refusal(codes.request.KEY_NOT_RUN)
        if record.fingerprint != self.fingerprint:
            raise Refusal(codes.request.KEY_MISMATCH)
        if record.answer is None:
            raise Refusal(codes.request.KEY_RUN_WITHOUT_ANSWER)
        return record.answer


def fingerprint(text: str, params: Parameters) -> str:
    """Return a digest of a statement and its parameters."""
    digest = hashlib.sha256(text.encode())
    digest.update(msgspec.msgpack.encode((params.values, params.formats)))
    return digest.hexdigest()


async def open_record(
    connection: TargetConnection, request: KeyedRequest
) -> Record | None:
    """Record a key as run; return its record instead where it was used before.

    Must run in a transaction. Another transaction that uses the key now is waited
    for.
    """
    return await _insert(connection, request, _RUN)


async def close_key(
    connection: TargetConnection, request: KeyedRequest
) -> Record | None:
    """Keep a key from ever running; return its record where it was used before."""
    return await _insert(connection, request, _CLOSED)


async def create_table(connection: TargetConnection) -> None:
    """Create the table of records where it is missing."""
    try:
        await connection.command(_CREATE)
    except asyncpg.PostgresError as exc:
        if exc.sqlstate not in _ALREADY_THERE:
            raise


async def store_answer(
    connection: TargetConnection, request: KeyedRequest, answer: StoredAnswer
) -> None:
    """Keep the answer for a second try, unless it is large."""
    packed = base64.b64encode(msgspec.msgpack.encode(answer))
    if len(packed) <= _MAX_ANSWER_BYTES:
        await _execute(connection, _UPDATE, request.business, request.key, packed)


def to_answer(
    fetched: Fetched, columns: t.Sequence[Column], formats: t.Sequence[int]
) -> StoredAnswer:
    """Return what is stored of an answer."""
    return StoredAnswer(
        fetched.tag or "",
        tuple((column.name, column.oid) for column in columns),
        tuple(formats),
        tuple(tuple(row) for row in fetched.rows),
    )


async def _insert(
    connection: TargetConnection, request: KeyedRequest, state: str
) -> Record | None:
    key = (request.business, request.key)
    inserted = await _execute(connection, _INSERT, *key, request.fingerprint, state)
    if inserted.tag == "INSERT 0 1":
        return None
    found = await _execute(connection, _SELECT, *key)
    stored_fingerprint, stored_state, packed = found.rows[0]
    answer = None
    if packed is not None:
        unpacked = base64.b64decode(packed)
        answer = msgspec.msgpack.decode(unpacked, type=StoredAnswer)
    was_run = stored_state == _RUN.encode()
    return Record(stored_fingerprint.decode(), was_run, answer)


async def _execute(
    connection: TargetConnection, text: str, *values: str | bytes
) -> Fetched:
    prepared = await connection.prepare(text, formats_of((), ()))
    encoded = tuple(
        value.encode() if isinstance(value, str) else value for value in values
    )
    params = Parameters(encoded, (0,) * len(encoded))
    return await connection.execute(prepared, params)
