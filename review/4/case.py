"""A machine is stopped (SIGTERM) while short transactions go on.

The balancer sends new connections to a machine for two more seconds after SIGTERM: it
asks once a second and takes a machine out after two misses. So the requesters of this
case arrive from 0.5 to 2.2 s after the SIGTERM, and each runs one transaction of
eleven statements and COMMIT.
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
# The rule's excuse: the backend was at work in the last sixth of the grace period on a
# request that was sent no later than this after the SIGTERM.
EARLY_S = 3.0
REQUESTERS = 18
FIRST_S = 0.5
APART_S = 0.1
STATEMENTS = 12
PAUSE_S = 0.25
WORK_S = 0.12


async def run_transaction(
    site: Site, port: int, number: int, start: float, cuts: list[tuple[str, float]]
) -> bool:
    """Run a transaction; return whether its COMMIT was answered with success."""
    record = site.record
    await asyncio.sleep(start + FIRST_S + APART_S * number - record.now())
    requester = Requester(f"requester-{number}", record)
    if not await requester.open(port, "prim"):
        record.write(requester.who, "no session")
        return False
    id_, sent_at = "", record.now()
    try:
        reply = await requester.ask("BEGIN")
        for step in range(STATEMENTS):
            if reply.code != "COMPLETE":
                break
            await asyncio.sleep(PAUSE_S)
            id_, sent_at = secrets.token_hex(8), record.now()
            last = step == STATEMENTS - 1
            text = "COMMIT" if last else f"WRITE item{number} data{number}x{step}"
            reply = await requester.ask(text, id_)
    except Cut:
        cuts.append((id_, sent_at))
        return False
    requester.close()
    return reply.code == "COMPLETE"


async def main() -> int:
    """Return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    site = Site(record, machines=2)
    cuts: list[tuple[str, float]] = []
    try:
        await site.start()
        for backend in site.backends:
            backend.work_s = WORK_S
            backend.set_slots(REQUESTERS)
        if not await site.start_all():
            return 2
        # From its start on, a proxy uses half of its connections for 3.3 s.
        await asyncio.sleep(5.0)
        name = site.machines[0]
        term_at = record.now()
        if TROUBLE:
            site.signal(name, signal.SIGTERM)
        port = site.fronts[name]
        done = await asyncio.gather(
            *(
                run_transaction(site, port, number, term_at, cuts)
                for number in range(REQUESTERS)
            )
        )
    finally:
        await site.stop()
    # Only what has reached a backend counts: the process had read and passed it on.
    lost = [
        (id_, sent_at - term_at)
        for id_, sent_at in cuts
        if record.seen(f"got {id_} ") and sent_at - term_at > EARLY_S
    ]
    for id_, after_s in lost:
        record.write(
            "check",
            f"LOST: {id_}, sent {after_s:.3f} s after SIGTERM, was passed on to a "
            "backend and the connection ended without an answer",
        )
    verdict = 1 if lost else 0
    record.write(
        "check",
        f"{sum(done)} of {REQUESTERS} transactions committed, {len(cuts)} connections "
        f"ended with a request outstanding, {len(lost)} of them count",
    )
    print(record.last)
    record.close()
    return verdict


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
