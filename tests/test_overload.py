import unittest

from rosemaryridge_testbed.experiments._overload import amplification
from rosemaryridge_testbed.experiments._overload import goodput
from rosemaryridge_testbed.experiments._routing import _Fleet

MAX_ATTEMPTS_PER_REQUEST = 1.1
MIN_GOODPUT_RATIO = 0.9


class OverloadTest(unittest.TestCase):
    def test_retries_do_not_amplify_while_a_target_refuses_half(self):
        for load in (0.5, 2.0):
            row = amplification(5, 0.5, load)
            attempts = row["attempts/requests"]
            self.assertLessEqual(attempts, MAX_ATTEMPTS_PER_REQUEST, row)

    def test_goodput_stays_near_its_peak_at_three_times_the_capacity(self):
        peak = max(goodput(5, load) for load in (0.9, 1.0, 1.2))
        self.assertGreaterEqual(goodput(5, 3.0), MIN_GOODPUT_RATIO * peak)


class RoutingPolicyTest(unittest.TestCase):
    def test_power_of_two_avoids_a_lossy_replica_without_oscillation(self):
        fleet = _Fleet(5, "power_of_two", "lossy")
        fleet.run()
        self.assertLess(fleet.failed / len(fleet.latencies_s), 0.03)
        self.assertLess(fleet.max_replica_share(), 0.6)


if __name__ == "__main__":
    unittest.main()
