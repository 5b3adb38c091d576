"""Test the emulated target's rules without processes."""

import unittest

from pg_mimic import PgError
from pg_mimic import types as oids

from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge_testbed.target._engine import Engine
from rosemaryridge_testbed.target._knobs import Knobs
from rosemaryridge_testbed.target._log import Entry
from rosemaryridge_testbed.target._log import Log
from rosemaryridge_testbed.target._member import Member
from rosemaryridge_testbed.target._member import Promise
from rosemaryridge_testbed.target._sql import Kind
from rosemaryridge_testbed.target._sql import parse
from rosemaryridge_testbed.target._sql import parse_control
from rosemaryridge_testbed.target._sql import split_statements

SCHEMA = {"t": {"id": "BIGINT", "v": "TEXT", "at": "TIMESTAMPTZ"}}


def insert(number):
    return ("INSERT INTO t VALUES (:p1)", {"p1": number})


class MemberTest(unittest.TestCase):
    def setUp(self):
        engine = Engine()
        self.addCleanup(engine.close)
        engine.applier.run("CREATE TABLE t (id)", {})
        promise = Promise(Role.PRIMARY, 1, 1)
        self.member = Member("a", promise, Log(), engine, Knobs())

    def refused(self, verb, *args):
        with self.assertRaises(PgError) as caught:
            verb(*args)
        self.assertEqual(caught.exception.sqlstate, "RR001")

    def test_fence_stops_writes_until_promoted(self):
        self.member.fence(2, "c")
        self.assertFalse(self.member.writable)
        self.member.promote(2, "c")
        self.assertTrue(self.member.writable)
        self.assertEqual(self.member.log.last, Position(2, 1))

    def test_one_candidate_a_term(self):
        self.member.fence(2, "c")
        self.member.fence(2, "c")
        self.refused(self.member.fence, 2, "d")
        self.refused(self.member.fence, 1, "c")
        self.refused(self.member.promote, 2, "d")

    def test_promotion_is_repeatable(self):
        self.member.fence(2, "c")
        self.member.promote(2, "c")
        self.member.promote(2, "c")
        self.assertEqual(len(self.member.log.entries), 1)

    def test_primary_does_not_follow_in_its_own_term(self):
        self.refused(self.member.follow, 1, "h:1")
        self.member.follow(2, "h:1")
        self.assertEqual(self.member.promise.role, Role.REPLICA)
        self.refused(self.member.follow, 1, "h:2")

    def test_follower_hides_its_data_until_its_tail_is_checked(self):
        self.member.append_commit((insert(1),))
        self.member.follow(2, "h:1")
        self.assertEqual(self.member.applied, Position())
        self.assertEqual(self.member.log.last, Position(1, 1))
        self.member.rewind(1)
        self.assertEqual(self.member.applied, Position(1, 1))

    def test_rewind_undoes_the_tail(self):
        engine = self.member.engine
        self.member.append_commit((("CREATE TABLE t (id)", {}),))
        for number in (1, 2):
            engine.applier.run(*insert(number))
            self.member.append_commit((insert(number),))
        self.member.follow(2, "h:1")
        self.member.rewind(2)
        rows = engine.applier.run("SELECT id FROM t", {}).fetchall()
        self.assertEqual(rows, [(1,)])
        self.assertEqual(self.member.applied, Position(1, 2))


class LogTest(unittest.TestCase):
    def test_shared_part_ends_where_terms_differ(self):
        log = Log()
        for lsn, term in enumerate((1, 1, 2, 2), 1):
            log.append(Entry(term, lsn, ""))
        self.assertEqual(log.common_length([1, 1, 1, 1, 1]), 2)
        self.assertEqual(log.common_length([1, 1, 2]), 3)
        self.assertEqual(log.common_length([1, 1, 2, 2, 2]), 4)
        self.assertEqual(log.common_length([]), 0)


class SqlTest(unittest.TestCase):
    def params(self, sql):
        return parse(sql, SCHEMA).params

    def test_parameter_types(self):
        wanted = (oids.INT8, oids.TEXT, oids.TIMESTAMPTZ)
        self.assertEqual(self.params("INSERT INTO t VALUES ($1,$2,$3)"), wanted)
        self.assertEqual(self.params("SELECT v FROM t WHERE id=$1"), wanted[:1])
        self.assertEqual(self.params("UPDATE t SET v=$2 WHERE id=$1"), wanted[:2])
        self.assertEqual(self.params("SELECT pg_sleep($1)"), (oids.FLOAT8,))

    def test_columns(self):
        parsed = parse("SELECT *, count(*), id AS x FROM t FOR UPDATE", SCHEMA)
        names = [(column.name, column.oid) for column in parsed.columns]
        wanted = [("id", oids.INT8), ("v", oids.TEXT), ("at", oids.TIMESTAMPTZ)]
        self.assertEqual(names, [*wanted, ("count", oids.INT8), ("x", oids.INT8)])

    def test_kinds(self):
        self.assertEqual(parse("SELECT 1", {}).kind, Kind.READ)
        cte = "WITH x AS (INSERT INTO t (id) VALUES (1) RETURNING id) SELECT * FROM x"
        self.assertEqual(parse(cte, SCHEMA).kind, Kind.WRITE)
        self.assertEqual(parse_control("/* c */ begin;").kind, Kind.BEGIN)
        self.assertEqual(parse_control("ROLLBACK TO SAVEPOINT a").args, ("a",))
        self.assertIsNone(parse_control("SELECT 1"))

    def test_syntax_error(self):
        with self.assertRaises(PgError) as caught:
            parse("SELEC 1", {})
        self.assertEqual(caught.exception.sqlstate, "42601")

    def test_split(self):
        self.assertEqual(
            split_statements("SELECT ';'; COMMIT;"), ["SELECT ';'", " COMMIT"]
        )


if __name__ == "__main__":
    unittest.main()
