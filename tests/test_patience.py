"""Test how long a silent connection is waited for."""

import unittest

from rosemaryridge.proxy._patience import Patience


class TestPatience(unittest.TestCase):
    def test_each_silence_makes_the_next_wait_longer(self):
        patience = Patience(2.0)
        self.assertEqual(patience.seconds("a", 0), 2.0)
        self.assertEqual(patience.seconds("a", 1), 8.0)

    def test_a_slow_statement_is_given_its_time(self):
        patience = Patience(2.0)
        patience.answered("slow", 3.0)
        patience.answered("fast", 0.1)
        self.assertEqual(patience.seconds("slow", 0), 12.0)
        self.assertEqual(patience.seconds("fast", 0), 2.0)

    def test_it_fades_once_the_statement_is_fast(self):
        patience = Patience(2.0)
        patience.answered("slow", 3.0)
        for _ in range(20):
            patience.answered("slow", 0.1)
        self.assertEqual(patience.seconds("slow", 0), 2.0)

    def test_it_is_bounded(self):
        patience = Patience(2.0, size=2)
        for text in ("a", "b", "c"):
            patience.answered(text, 1.0)
        self.assertEqual(patience.seconds("a", 0), 2.0)
        self.assertEqual(patience.seconds("c", 0), 4.0)
