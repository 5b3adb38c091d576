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
# As long as the site file's longest `primary_cut`.
CUT_S = 7.0


def heal(world: site2.World, backend: site2.Backend) -> None:
    """End the partition of a backend."""
    world.record.write(f"the cut of {backend.name} heals")
    backend.cut = False
    backend.pull_later()


async def write_all_day(
    caller: site2.Caller, world: site2.World, acknowledged: list
) -> None:
    """Write through one session, some ten times a second."""
    for number in range(10_000):
        data = f"{caller.name}-{number}"
        reply = await caller.ask(f"WRITE box{number % 7} {data}")
        commit = world.commit_of(data)
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
    world = site2.World(folder / "record.txt")
    for zone in world.zones:
        backend = site2.Backend(f"db-{zone}", world.database, zone)
        backend.answer_s = 0.0 if zone == "khomas-a" else BETWEEN_GEOS_S
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start(list(world.zones))
        old = world.database.backends["db-khomas-a"]
        near, far, third = world.proxies
        acknowledged: list[tuple[float, site2.Commit]] = []
        reads: list[site2.Reply] = []
        for proxy in (far, third):
            writer = await world.caller(f"writer-{proxy.zone}", proxy, "box-change")
            work = write_all_day(writer, world, acknowledged)
            tasks.append(asyncio.create_task(work))
        for number in range(2):
            reader = await world.caller(f"reader-{number}", near, "scent-browse")
            tasks.append(asyncio.create_task(read_all_day(reader, reads)))
        await asyncio.sleep(3.0)

        if trouble:
            world.record.write(
                f"primary_cut: {old.name} is partitioned from its replicas and from "
                f"{far.name}"
            )
            old.cut_from = {far.process.pid}
            old.cut = True
            loop = asyncio.get_running_loop()
            loop.call_later(CUT_S, heal, world, old)
        cut_at = world.record.now()
        resting = [
            await world.caller(f"resting-{number}", near, "box-change")
            for number in range(3)
        ]
        # Begins after the promote is ordered and before it takes effect.
        while trouble and not world.cloud.calls:
            if world.record.now() > cut_at + 6.0:
                raise RuntimeError("no promote was ordered")
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        for caller in resting:
            await caller.ask("BEGIN")
            await caller.ask("READ box1")
        # Shorter than tx_idle_ms, 3 s.
        await asyncio.sleep(2.5)
        for caller in resting:
            await caller.ask("COMMIT")
            await asyncio.sleep(0.1)
        await asyncio.sleep(cut_at + CUT_S - world.record.now())
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
