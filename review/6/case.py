"""A committed transaction is answered as aborted while its proxy stops."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import site2

# What a requester may rely on: nothing of its attempt is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
ROUTES = {
    "box-change": ("primary", 1000, 0),
    "courier-track": ("read_your_writes", 3000, 2500),
}


async def run(folder: pathlib.Path, trouble: bool) -> str:
    """Return what was broken."""
    world = site2.World(folder / "record.txt", routes=ROUTES)
    database = world.database
    # The primary is not the nearest backend of the proxy that is stopped.
    primary = site2.Backend("db-oshana-a", database, "oshana-a", answer_s=0.04)
    near = site2.Backend("db-khomas-a", database, "khomas-a")
    site2.Backend("db-erongo-a", database, "erongo-a", answer_s=0.04)
    try:
        await world.start(list(world.zones))
        proxy = world.proxies[0]
        for number in range(3):
            other = await world.caller(f"other-{number}", proxy, "courier-track")
            await other.ask(f"WRITE box{number} v{number}")
            await other.ask(f"READ box{number}")
        await asyncio.sleep(1.0)

        caller = await world.caller("courier", proxy, "courier-track")
        await caller.ask("SET desk 7")
        if trouble:
            near.loses = {"SET"}
        began_at = world.record.now()
        await caller.ask("READ box1")
        await caller.ask("BEGIN")
        await caller.ask("WRITE box1 picked")
        await asyncio.sleep(began_at + 0.7 - world.record.now())
        stopped_at = world.record.now()
        if trouble:
            world.record.write(f"roll_term: SIGTERM to {proxy.name}")
            proxy.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.3)
        await caller.ask("READ box1")
        # Before half of `grace_s` is over.
        await asyncio.sleep(stopped_at + 2.7 - world.record.now())
        if trouble:
            primary.loses = {"COMMIT"}
        reply = await caller.ask("COMMIT")
        world.add_logs_to_record(['"statement"', "stopp"])
        kept = [
            name
            for name, backend in database.backends.items()
            for commit in backend.log
            if ("box1", "picked") in commit.items
        ]
        is_promise = reply.error.split(" ")[0] in PROMISES
        if not (is_promise and kept):
            return ""
        text = f"REFUSED: {reply.id} COMMIT is answered {reply.error}; kept by {kept}"
        world.record.write(text)
        return text
    finally:
        world.stop()


site2.main(run, __file__)
