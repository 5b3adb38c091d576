"""Speak to a proxy as the platform's callers do."""

import asyncio
import itertools
import typing as t

from rosemaryridge.model import Outcome

_TIMEOUT_S = 5.0
# Answers which promise that nothing of the statement is kept.
_NOT_RUN = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
)


class Reply(t.NamedTuple):
    """Hold the answer to one statement."""

    rows: tuple[str, ...]
    signature: str
    error: str
    state: str

    @property
    def code(self) -> str:
        """Return the word of a failure, empty on success."""
        return self.error.partition(" ")[0]

    @property
    def outcome(self) -> Outcome:
        """Return what a failure promises; other failures promise nothing."""
        if not self.code:
            return Outcome.DONE
        return Outcome.NOT_RUN if self.code in _NOT_RUN else Outcome.UNKNOWN


class Client:
    """Hold one session."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self._ids = itertools.count(1)

    @classmethod
    async def open(cls, address: str, database: str) -> "Client":
        """Connect and start a session; raise ConnectionRefusedError with the code."""
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        client = cls(reader, writer)
        writer.write(f"START {database} u1\r\n".encode())
        line = await client.line()
        if not line.startswith("READY"):
            writer.close()
            raise ConnectionRefusedError(line)
        return client

    async def line(self) -> str:
        """Return the next line."""
        async with asyncio.timeout(_TIMEOUT_S):
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def ask(self, text: str) -> Reply:
        """Run one statement."""
        self.send(text)
        return await self.reply()

    def send(self, text: str) -> None:
        """Send a statement without waiting."""
        id_ = f"{id(self):x}{next(self._ids):x}"
        self.writer.write(f"QUERY {id_} {text}\r\n".encode())

    async def reply(self) -> Reply:
        """Return the next answer."""
        rows, signature, error = [], "", ""
        while True:
            word, _, rest = (await self.line()).partition(" ")
            if word == "READY":
                return Reply(tuple(rows), signature, error, rest.partition(" ")[0])
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            else:
                error = rest

    def close(self) -> None:
        """Leave without a word."""
        self.writer.transport.abort()
