"""Test how statements are classified, split and cached."""

import unittest

from rosemaryridge.sql import StatementCache
from rosemaryridge.sql import StatementClass
from rosemaryridge.sql import cast_parameters
from rosemaryridge.sql import parse_statements
from rosemaryridge.sql import split_leading_settings

READS = (
    "select a, lower(b) from t where id = $1 and x in (1, 2) order by a limit 3",
    "(select 1) union (select 2)",
    "values (1)",
    "table t",
    "with t as (select 1) select count(*), x::numeric(10,2) from t group by 2",
    "select E'a\\'b;c', $$x;y$$",
    "select 1 -- c; d\n",
    "explain select 1",
    "select pg_catalog.lower('X')",
    "select * from t where a = $1 and b = any($2) and c in ($3, $4) limit $5",
)
WRITES = (
    "insert into t values (1)",
    "select 1 for update",
    "select * from t where a = 1 for share of t",
    "with a as (insert into t values (1) returning 1) select * from a",
    "select * into x from t",
    "explain analyze delete from t",
    "explain (analyze) select 1",
    "explain (costs, analyze true) select 1",
    "do $$ begin perform 1; end $$",
    "call f()",
    "truncate t",
    "select from where",
    "select 'unfinished",
    "vacuum",
)
UNSUPPORTED = (
    "copy t from stdin",
    "listen a",
    "notify a",
    "prepare x as select 1",
    "prepare transaction 'x'",
    "commit prepared 'x'",
    "select pg_advisory_lock(1)",
    "select set_config('a', 'b', false)",
    "insert into t select pg_catalog.pg_advisory_lock(1)",
    "create temp table a (b int)",
    "declare c cursor with hold for select 1",
)


def parse_one(text):
    (statement,) = parse_statements(text)
    return statement


class TestClassify(unittest.TestCase):
    def test_reads(self):
        for text in READS:
            with self.subTest(text):
                self.assertTrue(parse_one(text).is_read(), parse_one(text))

    def test_unproven_reads_are_writes(self):
        for text in WRITES:
            with self.subTest(text):
                self.assertIs(parse_one(text).kind, StatementClass.WRITE)

    def test_unsupported_statements(self):
        for text in UNSUPPORTED:
            with self.subTest(text):
                self.assertIs(parse_one(text).kind, StatementClass.UNSUPPORTED)

    def test_unlisted_functions_are_not_reads(self):
        for call in ("f(1)", "nextval('s')", "mine.lower('x')", '"Lower"(1)'):
            with self.subTest(call):
                self.assertFalse(parse_one(f"select {call}").is_read())
        listed = frozenset(("f", "mine.lower"))
        self.assertTrue(parse_one("select f(1), Mine.Lower('x')").is_read(listed))

    def test_transaction_control(self):
        self.assertTrue(
            parse_one("BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY").read_only
        )
        self.assertFalse(parse_one("start transaction read write").read_only)
        self.assertTrue(parse_one("COMMIT AND CHAIN").chain)
        self.assertFalse(parse_one("commit and no chain").chain)
        self.assertIs(
            parse_one("rollback to savepoint a").kind, StatementClass.SAVEPOINT
        )
        self.assertIs(parse_one("abort").kind, StatementClass.ROLLBACK)
        self.assertTrue(parse_one("set transaction read only").read_only)

    def test_session_settings(self):
        statement = parse_one("/* c */ SET rosemaryridge.session TO 'a;b'")
        self.assertEqual(statement.name, "rosemaryridge.session")
        self.assertEqual(statement.value, "'a;b'")
        self.assertTrue(parse_one("set local x = 1").local)
        self.assertEqual(parse_one("set time zone 'UTC'").name, "timezone")
        self.assertEqual(
            parse_one("SHOW rosemaryridge.token").name, "rosemaryridge.token"
        )
        self.assertEqual(parse_one("discard all").name, "all")


class TestParameters(unittest.TestCase):
    def test_casts_parameters_outside_literals_and_comments(self):
        text = "select $1, $2, '$1', a$1, $$ $1 $$ from t where b = $1 -- $1"
        expected = (
            "select $1::int2, $2, '$1', a$1, $$ $1 $$ from t where b = $1::int2 -- $1"
        )
        self.assertEqual(cast_parameters(text, ("int2", "")), expected)

    def test_undeclared_types_add_no_casts(self):
        self.assertEqual(cast_parameters("select $1", ("",)), "select $1")


class TestSplit(unittest.TestCase):
    def texts(self, text):
        return [statement.text.strip() for statement in parse_statements(text)]

    def test_preserves_the_text_of_each_statement(self):
        text = "select  ';' ; explain select 1; INSERT INTO t VALUES (';');;"
        expected = ["select  ';'", "explain select 1", "INSERT INTO t VALUES (';')"]
        self.assertEqual(self.texts(text), expected)

    def test_set_behind_another_statement_is_classified(self):
        # It was refused as unsupported.
        _, statement = parse_statements("SELECT 1; SET search_path = 'mine'")
        self.assertEqual(statement.kind, StatementClass.SET)
        self.assertEqual((statement.name, statement.value), ("search_path", "'mine'"))

    def test_command_ends_at_semicolon(self):
        kinds = [part.kind for part in parse_statements("show x; delete from t")]
        self.assertEqual(kinds, [StatementClass.SHOW, StatementClass.WRITE])

    def test_function_body_is_not_split(self):
        text = (
            "create function f() returns int begin atomic "
            "select case when true then 1 end; select 2; end; select 1"
        )
        self.assertEqual(len(self.texts(text)), 2)

    def test_empty_statements_are_skipped(self):
        self.assertEqual(parse_statements(" ; -- nothing\n"), ())


class TestSettings(unittest.TestCase):
    def test_parses_settings_in_a_leading_comment(self):
        text = "/* rosemaryridge.session='a b', rosemaryridge.max_age=2 */ select 1"
        settings, rest = split_leading_settings(text)
        self.assertEqual(settings, (("session", "a b"), ("max_age", "2")))
        self.assertEqual(rest.strip(), "select 1")

    def test_other_comments_are_preserved(self):
        text = "/* hint */ select 'rosemaryridge.session=x'"
        self.assertEqual(split_leading_settings(text), ((), text))


class TestCache(unittest.TestCase):
    def test_evicts_the_least_recently_used(self):
        cache = StatementCache(2)
        first = cache.parse("select 1")
        cache.parse("select 2")
        self.assertIs(cache.parse("select 1"), first)
        cache.parse("select 3")
        self.assertIs(cache.parse("select 1"), first)
        cache.parse("select 2")
        self.assertEqual((cache.hits, cache.misses), (2, 4))
