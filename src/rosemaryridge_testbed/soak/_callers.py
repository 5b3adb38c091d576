"""Be callers that write, read and roam between proxies."""

import asyncio
import random
import time
import typing as t

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.site import Client
from rosemaryridge_testbed.site import Reply
from rosemaryridge_testbed.site import Site
from rosemaryridge_testbed.site._site import ROUTES
from rosemaryridge_testbed.soak._ledger import Ledger
from rosemaryridge_testbed.soak._ledger import Read

_WRITE_SHARE = 0.4
_TRANSACTION_SHARE = 0.3
_ROAM_SHARE = 0.1
_PAUSE_S = 0.02
_LOST = (OSError, asyncio.IncompleteReadError, TimeoutError)


class Caller:
    """Write one item of its own, and read it and those of others."""

    def __init__(
        self,
        number: int,
        service: str,
        site: Site,
        addresses: t.Sequence[str],
        ledger: Ledger,
        rng: random.Random,
    ):
        self._item = f"k{number}"
        self._service = service
        self._site = site
        self._addresses = addresses
        self._ledger = ledger
        self._rng = rng
        self._written = 0
        self._clients: dict[str, Client] = {}
        # What each session that is open has written last.
        self._own: dict[str, str] = {}

    async def run(self, stopping: asyncio.Event) -> None:
        """Send statements until told to stop."""
        while not stopping.is_set():
            kind = self._rng.choice(list(ROUTES))
            try:
                if self._rng.random() < _WRITE_SHARE:
                    await self._write(kind)
                else:
                    await self._read(kind)
            except _LOST:
                self._drop(kind)
                await asyncio.sleep(5 * _PAUSE_S)
            if self._rng.random() < _ROAM_SHARE:
                self._drop(kind)
            await asyncio.sleep(self._rng.expovariate(1.0 / _PAUSE_S))
        for kind in list(self._clients):
            self._drop(kind)

    async def _client(self, kind: str) -> Client:
        if kind not in self._clients:
            address = self._rng.choice(self._addresses)
            database = f"{self._service}-{kind}"
            async with asyncio.timeout(3.0):
                self._clients[kind] = await Client.open(address, database)
        return self._clients[kind]

    def _drop(self, kind: str) -> None:
        self._own.pop(kind, None)
        client = self._clients.pop(kind, None)
        if client is not None:
            client.close()

    async def _write(self, kind: str) -> None:
        client = await self._client(kind)
        self._written += 1
        data = f"{self._item}.{self._written}"
        # Until an answer tells more, nothing is known of the write.
        outcome = Outcome.UNKNOWN
        try:
            outcome = await self._send(client, data)
        finally:
            self._ledger.wrote(self._item, data, outcome, time.monotonic())
        if outcome is Outcome.DONE:
            self._own[kind] = data

    async def _send(self, client: Client, data: str) -> Outcome:
        text = f"WRITE {self._item} {data}"
        if self._rng.random() >= _TRANSACTION_SHARE:
            return self._signed(await client.execute(text))
        for one in ("BEGIN", text):
            reply = await client.execute(one)
            if reply.code:
                await client.execute("ROLLBACK")
                # Without COMMIT nothing is kept.
                return Outcome.NOT_RUN
        return self._signed(await client.execute("COMMIT"))

    async def _read(self, kind: str) -> None:
        client = await self._client(kind)
        own = kind == "own"
        item = self._item if own else f"k{self._rng.randrange(20)}"
        bound_s = self._site.options.max_staleness_ms / 1000.0
        if kind == "orders":
            bound_s = 0.0
        rolled_back = self._site.groups[self._service].rolled_back
        before = time.monotonic() - bound_s
        least = self._ledger.newest(item, before, rolled_back)
        reply = await client.execute(f"READ {item}")
        if self._signed(reply) is Outcome.DONE:
            self._note(kind, reply.rows[0], least)
            if own:
                self._note("session", reply.rows[0], self._own.get(kind, ""))

    def _note(self, kind: str, data: str, least: str) -> None:
        self._ledger.reads.append(Read(data, least, kind, time.time()))

    def _signed(self, reply: Reply) -> Outcome:
        """Return an answer's outcome; count a success without a signature."""
        if reply.outcome is Outcome.DONE and reply.signature in ("", "-"):
            self._ledger.unsigned += 1
        return reply.outcome
