"""Test that the log is limited in rate and drops lines about requests first."""

import json
import os
import unittest

from rosemaryridge.core import EventLog


class TestEventLog(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.log = EventLog("vm-1", self.writer)

    def lines(self):
        return [json.loads(line) for line in os.read(self.reader, 1 << 20).splitlines()]

    def test_requests_leave_room_for_changes_of_a_group(self):
        for number in range(500):
            self.log.write("statement", id=number)
        self.log.write("promotion_ordered", service="books")
        lines = self.lines()
        self.assertLess(len(lines), 300)
        self.assertEqual(lines[-1]["event"], "promotion_ordered")
        self.assertEqual(lines[-1]["left_out_before"], 501 - len(lines))

    def test_changes_of_a_group_are_limited_as_well(self):
        for _ in range(500):
            self.log.write("target_silent")
        self.assertLess(len(self.lines()), 300)


if __name__ == "__main__":
    unittest.main()
