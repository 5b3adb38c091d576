"""Test that the checker reports each violation, and none in a correct history."""

import unittest

import hypothesis
from hypothesis import strategies as st

from rosemaryridge.model import Outcome
from rosemaryridge.model import Position
from rosemaryridge_testbed.history import History
from rosemaryridge_testbed.history import Promise
from rosemaryridge_testbed.history import Promotion
from rosemaryridge_testbed.history import Read
from rosemaryridge_testbed.history import Row
from rosemaryridge_testbed.history import Stray
from rosemaryridge_testbed.history import Write
from rosemaryridge_testbed.history import check

DONE, NOT_RUN, UNKNOWN = Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN


def write(key, at, outcome=DONE, session="s", **more):
    return Write(session, key, at, at + 0.5, outcome, **more)


def read(at, *keys, session="s", owner="s"):
    return Read(session, at, at + 0.5, tuple(Row(owner, key) for key in keys))


def rows(*keys, session="s"):
    return tuple(Row(session, key) for key in keys)


class TestViolations(unittest.TestCase):
    def assert_reported(self, promise, writes=(), reads=(), final=(), promotions=()):
        history = History(tuple(writes), tuple(reads), tuple(final), tuple(promotions))
        self.assertIn(promise, {finding.promise for finding in check(history)})

    def test_lost_write(self):
        self.assert_reported(Promise.DURABLE, [write("a", 1)])

    def test_doubled_write(self):
        self.assert_reported(Promise.ONCE, [write("a", 1)], final=rows("a", "a"))

    def test_unknown_write_that_ran_twice(self):
        writes = [write("a", 1, UNKNOWN)]
        self.assert_reported(Promise.ONCE, writes, final=rows("a", "a"))

    def test_partial_transaction(self):
        writes = [write("a", 1, rows=2)]
        self.assert_reported(Promise.ATOMIC, writes, final=rows("a"))

    def test_partial_transaction_in_a_read(self):
        writes = [write("a", 1, rows=2)]
        self.assert_reported(Promise.ATOMIC, writes, [read(2, "a")], rows("a", "a"))

    def test_refused_write_that_ran(self):
        writes = [write("a", 1, NOT_RUN)]
        self.assert_reported(Promise.NOT_RUN, writes, final=rows("a"))

    def test_refused_write_that_was_read(self):
        self.assert_reported(Promise.NOT_RUN, [write("a", 1, NOT_RUN)], [read(2, "a")])

    def test_own_write_not_read(self):
        self.assert_reported(Promise.OWN_WRITES, [write("a", 1)], [read(2)], rows("a"))

    def test_read_older_than_an_earlier_read(self):
        writes = [write("a", 0, UNKNOWN)]
        reads = [read(1, "a"), read(2)]
        self.assert_reported(Promise.MONOTONIC, writes, reads, rows("a"))

    def test_read_of_a_row_that_is_lost_later(self):
        self.assert_reported(Promise.LASTING, [write("a", 0, UNKNOWN)], [read(1, "a")])

    def test_answer_of_another_caller(self):
        reads = [read(1, "a", owner="other")]
        self.assert_reported(Promise.OWN_ANSWER, (), reads, rows("a", session="other"))

    def test_error_of_another_transaction(self):
        history = History((), (), (), (), (Stray("s", "25P02"),))
        self.assertEqual(check(history)[0].promise, Promise.ISOLATED)

    def test_acknowledged_by_a_replaced_primary(self):
        writes = [write("a", 5, position=Position(1, 9))]
        promotions = [Promotion(2, 4.0)]
        self.assert_reported(Promise.CURRENT_TERM, writes, (), rows("a"), promotions)


@st.composite
def sound_histories(draw):
    """Run requests of two sessions, one at a time, against a single correct copy."""
    committed, writes, reads = [], [], []
    for index in range(draw(st.integers(0, 12))):
        session = draw(st.sampled_from("xy"))
        at = float(index)
        if draw(st.booleans()):
            own = tuple(row for row in committed if row.session == session)
            reads.append(Read(session, at, at + 0.5, own))
            continue
        outcome = draw(st.sampled_from(Outcome))
        count = draw(st.integers(1, 3))
        ran = outcome is DONE or (outcome is UNKNOWN and draw(st.booleans()))
        writes.append(Write(session, str(index), at, at + 0.5, outcome, count))
        committed.extend([Row(session, str(index))] * count if ran else [])
    return History(tuple(writes), tuple(reads), tuple(committed))


class SoundHistories(unittest.TestCase):
    @hypothesis.given(sound_histories())
    def test_nothing_is_found(self, history):
        self.assertEqual(check(history), ())

    @hypothesis.given(sound_histories(), st.data())
    def test_a_dropped_row_is_found(self, history, data):
        done = {write.key for write in history.writes if write.outcome is DONE}
        at = [i for i, row in enumerate(history.final) if row.key in done]
        hypothesis.assume(at)
        index = data.draw(st.sampled_from(at))
        final = history.final[:index] + history.final[index + 1 :]
        broken = History(history.writes, history.reads, final)
        self.assertNotEqual(check(broken), ())

    def test_a_read_that_overlaps_its_write_may_miss_it(self):
        writes = (Write("s", "a", 1.0, 3.0, DONE),)
        history = History(writes, (Read("s", 2.0, 4.0, ()),), rows("a"))
        self.assertEqual(check(history), ())


if __name__ == "__main__":
    unittest.main()
