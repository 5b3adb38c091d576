"""Read answers of many rows through fronts that are killed beyond their memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3 as st

SHAPE = st.Shape(fronts=2, timeout_ms=12_000)
DATABASE = "ledger-bounded_staleness"
# A message is 1 MiB at most; a row is half of one.
ROW = "x" * 524_288
ROWS = 256
FEW_ROWS = 4
READ_FOR_S = 60.0
RESTART_S = 0.5
# A process ends by itself this often in a day, on this many machines.
ENDS = 3
MACHINES = 2


class Platform:
    """Kill processes that exceed their memory, and start them again."""

    def __init__(self, site):
        self.site = site
        self.ends = {front.name: 0 for front in site.fronts}
        self.peak_mb = {front.name: 0.0 for front in site.fronts}

    async def watch(self, front):
        """Watch one process."""
        limit_mb = SHAPE.memory_mb
        while True:
            await asyncio.sleep(0.02)
            used_mb = front.memory_mb()
            self.peak_mb[front.name] = max(self.peak_mb[front.name], used_mb)
            if used_mb <= limit_mb:
                continue
            self.ends[front.name] += 1
            self.site.record.say(
                f"{front.name}: {used_mb:.0f} MB of {limit_mb}, killed "
                f"({self.ends[front.name]})"
            )
            front.kill()
            await asyncio.sleep(RESTART_S)
            front.start()
            await front.wait_until_ready()

    def is_fault(self):
        """Return whether the rule's number of ends was reached."""
        return sum(ends >= ENDS for ends in self.ends.values()) >= MACHINES


async def read_reports(site, platform, rows):
    """Read one report after the other; repeat a failed one at the next front."""
    record = site.record

    async def answer(backend, connection, rest):
        await backend._occupy_slot()
        return [ROW] * rows, backend._make_signature()

    st.targets._HANDLERS["READ"] = answer
    served, number = 0, 0
    until = record.now() + READ_FOR_S
    while record.now() < until and not platform.is_fault() and served < 20:
        number += 1
        front = site.fronts[number % len(site.fronts)]
        session = None
        try:
            session = await st.Session.open(front.port, DATABASE)
            reply = await session.run(f"READ report{number}", 15.0)
            served += not reply.code
            outcome = reply.code or f"{len(reply.rows)} rows"
        except (OSError, TimeoutError) as exc:
            outcome = f"no answer: {exc!r}"
            await asyncio.sleep(0.5)
        finally:
            if session is not None:
                session.close()
        record.write(f"report {number} at {front.name}: {outcome}")
    return served


async def case(site, trouble):
    """Return whether no process ends by itself as often as the rule says."""
    platform = Platform(site)
    for front in site.fronts:
        site.spawn(platform.watch(front))
    served = await read_reports(site, platform, ROWS if trouble else FEW_ROWS)
    site.record.say(f"{served} reports were served; ends: {platform.ends}")
    peaks = {name: round(mb) for name, mb in platform.peak_mb.items()}
    site.record.say(f"most memory in MB: {peaks}")
    return not platform.is_fault()


st.run_case(__file__, SHAPE, case)
