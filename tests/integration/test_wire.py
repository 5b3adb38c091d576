"""Test the PostgreSQL protocol with asyncpg and psycopg."""

import asyncio
import datetime
import decimal

import asyncpg
import psutil
import psycopg

from rosemaryridge.session import parse_token
from rosemaryridge_testbed.fleet import FleetOptions
from tests.integration.fleet_case import FleetCase

_MIB = 1024 * 1024
_LIMIT_BYTES = 64 * 1024
SETTINGS = {"callers": {"max_callers": 25, "max_statement_bytes": _LIMIT_BYTES}}


class WireCase(FleetCase):
    options = FleetOptions(proxies=1, settings=SETTINGS)

    @classmethod
    async def prepare(cls):
        conn = await cls.fleet.connect("p1")
        await conn.execute(
            "CREATE TABLE item (id int PRIMARY KEY, name text, price numeric,"
            " sold boolean, weight double precision, day date, raw bytea, n bigint)"
        )
        await conn.execute("CREATE TABLE note (id int PRIMARY KEY, body text)")
        await conn.close()


VALUES = (
    1,
    "vanilla; 'x' $1",
    decimal.Decimal("12.50"),
    True,
    0.1,
    datetime.date(2026, 2, 28),
    b"\x00\xff'",
    2**40,
)


class TestAsyncpg(WireCase):
    async def test_values_pass_unchanged(self):
        async with self.caller() as conn:
            insert = "INSERT INTO item VALUES ($1, $2, $3, $4, $5, $6, $7, $8)"
            self.assertEqual(await conn.execute(insert, *VALUES), "INSERT 0 1")
            row = await conn.fetchrow("SELECT * FROM item WHERE id = $1", 1)
            self.assertEqual(tuple(row), VALUES)
            empty = (2, *[None] * 7)
            await conn.execute(insert, *empty)
            row = await conn.fetchrow("SELECT * FROM item WHERE id = $1", 2)
            self.assertEqual(tuple(row), empty)

    async def test_tags_count_rows(self):
        async with self.caller() as conn:
            many = "INSERT INTO note (id, body) VALUES (11, 'a'), (12, 'b'), (13, 'c')"
            self.assertEqual(await conn.execute(many), "INSERT 0 3")
            update = "UPDATE note SET body = 'd' WHERE id > $1 AND id < 20"
            self.assertEqual(await conn.execute(update, 11), "UPDATE 2")
            rows = "SELECT id FROM note WHERE id BETWEEN 11 AND 13"
            self.assertEqual(await conn.execute(rows), "SELECT 3")
            self.assertEqual(
                await conn.execute("DELETE FROM note WHERE id = 11"), "DELETE 1"
            )

    async def test_prepared_statement(self):
        async with self.caller() as conn:
            statement = await conn.prepare("SELECT $1::int + 1 AS next")
            self.assertEqual([a.name for a in statement.get_attributes()], ["next"])
            self.assertEqual(await statement.fetchval(1), 2)
            self.assertEqual(await statement.fetchval(5), 6)

    async def test_returning(self):
        async with self.caller() as conn:
            insert = "INSERT INTO note (id, body) VALUES ($1, $2) RETURNING id, body"
            self.assertEqual(tuple(await conn.fetchrow(insert, 31, "r")), (31, "r"))

    async def test_portal_fetched_in_parts(self):
        async with self.caller() as conn, conn.transaction():
            cursor = await conn.cursor("SELECT g FROM generate_series(1, 10) AS g")
            self.assertEqual(
                [int(row[0]) for row in await cursor.fetch(4)], [1, 2, 3, 4]
            )
            self.assertEqual(await conn.fetchval("SELECT 7"), 7)
            self.assertEqual(
                [int(row[0]) for row in await cursor.fetch(4)], [5, 6, 7, 8]
            )
            self.assertEqual([int(row[0]) for row in await cursor.fetch(4)], [9, 10])

    async def test_error_fields(self):
        async with self.caller() as conn:
            await conn.execute("INSERT INTO note VALUES (41, 'once')")
            with self.assertRaises(asyncpg.UniqueViolationError) as caught:
                await conn.execute("INSERT INTO note VALUES (41, 'twice')")
            self.assertEqual(caught.exception.table_name, "note")
            self.assertEqual(caught.exception.constraint_name, "note_key")
            self.assertIn("already exists", caught.exception.detail)
            with self.assertRaises(asyncpg.UndefinedTableError):
                await conn.fetch("SELECT * FROM nowhere")
            self.assertEqual(await conn.fetchval("SELECT 1"), 1)

    async def test_failed_transaction(self):
        async with self.caller() as conn:
            await conn.execute("BEGIN")
            await conn.execute("INSERT INTO note VALUES (51, 'lost')")
            with self.assertRaises(asyncpg.UndefinedTableError):
                await conn.execute("SELECT * FROM nowhere")
            self.assertTrue(conn.is_in_transaction())
            with self.assertRaises(asyncpg.InFailedSQLTransactionError):
                await conn.fetchval("SELECT 1")
            self.assertEqual(await conn.execute("COMMIT"), "ROLLBACK")
            self.assertFalse(conn.is_in_transaction())
            left = await conn.fetchval("SELECT count(*) FROM note WHERE id = 51")
            self.assertEqual(left, 0)

    async def test_savepoint(self):
        async with self.caller() as conn:
            async with conn.transaction():
                await conn.execute("INSERT INTO note VALUES (61, 'kept')")
                with self.assertRaises(asyncpg.UniqueViolationError):
                    async with conn.transaction():
                        await conn.execute("INSERT INTO note VALUES (62, 'gone')")
                        await conn.execute("INSERT INTO note VALUES (61, 'again')")
                await conn.execute("INSERT INTO note VALUES (63, 'kept')")
            rows = await conn.fetch("SELECT id FROM note WHERE id BETWEEN 61 AND 63")
            self.assertEqual([row["id"] for row in rows], [61, 63])

    async def test_pool_of_connections(self):
        port = self.fleet.ports["caller-p1"]
        pool = await asyncpg.create_pool(
            host="127.0.0.1",
            port=port,
            user="checkout",
            password="checkout-secret",
            database="shop",
            ssl=False,
            min_size=1,
            max_size=2,
        )
        async with pool:
            for number in range(4):
                found = await pool.fetchval("SELECT $1::int", number)
                self.assertEqual(found, number)

    async def test_notice(self):
        async with self.caller() as conn:
            notices = []
            conn.add_log_listener(lambda _, message: notices.append(message))
            self.assertEqual(await conn.execute("COMMIT"), "COMMIT")
            await self.until(lambda: notices)
            self.assertEqual(notices[0].sqlstate, "25P01")

    async def test_empty_query(self):
        async with self.caller() as conn:
            self.assertEqual(await conn.fetch(""), [])
            self.assertEqual(await conn.fetchval("SELECT 1"), 1)


class TestPsycopg(WireCase):
    async def test_empty_query(self):
        async with self.psycopg_caller(autocommit=True) as conn:
            for text in ("", " ; -- nothing"):
                cursor = await conn.execute(text)
                self.assertEqual(
                    cursor.pgresult.status, psycopg.pq.ExecStatus.EMPTY_QUERY
                )

    async def test_values_in_text_and_binary(self):
        async with self.psycopg_caller(autocommit=True) as conn:
            marks = ", ".join(["%s"] * len(VALUES))
            done = await conn.execute(f"INSERT INTO item VALUES ({marks})", VALUES)
            self.assertEqual(done.statusmessage, "INSERT 0 1")
            for binary in (False, True):
                cursor = conn.cursor(binary=binary)
                await cursor.execute("SELECT * FROM item WHERE id = %s", (1,))
                self.assertEqual(await cursor.fetchone(), VALUES)

    async def test_transaction_block(self):
        async with self.psycopg_caller() as conn:
            await conn.execute("INSERT INTO note VALUES (%s, %s)", (101, "x"))
            await conn.rollback()
            await conn.execute("INSERT INTO note VALUES (%s, %s)", (102, "y"))
            await conn.commit()
            found = await conn.execute("SELECT id FROM note WHERE id IN (101, 102)")
            self.assertEqual(await found.fetchall(), [(102,)])

    async def test_prepared_and_many(self):
        async with self.psycopg_caller(autocommit=True, prepare_threshold=0) as conn:
            cursor = conn.cursor()
            rows = [(number, "m") for number in range(201, 206)]
            await cursor.executemany("INSERT INTO note VALUES (%s, %s)", rows)
            count = "SELECT count(*) FROM note WHERE id BETWEEN %s AND %s"
            for _ in range(3):
                found = await conn.execute(count, (201, 299))
                self.assertEqual(await found.fetchone(), (5,))

    async def test_batch_is_one_transaction(self):
        async with self.psycopg_caller(autocommit=True) as conn:
            batch = (
                "INSERT INTO note VALUES (301, 'a'); INSERT INTO note VALUES (301, 'b')"
            )
            with self.assertRaises(psycopg.errors.UniqueViolation):
                await conn.execute(batch)
            left = await conn.execute("SELECT count(*) FROM note WHERE id = 301")
            self.assertEqual(await left.fetchone(), (0,))
            batch = "INSERT INTO note VALUES (302, 'a'); SELECT body FROM note"
            cursor = await conn.execute(batch + " WHERE id = 302")
            self.assertEqual(cursor.statusmessage, "INSERT 0 1")
            cursor.nextset()
            self.assertEqual(await cursor.fetchall(), [("a",)])

    async def test_pipeline_is_one_transaction(self):
        async with self.psycopg_caller(autocommit=True) as conn:
            insert = "INSERT INTO note VALUES (%s, %s)"
            with self.assertRaises(psycopg.errors.UniqueViolation):
                async with conn.pipeline():
                    await conn.execute(insert, (401, "a"))
                    await conn.execute(insert, (401, "b"))
            left = await conn.execute("SELECT count(*) FROM note WHERE id = 401")
            self.assertEqual(await left.fetchone(), (0,))
            async with conn.pipeline():
                await conn.execute(insert, (402, "a"))
                await conn.execute(insert, (403, "b"))
            found = await conn.execute("SELECT count(*) FROM note WHERE id > 401")
            self.assertEqual(await found.fetchone(), (2,))

    async def test_large_answer_is_streamed(self):
        process = psutil.Process(self.fleet.processes.pid("p1"))
        async with self.psycopg_caller(autocommit=True) as conn:
            filler = "x" * 500
            before = process.memory_info().rss
            peak, count = before, 0
            query = "SELECT g, %s::text AS filler FROM generate_series(1, 60000) AS g"
            async for row in conn.cursor().stream(query, (filler,)):
                count += 1
                self.assertEqual((int(row[0]), row[1]), (count, filler))
                if count % 2000 == 0:
                    await asyncio.sleep(0.005)
                    peak = max(peak, process.memory_info().rss)
            self.assertEqual(count, 60_000)
            self.assertLess(
                peak - before,
                12 * _MIB,
                "the proxy buffered the answer instead of streaming it",
            )

    async def test_cancel_ends_only_the_statement_of_its_connection(self):
        async with (
            self.psycopg_caller(autocommit=True) as first,
            self.psycopg_caller(autocommit=True) as second,
        ):
            long = asyncio.create_task(first.execute("SELECT pg_sleep(60)"))
            other = asyncio.create_task(second.execute("SELECT pg_sleep(0.6), 1"))
            await asyncio.sleep(0.3)
            await asyncio.to_thread(first.cancel)
            with self.assertRaises(psycopg.errors.QueryCanceled):
                await long
            self.assertIsNotNone(await (await other).fetchone())
            await asyncio.to_thread(first.cancel)
            found = await first.execute("SELECT 5")
            self.assertEqual(await found.fetchone(), (5,))


class TestRefusals(WireCase):
    async def test_statement_too_large(self):
        async with self.caller() as conn:
            for size in (_LIMIT_BYTES, 20 * _LIMIT_BYTES):
                async with self.refused("54000", "1003 statement_too_large"):
                    await conn.execute(f"SELECT '{'x' * size}'")
                self.assertEqual(await conn.fetchval("SELECT 1"), 1)

    async def test_unsupported_features(self):
        async with self.caller() as conn:
            for text in (
                "COPY note FROM STDIN",
                "LISTEN news",
                "NOTIFY news",
                "SELECT pg_advisory_lock(1)",
                "CREATE TEMP TABLE x (a int)",
                "SET some.thing = 1",
                "PREPARE p AS SELECT 1",
            ):
                with self.subTest(text):
                    async with self.refused("0A000", "1004 unsupported_feature"):
                        await conn.execute(text)
                    self.assertEqual(await conn.fetchval("SELECT 1"), 1)

    async def test_login(self):
        async with self.refused("3D000", "1001 unknown_service; outcome: not run"):
            await asyncpg.connect(**self.login(database="nowhere"))
        for login in (self.login(user="stranger"), self.login(password="wrong")):
            async with self.refused("28P01", "1002 wrong_account"):
                await asyncpg.connect(**login)

    def login(self, **changes):
        port = self.fleet.ports["caller-p1"]
        defaults = {
            "host": "127.0.0.1",
            "port": port,
            "user": "checkout",
            "password": "checkout-secret",
            "database": "shop",
            "ssl": False,
        }
        return {**defaults, **changes}

    async def test_too_many_callers(self):
        conns = []
        try:
            async with self.refused("53300", "1005 too_many_callers"):
                for _ in range(40):
                    conns.append(await self.fleet.connect("p1"))
            self.assertEqual(len(conns), 25)
        finally:
            for conn in conns:
                await conn.close()
        await self.until(lambda: self.fleet.connect("p1"))

    async def test_deadline(self):
        async with self.caller() as conn:
            await conn.execute("SET rosemaryridge.deadline = '0.3'")
            async with self.refused("57014", "4007 read_deadline; outcome: not run"):
                await conn.fetch("SELECT pg_sleep(30), count(*) FROM note")
            async with self.refused("57014", "4004 deadline_passed; outcome: unknown"):
                await conn.execute("UPDATE note SET body = pg_sleep(30)")
            await conn.execute("RESET rosemaryridge.deadline")
            self.assertEqual(await conn.fetchval("SELECT 1"), 1)


class TestSettings(WireCase):
    async def test_values_are_checked(self):
        async with self.caller() as conn:
            for name, value in (("max_age", "-1"), ("color", "red")):
                async with self.refused("22023", "1008 bad_setting"):
                    await conn.execute(f"SET rosemaryridge.{name} = '{value}'")
            await conn.execute("SET rosemaryridge.max_age = 2.5")
            self.assertEqual(await conn.fetchval("SHOW rosemaryridge.max_age"), "2.5")

    async def test_local_settings_end_with_their_transaction(self):
        async with self.caller() as conn:
            show = "SHOW rosemaryridge.priority"
            async with conn.transaction():
                await conn.execute("SET LOCAL rosemaryridge.priority = 'critical'")
                self.assertEqual(await conn.fetchval(show), "critical")
            self.assertEqual(await conn.fetchval(show), "")

    async def test_settings_belong_to_the_caller_not_to_the_target_connection(self):
        async with self.caller() as first, self.caller() as second:
            await first.execute("SET search_path = 'mine'")
            show = "SHOW search_path"
            self.assertEqual(await first.fetchval(show), "mine")
            for _ in range(3):
                await first.fetchval("SELECT 1")
                self.assertEqual(await second.fetchval(show), "")

    async def value_on_primary(self, conn, name="search_path"):
        """Return a setting as a write transaction of a caller sees it."""
        async with conn.transaction():
            await conn.execute("UPDATE note SET body = 'b' WHERE id = 0")
            return await conn.fetchval(f"SHOW {name}")

    async def test_a_value_set_in_a_transaction_stays_with_its_caller(self):
        # The connection kept it, and statements of other callers ran with it.
        async with self.caller() as first, self.caller() as second:
            async with first.transaction():
                await first.execute("SET search_path = 'mine'")
            self.assertEqual(await self.value_on_primary(second), "")
            self.assertEqual(await self.value_on_primary(first), "mine")

    async def test_a_value_set_in_a_batch_stays_with_its_caller(self):
        # It was acknowledged, and the caller's next statements ran without it.
        async with self.caller() as first, self.caller() as second:
            update = "UPDATE note SET body = 'b' WHERE id = 0"
            await first.execute(f"{update}; SET search_path = 'mine'")
            self.assertEqual(await self.value_on_primary(second), "")
            self.assertEqual(await self.value_on_primary(first), "mine")

    async def test_a_value_that_was_rolled_back_stays_nowhere(self):
        async with self.caller() as first, self.caller() as second:
            await first.execute("BEGIN")
            await first.execute("SET search_path = 'mine'")
            await first.execute("ROLLBACK")
            for conn in (first, second):
                self.assertEqual(await self.value_on_primary(conn), "")
            async with first.transaction():
                await first.execute("SAVEPOINT a")
                await first.execute("SET search_path = 'mine'")
                await first.execute("ROLLBACK TO SAVEPOINT a")
            for conn in (first, second):
                self.assertEqual(await self.value_on_primary(conn), "")

    async def test_a_statement_whose_values_are_refused_does_not_run(self):
        async with self.caller() as first, self.caller() as second:
            await first.execute("INSERT INTO note VALUES (711, 'before')")
            await first.execute("SET statement_timeout = 'soon'")
            with self.assertRaises(asyncpg.InvalidParameterValueError):
                await first.execute("UPDATE note SET body = 'after' WHERE id = 711")
            outcome = await first.fetchval("SHOW rosemaryridge.outcome")
            self.assertEqual(outcome, "not run")
            with self.assertRaises(asyncpg.InvalidParameterValueError):
                async with first.transaction():
                    await first.execute("UPDATE note SET body = 'x' WHERE id = 711")
            await first.execute("RESET statement_timeout")
            for conn in (first, second):
                read = "SELECT body FROM note WHERE id = 711"
                self.assertEqual(await conn.fetchval(read), "before")
                value = await self.value_on_primary(conn, "statement_timeout")
                self.assertEqual(value, "")

    async def test_token_and_comment(self):
        async with self.caller() as first, self.caller() as second:
            await first.execute("INSERT INTO note VALUES (501, 'mine')")
            token = await first.fetchval("SHOW rosemaryridge.token")
            read = f"/* rosemaryridge.token='{token}' */ SELECT body FROM note"
            self.assertEqual(await second.fetchval(f"{read} WHERE id = 501"), "mine")

    async def test_token_comes_with_answers_if_enabled(self):
        async with self.caller() as conn, self.caller() as other:
            await conn.execute("SET rosemaryridge.report_token = on")
            for text in (
                "INSERT INTO note VALUES (505, 'a')",
                "BEGIN; INSERT INTO note VALUES (506, 'b'); COMMIT",
            ):
                await conn.execute(text)
                reported = getattr(conn.get_settings(), "rosemaryridge.token")
                shown = await conn.fetchval("SHOW rosemaryridge.token")
                self.assertEqual(reported, shown)
            await other.execute("INSERT INTO note VALUES (507, 'c')")
            reported = getattr(other.get_settings(), "rosemaryridge.token", None)
            self.assertIsNone(reported)

    async def test_token_covers_what_was_read(self):
        async with self.caller() as writer, self.caller() as reader:
            await writer.execute("INSERT INTO note VALUES (511, 'seen')")
            written = parse_token(await writer.fetchval("SHOW rosemaryridge.token"))
            seen = "SELECT body FROM note WHERE id = 511"
            await self.until(lambda: reader.fetchval(seen))
            read = parse_token(await reader.fetchval("SHOW rosemaryridge.token"))
            self.assertGreaterEqual(read.position, written.position)

    async def test_request_key(self):
        async with self.caller() as conn:
            insert = "INSERT INTO note VALUES ($1, $2) RETURNING id"
            for _ in range(3):
                await conn.execute("SET rosemaryridge.request_key = 'claim-1'")
                self.assertEqual(await conn.fetchval(insert, 601, "once"), 601)
            await conn.execute("SET rosemaryridge.request_key = 'claim-1'")
            async with self.refused("22023", "4009 key_mismatch; outcome: not run"):
                await conn.fetchval(insert, 602, "other")

    async def test_looking_up_a_key_refuses_its_later_request(self):
        async with self.caller() as conn:
            await conn.execute("SET rosemaryridge.request_key = 'claim-2'")
            outcome = await conn.fetchval("SHOW rosemaryridge.outcome")
            self.assertEqual(outcome, "not run")
            await conn.execute("SET rosemaryridge.request_key = 'claim-2'")
            async with self.refused("55000", "4008 key_not_run; outcome: not run"):
                await conn.execute("INSERT INTO note VALUES (701, 'late')")
