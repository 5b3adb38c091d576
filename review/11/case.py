"""Take the last tenant away, and call with its key and with one that never was."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3 as st

HELD, NEVER_HELD = "k-7f3a91c2", "k-00000000"
SHAPE = st.Shape(
    fronts=2, config_apply_ms=6000, tenants={"scent-post": (HELD,)}, tx_idle_ms=3000
)
DATABASE = "ledger-primary"
# The store's answer to a new version is the confirmation; the bound counts from it.
LATER_S = 1.0


async def call(site, front, key, data):
    """Send one write with a key; return its answer, and the ids that were sent."""
    try:
        session = await st.Session.open(front.port, DATABASE, key)
    except ConnectionRefusedError as exc:
        site.record.write(f"{front.name}: START {DATABASE} {key}: {exc}")
        return str(exc).split(" ")[1], ""
    except (OSError, TimeoutError) as exc:
        return repr(exc), ""
    reply = await session.run(f"WRITE k1 {data}")
    session.close()
    code = reply.code or "success"
    site.record.write(f"{front.name}: WRITE k1 {data} with {key}: {code}")
    return code, session.last_id


async def call_all(site, key, name):
    """Call each front; return the codes and the ids of the statements."""
    answers = [
        await call(site, front, key, f"{name}-{front.name}") for front in site.fronts
    ]
    site.record.say(f"{name}, key {key}: {[code for code, _ in answers]}")
    return [id_ for _, id_ in answers if id_]


async def case(site, trouble):
    """Return whether no request ran with a key that a config does not hold."""
    group, record = site.groups["ledger"], site.record
    async with asyncio.timeout(10.0):
        while (await call(site, site.fronts[0], HELD, "first"))[0] != "success":
            await asyncio.sleep(0.2)
    foreign = await call_all(site, NEVER_HELD, "before, never held")
    if not await call_all(site, HELD, "before, held"):
        raise st.CannotRun("the key of the tenant was refused")
    # The version that takes the tenant away names none; the other one changes nothing.
    site.publish(2, {} if trouble else SHAPE.tenants)
    await asyncio.sleep(SHAPE.config_apply_ms / 1000.0 + LATER_S)
    foreign += await call_all(site, NEVER_HELD, "after, never held")
    dropped = await call_all(site, HELD, "after, held by version 1")
    ran = {executed.id: executed for executed in group.executed}
    for id_ in foreign + (dropped if trouble else []):
        if id_ in ran:
            found = ran[id_]
            record.say(f"{found.target} ran {id_} {found.text} for {found.business}")
    return not any(id_ in ran for id_ in foreign)


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
st.run_case(RECORD, SHAPE, case)
