"""Carry an order out late, when the crashed primary is back and leads on."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3 as st

SHAPE = st.Shape(fronts=3, sync_replicas=1, slots=3, connections=45)
DATABASE = "ledger-primary"
CALLERS = 4
# The pages let a call without an answer be executed 2 to 12 s later.
LATE_S = 10.0
# The site file gives a crash 7 s.
DOWN_S = 2.0
# Time without writes before the crash.
REST_S = 0.3
# One way between two zones, and between two geos.
NEAR, NEAR_S = "i-ledger-1", 0.0014
FAR_S = 0.02


def receive_by_distance():
    """Let a replica receive a commit after the time of its link to the primary."""

    def append(backend, item, data):
        number = backend.log[-1].number + 1 if backend.log else 1
        commit = st.targets.Commit(backend.term, number, item, data)
        backend.log.append(commit)
        backend.applied = len(backend.log)
        for other in backend.group.targets.values():
            delay_s = NEAR_S if other.name == NEAR else FAR_S
            if other is not backend:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, other.receive, commit)

    st.targets.SiteTarget._append_commit = append


class Callers(st.Writers):
    """Send one write after the other in a session of each caller."""

    # Whether the callers rest, so that both replicas have received the same.
    resting = False

    async def run(self):
        """Send until cancelled."""
        await asyncio.gather(*map(self._call, range(CALLERS)))

    async def _call(self, number):
        front = self.site.fronts[number % len(self.site.fronts)]
        while True:
            session = None
            try:
                session = await st.Session.open(front.port, DATABASE)
                while True:
                    await self._write_in(session, number)
            except (OSError, TimeoutError) as exc:
                self.site.record.write(f"caller {number}: {exc!r}")
                await asyncio.sleep(0.1)
            finally:
                if session is not None:
                    session.close()

    async def _write_in(self, session, number):
        if self.resting:
            await asyncio.sleep(0.05)
            return
        self.sent += 1
        data = f"d{self.sent}"
        reply = await session.run(f"WRITE k{number} {data}")
        if reply.code:
            self.site.record.write(f"{data}: {reply.code} {reply.text}")
            await asyncio.sleep(0.1)
        else:
            self.acknowledged[data] = self.site.record.now()
            self.site.record.write(f"{data}: acknowledged")


def delay_first_order(site):
    """Leave the first order unanswered, and execute it late; its fence is checked."""
    record, answer, orders = site.record, site.cloud.answer, []

    async def execute_late(call):
        await asyncio.sleep(LATE_S)
        record.say(f"{record.now():.1f} s: the order is executed, {LATE_S} s late")
        status, _ = await answer(*call)
        record.say(f"{record.now():.1f} s: its status is {status}, without a reader")

    async def answer_or_delay(*call):
        orders.append(json.loads(call[-1]))
        if len(orders) > 1:
            return await answer(*call)
        record.say(f"{record.now():.1f} s: order {orders[0]} gets no answer")
        site.spawn(execute_late(call))
        await asyncio.Event().wait()
        return None

    site.cloud.answer = answer_or_delay
    return orders


async def case(site, trouble):
    """Return whether all acknowledged writes are in the log of the primary."""
    record, group = site.record, site.groups["ledger"]
    receive_by_distance()
    callers = Callers(site)
    site.spawn(callers.run())
    await asyncio.sleep(4.0)
    if trouble:
        orders = delay_first_order(site)
        callers.resting = True
        await asyncio.sleep(REST_S)
        primary = group.targets[group.primary]
        record.say(f"{record.now():.1f} s: {primary.name} crashes")
        await primary.crash()
        callers.resting = False
        await asyncio.sleep(DOWN_S)
        await primary.restart()
        site.register(primary)
        record.say(
            f"{record.now():.1f} s: {primary.name} is back, {group.primary} leads"
        )
        if not orders:
            raise st.CannotRun("no order was given while the primary was down")
    await asyncio.sleep(LATE_S + 4.0)
    return callers.all_kept(group)


RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
st.run_case(RECORD, SHAPE, case)
