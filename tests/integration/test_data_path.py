"""Test outcomes, shared target connections and draining while connections fail."""

import asyncio
import signal

import asyncpg

from rosemaryridge_testbed.fleet import FleetOptions
from tests.integration.fleet_case import FleetCase

SETTINGS = {
    "targets": {"silent_timeout_s": 0.5},
    "drain": {"deadline_s": 60.0},
}


class DataPathCase(FleetCase):
    options = FleetOptions(proxies=1, settings=SETTINGS)

    @classmethod
    async def prepare(cls):
        conn = await cls.fleet.connect("p1")
        await conn.execute("CREATE TABLE note (id int PRIMARY KEY, body text)")
        await conn.close()

    async def notes(self, conn, low, high):
        rows = await conn.fetch(
            "SELECT id FROM note WHERE id BETWEEN $1 AND $2 ORDER BY id", low, high
        )
        return [row["id"] for row in rows]


class TestConnections(DataPathCase):
    async def test_closed_connections_are_replaced(self):
        async with self.caller() as conn:
            for number in range(1, 6):
                await conn.execute("INSERT INTO note VALUES ($1, 'a')", number)
                links = self.fleet.proxy_links("t1") + self.fleet.proxy_links("t2")
                await self.fleet.admin.command_links("close-all", *links)
                await asyncio.sleep(0.05)
                self.assertEqual(
                    await self.notes(conn, 1, 5), list(range(1, number + 1))
                )

    async def test_unresponsive_connections_are_replaced_without_a_failover(self):
        async with self.caller() as conn:
            await conn.execute("INSERT INTO note VALUES (11, 'a')")
            links = [f"{target}/p1" for target in self.fleet.targets]
            for _ in range(2):
                # Successful requests refill the retry budget.
                for _ in range(40):
                    await self.notes(conn, 11, 11)
                await self.fleet.admin.command_links("silence", *links)
                self.assertEqual(await self.notes(conn, 11, 11), [11])
            await conn.execute("SET rosemaryridge.deadline = '30'")
            await self.until(lambda: self._writes(conn))
        state = await self.fleet.admin.target("t1")
        self.assertEqual((state["role"], state["term"]), ("primary", 1))

    async def _writes(self, conn):
        await conn.execute("UPDATE note SET body = 'b' WHERE id = 11")
        return True

    async def test_a_lost_transaction_is_reported_as_not_run(self):
        async with self.caller() as conn:
            await conn.execute("BEGIN")
            await conn.execute("INSERT INTO note VALUES (21, 'a')")
            links = self.fleet.proxy_links("t1")
            await self.fleet.admin.command_links("close-all", *links)
            async with self.refused("40001", "4006 transaction_lost; outcome: not run"):
                await conn.execute("INSERT INTO note VALUES (22, 'a')")
            self.assertEqual(await conn.execute("COMMIT"), "ROLLBACK")
            self.assertEqual(await self.notes(conn, 21, 22), [])

    async def test_outcomes_are_true_wherever_a_write_is_interrupted(self):
        links = self.fleet.proxy_links("t1")
        await self.fleet.admin.set_links(*links, latency_ms=10.0)
        seen = set()
        try:
            for step in range(24):
                seen.add(await self._cut_after(step * 0.008, 400 + step, ""))
                key = f"claim-{step}"
                seen.add(await self._cut_after(step * 0.012, 500 + step, key))
        finally:
            await self.fleet.admin.set_links(*links, latency_ms=0.0)
        self.assertIn("done", seen)
        self.assertGreater(len(seen), 1, "no cut had an effect")

    async def _cut_after(self, delay_s, number, key):
        """Close connections during a write; check and return the reported outcome."""
        async with self.caller() as conn:
            await conn.execute(f"SET rosemaryridge.request_key = '{key}'")
            write = asyncio.create_task(
                conn.execute(f"INSERT INTO note VALUES ({number}, 'x')")
            )
            await asyncio.sleep(delay_s)
            links = self.fleet.proxy_links("t1")
            await self.fleet.admin.command_links("close-all", *links)
            outcome = await self._wait_for_outcome(write)
            if outcome == "unknown" and key:
                recorded = await self.until(lambda: self._outcome_of_key(conn))
                self.assertEqual(recorded, await self._actual_outcome(number))
            elif outcome != "unknown":
                self.assertEqual(outcome, await self._actual_outcome(number))
            return outcome

    async def _wait_for_outcome(self, write):
        try:
            await write
        except asyncpg.PostgresError as exc:
            return exc.detail.partition("outcome: ")[2]
        return "done"

    async def _outcome_of_key(self, conn):
        outcome = await conn.fetchval("SHOW rosemaryridge.outcome")
        return None if outcome == "unknown" else outcome

    async def _actual_outcome(self, number):
        target = await self.fleet.connect_target("t1")
        try:
            count = "SELECT count(*) FROM note WHERE id = $1"
            return "done" if await target.fetchval(count, number) else "not run"
        finally:
            await target.close()


class TestSharing(DataPathCase):
    async def test_transactions_never_mix(self):
        async def work(vm_index, base):
            async with self.caller() as conn:
                for step in range(4):
                    number = base + step
                    await conn.execute("BEGIN")
                    await conn.execute("INSERT INTO note VALUES ($1, 'x')", number)
                    self.assertEqual(await self.notes(conn, base, base + 9), [number])
                    await conn.execute("ROLLBACK")
                    self.assertEqual(await self.notes(conn, base, base + 9), [])

        await asyncio.gather(*(work(n, 100 + 10 * n) for n in range(8)))

    async def test_a_disconnected_caller_leaves_no_rows(self):
        async with self.caller() as other:
            for number in range(201, 206):
                conn = await self.fleet.connect("p1")
                await conn.execute("BEGIN")
                await conn.execute("INSERT INTO note VALUES ($1, 'x')", number)
                conn.terminate()
                await other.execute("INSERT INTO note VALUES ($1, 'y')", number + 50)
            self.assertEqual(await self.notes(other, 201, 206), [])
            self.assertEqual(len(await self.notes(other, 251, 256)), 5)

    async def test_answers_reach_their_own_callers(self):
        async def ask(number):
            async with self.caller() as conn:
                for step in range(10):
                    wanted = number * 100 + step
                    found = await conn.fetchval("SELECT $1::int", wanted)
                    self.assertEqual(found, wanted)

        await asyncio.gather(*(ask(number) for number in range(10)))


class TestDrain(DataPathCase):
    async def test_sigterm_lets_transactions_end(self):
        busy = await self.fleet.connect("p1")
        running = await self.fleet.connect("p1")
        idle = await self.fleet.connect("p1")
        closed = []
        idle.add_termination_listener(lambda _: closed.append(True))
        await busy.execute("BEGIN")
        await busy.execute("INSERT INTO note VALUES (301, 'x')")
        statement = asyncio.create_task(running.fetchval("SELECT pg_sleep(1.0)"))
        await asyncio.sleep(0.2)
        self.fleet.processes.signal("p1", signal.SIGTERM)
        await self.until(lambda: closed, "the end of the idle connection")
        with self.assertRaises((OSError, asyncpg.PostgresError)):
            await self.fleet.connect("p1", timeout=2.0)
        await statement
        self.assertIsNone(self.fleet.processes.exit_status("p1"))
        await busy.execute("INSERT INTO note VALUES (302, 'x')")
        self.assertEqual(await busy.execute("COMMIT"), "COMMIT")
        ended = await self.until(lambda: self._exit_text(), "exit of the proxy")
        self.assertEqual(ended, "status 0")
        self.assertTrue(busy.is_closed() or await self._refuses_statements(busy))
        target = await self.fleet.connect_target("t1")
        found = await target.fetchval(
            "SELECT count(*) FROM note WHERE id IN (301, 302)"
        )
        await target.close()
        self.assertEqual(found, 2)

    def _exit_text(self):
        status = self.fleet.processes.exit_status("p1")
        return None if status is None else f"status {status}"

    async def _refuses_statements(self, conn):
        with self.assertRaises(
            (OSError, asyncpg.PostgresError, asyncpg.InterfaceError)
        ):
            await conn.fetchval("SELECT 1")
        return True
