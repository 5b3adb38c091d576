"""Kill all fronts while a replacement of the primary holds the replicas."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3 as st

SHAPE = st.Shape(sync_replicas=1, fenced=False, slots=2, connections=36)
DATABASE = "ledger-primary"
PERIOD_S = 0.25
# The primary is down for less than the 7 s that the site file gives a crash.
DOWN_S = 3.5
# The final fault strikes this long after the store's confirmation of a claim.
STRIKE_S = 0.3
RESTART_S = 1.0
RECOVERY_S = 12.0
JUDGED_S = 15.0


class Writer:
    """Send one write or one writing transaction each period, whatever became of it."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.sent = []

    async def run(self):
        """Send until cancelled."""
        count = 0
        while True:
            count += 1
            self.site.spawn(self._operate(f"w{self.number}-{count}", count % 2 == 0))
            await asyncio.sleep(PERIOD_S)

    async def _operate(self, data, in_transaction):
        record = self.site.record
        entry = [record.now(), "sent"]
        self.sent.append(entry)
        front = self.site.fronts[self.number % len(self.site.fronts)]
        write = f"WRITE k{self.number} {data}"
        texts = ["BEGIN", write, "COMMIT"] if in_transaction else [write]
        try:
            session = await st.Session.open(front.port, DATABASE)
        except (OSError, TimeoutError) as exc:
            entry[1] = f"not connected: {exc}"
            return
        try:
            for text in texts:
                reply = await session.run(text)
                if reply.code:
                    entry[1] = f"{text}: {reply.code} {reply.text}"
                    break
            else:
                entry[1] = "served"
        except (OSError, TimeoutError) as exc:
            entry[1] = f"no answer: {exc!r}"
        finally:
            session.close()
            record.write(f"{data}: sent at {entry[0]:.3f}, {entry[1]}")


def share(writers, start, end):
    """Return how many operations of a span were sent, and how many were served."""
    found = [e for w in writers for e in w.sent if start <= e[0] < end]
    return len(found), sum(1 for e in found if e[1] == "served")


async def strike(site, group):
    """Crash the primary, kill all fronts after the claim, and start them again."""
    record, loop = site.record, asyncio.get_running_loop()
    claimed = loop.create_future()

    def on_confirmed(kind, name, spec):
        if kind == "failovers" and not claimed.done():
            claimed.set_result(None)

    site.store.on_confirmed = on_confirmed
    primary = group.targets[group.primary]
    record.say(f"{record.now():.1f} s: {primary.name} crashes")
    await primary.crash()
    down_until = record.now() + DOWN_S
    async with asyncio.timeout(3.0):
        await claimed
    await asyncio.sleep(STRIKE_S)
    record.say(f"{record.now():.1f} s: all fronts are killed")
    for front in site.fronts:
        front.kill()
    await asyncio.sleep(RESTART_S)
    for front in site.fronts:
        front.start()
    await asyncio.gather(*(front.wait_until_ready() for front in site.fronts))
    await asyncio.sleep(max(0.0, down_until - record.now()))
    await primary.restart()
    site.register(primary)
    record.say(
        f"{record.now():.1f} s: {primary.name} is back, as {group.primary} leads"
    )


async def case(site, trouble):
    """Return whether a quarter is served later than recovery_s after the return."""
    record, group = site.record, site.groups["ledger"]
    writers = [Writer(site, number) for number in range(4)]
    for writer in writers:
        site.spawn(writer.run())
    await asyncio.sleep(5.0)
    before = share(writers, 1.0, record.now() - 1.0)
    if trouble:
        await strike(site, group)
    back_at = record.now()
    await asyncio.sleep(RECOVERY_S + JUDGED_S)
    end = record.now()
    await asyncio.sleep(7.0)
    after = share(writers, back_at + RECOVERY_S, end)
    record.say(f"before: {before[1]} of {before[0]} served")
    record.say(f"later than recovery_s after the return: {after[1]} of {after[0]}")
    for backend in group.targets.values():
        role = "primary" if backend.is_primary else "replica"
        record.say(
            f"{backend.name}: {role}, held_term {backend.held_term}, "
            f"{len(backend.log)} commits"
        )
    if before[1] < before[0] / 4:
        raise st.CannotRun("too few were served before")
    return after[1] >= after[0] / 4


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
st.run_case(RECORD, SHAPE, case)
