"""Test the soak's verdict on what callers were told."""

import unittest

from rosemaryridge.model import Outcome
from rosemaryridge_testbed.soak import Ledger
from rosemaryridge_testbed.soak import Rule
from rosemaryridge_testbed.soak._ledger import Read


class TestLedger(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger()
        done, not_run, unknown = Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN
        for number, outcome in enumerate((done, not_run, unknown, done), 1):
            self.ledger.wrote("k", f"k.{number}", outcome, float(number))

    def judge(self, log, rolled_back=()):
        return dict(self.ledger.judge(log, rolled_back))

    def test_what_was_told_holds(self):
        self.assertEqual(self.judge(["k.1", "k.4"]), {})
        self.assertEqual(self.judge(["k.1", "k.3", "k.4"]), {})
        self.assertEqual(self.judge(["k.1"], rolled_back={"k.4"}), {})

    def test_a_lost_a_doubled_and_a_refused_write_are_found(self):
        self.assertEqual(self.judge(["k.1"]), {Rule.LOST: 1})
        self.assertEqual(self.judge(["k.1", "k.4", "k.4"]), {Rule.TWICE: 1})
        self.assertEqual(self.judge(["k.1", "k.2", "k.4"]), {Rule.REFUSED: 1})

    def test_a_read_must_cover_what_was_acknowledged_by_then(self):
        self.assertEqual(self.ledger.newest("k", 3.5, ()), "k.1")
        self.assertEqual(self.ledger.newest("k", 9.0, ()), "k.4")
        self.assertEqual(self.ledger.newest("k", 9.0, {"k.4"}), "k.1")
        self.ledger.reads.append(Read("k.1", "k.4", "orders", 5.0))
        self.assertEqual(self.judge(["k.1", "k.4"]), {Rule.STALE: 1})

    def test_a_write_in_doubt_may_come_after_a_later_one(self):
        self.ledger.reads.append(Read("k.3", "k.4", "orders", 5.0))
        self.assertEqual(self.judge(["k.1", "k.4", "k.3"]), {})


if __name__ == "__main__":
    unittest.main()
