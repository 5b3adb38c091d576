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


def only(text):
    (statement,) = parse_statements(text)
    return statement


class TestClassify(unittest.TestCase):
    def test_reads(self):
        for text in READS:
            with self.subTest(text):
                self.assertTrue(only(text).is_read(), only(text))

    def test_what_is_not_proven_a_read_is_a_write(self):
        for text in WRITES:
            with self.subTest(text):
                self.assertIs(only(text).kind, StatementClass.WRITE)

    def test_unsupported(self):
        for text in UNSUPPORTED:
            with self.subTest(text):
                self.assertIs(only(text).kind, StatementClass.UNSUPPORTED)

    def test_functions_need_to_be_listed(self):
        for call in ("f(1)", "nextval('s')", "mine.lower('x')", '"Lower"(1)'):
            with self.subTest(call):
                self.assertFalse(only(f"select {call}").is_read())
        listed = frozenset(("f", "mine.lower"))
        self.assertTrue(only("select f(1), Mine.Lower('x')").is_read(listed))

    def test_transaction_control(self):
        self.assertTrue(only("BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY").read_only)
        self.assertFalse(only("start transaction read write").read_only)
        self.assertTrue(only("COMMIT AND CHAIN").chain)
        self.assertFalse(only("commit and no chain").chain)
        self.assertIs(only("rollback to savepoint a").kind, StatementClass.SAVEPOINT)
        self.assertIs(only("abort").kind, StatementClass.ROLLBACK)
        self.assertTrue(only("set transaction read only").read_only)

    def test_session_state(self):
        statement = only("/* c */ SET rosemaryridge.session TO 'a;b'")
        self.assertEqual(statement.name, "rosemaryridge.session")
        self.assertEqual(statement.value, "'a;b'")
        self.assertTrue(only("set local x = 1").local)
        self.assertEqual(only("set time zone 'UTC'").name, "timezone")
        self.assertEqual(only("SHOW rosemaryridge.token").name, "rosemaryridge.token")
        self.assertEqual(only("discard all").name, "all")


class TestParameters(unittest.TestCase):
    def test_casts_each_parameter_outside_of_text(self):
        text = "select $1, $2, '$1', a$1, $$ $1 $$ from t where b = $1 -- $1"
        expected = (
            "select $1::int2, $2, '$1', a$1, $$ $1 $$ from t where b = $1::int2 -- $1"
        )
        self.assertEqual(cast_parameters(text, ("int2", "")), expected)

    def test_undeclared_types_change_nothing(self):
        self.assertEqual(cast_parameters("select $1", ("",)), "select $1")


class TestSplit(unittest.TestCase):
    def texts(self, text):
        return [statement.text.strip() for statement in parse_statements(text)]

    def test_keeps_each_statement_as_written(self):
        text = "select  ';' ; explain select 1; INSERT INTO t VALUES (';');;"
        expected = ["select  ';'", "explain select 1", "INSERT INTO t VALUES (';')"]
        self.assertEqual(self.texts(text), expected)

    def test_a_command_ends_at_its_semicolon(self):
        kinds = [part.kind for part in parse_statements("show x; delete from t")]
        self.assertEqual(kinds, [StatementClass.SHOW, StatementClass.WRITE])

    def test_a_function_body_stays_whole(self):
        text = (
            "create function f() returns int begin atomic "
            "select case when true then 1 end; select 2; end; select 1"
        )
        self.assertEqual(len(self.texts(text)), 2)

    def test_empty(self):
        self.assertEqual(parse_statements(" ; -- nothing\n"), ())


class TestSettings(unittest.TestCase):
    def test_leading_comment(self):
        text = "/* rosemaryridge.session='a b', rosemaryridge.max_age=2 */ select 1"
        settings, rest = split_leading_settings(text)
        self.assertEqual(settings, (("session", "a b"), ("max_age", "2")))
        self.assertEqual(rest.strip(), "select 1")

    def test_other_comments_stay(self):
        text = "/* hint */ select 'rosemaryridge.session=x'"
        self.assertEqual(split_leading_settings(text), ((), text))


class TestCache(unittest.TestCase):
    def test_remembers_the_last_used(self):
        cache = StatementCache(2)
        first = cache.statements("select 1")
        cache.statements("select 2")
        self.assertIs(cache.statements("select 1"), first)
        cache.statements("select 3")
        self.assertIs(cache.statements("select 1"), first)
        cache.statements("select 2")
        self.assertEqual((cache.hits, cache.misses), (2, 4))
