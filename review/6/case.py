"""A reading transaction ends at a deposed primary, and reads become stale."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2

MAX_STALENESS_S = 1.5
# The deployment's sheet: 20 ms one way between geos.
BETWEEN_GEOS_S = 0.04


async def write_all_day(
    caller: site2.Caller, world: site2.World, acknowledged: list
) -> None:
    """Write through one session, some ten times a second."""
    for number in range(10_000):
        reply = await caller.ask(f"WRITE box{number % 7} v{number}")
        commit = world.commit_of(f"v{number}")
        if reply.ok and commit is not None:
            acknowledged.append((reply.answered_at, commit))
        await asyncio.sleep(0.1)


async def read_all_day(caller: site2.Caller, reads: list[site2.Reply]) -> None:
    """Browse through one session."""
    while True:
        reads.append(await caller.ask("READ box1"))
        await asyncio.sleep(0.02)


async def run(folder: pathlib.Path, trouble: bool) -> str:
    """Return what was broken."""
    world = site2.World(folder)
    for zone in world.zones:
        backend = site2.Backend(f"db-{zone}", world.database, zone)
        backend.answer_s = 0.0 if zone == "khomas-a" else BETWEEN_GEOS_S
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start(list(world.zones))
        old = world.database.backends["db-khomas-a"]
        near, far, _ = world.proxies
        acknowledged: list[tuple[float, site2.Commit]] = []
        reads: list[site2.Reply] = []
        writer = await world.caller("writer", far, "box-change")
        tasks.append(asyncio.create_task(write_all_day(writer, world, acknowledged)))
        for number in range(2):
            reader = await world.caller(f"reader-{number}", near, "scent-browse")
            tasks.append(asyncio.create_task(read_all_day(reader, reads)))
        await asyncio.sleep(3.0)

        resting = await world.caller("resting", near, "box-change")
        await resting.ask("BEGIN")
        await resting.ask("READ box1")
        began_at = world.record.now()
        if trouble:
            world.record.write(f"planned: {old.name} reports draining")
            old.draining = True
            old.report()
            while not world.database.promotions and world.record.now() < 30.0:
                await asyncio.sleep(0.01)
            world.record.write(f"replica_lag, deaf: {old.name} receives nothing")
            old.deaf = True
        # Shorter than tx_idle_ms, 3 s.
        await asyncio.sleep(began_at + 2.85 - world.record.now())
        await resting.ask("COMMIT")
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        stale = site2.stale_reads(world, acknowledged, reads, MAX_STALENESS_S)
        for text in stale:
            world.record.write(f"STALE: {text}")
        world.add_logs_to_record(["primary_found", "primary_lost", "promotion"])
        if not reads or not acknowledged:
            raise RuntimeError("nothing was served")
        return f"STALE: {len(stale)} of {len(reads)} reads: {stale[0]}" if stale else ""
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(Exception):
            await asyncio.gather(*tasks, return_exceptions=True)
        world.stop()


site2.main(run, __file__)
