"""Test the emulated platform's store and rate limits."""

import unittest

from rosemaryridge_testbed.platform import Conflict
from rosemaryridge_testbed.platform import Store
from rosemaryridge_testbed.platform import TooLarge
from rosemaryridge_testbed.platform._store import RateLimit


class StoreTest(unittest.TestCase):
    def test_versions_are_store_wide_and_never_used_twice(self):
        store = Store()
        first = store.put("a", "x", "1", 0)
        second = store.put("b", "y", "1", 0)
        third = store.put("a", "x", "2", first.version)
        versions = [first.version, second.version, third.version]
        self.assertEqual(versions, [1, 2, 3])

    def test_conditional_write(self):
        store = Store()
        store.put("a", "x", "1", 0)
        with self.assertRaises(Conflict) as caught:
            store.put("a", "x", "2", 0)
        self.assertEqual(caught.exception.version, 1)

    def test_value_limit(self):
        with self.assertRaises(TooLarge):
            Store().put("a", "x", "1" * ((1 << 20) + 1), 0)

    def test_changes_since(self):
        store = Store()
        store.put("a", "x", "1", 0)
        store.put("a", "y", "1", 0)
        self.assertEqual([item.name for item in store.list("a", 1)], ["y"])


class RateLimitTest(unittest.TestCase):
    def test_refuses_above_the_rate_and_recovers(self):
        limit = RateLimit(2.0, 0.0)
        self.assertEqual([limit.acquire(0.0), limit.acquire(0.0)], [0.0, 0.0])
        self.assertAlmostEqual(limit.acquire(0.0), 0.5)
        self.assertEqual(limit.acquire(0.5), 0.0)


if __name__ == "__main__":
    unittest.main()
