"""Test the answer timeouts of slow and unresponsive statements."""

import unittest

from rosemaryridge.proxy._adaptive_timeout import AdaptiveTimeout


class TestAdaptiveTimeout(unittest.TestCase):
    def test_each_timeout_makes_the_next_one_longer(self):
        timeout = AdaptiveTimeout(2.0)
        self.assertEqual(timeout.timeout_s("a", 0), 2.0)
        self.assertEqual(timeout.timeout_s("a", 1), 8.0)

    def test_slow_statement_gets_a_longer_timeout(self):
        timeout = AdaptiveTimeout(2.0)
        timeout.record_answer("slow", 3.0)
        timeout.record_answer("fast", 0.1)
        self.assertEqual(timeout.timeout_s("slow", 0), 12.0)
        self.assertEqual(timeout.timeout_s("fast", 0), 2.0)

    def test_timeout_shrinks_once_the_statement_is_fast(self):
        timeout = AdaptiveTimeout(2.0)
        timeout.record_answer("slow", 3.0)
        for _ in range(20):
            timeout.record_answer("slow", 0.1)
        self.assertEqual(timeout.timeout_s("slow", 0), 2.0)

    def test_number_of_recorded_statements_is_bounded(self):
        timeout = AdaptiveTimeout(2.0, size=2)
        for text in ("a", "b", "c"):
            timeout.record_answer(text, 1.0)
        self.assertEqual(timeout.timeout_s("a", 0), 2.0)
        self.assertEqual(timeout.timeout_s("c", 0), 4.0)
