"""A machine is restarted while the primary is partitioned from its replicas and store.

The platform does not check fences (`enforce_fencing` false), so a deposed primary that
nobody has told goes on.
"""

import asyncio
import os
import pathlib
import secrets
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import Cut
from standins import Record
from standins import Requester
from standins import Site

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
# The largest length of a `primary_cut` in the site file.
CUT_S = 5.0
# The primary's last report came this long before the cut; its entry is removed after
# three intervals of silence.
LAST_REPORT_S = 1.1
PROMOTE_S = 0.3
MACHINES = 18
# Pauses inside a transaction and between two.
THINK_S = 0.45
PAUSE_S = 0.05


class Check:
    """Collect the acknowledged writes."""

    def __init__(self) -> None:
        self.acknowledged: dict[str, float] = {}
        self.stop = False


async def write_on(site: Site, name: str, wait_s: float, check: Check) -> None:
    """Run transactions on one machine: BEGIN, WRITE, a pause, COMMIT."""
    await asyncio.sleep(wait_s)
    serial = 0
    while not check.stop:
        requester = Requester(f"requester-{name}", site.record)
        if not await requester.open(site.fronts[name], "prim"):
            await asyncio.sleep(0.05)
            continue
        try:
            while not check.stop and not requester.has_message():
                serial += 1
                write, commit = secrets.token_hex(8), secrets.token_hex(8)
                reply = await requester.ask("BEGIN")
                if reply.code == "COMPLETE":
                    text = f"WRITE item-{name} d{serial}"
                    reply = await requester.ask(text, write)
                if reply.code == "COMPLETE":
                    await asyncio.sleep(THINK_S)
                    reply = await requester.ask("COMMIT", commit)
                    if reply.code == "COMPLETE":
                        check.acknowledged[write] = site.record.now()
                if reply.state != "I":
                    await requester.ask("ROLLBACK")
                await asyncio.sleep(PAUSE_S)
        except Cut:
            pass
        requester.close()


async def measure_startup(site: Site, name: str) -> float:
    """Start a machine's process; return the time until it lists the backends."""
    started_at = site.record.now()
    await site.start_process(name)
    port = site.store_ports[name]
    while port not in site.store.first_listed:
        await asyncio.sleep(0.005)
    return site.store.first_listed[port] - started_at


async def wait_until(site: Site, at: float) -> None:
    """Sleep until a time of the record."""
    await asyncio.sleep(max(0.0, at - site.record.now()))


async def partition(site: Site, cut_at: float) -> None:
    """Partition the primary from the other backends and the store for a while."""
    primary = site.backends[0]
    await wait_until(site, cut_at)
    site.record.write("site", f"{primary.name} is partitioned")
    primary.cut_off = True
    await wait_until(site, cut_at - LAST_REPORT_S + 3 * HEARTBEAT_S)
    site.store.remove("servers", primary.name)
    await wait_until(site, cut_at + CUT_S)
    site.record.write("site", f"{primary.name} is no longer partitioned")
    primary.heal()


async def restart(site: Site, name: str, start_at: float) -> None:
    """Stop a machine's process and start it again; return once it is ready."""
    # The process ends about 2.6 s after SIGTERM and is started again soon after.
    await wait_until(site, start_at - 3.2)
    site.signal(name, signal.SIGTERM)
    await site.processes[name].wait()
    site.record.write(name, "process ended")
    await wait_until(site, start_at)
    await site.start_process(name)
    while not await site.is_ready(name):
        await asyncio.sleep(0.05)


async def play(site: Site, check: Check, tasks: list[asyncio.Task]) -> bool:
    """Play the case; return whether it could run."""
    await site.start()
    for backend in site.backends:
        backend.work_s = 0.003
    restarted, *others = site.machines
    # How long a process takes from its start to its first list of the backends.
    startup_s = await measure_startup(site, restarted)
    if not await site.start_all():
        return False
    await asyncio.sleep(4.0)
    tasks += [
        asyncio.create_task(write_on(site, name, 0.032 * number, check))
        for number, name in enumerate(others)
    ]
    await asyncio.sleep(2.0)
    cut_at = site.record.now() + 3.0
    removed_at = cut_at - LAST_REPORT_S + 3 * HEARTBEAT_S
    if TROUBLE:
        tasks.append(asyncio.create_task(partition(site, cut_at)))
    # It lists the backends right after the primary's entry has been removed.
    await restart(site, restarted, removed_at - startup_s + 0.2)
    tasks.append(asyncio.create_task(write_on(site, restarted, 0.0, check)))
    await wait_until(site, cut_at + CUT_S + 4.0)
    check.stop = True
    await asyncio.sleep(1.5)
    return True


async def main() -> int:
    """Return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    site = Site(
        record,
        machines=MACHINES,
        fenced=False,
        promote_s=PROMOTE_S,
        max_conns=36,
        slots=2,
    )
    check = Check()
    tasks: list[asyncio.Task] = []
    try:
        if not await play(site, check, tasks):
            return 2
    finally:
        for task in tasks:
            task.cancel()
        await site.stop()
    deposed = site.group.committed_by_deposed
    kept = {commit.id for commit in site.group.backends[site.group.primary].log}
    broken = [id_ for id_ in check.acknowledged if id_ in deposed]
    for id_ in broken:
        record.write(
            "check",
            f"ONE: write {id_} was committed at the old primary after the promote had "
            f"taken effect and acknowledged at {check.acknowledged[id_]:.4f}; in the "
            f"leader's log at the end: {id_ in kept}",
        )
    record.write(
        "check",
        f"{len(check.acknowledged)} writes acknowledged, {len(site.orders)} promotions "
        f"ordered, {len(deposed)} writes committed at the old primary afterwards, "
        f"{len(broken)} of them acknowledged",
    )
    print(record.last)
    record.close()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
