import unittest

from rosemaryridge.timer import ManualTimer


class ManualTimerTest(unittest.TestCase):
    def test_calls_back_in_order_of_time(self):
        timer = ManualTimer()
        fired = []
        timer.after(2.0, lambda: fired.append("late"))
        timer.after(1.0, lambda: fired.append("early"))
        timer.advance(3.0)
        self.assertEqual(fired, ["early", "late"])

    def test_repeats_until_cancelled(self):
        timer = ManualTimer()
        fired = []
        subscription = timer.every(1.0, lambda: fired.append(timer.now()))
        timer.advance(2.5)
        subscription.cancel()
        timer.advance(5.0)
        self.assertEqual(fired, [1.0, 2.0])


if __name__ == "__main__":
    unittest.main()
