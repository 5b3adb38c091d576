"""Run many callers concurrently."""

import asyncio
import dataclasses
import random
import time
import typing as t

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.fleet import Fleet
from rosemaryridge_testbed.history import Row
from rosemaryridge_testbed.load._caller import Caller
from rosemaryridge_testbed.load._recorder import Recorder

CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS entry"
    " (session text NOT NULL, key text NOT NULL, part bigint NOT NULL)"
)
CREATE_INDEX = "CREATE INDEX IF NOT EXISTS entry_session ON entry (session)"
_FAILURE_PAUSE_S = 0.05


async def create_table(fleet: Fleet) -> None:
    """Create the table that the load writes to."""
    conn = await fleet.connect(fleet.proxies[0])
    try:
        await conn.execute(CREATE_TABLE)
        await conn.execute(CREATE_INDEX)
    finally:
        await conn.close()


async def final_rows(fleet: Fleet, target: str) -> tuple[Row, ...]:
    """Return the rows of the load's table on a target."""
    conn = await fleet.connect_target(target)
    try:
        records = await conn.fetch("SELECT session, key FROM entry")
    finally:
        await conn.close()
    return tuple(Row(record["session"], record["key"]) for record in records)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """Set the number of callers and the mix of their requests.

    `write_share` is the share of requests that write, `transaction_share` the share
    of writes that run as a transaction of two rows. `pace_s` is the mean pause between
    the requests of a caller. Callers with an even index carry a token, the others name
    their session. `settings` are sent when a connection opens.
    """

    callers: int = 12
    write_share: float = 0.1
    transaction_share: float = 0.3
    pace_s: float = 0.02
    seed: int = 1
    settings: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


class Load:
    """Run callers in background tasks until `stop` or `cancel`."""

    def __init__(
        self, fleet: Fleet, options: LoadOptions, recorder: Recorder | None = None
    ):
        self.recorder = recorder or Recorder()
        self._fleet = fleet
        self._options = options
        self._stopping = False
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start every caller."""
        for index in range(self._options.callers):
            task = asyncio.ensure_future(self._run_caller(index))
            self._tasks.append(task)

    async def stop(self) -> None:
        """Wait for the running request of each caller, then close all callers."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def cancel(self) -> None:
        """Cancel every caller without waiting for its request."""
        for task in self._tasks:
            task.cancel()

    async def run_for(self, seconds: float) -> None:
        """Wait while the callers run; raise the exception of a caller that failed."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for task in self._tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(0.05)

    async def _run_caller(self, index: int) -> None:
        rng = random.Random(f"{self._options.seed}/{index}")
        session = f"s{index}"
        carry_token = index % 2 == 0
        settings = dict(self._options.settings)
        if not carry_token:
            settings["rosemaryridge.session"] = session
        caller = Caller(self._fleet, self.recorder, session, settings, carry_token)
        try:
            while not self._stopping:
                succeeded = await self._send_request(caller, rng)
                pause_s = rng.expovariate(1.0 / self._options.pace_s)
                await asyncio.sleep(pause_s if succeeded else _FAILURE_PAUSE_S)
        finally:
            await caller.close()

    async def _send_request(self, caller: Caller, rng: random.Random) -> t.Any:
        vm = rng.choice(self._fleet.proxies)
        if rng.random() >= self._options.write_share:
            return await caller.read(vm)
        rows = 2 if rng.random() < self._options.transaction_share else 1
        return await caller.write(vm, rows) is Outcome.DONE
