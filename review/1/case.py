"""A backend fails part of its requests, while its health is good.

It answers reads and writes that it fails with FAILED, all others with BUSY: no run.

Sessions of several requesters share the system's connections, each with its own value
of the same name.
"""

import asyncio
import os
import pathlib
import secrets
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins import Cut
from standins import Record
from standins import Requester
from standins import Site

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GREY_SHARE = 0.45
GREY_S = 6.5
SESSIONS = 6
PAUSE_S = 0.05


class Check:
    """Hold the values that were acknowledged to the requester of each statement."""

    def __init__(self) -> None:
        self.values: dict[str, dict[str, str]] = {}
        self.answers: dict[str, str] = {}
        self.stop = False

    def may_go_on(self, requester: Requester) -> bool:
        """Return whether a session may send another statement."""
        return not self.stop and not requester.has_message()


async def run_session(site: Site, port: int, number: int, check: Check) -> None:
    """Set a value, then read and write by single statements; open anew as needed."""
    serial = 0
    while not check.stop:
        requester = Requester(f"requester-{number}", site.record)
        if not await requester.open(port, "prim"):
            await asyncio.sleep(0.05)
            continue
        try:
            # Each requester uses its own value of the same name.
            value = f"v{number}"
            await requester.ask(f"SET area {value}")
            while check.may_go_on(requester):
                serial += 1
                id_ = secrets.token_hex(8)
                check.values[id_] = {"area": value}
                text = f"WRITE item{number} d{serial}" if serial % 2 else "READ item0"
                reply = await requester.ask(text, id_)
                check.answers[id_] = reply.code
                await asyncio.sleep(PAUSE_S)
        except Cut:
            pass
        requester.close()


async def main() -> int:
    """Return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(pathlib.Path(__file__).resolve().parent / "record.txt")
    site = Site(record, machines=2, fenced=False, max_conns=36, slots=2)
    check = Check()
    tasks: list[asyncio.Task] = []
    try:
        await site.start()
        if not await site.start_all():
            return 2
        await asyncio.sleep(4.0)
        port = site.fronts[site.machines[0]]
        tasks = [
            asyncio.create_task(run_session(site, port, number, check))
            for number in range(SESSIONS)
        ]
        await asyncio.sleep(3.0)
        grey = site.backends[0]
        if TROUBLE:
            record.write("site", f"{grey.name} fails a share of {GREY_SHARE}")
            grey.grey_share = GREY_SHARE
        await asyncio.sleep(GREY_S)
        record.write("site", f"{grey.name} works again")
        grey.grey_share = 0.0
        await asyncio.sleep(2.0)
        check.stop = True
        await asyncio.sleep(1.5)
    finally:
        for task in tasks:
            task.cancel()
        await site.stop()
    broken = 0
    for id_, backend, values in site.group.ran:
        wanted = check.values.get(id_)
        if wanted is not None and values != wanted:
            broken += 1
            record.write(
                "check",
                f"PINNED: {id_} ran on {backend} with {values}, acknowledged to its "
                f"requester: {wanted}; answered {check.answers.get(id_)}",
            )
    record.write(
        "check", f"{len(site.group.ran)} statements ran, {broken} with other values"
    )
    print(record.last)
    record.close()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
