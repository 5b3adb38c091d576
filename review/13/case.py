"""Restart the primary while a release starts a new replica."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3 as st

SHAPE = st.Shape(fronts=3, sync_replicas=1, slots=3, connections=45)
# The primary's process is back this long after an order to replace it was given.
BACK_AFTER_ORDER_S = 0.15
# The release starts its new backend this long before.
NEW_BEFORE_S = 0.05
DOWN_MAX_S = 7.0


async def start_replacement(site, group, old):
    """Start the backend that replaces a replica; then let that one drain."""
    shape = site.shape
    new = st.targets.SiteTarget(
        f"{old.name}-new",
        group,
        shape.slots,
        work_s=0.008,
        max_connections=shape.connections,
        report=site.register,
    )
    await new.start(st.free_ports(1)[0])
    site.register(new)
    old.draining = True
    site.register(old)
    site.record.say(f"{site.record.now():.1f} s: {new.name} starts, {old.name} drains")


async def strike(site, group):
    """Restart the primary's process; a planned release starts a replica meanwhile."""
    record = site.record
    promote, ordered = group.promote, asyncio.Event()

    async def on_order(name):
        record.say(f"{record.now():.2f} s: order to promote {name}")
        ordered.set()
        await promote(name)
        record.say(f"{record.now():.2f} s: {name} leads term {group.term}")

    group.promote = on_order
    primary = group.targets[group.primary]
    record.say(f"{record.now():.2f} s: {primary.name} crashes")
    await primary.crash()
    crashed_at = record.now()
    try:
        async with asyncio.timeout(DOWN_MAX_S):
            await ordered.wait()
        await asyncio.sleep(BACK_AFTER_ORDER_S - NEW_BEFORE_S)
    except TimeoutError:
        pass
    await start_replacement(site, group, group.targets["i-ledger-1"])
    await asyncio.sleep(NEW_BEFORE_S)
    await primary.restart()
    site.register(primary)
    down_s = record.now() - crashed_at
    record.say(f"{record.now():.2f} s: {primary.name} is back after {down_s:.2f} s")


async def case(site, trouble):
    """Return whether all acknowledged writes are in the log of the primary."""
    group = site.groups["ledger"]
    writers = st.Writers(site)
    site.spawn(writers.run())
    await asyncio.sleep(4.0)
    if trouble:
        await strike(site, group)
    else:
        await start_replacement(site, group, group.targets["i-ledger-1"])
    await asyncio.sleep(7.0)
    return writers.all_kept(group)


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
st.run_case(RECORD, SHAPE, case)
