"""Crash the primary for seconds while one backend carries its orders out late."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3 as st

SHAPE = st.Shape(fronts=3, sync_replicas=1, slots=3, connections=45)
# The pages let orders be carried out 2 to 12 s late.
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0
# The primary is back this long after an order to replace it was given, and at the
# latest after the 7 s that the site file gives a crash.
BACK_AFTER_ORDER_S = 0.1
# Orders go unanswered for less than the 5.5 s that the site file gives.
LATE_FOR_S = 2.0
DOWN_MAX_S = 7.0
SLOW = "i-ledger-1"


class LateOrders:
    """Leave the orders to one backend unanswered, and carry them out late."""

    def __init__(self, site):
        self.site = site
        # Whether orders are counted, and until when some are left unanswered.
        self.active = False
        self.until = 0.0
        self.orders = 0
        self.late = 0
        self.ordered = asyncio.Event()
        self._handlers = dict(st.targets._HANDLERS)
        for word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            st.targets._HANDLERS[word] = self._make(word)

    def _make(self, word):
        async def handle(backend, connection, rest):
            record = self.site.record
            self.orders += self.active
            is_late = record.now() < self.until and backend.name == SLOW
            if not is_late or word not in ("PAUSE", "RESUME"):
                result = await self._handlers[word](backend, connection, rest)
                record.write(f"{backend.name}: {word} {rest} answered {result[0]}")
                return result
            self.late += 1
            record.write(f"{backend.name}: {word} {rest} left unanswered")
            self.site.spawn(self._carry_out(word, backend, rest, record.now()))
            # The connection of an order without an answer answers nothing more.
            await asyncio.Event().wait()
            return None

        return handle

    async def _carry_out(self, word, backend, rest, sent_at):
        record = self.site.record
        await asyncio.sleep(LATE_MIN_S)
        if word == "RESUME":
            left_s = sent_at + LATE_MAX_S - record.now()
            try:
                async with asyncio.timeout(left_s):
                    await self.ordered.wait()
            except TimeoutError:
                pass
        await self._handlers[word](backend, st.targets._Connection(), rest)
        late_s = record.now() - sent_at
        record.say(f"{backend.name}: {word} carried out {late_s:.1f} s late")


async def strike(site, group, orders):
    """Crash the primary; let it come back while it is being replaced."""
    record = site.record
    promote = group.promote

    async def on_order(name):
        # The first order that reaches the platform.
        record.say(f"{record.now():.1f} s: order to promote {name}")
        orders.ordered.set()
        await promote(name)
        record.say(f"{record.now():.1f} s: {name} leads term {group.term}")

    group.promote = on_order
    primary = group.targets[group.primary]
    orders.active, orders.until = True, record.now() + LATE_FOR_S
    record.say(f"{record.now():.1f} s: {primary.name} crashes")
    await primary.crash()
    crashed_at = record.now()
    try:
        async with asyncio.timeout(DOWN_MAX_S):
            await orders.ordered.wait()
        await asyncio.sleep(BACK_AFTER_ORDER_S)
    except TimeoutError:
        pass
    await primary.restart()
    site.register(primary)
    down_s = record.now() - crashed_at
    record.say(f"{record.now():.1f} s: {primary.name} is back after {down_s:.1f} s")
    await asyncio.sleep(5.5)
    orders.active = False


async def case(site, trouble):
    """Return whether all acknowledged writes are in the log of the primary."""
    group = site.groups["ledger"]
    orders, writers = LateOrders(site), st.Writers(site)
    site.spawn(writers.run())
    await asyncio.sleep(4.0)
    if trouble:
        await strike(site, group, orders)
    await asyncio.sleep(6.0)
    share = orders.late / max(1, orders.orders)
    site.record.say(
        f"{orders.late} of {orders.orders} orders were left unanswered ({share:.2f})"
    )
    return writers.all_kept(group)


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
st.run_case(RECORD, SHAPE, case)
