"""An order that failed long ago decides who is promoted, and commits are lost."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2

# For how long the primary is down at first, and the platform's calls.
PRIMARY_DOWN_S = 1.0
PLATFORM_DOWN_S = 3.0
# From the end of the first trouble to the second one.
CALM_S = 12.0


async def fail_an_order(world: site2.World, primary: site2.Backend) -> None:
    """Let the primary be away for a second while the platform's calls are down."""
    world.record.write("the platform's calls are down: 503, nothing is done")
    world.cloud.is_down = True
    world.record.write(f"srv_crash: the primary {primary.name} crashes")
    primary.end()
    await asyncio.sleep(PRIMARY_DOWN_S)
    await primary.restart()
    world.record.write(f"{primary.name} is back with its log, and leads")
    await asyncio.sleep(PLATFORM_DOWN_S - PRIMARY_DOWN_S)
    world.cloud.is_down = False
    world.record.write("the platform answers again")


async def crash_beside_a_deaf_replica(
    world: site2.World, primary: site2.Backend
) -> None:
    """Let one replica receive nothing, and the primary crash meanwhile."""
    claim = world.store.objects["failovers"]["vialbook"]["spec"]
    world.record.write(f"what lies in the store of the failed order: {claim}")
    deaf = world.database.backends[claim["target"]]
    world.record.write(f"replica_lag, deaf: {deaf.name} receives nothing")
    deaf.deaf = True
    await asyncio.sleep(1.5)
    world.record.write(f"the primary {primary.name} crashes meanwhile")
    primary.end()


async def run(folder: pathlib.Path, trouble: bool) -> str:
    """Return what was broken."""
    world = site2.World(folder / "record.txt", sync_replicas=1)
    database = world.database
    primary = site2.Backend("db-1", database, "khomas-a")
    site2.Backend("db-2", database, "oshana-a")
    site2.Backend("db-3", database, "erongo-a")
    acknowledged: list[tuple[float, site2.Commit]] = []

    async def write_all_day(name: str, proxy: site2.Proxy) -> None:
        caller = await world.caller(name, proxy, "box-change")
        for number in range(10_000):
            data = f"{name}-{number}"
            try:
                reply = await caller.ask(f"WRITE box{number % 7} {data}")
            except ConnectionError:
                return
            commit = database.commits.get(data)
            if reply.ok and commit is not None:
                acknowledged.append((reply.answered_at, commit))
            await asyncio.sleep(0.1)

    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start(list(world.zones))
        for number, proxy in enumerate(world.proxies):
            work = write_all_day(f"writer-{number}", proxy)
            tasks.append(asyncio.create_task(work))
        await asyncio.sleep(2.0)
        if trouble:
            await fail_an_order(world, primary)
        await asyncio.sleep(CALM_S)
        if trouble:
            await crash_beside_a_deaf_replica(world, primary)
        await asyncio.sleep(5.0)
        for task in tasks:
            task.cancel()
        lost = [
            f"{name} was promoted at {at:.3f} without commit {commit}, acknowledged "
            f"at {answered_at:.3f}"
            for at, name, log in database.promotions
            for answered_at, commit in acknowledged
            if answered_at < at and commit not in log
        ]
        for text in lost:
            world.record.write(f"LOST: {text}")
        world.add_logs_to_record(["primary_found", "primary_lost", "promotion"])
        if not acknowledged:
            raise RuntimeError("nothing was served")
        return f"LOST: {len(lost)} commits: {lost[0]}" if lost else ""
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(Exception):
            await asyncio.gather(*tasks, return_exceptions=True)
        world.stop()


site2.main(run, __file__)
