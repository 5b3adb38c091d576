"""The draining replica alone has an acknowledged commit, and another is promoted."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2


async def run(folder: pathlib.Path, trouble: bool) -> str:
    """Return what was broken."""
    world = site2.World(folder / "record.txt", sync_replicas=1)
    for zone in world.zones:
        site2.Backend(f"db-{zone}", world.database, zone)
    acknowledged: list[tuple[float, site2.Commit]] = []

    async def write_all_day(caller: site2.Caller) -> None:
        for number in range(10_000):
            data = f"{caller.name}-{number}"
            try:
                reply = await caller.ask(f"WRITE box{number % 7} {data}")
            except ConnectionError:
                return
            commit = world.commit_of(data)
            if reply.ok and commit is not None:
                acknowledged.append((reply.answered_at, commit))
            await asyncio.sleep(0.05)

    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start(list(world.zones))
        primary, leaving, deaf = world.database.backends.values()
        for number, proxy in enumerate(world.proxies):
            writer = await world.caller(f"writer-{number}", proxy, "box-change")
            tasks.append(asyncio.create_task(write_all_day(writer)))
        await asyncio.sleep(3.0)
        if trouble:
            world.record.write(f"planned: {leaving.name} reports draining")
            leaving.draining = True
            leaving.report()
            await asyncio.sleep(1.0)
            world.record.write(f"replica_lag, deaf: {deaf.name} receives nothing")
            deaf.deaf = True
            await asyncio.sleep(1.0)
            world.record.write(f"the primary {primary.name} crashes meanwhile")
            primary.end()
        await asyncio.sleep(4.5)
        if trouble:
            world.record.write(f"{deaf.name} receives again")
            deaf.deaf = False
            deaf.pull_later()
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        lost = [
            f"{name} was promoted at {at:.3f} without commit {commit}, acknowledged "
            f"at {answered_at:.3f} and received by {leaving.name}"
            for at, name, log in world.database.promotions
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
