"""Call a proxy with the platform's caller protocol."""

import asyncio
import itertools
import typing as t

from rosemaryridge.model import Outcome

# Error codes that guarantee that the statement had no effect.
_NOT_RUN = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
)


class Reply(t.NamedTuple):
    """Record the answer to one statement."""

    rows: tuple[str, ...]
    signature: str
    error: str
    state: str

    @property
    def code(self) -> str:
        """Return the error code, empty on success."""
        return self.error.partition(" ")[0]

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that the error code guarantees, UNKNOWN if none."""
        if not self.code:
            return Outcome.DONE
        return Outcome.NOT_RUN if self.code in _NOT_RUN else Outcome.UNKNOWN


class Client:
    """Run statements in one session.

    `timeout_s` limits the wait for each line. `outstanding` is the id of the statement
    that has no answer yet, empty if all have.
    """

    timeout_s = 5.0

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.outstanding = ""
        self._ids = itertools.count(1)

    @classmethod
    async def open(cls, address: str, database: str, key: str = "u1") -> "Client":
        """Start a session; raise ConnectionRefusedError with the proxy's answer."""
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        client = cls(reader, writer)
        writer.write(f"START {database} {key}\r\n".encode())
        line = await client.read_line()
        if not line.startswith("READY"):
            writer.close()
            raise ConnectionRefusedError(line)
        return client

    async def read_line(self) -> str:
        """Return the next line; raise TimeoutError."""
        async with asyncio.timeout(self.timeout_s):
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def execute(self, text: str) -> Reply:
        """Send a statement and return its answer."""
        self.send(text)
        return await self.read_reply()

    def send(self, text: str) -> None:
        """Send a statement without waiting for its answer."""
        id_ = f"{id(self):x}{next(self._ids):x}"
        self.outstanding = id_
        self.writer.write(f"QUERY {id_} {text}\r\n".encode())

    async def read_reply(self) -> Reply:
        """Return the next answer; raise TimeoutError."""
        rows, signature, error = [], "", ""
        while True:
            word, _, rest = (await self.read_line()).partition(" ")
            if word == "READY":
                self.outstanding = ""
                return Reply(tuple(rows), signature, error, rest.partition(" ")[0])
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            else:
                error = rest

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()
