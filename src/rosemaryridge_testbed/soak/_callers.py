"""Emulate callers that write, read and move between proxies."""

import asyncio
import random
import time
import typing as t

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.site import Client
from rosemaryridge_testbed.site import Reply
from rosemaryridge_testbed.site import Site
from rosemaryridge_testbed.site._site import ROUTES
from rosemaryridge_testbed.site._target import ExecutedStatement
from rosemaryridge_testbed.soak._ledger import Ledger
from rosemaryridge_testbed.soak._ledger import Read

_WRITE_SHARE = 0.4
_TRANSACTION_SHARE = 0.3
_RECONNECT_SHARE = 0.1
_PAUSE_S = 0.02
# Transactions that may outlast half of a grace period: reads with pauses.
_LONG_SHARE = 0.05
_RESTING_SHARE = 0.05
_LONG_READS = (3, 12)
_LONG_PAUSE_S = 0.3
# Longer than any route's timeout here: an answer that never comes is a cut one.
_ANSWER_TIMEOUT_S = 8.0
# The session value that names the caller; its writes must run with it.
OWNER = "owner"
_CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, TimeoutError)


class Caller:
    """Write one item and read it and the items of other callers."""

    def __init__(
        self,
        number: int,
        service: str,
        site: Site,
        addresses: t.Sequence[str],
        ledger: Ledger,
        rng: random.Random,
        key: str = "u1",
        rest_s: float = 0.0,
    ):
        self._key = key
        # Longest rest before a COMMIT of a transaction that only reads.
        self._rest_s = rest_s
        self._item = f"k{number}"
        self._service = service
        self._site = site
        self._addresses = addresses
        self._ledger = ledger
        self._rng = rng
        # Draws of its own leave the sequences of earlier seeds as they were.
        self._long_rng = random.Random(f"long/{number}")
        self._written = 0
        self._clients: dict[str, Client] = {}
        # The last acknowledged write of each open session.
        self._last_acknowledged: dict[str, str] = {}

    async def run(self, stopping: asyncio.Event) -> None:
        """Run statements until `stopping` is set."""
        while not stopping.is_set():
            kind = self._rng.choice(list(ROUTES))
            try:
                if self._rng.random() < _WRITE_SHARE:
                    await self._write(kind)
                else:
                    await self._read(kind)
            except _CONNECTION_ERRORS:
                client = self._clients.get(kind)
                if client is not None and client.outstanding:
                    self._ledger.cut.add(client.outstanding)
                self._drop(kind)
                await asyncio.sleep(5 * _PAUSE_S)
            if self._rng.random() < _RECONNECT_SHARE:
                self._drop(kind)
            await asyncio.sleep(self._rng.expovariate(1.0 / _PAUSE_S))
        for kind in list(self._clients):
            self._drop(kind)

    async def _client(self, kind: str) -> Client:
        if kind not in self._clients:
            address = self._rng.choice(self._addresses)
            database = f"{self._service}-{kind}"
            async with asyncio.timeout(3.0):
                client = await Client.open(address, database, self._key)
            client.timeout_s = _ANSWER_TIMEOUT_S
            self._clients[kind] = client
            reply = await client.execute(f"SET {OWNER} {self._item}")
            if reply.code:
                # A caller closes a session whose SET fails: its values are not known.
                raise ConnectionRefusedError(reply.error)
        return self._clients[kind]

    def _drop(self, kind: str) -> None:
        self._last_acknowledged.pop(kind, None)
        client = self._clients.pop(kind, None)
        if client is not None:
            client.close()

    async def _write(self, kind: str) -> None:
        client = await self._client(kind)
        self._written += 1
        data = f"{self._item}.{self._written}"
        # Remains UNKNOWN if the connection is lost before the answer.
        outcome = Outcome.UNKNOWN
        try:
            outcome = await self._send(client, data)
        finally:
            self._ledger.record_write(self._item, data, outcome, time.monotonic())
        if outcome is Outcome.DONE:
            self._last_acknowledged[kind] = data

    async def _send(self, client: Client, data: str) -> Outcome:
        text = f"WRITE {self._item} {data}"
        if self._rng.random() >= _TRANSACTION_SHARE:
            return self._check_signature(await client.execute(text))
        reads = 0
        if self._long_rng.random() < _LONG_SHARE:
            reads = self._long_rng.randint(*_LONG_READS)
        for statement in ("BEGIN", text, *[f"READ {self._item}"] * reads):
            if statement.startswith("READ"):
                await asyncio.sleep(_LONG_PAUSE_S)
            reply = await client.execute(statement)
            if reply.code:
                await client.execute("ROLLBACK")
                # Without COMMIT the write has no effect.
                return Outcome.NOT_RUN
        return self._check_signature(await client.execute("COMMIT"))

    async def _read(self, kind: str) -> None:
        client = await self._client(kind)
        reads_own_write = kind == "own"
        item = self._item if reads_own_write else f"k{self._rng.randrange(20)}"
        max_staleness_s = self._site.options.max_staleness_ms / 1000.0
        if kind == "orders":
            max_staleness_s = 0.0
        rolled_back = self._site.groups[self._service].rolled_back
        before = time.monotonic() - max_staleness_s
        minimum = self._ledger.newest_write(item, before, rolled_back)
        if self._rest_s and self._long_rng.random() < _RESTING_SHARE:
            await self._read_and_rest(client, item)
            return
        reply = await client.execute(f"READ {item}")
        if self._check_signature(reply) is Outcome.DONE:
            self._record_read(kind, reply.rows[0], minimum)
            if reads_own_write:
                self._record_read(
                    "session", reply.rows[0], self._last_acknowledged.get(kind, "")
                )

    async def _read_and_rest(self, client: Client, item: str) -> None:
        """Read in a transaction that outlasts a promotion."""
        for text in ("BEGIN", f"READ {item}"):
            if (await client.execute(text)).code:
                await client.execute("ROLLBACK")
                return
        await asyncio.sleep(self._long_rng.uniform(0.0, self._rest_s))
        await client.execute("COMMIT")

    def _record_read(self, kind: str, data: str, minimum: str) -> None:
        self._ledger.reads.append(Read(data, minimum, kind, time.time()))

    def _check_signature(self, reply: Reply) -> Outcome:
        """Return the answer's outcome, and count a success without a signature."""
        if reply.outcome is Outcome.DONE and reply.signature in ("", "-"):
            self._ledger.unsigned += 1
        self._ledger.unknown += reply.outcome is Outcome.UNKNOWN
        return reply.outcome


def count_foreign(executed: t.Iterable[ExecutedStatement]) -> int:
    """Return how many writes of callers ran without their session's value."""
    return sum(
        statement.values.get(OWNER) != statement.text.split()[1]
        for statement in executed
        if statement.id != "-" and statement.text.startswith("WRITE k")
    )


class Flood:
    """Send reads of one business as fast as they are answered, through all proxies."""

    def __init__(self, database: str, addresses: t.Sequence[str], key: str):
        self._database = database
        self._addresses = addresses
        self._key = key

    async def run(self, stopping: asyncio.Event) -> None:
        """Send reads until `stopping` is set."""
        await asyncio.gather(*(self._read(a, stopping) for a in self._addresses))

    async def _read(self, address: str, stopping: asyncio.Event) -> None:
        while not stopping.is_set():
            try:
                client = await Client.open(address, self._database, self._key)
                while not stopping.is_set():
                    await client.execute("READ flood")
                    await asyncio.sleep(_PAUSE_S)
                client.close()
            except _CONNECTION_ERRORS:
                await asyncio.sleep(5 * _PAUSE_S)
