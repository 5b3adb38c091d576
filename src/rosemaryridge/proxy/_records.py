"""Store the record of a keyed request in the transaction that runs the request."""

import base64
import dataclasses
import hashlib
import typing as t

import asyncpg
import msgspec

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire import Column
from rosemaryridge.wire import FetchedRows
from rosemaryridge.wire import Parameters
from rosemaryridge.wire import TargetConnection
from rosemaryridge.wire import convert_format
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
_STATE_RUN = "run"
_STATE_CLOSED = "closed"
_MAX_ANSWER_BYTES = 65_536
# Another transaction created the table at the same time.
_ALREADY_EXISTS_SQLSTATES = ("23505", "42P07")


class StoredAnswer(msgspec.Struct, frozen=True):
    """Hold the answer that a repeated request receives."""

    tag: str
    columns: tuple[tuple[str, int], ...] = ()
    formats: tuple[int, ...] = ()
    rows: tuple[tuple[bytes | None, ...], ...] = ()

    def rows_in(self, formats: t.Sequence[int]) -> list[list[bytes | None]]:
        """Return the rows converted to the given formats."""
        oids = [oid for _, oid in self.columns]
        return [
            [
                convert_format(value, oid, stored, wanted)
                for value, oid, stored, wanted in zip(
                    row, oids, self.formats, formats, strict=True
                )
            ]
            for row in self.rows
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord:
    """Hold the stored record of a key that was used before."""

    fingerprint: str
    was_run: bool
    answer: StoredAnswer | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Identify a request by its business and key, with a digest of its statement."""

    business: str
    key: str
    fingerprint: str

    def check(self, record: KeyRecord) -> StoredAnswer:
        """Return the recorded answer; raise Refusal if it cannot be given."""
        if not record.was_run:
            raise Refusal(codes.request.KEY_NOT_RUN)
        if record.fingerprint != self.fingerprint:
            raise Refusal(codes.request.KEY_MISMATCH)
        if record.answer is None:
            raise Refusal(codes.request.KEY_RUN_WITHOUT_ANSWER)
        return record.answer


def fingerprint(text: str, params: Parameters) -> str:
    """Return the hexadecimal digest of a statement and its parameters."""
    digest = hashlib.sha256(text.encode())
    digest.update(msgspec.msgpack.encode((params.values, params.formats)))
    return digest.hexdigest()


async def record_run(
    connection: TargetConnection, request: KeyedRequest
) -> KeyRecord | None:
    """Record a key as run; return the stored record if the key was used before.

    Must be called in a transaction. Waits for another open transaction that uses the
    same key.
    """
    return await _insert(connection, request, _STATE_RUN)


async def record_closed(
    connection: TargetConnection, request: KeyedRequest
) -> KeyRecord | None:
    """Close a key to later requests; return the stored record if it was used before."""
    return await _insert(connection, request, _STATE_CLOSED)


async def create_table(connection: TargetConnection) -> None:
    """Create the table of records if it does not exist."""
    try:
        await connection.command(_CREATE)
    except asyncpg.PostgresError as exc:
        if exc.sqlstate not in _ALREADY_EXISTS_SQLSTATES:
            raise


async def store_answer(
    connection: TargetConnection, request: KeyedRequest, answer: StoredAnswer
) -> None:
    """Store the answer for a repeated request, unless it exceeds _MAX_ANSWER_BYTES."""
    encoded_answer = base64.b64encode(msgspec.msgpack.encode(answer))
    if len(encoded_answer) <= _MAX_ANSWER_BYTES:
        await _execute(
            connection, _UPDATE, request.business, request.key, encoded_answer
        )


def to_stored_answer(
    fetched: FetchedRows, columns: t.Sequence[Column], formats: t.Sequence[int]
) -> StoredAnswer:
    """Return an answer in its stored form."""
    return StoredAnswer(
        fetched.tag or "",
        tuple((column.name, column.oid) for column in columns),
        tuple(formats),
        tuple(tuple(row) for row in fetched.rows),
    )


async def _insert(
    connection: TargetConnection, request: KeyedRequest, state: str
) -> KeyRecord | None:
    key = (request.business, request.key)
    inserted = await _execute(connection, _INSERT, *key, request.fingerprint, state)
    if inserted.tag == "INSERT 0 1":
        return None
    selected = await _execute(connection, _SELECT, *key)
    stored_fingerprint, stored_state, encoded_answer = selected.rows[0]
    answer = None
    if encoded_answer is not None:
        decoded = base64.b64decode(encoded_answer)
        answer = msgspec.msgpack.decode(decoded, type=StoredAnswer)
    was_run = stored_state == _STATE_RUN.encode()
    return KeyRecord(stored_fingerprint.decode(), was_run, answer)


async def _execute(
    connection: TargetConnection, text: str, *values: str | bytes
) -> FetchedRows:
    prepared = await connection.prepare(text, formats_of((), ()))
    encoded = tuple(
        value.encode() if isinstance(value, str) else value for value in values
    )
    params = Parameters(encoded, (0,) * len(encoded))
    return await connection.execute(prepared, params)
