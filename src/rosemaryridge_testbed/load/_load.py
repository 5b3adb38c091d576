"""Run many callers at once for a bounded time."""

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

TABLE = (
    "CREATE TABLE IF NOT EXISTS entry"
    " (session text NOT NULL, key text NOT NULL, part bigint NOT NULL)"
)
INDEX = "CREATE INDEX IF NOT EXISTS entry_session ON entry (session)"
_PAUSE_AFTER_FAILURE_S = 0.05


async def create_table(fleet: Fleet) -> None:
    """Create the table that the load writes to."""
    conn = await fleet.connect(fleet.proxies[0])
    try:
        await conn.execute(TABLE)
        await conn.execute(INDEX)
    finally:
        await conn.close()


async def final_rows(fleet: Fleet, target: str) -> tuple[Row, ...]:
    """Return what a target holds."""
    conn = await fleet.connect_target(target)
    try:
        records = await conn.fetch("SELECT session, key FROM entry")
    finally:
        await conn.close()
    return tuple(Row(record["session"], record["key"]) for record in records)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """Set the callers' number and mix; `pace_s` is the mean pause between requests.

    Callers alternate between carrying a token and naming their session. `settings`
    are sent as each connection opens.
    """

    callers: int = 12
    write_share: float = 0.1
    transaction_share: float = 0.3
    pace_s: float = 0.02
    seed: int = 1
    settings: t.Mapping[str, str] = dataclasses.field(default_factory=dict)


class Load:
    """Run callers in the background until told to stop."""

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
        """Let each caller end its request, then close."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def cancel(self) -> None:
        """End every caller at once."""
        for task in self._tasks:
            task.cancel()

    async def run_for(self, seconds: float) -> None:
        """Let the callers run; raise where one has failed."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for task in self._tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(0.05)

    async def _run_caller(self, index: int) -> None:
        rng = random.Random(f"{self._options.seed}/{index}")
        session = f"s{index}"
        by_token = index % 2 == 0
        settings = dict(self._options.settings)
        if not by_token:
            settings["rosemaryridge.session"] = session
        caller = Caller(self._fleet, self.recorder, session, settings, by_token)
        try:
            while not self._stopping:
                done = await self._request(caller, rng)
                pause_s = rng.expovariate(1.0 / self._options.pace_s)
                await asyncio.sleep(pause_s if done else _PAUSE_AFTER_FAILURE_S)
        finally:
            await caller.close()

    async def _request(self, caller: Caller, rng: random.Random) -> t.Any:
        vm = rng.choice(self._fleet.proxies)
        if rng.random() >= self._options.write_share:
            return await caller.read(vm)
        rows = 2 if rng.random() < self._options.transaction_share else 1
        return await caller.write(vm, rows) is Outcome.DONE
